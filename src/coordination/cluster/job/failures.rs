//! Failing tasks and replicas: when a job is tried again, and whether it fails everywhere.

use std::time::Duration;

use super::Job;
use crate::types::{HostName, Time};

/// A replica that has run for so long does not fail at its start.
pub const REPLICA_STABLE_AFTER: Duration = Duration::from_secs(20);
/// A replica that ended sooner is started again after this, and after twice as long each time.
const FIRST_REPLICA_PAUSE: Duration = Duration::from_millis(250);
/// Doublings of the pause after a replica ended, at the most.
const MAX_REPLICA_DOUBLINGS: u32 = 7;
/// The tasks of a job that fails everywhere wait for this, and for twice as long after some further failures.
const FIRST_TASK_PAUSE: Duration = Duration::from_secs(1);
/// Failures that do not lengthen the pause.
const FAILURES_WITHOUT_DOUBLING: u32 = 4;
/// Failures up to which the pause grows.
const MAX_COUNTED_FAILURES: u32 = 9;
/// No job waits longer than this after a failure.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// A job that failed on so many hosts and never succeeded fails everywhere.
const HOSTS_THAT_BLAME_THE_JOB: usize = 3;

impl Job {
    /// A task failed on the host. A job that fails everywhere waits longer each time, but is never given up.
    pub(crate) fn on_task_failed(&mut self, host: &HostName, now: Time) {
        self.consecutive_failures += 1;
        self.failed_hosts.insert(host.clone());
        if self.fails_everywhere() {
            let counted = self.consecutive_failures.min(MAX_COUNTED_FAILURES);
            let doublings = counted.saturating_sub(FAILURES_WITHOUT_DOUBLING);
            let pause = FIRST_TASK_PAUSE * 2u32.pow(doublings);
            self.retry_not_before = now.after(pause.min(LONGEST_PAUSE));
        }
    }

    /// A replica of a service ended by itself or failed, after it had run for so long. One that kept running shows that
    /// the earlier failures were not the job's own mistake; one that ends at once is started again after a growing
    /// pause.
    pub(crate) fn on_replica_ended(&mut self, ran_for: Duration, now: Time) {
        if ran_for >= REPLICA_STABLE_AFTER {
            self.consecutive_failures = 0;
            self.failed_hosts.clear();
            return;
        }
        self.consecutive_failures += 1;
        let doublings = (self.consecutive_failures - 1).min(MAX_REPLICA_DOUBLINGS);
        let pause = FIRST_REPLICA_PAUSE * 2u32.pow(doublings);
        self.retry_not_before = now.after(pause.min(LONGEST_PAUSE));
    }

    /// Whether it failed on several hosts and never succeeded, so that the mistake is most likely its own.
    pub fn fails_everywhere(&self) -> bool {
        self.done_count == 0 && self.failed_hosts.len() >= HOSTS_THAT_BLAME_THE_JOB
    }
}
