//! Templates of a scenario's jobs, and the submissions that users make from them.

use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::encode;
use lichencrank_testkit::values::map;

use super::checker::JobSpec;
use super::clock::seconds;
use super::ids::JobId;

/// Properties of the jobs that a command of a scenario submits.
#[derive(Clone, Debug)]
pub struct JobTemplate {
    /// Team of the job.
    pub team: String,
    /// Priority of the job, as in the protocol.
    pub priority: String,
    /// Number of tasks.
    pub task_count: u32,
    /// CPUs of each task.
    pub cpus_per_task: f64,
    /// Expected run time of each task.
    pub run_time: Duration,
    /// The only zone in which the tasks may run. `None` allows all zones.
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    pub requires_single_zone: bool,
    /// Whether the tasks have to be spread over zones.
    pub requires_zone_spread: bool,
    /// Whether the tasks may run on spot hosts.
    pub allows_spot: bool,
    /// Whether the job is a service, whose tasks are replicas that run until the job is cancelled.
    pub is_service: bool,
    /// How long each replica of a service runs before it ends by itself. `None` if it doesn't.
    pub replica_run_time: Option<Duration>,
}

/// Why a job must be rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// A task needs more CPUs than any host has.
    TooLarge,
    /// The submission lacks a field.
    MissingField,
}

/// More CPUs than any host has.
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
            requires_single_zone: false,
            requires_zone_spread: false,
            allows_spot: true,
            is_service: false,
            replica_run_time: None,
        }
    }

    /// The properties of such a job that the checker needs.
    pub fn spec(&self, defect: Option<Defect>) -> JobSpec {
        JobSpec {
            team: self.team.clone(),
            task_count: self.task_count,
            cpus_per_task: self.cpus_per_task,
            zone: self.zone.clone(),
            requires_single_zone: self.requires_single_zone,
            requires_zone_spread: self.requires_zone_spread,
            allows_spot: self.allows_spot,
            is_service: self.is_service,
            replicas_keep_ending: self.replica_run_time.is_some(),
            is_invalid: defect.is_some(),
            is_urgent: matches!(self.priority.as_str(), "high" | "critical"),
        }
    }

    /// The body of the request that submits a job with the given id.
    pub fn request_body(&self, job: JobId, defect: Option<Defect>) -> Vec<u8> {
        let shape = if self.is_service { "service" } else { "sweep" };
        let zone = self.zone.as_deref().map_or(Value::Null, Value::from);
        let expected_run_time_s = if self.is_service {
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
            ("samePlace", self.requires_single_zone.into()),
            ("apart", self.requires_zone_spread.into()),
            ("loaners", self.allows_spot.into()),
            ("guessS", expected_run_time_s.into()),
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
