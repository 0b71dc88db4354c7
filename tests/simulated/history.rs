//! The log of a run: lines for people to read, and marks, which scenarios count.

use std::collections::BTreeMap;

use super::clock::SimTime;

/// Defines the marks, each with its name in scenario files.
macro_rules! marks {
    ($($(#[$doc:meta])* $mark:ident = $name:literal,)*) => {
        /// A kind of event that a scenario can expect to occur, or not to occur.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Mark {
            $($(#[$doc])* $mark,)*
        }

        impl Mark {
            /// The mark with this name in scenario files.
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
    /// A user's request was rejected with status 400 or 422.
    RequestRejected = "refused",
    /// A user's request got no response in time, or an error other than 400, 404 and 422.
    RequestUnanswered = "unanswered",
    /// A request to cancel got no response in time, or an error other than 400, 404 and 422.
    CancellationUnanswered = "unconfirmed",
    /// A user cancels a job with running tasks.
    RunningJobCancelled = "running-cancelled",
    /// A user was told that a job is cancelled.
    CancellationConfirmed = "confirmed",
    /// A user was told that a job is cancelled, while tasks of the job still run.
    ConfirmedWhileRunning = "confirmed-while-running",
    /// A user was told by a follower that a job is cancelled.
    ConfirmedByFollower = "confirmed-by-another",
    /// The last task of a job has run to its end.
    LastTaskDone = "last-task-done",
    /// A user cancels a job just as its last task ends.
    CancelledAtCompletion = "cancelled-at-its-end",
    /// Users send a burst of polls and repeated submissions to all nodes.
    PollBurst = "close-look",
    /// A replica of a service ended by itself.
    ReplicaEnded = "replica-ended",
    /// Every team with a limit uses all of it.
    LimitsExhausted = "at-limit",
    /// The program that embeds the quota library got an admission.
    EmbedderAdmitted = "embedded",
    /// A node has become the leader of a new term.
    Takeover = "takeover",
    /// Another node leads, although the previous leader was running and its zone was not isolated.
    NeedlessTakeover = "moved",
    /// The leader has raised its own term, which is the fencing token.
    TermRaised = "raised",
    /// A worker rejects a late copy of a command to start an attempt that it was told to forget.
    LateStartRejected = "late-start-rejected",
    /// A controller process was killed.
    ControllerKilled = "killed",
    /// A controller was upgraded.
    ControllerUpgraded = "upgraded",
    /// A controller was rolled back to the first version.
    ControllerRolledBack = "rolled-back",
    /// A leader of the earlier version follows one of the current version.
    EarlierVersionTookOver = "earlier-after-current",
    /// A leader of the current version follows one of the earlier version.
    CurrentVersionTookOver = "current-after-earlier",
    /// The key-value store answers 400 to a request that a controller must not send.
    StoreRejectedRequest = "refused-by-state",
    /// The key-value store answers 400 to a claim of leadership that arrived after its lease had expired.
    LateClaim = "late-claim",
    /// The key-value store answers 429: a rate limit is exceeded.
    StoreOverBudget = "over-budget",
    /// The response to a transaction is lost after the transaction was processed.
    ResponseLost = "lost-answer",
    /// A transaction is processed late, and its response is lost.
    WriteDelayed = "late-write",
    /// The cloud announces that it will reclaim a host.
    ReclaimNotice = "notice",
    /// The cloud has reclaimed a host after the announcement.
    HostReclaimed = "taken",
    /// A task was accepted, started or ended on a host that has just booted.
    TaskOnNewHost = "work-on-a-new-machine",
    /// A worker's lease expired, which ended its tasks.
    WorkerLeaseExpired = "lease-ended",
    /// A copy of a heartbeat arrives late.
    HeartbeatDelayed = "late-report",
    /// A copy of a heartbeat from before a takeover is sent to all controllers after it.
    OldHeartbeatAtNewLeader = "old-report-at-new-leader",
    /// The leader releases a host of an isolated zone.
    ReleasedInIsolatedZone = "given-up-in-cut",
    /// The leader releases a host with wanted tasks right after the isolation of its zone has ended.
    ReleasedAfterIsolation = "given-up-after-return",
    /// A host is provisioned in an isolated zone after the time by which a leader must have detected the
    /// isolation.
    ProvisionedInIsolatedZone = "rented-in-cut-zone",
}

/// The lines and marks of a run.
#[derive(Debug, Default)]
pub struct History {
    lines: Vec<String>,
    marks: BTreeMap<Mark, Vec<SimTime>>,
}

impl History {
    /// Adds a line, with the simulated time.
    pub fn note(&mut self, now: SimTime, line: &str) {
        self.lines.push(format!("{now:>11} {line}"));
    }

    /// Records that a mark was set.
    pub fn mark(&mut self, now: SimTime, mark: Mark) {
        self.marks.entry(mark).or_default().push(now);
    }

    /// How often a mark was set from `start` to `end`, both included.
    pub fn count(&self, mark: Mark, start: SimTime, end: SimTime) -> usize {
        let times = self.marks.get(&mark).map_or(&[][..], Vec::as_slice);
        let in_range = times.iter().filter(|time| (start..=end).contains(time));
        in_range.count()
    }

    /// The last `count` lines.
    pub fn last_lines(&self, count: usize) -> &[String] {
        &self.lines[self.lines.len().saturating_sub(count)..]
    }
}
