//! The read-only view of the leader's state that decisions are based on.

use crate::coordination::autoscaling::Autoscaler;
use crate::coordination::cluster::ClusterState;
use crate::coordination::failure_detection::FailureDetector;
use crate::coordination::leader::Clock;
use crate::coordination::quota::TeamQuota;
use crate::coordination::run_times::RunTimes;
use crate::coordination::Policy;
use crate::types::Time;

/// Shared references to the state that decisions read. The leader makes a decision on a view and applies it
/// afterwards, so that the state does not change while the decision is made.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) cluster: &'a ClusterState,
    pub(crate) autoscaler: &'a Autoscaler,
    pub(crate) failure_detector: &'a FailureDetector,
    pub(crate) quota: &'a TeamQuota,
    pub(crate) run_times: &'a RunTimes,
    pub(crate) clock: Clock,
    /// When the leader had read all records, or, while it still reads them, when its term began.
    pub(crate) started_at: Time,
}
