//! What decisions read.

use crate::coordination::autoscaling::Autoscaler;
use crate::coordination::cluster::ClusterState;
use crate::coordination::failure_detection::FailureDetector;
use crate::coordination::leader::Clock;
use crate::coordination::quota::TeamQuota;
use crate::coordination::run_times::RunTimes;
use crate::coordination::Policy;
use crate::types::Time;

/// Shared references to all that decisions read. Decisions are made over a view and carried out by the leader, so that
/// nothing changes while one is made.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) cluster: &'a ClusterState,
    pub(crate) autoscaler: &'a Autoscaler,
    pub(crate) failure_detector: &'a FailureDetector,
    pub(crate) quota: &'a TeamQuota,
    pub(crate) run_times: &'a RunTimes,
    pub(crate) clock: Clock,
    /// When the leader had read all records, or, before that, when its term began.
    pub(crate) started_at: Time,
}
