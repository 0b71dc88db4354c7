//! Tests of the simulation's checker: it reports each kind of violation, and none in a correct run.

#[allow(dead_code, reason = "the cluster test uses the rest of the simulation")]
mod simulated;

use std::collections::BTreeMap;
use std::time::Duration;

use simulated::checker::{
    AnsweredRequest, Bounds, Checker, HeldTask, Invariant, JobAnswer, JobSpec, Observation,
    RequestKind,
};
use simulated::clock::SimTime;
use simulated::ids::{JobId, TaskId};

const JOB: JobId = JobId(1);
const CANCELLATION_DEADLINE: Duration = Duration::from_secs(40);
const FAULTS_END_MS: u64 = 50_000;

/// A checker, and shorthands for what it observes. From the start it knows one planned job, hosts m1 and m2 in zone a,
/// and m3 in zone b; m2 is a spot host.
struct ObservedRun {
    checker: Checker,
}

fn job_spec() -> JobSpec {
    JobSpec {
        team: "t1".into(),
        task_count: 2,
        cpus_per_task: 2.0,
        zone: None,
        requires_single_zone: false,
        requires_zone_spread: false,
        allows_spot: true,
        is_service: false,
        replicas_keep_ending: false,
        is_invalid: false,
        is_urgent: false,
    }
}

impl ObservedRun {
    /// A run with a job of two tasks of 2 CPUs each, which together use all of its team's limit.
    fn new() -> ObservedRun {
        ObservedRun::with_job(|_| ())
    }

    /// Like [`ObservedRun::new`], with a change to the job.
    fn with_job(change: impl Fn(&mut JobSpec)) -> ObservedRun {
        let mut spec = job_spec();
        change(&mut spec);
        let bounds = Bounds {
            cancellation_deadline: CANCELLATION_DEADLINE,
            team_cpu_limits: BTreeMap::from([("t1".to_owned(), 4.0)]),
        };
        let mut run = ObservedRun {
            checker: Checker::new(bounds, SimTime::from_millis(FAULTS_END_MS)),
        };
        run.observe(0, Observation::JobPlanned { job: JOB, spec });
        for (host, zone) in [("m1", "a"), ("m2", "a"), ("m3", "b")] {
            let host_up = Observation::HostUp {
                host: host.into(),
                zone: zone.into(),
                is_spot: host == "m2",
                cpus: 8.0,
            };
            run.observe(0, host_up);
        }
        run
    }

    fn observe(&mut self, at_ms: u64, observation: Observation) {
        let now = SimTime::from_millis(at_ms);
        self.checker.observe(now, observation);
    }

    fn request_about(&mut self, job: JobId, at_ms: u64, kind: RequestKind, answer: JobAnswer) {
        let request = AnsweredRequest {
            job,
            kind,
            sent_at: SimTime::from_millis(at_ms - 1),
            answer,
        };
        self.observe(at_ms, Observation::RequestAnswered(request));
    }

    fn request(&mut self, at_ms: u64, kind: RequestKind, answer: JobAnswer) {
        self.request_about(JOB, at_ms, kind, answer);
    }

    fn accept(&mut self) {
        self.request(10, RequestKind::Submit, JobAnswer::Open);
    }

    /// A user cancels the job and is told so at 40 ms.
    fn cancel(&mut self) {
        self.observe(30, Observation::CancellationRequested(JOB));
        self.request(40, RequestKind::Cancel, JobAnswer::Cancelled);
    }

    fn start_task(&mut self, at_ms: u64, host: &str, index: u32) {
        let (host, task) = (host.to_owned(), TaskId { job: JOB, index });
        let accepted = Observation::TaskAccepted {
            host: host.clone(),
            task,
        };
        self.observe(at_ms, accepted);
        self.observe(at_ms, Observation::TaskStarted { host, task });
    }

    fn end_task(&mut self, at_ms: u64, host: &str, index: u32, is_complete: bool) {
        let ended = Observation::TaskEnded {
            host: host.into(),
            task: TaskId { job: JOB, index },
            is_complete,
        };
        self.observe(at_ms, ended);
    }

    fn plan_urgent_job(&mut self, job: JobId) {
        let spec = JobSpec {
            is_urgent: true,
            ..job_spec()
        };
        self.observe(0, Observation::JobPlanned { job, spec });
    }

    /// The leader releases a host of an isolated zone; each of `zone_hosts` holds a running task of the job.
    fn release(&mut self, at_ms: u64, released: &str, zone_hosts: &[&str]) {
        let task = HeldTask {
            task: TaskId { job: JOB, index: 0 },
            has_ended: false,
        };
        let zone_hosts: BTreeMap<String, Vec<HeldTask>> = zone_hosts
            .iter()
            .map(|host| ((*host).to_owned(), vec![task]))
            .collect();
        let now = SimTime::from_millis(at_ms);
        let released = [released.to_owned()];
        self.checker
            .observe_zone_release(now, &released, &zone_hosts);
    }

    /// Polls the job each second, checks liveness half a second later, and expects no violation.
    #[track_caller]
    fn poll_without_violation(&mut self, seconds: std::ops::Range<u64>) {
        for second in seconds {
            let second_at_ms = second * 1000;
            self.request(second_at_ms + 11, RequestKind::Poll, JobAnswer::Open);
            self.check_liveness(second_at_ms + 500);
        }
        self.expect_no_violation();
    }

    fn check_liveness(&mut self, at_ms: u64) {
        self.checker.check_liveness(SimTime::from_millis(at_ms));
    }

    fn check_end(&mut self, at_ms: u64) {
        self.checker.check_end(SimTime::from_millis(at_ms));
    }

    #[track_caller]
    fn expect_no_violation(&self) {
        let violations = self.checker.violations();
        assert!(violations.is_empty(), "{violations:?}");
    }

    #[track_caller]
    fn expect_violation(&self, expected: Invariant) {
        let violations = self.checker.violations();
        let invariants: Vec<Invariant> = violations
            .iter()
            .map(|violation| violation.invariant)
            .collect();
        assert_eq!(invariants, [expected], "{violations:?}");
    }
}

#[test]
fn a_correct_run_violates_nothing() {
    let mut run = ObservedRun::new();
    run.accept();
    run.start_task(20, "m1", 0);
    run.start_task(20, "m3", 1);
    run.end_task(3000, "m1", 0, false);
    run.start_task(4000, "m2", 0);
    run.end_task(9000, "m2", 0, true);
    run.end_task(9000, "m3", 1, true);
    run.request(9100, RequestKind::Poll, JobAnswer::Done);
    run.check_liveness(200_000);
    run.check_end(200_000);
    run.expect_no_violation();
}

#[test]
fn a_task_on_two_hosts_is_reported() {
    let mut run = ObservedRun::new();
    run.start_task(20, "m1", 0);
    run.start_task(30, "m2", 0);
    run.expect_violation(Invariant::TaskRunsOnce);
}

#[test]
fn a_team_above_its_limit_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.cpus_per_task = 3.0);
    run.start_task(20, "m1", 0);
    run.start_task(30, "m2", 1);
    run.expect_violation(Invariant::TeamLimit);
}

#[test]
fn a_task_outside_its_zone_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.zone = Some("b".into()));
    run.start_task(20, "m1", 0);
    run.expect_violation(Invariant::Placement);
}

#[test]
fn a_task_on_an_unwanted_spot_host_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.allows_spot = false);
    run.start_task(20, "m2", 0);
    run.expect_violation(Invariant::Placement);
}

#[test]
fn a_single_zone_job_in_two_zones_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.requires_single_zone = true);
    run.start_task(20, "m1", 0);
    run.start_task(20, "m3", 1);
    run.expect_violation(Invariant::Placement);
}

#[test]
fn a_spread_job_in_one_zone_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.requires_zone_spread = true);
    run.start_task(20, "m1", 0);
    run.start_task(20, "m2", 1);
    run.expect_violation(Invariant::Placement);
}

#[test]
fn a_cancelled_task_that_outlives_its_deadline_is_reported() {
    let mut run = ObservedRun::new();
    run.start_task(20, "m1", 0);
    // The user is told of the cancellation at 40 ms, so the deadline is at 40 040 ms.
    run.cancel();
    run.check_liveness(40_000);
    run.expect_no_violation();
    run.check_liveness(40_041);
    run.expect_violation(Invariant::CancelledWorkEnds);
}

#[test]
fn a_cancelled_task_that_starts_after_its_deadline_is_reported() {
    let mut run = ObservedRun::new();
    run.cancel();
    run.start_task(40_041, "m1", 0);
    run.expect_violation(Invariant::CancelledWorkEnds);
}

#[test]
fn an_accepted_job_that_is_unknown_later_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.request(20, RequestKind::Poll, JobAnswer::Unknown);
    run.expect_violation(Invariant::AcceptedJobsStayKnown);
}

#[test]
fn an_accepted_job_whose_repeated_submission_is_rejected_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.request(20, RequestKind::Submit, JobAnswer::Rejected);
    run.expect_violation(Invariant::AcceptedJobsStayKnown);
}

#[test]
fn an_accepted_job_without_an_answer_for_long_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.start_task(20, "m1", 0);
    run.start_task(20, "m2", 1);
    run.request(60_000, RequestKind::Poll, JobAnswer::Unanswered);
    run.check_liveness(FAULTS_END_MS + 75_000);
    run.expect_no_violation();
    run.check_liveness(FAULTS_END_MS + 75_001);
    run.expect_violation(Invariant::AcceptedJobsStayKnown);
}

#[test]
fn an_answer_about_a_job_that_nobody_submitted_is_reported() {
    let mut run = ObservedRun::new();
    run.request_about(JobId(7), 10, RequestKind::Poll, JobAnswer::Open);
    run.expect_violation(Invariant::OnlySubmittedJobs);
}

#[test]
fn done_before_all_tasks_are_complete_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.start_task(20, "m1", 0);
    run.end_task(30, "m1", 0, true);
    run.request(40, RequestKind::Poll, JobAnswer::Done);
    run.expect_violation(Invariant::DoneOnlyWhenComplete);
}

#[test]
fn an_answer_older_than_the_last_is_reported() {
    let mut run = ObservedRun::new();
    run.cancel();
    run.request(50, RequestKind::Poll, JobAnswer::Open);
    run.expect_violation(Invariant::AnswersNeverRegress);
}

#[test]
fn a_cancellation_that_nobody_requested_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.request(40, RequestKind::Poll, JobAnswer::Cancelled);
    run.expect_violation(Invariant::AnswersNeverRegress);
}

#[test]
fn an_invalid_job_that_is_accepted_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.is_invalid = true);
    run.accept();
    run.expect_violation(Invariant::InvalidJobsAreRejected);
}

#[test]
fn a_scenario_that_runs_nothing_is_reported() {
    let mut run = ObservedRun::new();
    run.check_end(1000);
    run.expect_violation(Invariant::SomeWorkRuns);
}

#[test]
fn an_unfinished_job_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    run.start_task(20, "m1", 0);
    run.check_end(1000);
    run.expect_violation(Invariant::JobsFinish);
}

#[test]
fn a_task_that_waits_despite_free_capacity_is_reported() {
    let mut run = ObservedRun::new();
    run.accept();
    // The last fault ends at 50 s. From then on the task may wait for 90 s.
    run.poll_without_violation(0..141);
    run.check_liveness(141_000);
    run.expect_violation(Invariant::NoStarvation);
}

#[test]
fn a_task_may_wait_for_capacity_in_its_zone() {
    let mut run = ObservedRun::with_job(|job| job.zone = Some("c".into()));
    run.accept();
    run.poll_without_violation(0..170);
}

#[test]
fn a_service_that_is_done_is_reported() {
    let mut run = ObservedRun::with_job(|job| job.is_service = true);
    run.accept();
    for (index, host) in [(0, "m1"), (1, "m2")] {
        run.start_task(20, host, index);
        run.end_task(30, host, index, true);
    }
    run.request(40, RequestKind::Poll, JobAnswer::Done);
    run.expect_violation(Invariant::DoneOnlyWhenComplete);
}

#[test]
fn too_many_releases_in_an_isolated_zone_are_reported() {
    let mut run = ObservedRun::new();
    run.checker.observe_isolation(1);
    // The budget for one minute: two bursts of two hosts, as a leader may have taken over, six hosts at the
    // steady rate, and one for a host that fails by itself.
    for second in 0..11 {
        run.release(second * 1000, "m1", &["m1"]);
    }
    run.expect_no_violation();
    run.release(11_000, "m1", &["m1"]);
    run.expect_violation(Invariant::ZoneRelease);
}

#[test]
fn releases_in_an_isolated_zone_may_go_on_after_a_minute() {
    let mut run = ObservedRun::new();
    run.checker.observe_isolation(1);
    for second in 0..11 {
        run.release(second * 1000, "m1", &["m1"]);
    }
    run.release(60_000, "m1", &["m1"]);
    run.expect_no_violation();
}

#[test]
fn a_release_before_that_of_a_host_with_urgent_tasks_is_reported() {
    let mut run = ObservedRun::new();
    let urgent_job = JobId(2);
    run.plan_urgent_job(urgent_job);
    let held = |job| {
        vec![HeldTask {
            task: TaskId { job, index: 0 },
            has_ended: false,
        }]
    };
    let zone_hosts = BTreeMap::from([
        ("m1".to_owned(), held(JOB)),
        ("m2".to_owned(), held(urgent_job)),
    ]);
    let now = SimTime::from_millis(1000);
    let both = ["m1".to_owned(), "m2".to_owned()];
    run.checker.observe_zone_release(now, &both, &zone_hosts);
    run.expect_no_violation();
    run.checker
        .observe_zone_release(now, &both[..1], &zone_hosts);
    run.expect_violation(Invariant::ZoneRelease);
}
