//! The checker of the simulated world notices each kind of violation, and none in a correct history.

#[allow(
    dead_code,
    reason = "only the checker of the simulated world is used here"
)]
mod simulated;

use simulated::checker::{Asked, Checker, Fact, Job, Rules, Said};
use std::collections::BTreeMap;

/// A checker that knows job 1 (two tasks of 2 CPUs) and machines m1 and m2 in zone a, m3 in b.
fn judge(change: impl Fn(&mut Job)) -> Checker {
    let limits = BTreeMap::from([("t1".to_owned(), 4.0)]);
    let cancel_ms = 40_000;
    let mut checker = Checker::new(Rules { cancel_ms, limits });
    let mut job = Job {
        team: "t1".into(),
        tasks: 2,
        cpus: 2.0,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        service: false,
        ends_everywhere: false,
        odd: false,
        urgent: false,
    };
    change(&mut job);
    checker.see(0, Fact::Submitted(1, job));
    for (host, zone) in [("m1", "a"), ("m2", "a"), ("m3", "b")] {
        let up = Fact::MachineUp {
            host: host.into(),
            zone: zone.into(),
            spot: host == "m2",
            cpus: 8.0,
        };
        checker.see(0, up);
    }
    checker
}

fn told(checker: &mut Checker, at: u64, asked: Asked, said: Said) {
    let (job, sent) = (1, at - 1);
    checker.see(
        at,
        Fact::Told {
            job,
            asked,
            sent,
            said,
        },
    );
}

fn begun(checker: &mut Checker, at: u64, host: &str, task: u32) {
    checker.see(at, Fact::Taken(host.into(), 1, task));
    checker.see(at, Fact::Begun(host.into(), 1, task));
}

fn over(checker: &mut Checker, at: u64, host: &str, task: u32, done: bool) {
    let (host, job) = (host.into(), 1);
    checker.see(
        at,
        Fact::Over {
            host,
            job,
            task,
            done,
        },
    );
}

#[track_caller]
fn objects(checker: &Checker, rule: &str) {
    let broken: Vec<_> = checker.broken.iter().map(|b| b.split(' ').next()).collect();
    assert_eq!(broken, [Some(rule)], "{:?}", checker.broken);
}

#[test]
fn an_honest_history_breaks_nothing() {
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 20, "m3", 1);
    over(&mut checker, 3000, "m1", 0, false);
    begun(&mut checker, 4000, "m2", 0);
    over(&mut checker, 9000, "m2", 0, true);
    over(&mut checker, 9000, "m3", 1, true);
    told(&mut checker, 9100, Asked::Poll, Said::Done);
    checker.pass(200_000);
    checker.close(200_000);
    assert!(checker.broken.is_empty(), "{:?}", checker.broken);
}

#[test]
fn ran_twice_is_seen() {
    let mut checker = judge(|_| ());
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 30, "m2", 0);
    objects(&checker, "ran_twice");
}

#[test]
fn a_broken_limit_is_seen() {
    let mut checker = judge(|job| job.cpus = 3.0);
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 30, "m2", 1);
    objects(&checker, "quota");
}

#[test]
fn wrong_places_are_seen() {
    let mut checker = judge(|job| job.zone = Some("b".into()));
    begun(&mut checker, 20, "m1", 0);
    objects(&checker, "wrong_place");
    let mut checker = judge(|job| job.spot = false);
    begun(&mut checker, 20, "m2", 0);
    objects(&checker, "wrong_place");
    let mut checker = judge(|job| job.one_zone = true);
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 20, "m3", 1);
    objects(&checker, "wrong_place");
    let mut checker = judge(|job| job.spread = true);
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 20, "m2", 1);
    objects(&checker, "wrong_place");
}

#[test]
fn cancelled_work_that_stays_or_starts_is_seen() {
    let mut checker = judge(|_| ());
    begun(&mut checker, 20, "m1", 0);
    checker.see(30, Fact::CancelAsked(1));
    told(&mut checker, 40, Asked::Cancellation, Said::Cancelled);
    checker.pass(40_000);
    assert!(checker.broken.is_empty());
    checker.pass(40_041);
    objects(&checker, "ran_cancelled");
    let mut checker = judge(|_| ());
    checker.see(30, Fact::CancelAsked(1));
    told(&mut checker, 40, Asked::Cancellation, Said::Cancelled);
    begun(&mut checker, 40_041, "m1", 0);
    objects(&checker, "ran_cancelled");
}

#[test]
fn forgotten_jobs_are_seen() {
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    told(&mut checker, 20, Asked::Poll, Said::Unknown);
    objects(&checker, "forgotten");
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    told(&mut checker, 20, Asked::Submission, Said::Refused);
    objects(&checker, "forgotten");
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    checker.calm_at = 50_000;
    begun(&mut checker, 20, "m1", 0);
    begun(&mut checker, 20, "m2", 1);
    told(&mut checker, 60_000, Asked::Poll, Said::Nothing);
    checker.pass(125_000);
    assert!(checker.broken.is_empty());
    checker.pass(125_001);
    objects(&checker, "forgotten");
}

#[test]
fn invented_jobs_are_seen() {
    let mut checker = judge(|_| ());
    let (job, sent) = (7, 9);
    let (asked, said) = (Asked::Poll, Said::Open);
    let told = Fact::Told {
        job,
        asked,
        sent,
        said,
    };
    checker.see(10, told);
    objects(&checker, "invented");
}

#[test]
fn done_before_all_tasks_are_is_seen() {
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    begun(&mut checker, 20, "m1", 0);
    over(&mut checker, 30, "m1", 0, true);
    told(&mut checker, 40, Asked::Poll, Said::Done);
    objects(&checker, "not_done");
}

#[test]
fn older_answers_are_seen() {
    let mut checker = judge(|_| ());
    checker.see(30, Fact::CancelAsked(1));
    told(&mut checker, 40, Asked::Cancellation, Said::Cancelled);
    told(&mut checker, 50, Asked::Poll, Said::Open);
    objects(&checker, "went_back");
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    told(&mut checker, 40, Asked::Poll, Said::Cancelled);
    objects(&checker, "went_back");
}

#[test]
fn an_odd_job_that_is_accepted_is_seen() {
    let mut checker = judge(|job| job.odd = true);
    told(&mut checker, 10, Asked::Submission, Said::Open);
    objects(&checker, "accepted");
}

#[test]
fn a_day_without_a_start_is_seen() {
    let mut checker = judge(|_| ());
    checker.close(1000);
    objects(&checker, "nothing_ran");
}

#[test]
fn unfinished_jobs_are_seen() {
    let mut checker = judge(|_| ());
    told(&mut checker, 10, Asked::Submission, Said::Open);
    begun(&mut checker, 20, "m1", 0);
    checker.close(1000);
    objects(&checker, "unfinished");
}

#[test]
fn work_that_waits_beside_a_free_machine_is_seen() {
    let mut checker = judge(|_| ());
    checker.calm_at = 10_000;
    told(&mut checker, 10, Asked::Submission, Said::Open);
    for at in 0..101 {
        told(&mut checker, at * 1000 + 11, Asked::Poll, Said::Open);
        checker.pass(at * 1000 + 500);
    }
    assert!(checker.broken.is_empty(), "{:?}", checker.broken);
    checker.pass(101_000);
    objects(&checker, "neglected");
    // What is bound to a zone without room may wait.
    let mut checker = judge(|job| job.zone = Some("c".into()));
    checker.calm_at = 10_000;
    told(&mut checker, 10, Asked::Submission, Said::Open);
    for at in 0..130 {
        told(&mut checker, at * 1000 + 11, Asked::Poll, Said::Open);
        checker.pass(at * 1000 + 500);
    }
    assert!(checker.broken.is_empty(), "{:?}", checker.broken);
}
