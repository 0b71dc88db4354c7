//! Handling of failed tasks and replicas: the backoff before a job is tried again, and whether it fails everywhere.

use std::time::Duration;

use super::Job;
use crate::types::{HostName, Time};

/// A replica that has run for this long counts as stable: it does not fail at its start.
pub const REPLICA_STABLE_AFTER: Duration = Duration::from_secs(20);
/// Backoff after a replica ended before it was stable. It doubles with each count of [`Job::failure_count`] after the
/// first.
const INITIAL_REPLICA_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum number of doublings of the backoff after replicas ended.
const MAX_REPLICA_BACKOFF_DOUBLINGS: u32 = 7;
/// Backoff for the tasks of a job that fails everywhere. It doubles with each failure after the first
/// `FAILURES_BEFORE_BACKOFF_DOUBLES`.
const INITIAL_TASK_BACKOFF: Duration = Duration::from_secs(1);
/// Number of failures of a job up to which the backoff for its tasks stays at its initial value.
const FAILURES_BEFORE_BACKOFF_DOUBLES: u32 = 4;
/// Number of failures of a job up to which the backoff for its tasks grows.
const MAX_FAILURES_FOR_BACKOFF: u32 = 9;
/// Maximum backoff of a job after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// A job of which tasks failed on this many hosts and none succeeded counts as failing everywhere.
const FAILS_EVERYWHERE_AFTER_HOSTS: usize = 3;

impl Job {
    /// Notes that a task failed on the host. A job that fails everywhere is retried with a growing backoff, and without
    /// a limit on the number of attempts.
    pub(crate) fn on_task_failed(&mut self, host: &HostName, now: Time) {
        self.failure_count += 1;
        self.failed_hosts.insert(host.clone());
        if self.fails_everywhere() {
            let counted_failures = self.failure_count.min(MAX_FAILURES_FOR_BACKOFF);
            let doublings = counted_failures.saturating_sub(FAILURES_BEFORE_BACKOFF_DOUBLES);
            let backoff = INITIAL_TASK_BACKOFF * 2u32.pow(doublings);
            self.retry_not_before = now.after(backoff.min(MAX_BACKOFF));
        }
    }

    /// Notes that a replica of a service ended by itself or failed after it had run for `ran_for`. A replica that was
    /// stable shows that the job is not to blame for its earlier failures. One that ended sooner is started again after
    /// a growing backoff.
    pub(crate) fn on_replica_ended(&mut self, ran_for: Duration, now: Time) {
        if ran_for >= REPLICA_STABLE_AFTER {
            self.failure_count = 0;
            self.failed_hosts.clear();
            return;
        }
        self.failure_count += 1;
        let doublings = (self.failure_count - 1).min(MAX_REPLICA_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_REPLICA_BACKOFF * 2u32.pow(doublings);
        self.retry_not_before = now.after(backoff.min(MAX_BACKOFF));
    }

    /// Whether tasks of it failed on several hosts and none succeeded, so that the fault is most likely in the job.
    pub fn fails_everywhere(&self) -> bool {
        self.done_count == 0 && self.failed_hosts.len() >= FAILS_EVERYWHERE_AFTER_HOSTS
    }
}
