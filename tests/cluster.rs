//! Failure scenarios, played by several real controllers in simulated time. `tests/scenarios/README.md`
//! describes the scripts. A failure prints the seed and the history.

mod simulated;

use simulated::checker::{Asked, Checker, Fact, Job, Rules, Said};
use simulated::process::Launcher;
use simulated::script::Script;
use simulated::World;
use std::collections::BTreeMap;

/// Seeds to play instead of a case's own, such as `100..200`, to hunt by hand.
fn seeds_to_hunt() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("CLUSTER_SEEDS").ok()?;
    let (from, to) = text.split_once("..")?;
    Some(from.parse().ok()?..to.parse().ok()?)
}

fn play(name: &str, seeds: std::ops::Range<u64>) {
    lichencrank::logging::start(std::env::var("LOG_LEVEL").ok().as_deref().or(Some("off")));
    let file = format!(
        "{}/tests/scenarios/{name}.scenario",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"));
    let script = Script::parse(&text);
    let mut broken = Vec::new();
    for seed in seeds_to_hunt().unwrap_or(seeds) {
        let mut world = World::new(script.site.clone(), seed, Launcher::current());
        if let Err(why) = world.play(&script) {
            broken.push(format!("{name}, seed {seed}:\n{why}"));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n\n"));
}

#[test]
fn gap() {
    play("gap", 1..5);
}

#[test]
fn gap_confirmer_killed() {
    play("gap_confirmer_killed", 1..5);
}

#[test]
fn gap_confirmer_halted() {
    play("gap_confirmer_halted", 1..5);
}

#[test]
fn gap_cut() {
    play("gap_cut", 1..5);
}

#[test]
fn gap_new_leader() {
    play("gap_new_leader", 1..5);
}

#[test]
fn gap_blind() {
    play("gap_blind", 1..5);
}

#[test]
fn close_looks() {
    play("close_looks", 1..5);
}

#[test]
fn lost_answers() {
    play("lost_answers", 1..5);
}

#[test]
fn limits() {
    play("limits", 1..5);
}

#[test]
fn quota() {
    play("quota", 1..5);
}

#[test]
fn quota_capacity() {
    play("quota_capacity", 1..3);
}

#[test]
fn four_thousand() {
    play("four_thousand", 1..2);
}

#[test]
fn changing_hands() {
    play("changing_hands", 1..5);
}

#[test]
fn quick_machines() {
    play("quick_machines", 1..5);
}

#[test]
fn old_reports() {
    play("old_reports", 1..5);
}

#[test]
fn one_task_jobs() {
    play("one_task_jobs", 1..5);
}

#[test]
fn refused_then_out() {
    play("refused_then_out", 1..5);
}

#[test]
fn late_writes() {
    play("late_writes", 1..5);
}

#[test]
fn ten_leaders() {
    play("ten_leaders", 1..5);
}

#[test]
fn all_away() {
    play("all_away", 1..5);
}

#[test]
fn zone_keeps_leases() {
    play("zone_keeps_leases", 1..5);
}

#[test]
fn zone_flaps() {
    play("zone_flaps", 1..5);
}

#[test]
fn zone_returns_while_full() {
    play("zone_returns_while_full", 1..5);
}

#[test]
fn zone_of_the_leader() {
    play("zone_of_the_leader", 1..5);
}

#[test]
fn zone_and_state_service() {
    play("zone_and_state_service", 1..5);
}

#[test]
fn zone_services() {
    play("zone_services", 1..5);
}

#[test]
fn zones_three() {
    play("zones_three", 1..5);
}

#[test]
fn four_thousand_cut() {
    play("four_thousand_cut", 1..2);
}

#[test]
fn zone_home_cut() {
    play("zone_home_cut", 1..5);
}

#[test]
fn zone_cut_cloud_away() {
    play("zone_cut_cloud_away", 1..5);
}

#[test]
fn zone_cut() {
    play("zone_cut", 1..5);
}

#[test]
fn unreachable_machines() {
    play("unreachable_machines", 1..5);
}

#[test]
fn bound_jobs() {
    play("bound_jobs", 1..5);
}

#[test]
fn end_of_a_job() {
    play("end_of_a_job", 1..5);
}

#[test]
fn odd_requests() {
    play("odd_requests", 1..5);
}

#[test]
fn rollout() {
    play("rollout", 1..3);
}

#[test]
fn services() {
    play("services", 1..4);
}

#[test]
fn services_close_looks() {
    play("services_close_looks", 1..4);
}

#[test]
fn services_out_of_reach() {
    play("services_out_of_reach", 1..4);
}

#[test]
fn services_moved() {
    play("services_moved", 1..4);
}

#[test]
fn services_fail() {
    play("services_fail", 1..4);
}

#[test]
fn services_at_limit() {
    play("services_at_limit", 1..4);
}

#[test]
fn services_divided() {
    play("services_divided", 1..4);
}

#[test]
fn services_for_hours() {
    play("services_for_hours", 1..2);
}

// ---- the checker sees what is wrong

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
