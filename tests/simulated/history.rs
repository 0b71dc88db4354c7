//! What happened in a run: lines for people to read, and marks for scenarios to count.

use std::collections::BTreeMap;

use super::clock::SimTime;

/// Defines the marks with their names in scripts.
macro_rules! marks {
    ($($(#[$doc:meta])* $mark:ident = $name:literal,)*) => {
        /// Something that scenarios can expect to take place, or not to.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mark {
            $($(#[$doc])* $mark,)*
        }

        impl Mark {
            /// The mark with that name in scripts.
            pub fn from_name(name: &str) -> Option<Mark> {
                match name {
                    $($name => Some(Mark::$mark),)*
                    _ => None,
                }
            }
        }
    };
}

marks! {
    /// A user was told that a job is done.
    JobDone = "done",
    /// A request was rejected for good.
    RequestRejected = "refused",
    /// A request got no answer in time, or none that helps.
    RequestUnanswered = "unanswered",
    /// The same, of a request to cancel.
    CancellationUnanswered = "unconfirmed",
    /// A user cancels a job with running tasks.
    RunningJobCancelled = "running-cancelled",
    /// A user was told that a job is cancelled.
    CancellationConfirmed = "confirmed",
    /// The same, while tasks of the job still run.
    ConfirmedWhileRunning = "confirmed-while-running",
    /// The same, by a node that does not lead.
    ConfirmedByFollower = "confirmed-by-another",
    /// The last task of a job is complete.
    LastTaskDone = "last-task-done",
    /// A user cancels a job as its last task ends.
    CancelledAtCompletion = "cancelled-at-its-end",
    /// Users poll and repeat a submission in a burst.
    PollBurst = "close-look",
    /// A replica of a service ended by itself.
    ReplicaEnded = "replica-ended",
    /// All teams use all of their limits.
    LimitsExhausted = "at-limit",
    /// An embedding program got an admission.
    EmbedderAdmitted = "embedded",
    /// A leader has won its term.
    Takeover = "takeover",
    /// Another node leads although nothing kept the leader from going on.
    NeedlessTakeover = "moved",
    /// A controller process was killed.
    ControllerKilled = "killed",
    /// A controller was upgraded.
    ControllerUpgraded = "upgraded",
    /// A controller went back to the version before.
    ControllerRolledBack = "rolled-back",
    /// A leader of the earlier version follows one of this version.
    EarlierVersionTookOver = "earlier-after-current",
    /// A leader of this version follows one of the earlier version.
    CurrentVersionTookOver = "current-after-earlier",
    /// The key-value store answers 400 to a request that must not have been sent.
    StoreRejectedRequest = "refused-by-state",
    /// The same, to a claim of the leadership that was carried out after its lease had expired.
    LateClaim = "late-claim",
    /// The key-value store answers 429.
    StoreOverBudget = "over-budget",
    /// A transaction is carried out and its answer is lost.
    AnswerLost = "lost-answer",
    /// A transaction is carried out late and its answer is lost.
    WriteDelayed = "late-write",
    /// The cloud gives notice that it takes a machine away.
    PreemptionNotice = "notice",
    /// The cloud has taken away a machine after its notice.
    MachinePreempted = "taken",
    /// Something happened to a task on a machine that has just come up.
    WorkOnNewMachine = "work-on-a-new-machine",
    /// Tasks of a worker ended with its lease.
    WorkerLeaseExpired = "lease-ended",
    /// A copy of a heartbeat arrives late.
    HeartbeatDelayed = "late-report",
    /// Copies of heartbeats to the leader before reach the controllers.
    OldHeartbeatAtNewLeader = "old-report-at-new-leader",
    /// A machine of the isolated zone is given up.
    ReleasedInIsolatedZone = "given-up-in-cut",
    /// A machine with wanted work is given up right after its zone has returned.
    ReleasedAfterIsolation = "given-up-after-return",
    /// A machine is rented in an isolated zone, after a leader must have noticed the isolation.
    RentedInIsolatedZone = "rented-in-cut-zone",
}

/// Lines and marks of a run.
#[derive(Debug, Default)]
pub struct History {
    lines: Vec<String>,
    marks: BTreeMap<Mark, Vec<SimTime>>,
}

impl History {
    /// Adds a line.
    pub fn note(&mut self, now: SimTime, line: &str) {
        self.lines.push(format!("{now:>11} {line}"));
    }

    /// Sets a mark.
    pub fn mark(&mut self, now: SimTime, mark: Mark) {
        self.marks.entry(mark).or_default().push(now);
    }

    /// How often a mark was set in that time, both ends included.
    pub fn count(&self, mark: Mark, from: SimTime, to: SimTime) -> usize {
        let times = self.marks.get(&mark).map_or(&[][..], Vec::as_slice);
        let in_time = times.iter().filter(|time| (from..=to).contains(time));
        in_time.count()
    }

    /// The last lines.
    pub fn last_lines(&self, count: usize) -> &[String] {
        &self.lines[self.lines.len().saturating_sub(count)..]
    }
}
