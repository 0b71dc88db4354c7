//! What the jobs of a scenario look like, and how users write them in their requests.

use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::encode;
use lichencrank_testkit::values::map;

use super::checker::JobSpec;
use super::clock::seconds;
use super::ids::JobId;

/// A job as a scenario describes it.
#[derive(Clone, Debug)]
pub struct JobTemplate {
    /// The team that the job belongs to.
    pub team: String,
    /// How urgent it is, in the protocol's words.
    pub priority: String,
    /// How many tasks it has.
    pub task_count: u32,
    /// CPUs that each task takes.
    pub cpus_per_task: f64,
    /// About how long each task runs.
    pub run_time: Duration,
    /// The only zone in which its tasks may run.
    pub zone: Option<String>,
    /// All its tasks have to run in one zone, whichever that is.
    pub single_zone: bool,
    /// Its tasks have to be spread over zones.
    pub spread_over_zones: bool,
    /// Its tasks may run on spot machines.
    pub allows_spot: bool,
    /// Its tasks are replicas, which run until the job is cancelled.
    pub is_service: bool,
    /// How long each replica of a service runs before it ends by itself.
    pub replica_run_time: Option<Duration>,
}

/// Why a job must be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No machine is large enough for a task.
    TooLarge,
    /// A field is missing.
    MissingField,
}

/// More than any machine has.
const TOO_MANY_CPUS: f64 = 4000.0;

impl JobTemplate {
    /// A small job of one task.
    pub fn small(team: &str) -> JobTemplate {
        JobTemplate {
            team: team.to_owned(),
            priority: "normal".to_owned(),
            task_count: 1,
            cpus_per_task: 1.0,
            run_time: Duration::from_secs(1),
            zone: None,
            single_zone: false,
            spread_over_zones: false,
            allows_spot: true,
            is_service: false,
            replica_run_time: None,
        }
    }

    /// What the checker has to know of such a job.
    pub fn spec(&self, defect: Option<Defect>) -> JobSpec {
        JobSpec {
            team: self.team.clone(),
            task_count: self.task_count,
            cpus_per_task: self.cpus_per_task,
            zone: self.zone.clone(),
            single_zone: self.single_zone,
            spread_over_zones: self.spread_over_zones,
            allows_spot: self.allows_spot,
            is_service: self.is_service,
            replicas_keep_ending: self.replica_run_time.is_some(),
            is_invalid: defect.is_some(),
            is_urgent: matches!(self.priority.as_str(), "high" | "critical"),
        }
    }

    /// The body of the request that submits such a job.
    pub fn request_body(&self, job: JobId, defect: Option<Defect>) -> Vec<u8> {
        let shape = if self.is_service { "service" } else { "sweep" };
        let zone = self.zone.as_deref().map_or(Value::Null, Value::from);
        let expected_seconds = if self.is_service {
            0.0
        } else {
            seconds(self.run_time)
        };
        let cpus = match defect {
            Some(Defect::TooLarge) => TOO_MANY_CPUS,
            _ => self.cpus_per_task,
        };
        let mut fields = vec![
            ("ref", job.to_string().into()),
            ("jobclass", "c".into()),
            ("crew", self.team.as_str().into()),
            ("shape", shape.into()),
            ("urgency", self.priority.as_str().into()),
            ("pieces", self.task_count.into()),
            ("cpus", cpus.into()),
            ("cards", 0.0.into()),
            ("ramGb", 1.0.into()),
            ("bundle", "img".into()),
            ("imageGb", 0.5.into()),
            ("hosttypes", Value::Null),
            ("hall", zone),
            ("samePlace", self.single_zone.into()),
            ("apart", self.spread_over_zones.into()),
            ("loaners", self.allows_spot.into()),
            ("guessS", expected_seconds.into()),
            ("snapshotS", 0.0.into()),
            ("stashS", 0.0.into()),
            ("dueS", Value::Null),
        ];
        if defect == Some(Defect::MissingField) {
            fields.retain(|(name, _)| *name != "pieces");
        }
        encode(&map(fields))
    }
}
