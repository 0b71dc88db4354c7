//! Room that tasks were stopped for. It is kept for the service that preempted them, as a job that comes earlier in the
//! queue, with a lower priority, would otherwise take it, and the service would preempt tasks again and again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::resources::Resources;
use crate::types::{HostName, JobId, Time};

/// How long room is kept. Preempted tasks that do not save have ended well before that.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// Room on a host that is kept for a task of a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct RoomReservation {
    pub(super) job: JobId,
    pub(super) resources: Resources,
    expires_at: Time,
}

/// The room that is kept, by host.
#[derive(Debug, Default)]
pub(crate) struct RoomReservations {
    by_host: BTreeMap<HostName, RoomReservation>,
}

impl RoomReservations {
    /// Keeps room on the host for a task of the job. It replaces an earlier reservation there.
    pub(super) fn reserve(&mut self, host: HostName, job: JobId, resources: Resources, now: Time) {
        let expires_at = now.after(RESERVATION_TIME);
        let reservation = RoomReservation {
            job,
            resources,
            expires_at,
        };
        self.by_host.insert(host, reservation);
    }

    /// The room that is kept on the host.
    pub(super) fn on_host(&self, host: &HostName, now: Time) -> Option<RoomReservation> {
        let reservation = self.by_host.get(host);
        reservation
            .filter(|reservation| now < reservation.expires_at)
            .copied()
    }

    /// Ends the reservation on the host, as the job has a task there now.
    pub(super) fn use_on(&mut self, host: &HostName, job: JobId) {
        if self
            .by_host
            .get(host)
            .is_some_and(|reservation| reservation.job == job)
        {
            self.by_host.remove(host);
        }
    }

    /// Forgets the reservations that have expired, and those of jobs that `is_waiting` does not name.
    pub(super) fn remove_outdated(&mut self, is_waiting: impl Fn(JobId) -> bool, now: Time) {
        self.by_host
            .retain(|_, reservation| now < reservation.expires_at && is_waiting(reservation.job));
    }
}
