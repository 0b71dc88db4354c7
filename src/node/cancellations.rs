//! A cancellation is told to a user only once it can't be undone by whatever happens next: either no
//! task of the job is booked any more, or the leader knows of it and is the only one whom the
//! workers that hold its tasks still obey. Whoever leads later reads it from the records.
//!
//! Without that, a node could confirm a cancellation and end before it told anybody; the leader, whom
//! the state service alone did not answer, would keep the tasks going all through an outage.

use std::time::Duration;

use super::{peer_messages, Node, MAX_CANCELLATIONS};
use crate::protocol::peers::{self, AcknowledgedJobs, CancelledJobs, RecentCancellation};
use crate::protocol::workers::{stop_commands, Command, WorkerHeartbeat};
use crate::transport::{CallError, Network, Response};
use crate::types::JobId;

/// Users wait for it; who can't be told by then is told to come back.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Cancellations in one question to the leader.
const MAX_SECURED: usize = 500;

impl<N: Network> Node<N> {
    /// The latest cancellations, with what is left of their time: it only gets less on its way from
    /// node to node, so that none goes round for ever.
    pub(super) fn recent_cancellations(&self) -> Vec<RecentCancellation> {
        let now = self.net.now();
        let recent = self
            .cancelled
            .iter()
            .map(|(job, until)| RecentCancellation {
                job: job.0,
                remaining_ms: until.since(now).as_millis() as u32,
            });
        let mut latest: Vec<RecentCancellation> = recent.collect();
        latest.sort_by_key(|cancelled| std::cmp::Reverse(cancelled.remaining_ms));
        if latest.len() > MAX_CANCELLATIONS {
            tracing::warn!(
                "{} cancellations are recent, a heartbeat tells of the last {MAX_CANCELLATIONS}",
                latest.len()
            );
        }
        latest.truncate(MAX_CANCELLATIONS);
        latest
    }

    /// Notes that a job is cancelled; its tasks are stopped if this node leads.
    pub(super) fn on_cancelled(&mut self, job: JobId, left: Duration) {
        let now = self.net.now();
        let until = now.after(left);
        let known = self.cancelled.entry(job).or_insert(until);
        *known = until.max(*known);
        if let Some(duties) = &mut self.duties {
            duties.controller.on_cancellation(job, now);
        }
    }

    /// Asks the leader whether it has the cancellation in hand.
    pub(super) fn inform_leader(&mut self, job: JobId) {
        if self.duties.is_some() {
            let acknowledged = self.acknowledges(job);
            let now = self.net.now();
            return self.api.on_leader_response(job, acknowledged, now);
        }
        self.to_acknowledge.insert(job);
        self.send_cancelled_to_leader();
    }

    fn send_cancelled_to_leader(&mut self) {
        if self.acknowledging.is_some() || self.to_acknowledge.is_empty() {
            return;
        }
        let mut jobs = std::mem::take(&mut self.to_acknowledge);
        if jobs.len() > MAX_SECURED {
            let middle = jobs.iter().nth(MAX_SECURED).copied();
            self.to_acknowledge = middle.map(|m| jobs.split_off(&m)).unwrap_or_default();
        }
        let leader = self.leadership.known_leader.as_deref();
        let jobs: Vec<JobId> = jobs.into_iter().collect();
        let peer = self
            .settings
            .peers
            .iter()
            .find(|p| Some(p.name.as_str()) == leader);
        let Some(peer) = peer else {
            return self.none_acknowledged(jobs);
        };
        let message = CancelledJobs {
            jobs: jobs.iter().map(|j| j.0).collect(),
        };
        let call = peer_messages::send(
            &mut self.net,
            peer.address,
            peers::CANCELLED_PATH,
            &message,
            ACKNOWLEDGE_TIMEOUT,
        );
        match call {
            Some(call) => self.acknowledging = Some((call, jobs)),
            None => self.none_acknowledged(jobs),
        }
    }

    fn none_acknowledged(&mut self, jobs: Vec<JobId>) {
        let now = self.net.now();
        for job in jobs {
            self.api.on_leader_response(job, false, now);
        }
    }

    pub(super) fn on_leader_answer(&mut self, result: Result<Response, CallError>) {
        let Some((_, jobs)) = self.acknowledging.take() else {
            return;
        };
        let now = self.net.now();
        let answer = peer_messages::answer::<AcknowledgedJobs>(peers::CANCELLED_PATH, result);
        let acknowledged = answer.map_or(Vec::new(), |a| a.jobs);
        for job in jobs {
            let known = acknowledged.contains(&job.0);
            self.api.on_leader_response(job, known, now);
        }
        self.send_cancelled_to_leader();
    }

    /// Another node has found these jobs cancelled in the records.
    pub(super) fn on_cancelled_by_peer(&mut self, body: &[u8]) -> Response {
        let told: CancelledJobs = match peers::decode(body) {
            Ok(told) => told,
            Err(error) => return peer_messages::refusal(peers::CANCELLED_PATH, &error),
        };
        let jobs = told.jobs.into_iter();
        let jobs = jobs.filter(|job| self.acknowledges(JobId(*job))).collect();
        peer_messages::response(&AcknowledgedJobs { jobs })
    }

    /// Whether this node leads, surely so at this moment, and what it says of the cancelled job's tasks
    /// is all that is said to their workers. They are stopped in any case.
    fn acknowledges(&mut self, job: JobId) -> bool {
        let now = self.net.now();
        let certain = self.leadership.is_lease_valid(now);
        let Some(duties) = &mut self.duties else {
            return false;
        };
        duties.controller.on_cancellation(job, now);
        certain && duties.has_loaded() && duties.controller.is_sole_commander(job)
    }

    /// Stops for what the report shows of jobs that are known to be cancelled.
    pub(super) fn stops_of_cancelled(&self, report: &WorkerHeartbeat) -> Vec<Command> {
        stop_commands(report, |job| self.cancelled.contains_key(&job))
    }
}
