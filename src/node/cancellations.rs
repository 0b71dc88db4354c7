//! A cancellation is told to a user only once it can't be undone by whatever happens next: either no
//! task of the job is booked any more, or the leader in office knows of it and is the only one whom the
//! workers that hold its tasks still obey. Whoever leads later reads it from the records.
//!
//! Without that, a node could confirm a cancellation and end before it told anybody; the leader, whom
//! the state service alone did not answer, would keep the tasks going all through an outage.

use std::time::Duration;

use super::{Node, MAX_TOLD};
use crate::protocol::peers::{self, Cancelled, Secured};
use crate::protocol::workers::{stops, Order, Report};
use crate::transport::{CallError, Network, Response};
use crate::types::JobId;

/// Users wait for it; who can't be told by then is told to come back.
const SECURE_LIMIT: Duration = Duration::from_millis(900);
/// Cancellations in one question to the leader.
const MAX_SECURED: usize = 500;

impl<N: Network> Node<N> {
    /// The latest cancellations, with what is left of their time: it only gets less on its way from
    /// node to node, so that none goes round for ever.
    pub(super) fn cancelled_to_tell(&self) -> Vec<(u64, u32)> {
        let now = self.net.now();
        let mut latest: Vec<(u64, u32)> = self
            .cancelled
            .iter()
            .map(|(job, until)| (job.0, until.since(now).as_millis() as u32))
            .collect();
        latest.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        latest.truncate(MAX_TOLD);
        latest
    }

    /// Notes that a job is cancelled; its tasks are stopped if this node leads.
    pub(super) fn on_cancelled(&mut self, job: JobId, left: Duration) {
        let now = self.net.now();
        let until = now.after(left);
        let known = self.cancelled.entry(job).or_insert(until);
        *known = until.max(*known);
        if let Some(office) = &mut self.office {
            office.controller.on_cancelled(job, now);
        }
    }

    /// Asks the leader whether it has the cancellation in hand.
    pub(super) fn secure(&mut self, job: JobId) {
        if self.office.is_some() {
            let secured = self.has_in_hand(job);
            let now = self.net.now();
            return self.front.on_secured(job, secured, now);
        }
        self.to_secure.insert(job);
        self.ask_to_secure();
    }

    fn ask_to_secure(&mut self) {
        if self.securing.is_some() || self.to_secure.is_empty() {
            return;
        }
        let mut jobs = std::mem::take(&mut self.to_secure);
        if jobs.len() > MAX_SECURED {
            let middle = jobs.iter().nth(MAX_SECURED).copied();
            self.to_secure = middle.map(|m| jobs.split_off(&m)).unwrap_or_default();
        }
        let leader = self.leadership.leader.as_deref();
        let peer = self
            .settings
            .peers
            .iter()
            .find(|p| Some(p.name.as_str()) == leader);
        let Some(peer) = peer else {
            let now = self.net.now();
            for job in jobs {
                self.front.on_secured(job, false, now);
            }
            return;
        };
        let jobs: Vec<JobId> = jobs.into_iter().collect();
        let body = peers::encode(&Cancelled {
            jobs: jobs.iter().map(|j| j.0).collect(),
        });
        let call = self
            .net
            .call(peer.addr, "POST", peers::CANCELLED, &body, SECURE_LIMIT);
        self.securing = Some((call, jobs));
    }

    pub(super) fn on_secured(&mut self, result: Result<Response, CallError>) {
        let Some((_, jobs)) = self.securing.take() else {
            return;
        };
        let now = self.net.now();
        let answer = result.ok().filter(|r| r.status == 200);
        let secured = answer.and_then(|r| peers::decode::<Secured>(&r.body));
        let secured = secured.map_or(Vec::new(), |s| s.jobs);
        for job in jobs {
            let known = secured.contains(&job.0);
            self.front.on_secured(job, known, now);
        }
        self.ask_to_secure();
    }

    /// Another node has found these jobs cancelled in the records.
    pub(super) fn on_told_cancelled(&mut self, body: &[u8]) -> Response {
        let Some(told) = peers::decode::<Cancelled>(body) else {
            return Response::new(400, Vec::new());
        };
        let jobs = told.jobs.into_iter();
        let jobs = jobs.filter(|job| self.has_in_hand(JobId(*job))).collect();
        Response::new(200, peers::encode(&Secured { jobs }))
    }

    /// Whether this node leads, surely so at this moment, and what it says of the cancelled job's tasks
    /// is all that is said to their workers. They are stopped in any case.
    fn has_in_hand(&mut self, job: JobId) -> bool {
        let now = self.net.now();
        let certain = self.leadership.is_certain(now);
        let Some(office) = &mut self.office else {
            return false;
        };
        office.controller.on_cancelled(job, now);
        certain && office.has_loaded() && office.controller.alone_commands(job)
    }

    /// Stops for what the report shows of jobs that are known to be cancelled.
    pub(super) fn stops_of_cancelled(&self, report: &Report) -> Vec<Order> {
        stops(report, |job| self.cancelled.contains_key(&job))
    }
}
