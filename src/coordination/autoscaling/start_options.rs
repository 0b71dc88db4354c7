//! Where the waiting tasks of one job may start, as the forecast assumes.

use std::collections::BTreeMap;

use crate::coordination::autoscaling::timeline::{HostTimeline, StartQueue};
use crate::coordination::resources::Resources;
use crate::coordination::scheduling::is_zone_allowed;
use crate::protocol::users::JobSpec;

/// Where the tasks of a job may start.
pub(super) struct StartOptions {
    pub(super) task_resources: Resources,
    pub(super) usable_types: Vec<bool>,
    /// The hosts of the usable types.
    pub(super) starts: StartQueue,
    /// Seconds until a host requested now could start a task.
    pub(super) min_startup_delay_s: f64,
    /// The usable types and the scarce types kept for other jobs; `None` unless only the scarce types may meet the
    /// deadline.
    pub(super) overflow_types: Option<Vec<bool>>,
    /// The hosts of those scarce types alone.
    pub(super) overflow_starts: StartQueue,
    /// Seconds until a host of those scarce types, requested now, could start a task.
    pub(super) overflow_startup_delay_s: f64,
    /// How many of the job's tasks each zone holds, those included for which room is reserved.
    pub(super) siblings_by_zone: BTreeMap<String, u64>,
}

impl StartOptions {
    /// Counts a task for which room is reserved on the host with this timeline. Removes the hosts of the zones that the
    /// job's constraints do not allow any more.
    pub(super) fn on_task_reserved(
        &mut self,
        spec: &JobSpec,
        timelines: &[HostTimeline],
        index: usize,
    ) {
        if !spec.same_zone && !spec.spread {
            return;
        }
        let is_first = self.siblings_by_zone.is_empty();
        let zone = &timelines[index].zone;
        *self.siblings_by_zone.entry(zone.clone()).or_default() += 1;
        let siblings = &self.siblings_by_zone;
        let excludes_zones = is_first || !is_zone_allowed(spec, zone, siblings);
        if excludes_zones {
            let is_allowed =
                |timeline: &HostTimeline| is_zone_allowed(spec, &timeline.zone, siblings);
            self.starts.retain(timelines, is_allowed);
            self.overflow_starts.retain(timelines, is_allowed);
        }
    }
}
