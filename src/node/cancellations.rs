//! Acknowledgement of cancellations by the leader, and their distribution to the other controllers.
//!
//! A user gets the confirmation of a cancellation only once it is final: either no task of the job is allocated any
//! more, or the leader knows of the cancellation and is the only one whose commands the workers with the job's tasks
//! still accept. Later leaders read the cancellation from the records.
//!
//! Otherwise a controller could confirm a cancellation and crash before it informed any other controller. A leader that
//! does not reach the state service would then keep the job's tasks running throughout the outage.

use std::time::Duration;

use super::{peer_messages, Node, MAX_CANCELLATIONS_PER_HEARTBEAT};
use crate::protocol::peers::{self, AcknowledgedJobs, CancelledJobs, RecentCancellation};
use crate::protocol::workers::{stop_commands, Command, WorkerHeartbeat};
use crate::transport::{CallError, Network, Response};
use crate::types::JobId;

/// Timeout of a request for acknowledgement, for which users wait. Without an acknowledgement, a user is asked to retry
/// unless no task of the job is allocated any more.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Most jobs in one request for acknowledgement.
const MAX_JOBS_PER_ACKNOWLEDGEMENT: usize = 500;

impl<N: Network> Node<N> {
    /// The latest cancellations for a heartbeat, with the time that remains until they expire. It only decreases from
    /// controller to controller, so that no cancellation circulates forever.
    pub(super) fn recent_cancellations(&self) -> Vec<RecentCancellation> {
        let now = self.network.now();
        let recent = self
            .cancelled_jobs
            .iter()
            .map(|(job, expires_at)| RecentCancellation {
                job: job.0,
                remaining_ms: expires_at.since(now).as_millis() as u32,
            });
        let mut latest: Vec<RecentCancellation> = recent.collect();
        latest.sort_by_key(|cancelled| std::cmp::Reverse(cancelled.remaining_ms));
        if latest.len() > MAX_CANCELLATIONS_PER_HEARTBEAT {
            tracing::warn!(
                "{} recent cancellations: a heartbeat reports only the latest {MAX_CANCELLATIONS_PER_HEARTBEAT}",
                latest.len()
            );
        }
        latest.truncate(MAX_CANCELLATIONS_PER_HEARTBEAT);
        latest
    }

    /// Records a job's cancellation for the heartbeats, until `remaining` has passed, and stops the job's tasks if
    /// this controller leads.
    pub(super) fn on_job_cancelled(&mut self, job: JobId, remaining: Duration) {
        let now = self.network.now();
        let expires_at = now.after(remaining);
        let recorded = self.cancelled_jobs.entry(job).or_insert(expires_at);
        *recorded = expires_at.max(*recorded);
        if let Some(duties) = &mut self.duties {
            duties.leader.on_cancellation(job, now);
        }
    }

    /// Asks the leader to acknowledge the job's cancellation.
    pub(super) fn inform_leader(&mut self, job: JobId) {
        if self.duties.is_some() {
            let acknowledged = self.acknowledge_cancellation(job);
            let now = self.network.now();
            return self.api.on_leader_response(job, acknowledged, now);
        }
        self.unacknowledged_jobs.insert(job);
        self.send_cancellations_to_leader();
    }

    /// Sends the jobs without an acknowledgement to the leader, unless a request is in flight.
    fn send_cancellations_to_leader(&mut self) {
        if self.acknowledgement_call.is_some() || self.unacknowledged_jobs.is_empty() {
            return;
        }
        let mut jobs = std::mem::take(&mut self.unacknowledged_jobs);
        if jobs.len() > MAX_JOBS_PER_ACKNOWLEDGEMENT {
            let first_deferred = jobs.iter().nth(MAX_JOBS_PER_ACKNOWLEDGEMENT).copied();
            self.unacknowledged_jobs = first_deferred
                .map(|job| jobs.split_off(&job))
                .unwrap_or_default();
        }
        let leader = self.election.known_leader.as_deref();
        let jobs: Vec<JobId> = jobs.into_iter().collect();
        let peer = self
            .settings
            .peers
            .iter()
            .find(|p| Some(p.name.as_str()) == leader);
        let Some(peer) = peer else {
            return self.report_unacknowledged(jobs);
        };
        let message = CancelledJobs {
            jobs: jobs.iter().map(|j| j.0).collect(),
        };
        let call = peer_messages::send(
            &mut self.network,
            peer.address,
            peers::CANCELLED_PATH,
            &message,
            ACKNOWLEDGEMENT_TIMEOUT,
        );
        match call {
            Some(call) => self.acknowledgement_call = Some((call, jobs)),
            None => self.report_unacknowledged(jobs),
        }
    }

    /// Tells the API that the leader has not acknowledged the cancellations of these jobs.
    fn report_unacknowledged(&mut self, jobs: Vec<JobId>) {
        let now = self.network.now();
        for job in jobs {
            self.api.on_leader_response(job, false, now);
        }
    }

    /// Handles the leader's response to the request for acknowledgement.
    pub(super) fn on_acknowledgement(&mut self, result: Result<Response, CallError>) {
        let Some((_, jobs)) = self.acknowledgement_call.take() else {
            return;
        };
        let now = self.network.now();
        let response =
            peer_messages::decode_response::<AcknowledgedJobs>(peers::CANCELLED_PATH, result);
        let acknowledged_jobs = response.map_or(Vec::new(), |r| r.jobs);
        for job in jobs {
            let acknowledged = acknowledged_jobs.contains(&job.0);
            self.api.on_leader_response(job, acknowledged, now);
        }
        self.send_cancellations_to_leader();
    }

    /// Handles a peer's request to acknowledge cancellations that it has found in the records. The response lists the
    /// jobs whose cancellation this controller acknowledges.
    pub(super) fn on_peer_cancellations(&mut self, body: &[u8]) -> Response {
        let message: CancelledJobs = match peers::decode(body) {
            Ok(message) => message,
            Err(error) => return peer_messages::refusal(peers::CANCELLED_PATH, &error),
        };
        let jobs = message.jobs.into_iter();
        let jobs = jobs
            .filter(|job| self.acknowledge_cancellation(JobId(*job)))
            .collect();
        peer_messages::response(&AcknowledgedJobs { jobs })
    }

    /// Stops the tasks of the cancelled job if this controller leads. Returns whether its lease is certainly valid at
    /// this moment and the workers with the job's tasks accept commands from no other leader.
    fn acknowledge_cancellation(&mut self, job: JobId) -> bool {
        let now = self.network.now();
        let has_valid_lease = self.election.is_lease_valid(now);
        let Some(duties) = &mut self.duties else {
            return false;
        };
        duties.leader.on_cancellation(job, now);
        has_valid_lease && duties.has_loaded() && duties.leader.has_fenced_all_hosts(job)
    }

    /// Commands that stop the reported tasks of jobs that are known to be cancelled.
    pub(super) fn stop_cancelled_commands(&self, heartbeat: &WorkerHeartbeat) -> Vec<Command> {
        stop_commands(heartbeat, |job| self.cancelled_jobs.contains_key(&job))
    }
}
