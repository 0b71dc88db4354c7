//! The users of the simulated world, and the troubles of a case.

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::{ListenerKind, Request, Response};
use std::collections::BTreeMap;

use super::checker::{AnsweredRequest, JobAnswer, Observation, RequestKind};
use super::clock::SimTime;
use super::ids::{JobId, TaskId};
use super::script::Shape;
use super::{Event, Origin, Side, World};
use lichencrank_testkit::values::{map, text};

pub enum Step {
    Ask {
        job: u64,
        asked: RequestKind,
        node: Option<usize>,
        /// When it was first asked; `None` for a look that is not repeated.
        first: Option<u64>,
    },
    Told(u64, Response),
    Limit(u64),
}

struct UserRequest {
    job: u64,
    asked: RequestKind,
    node: usize,
    sent: u64,
    first: Option<u64>,
}

pub(super) struct UserJob {
    pub(super) body: Vec<u8>,
    pub(super) tasks: u32,
    pub(super) cpus: f64,
    pub(super) run_ms: u64,
    pub(super) done: u32,
    pub(super) odd: bool,
    pub(super) accepted: bool,
    pub(super) over: bool,
    pub(super) cancels: bool,
    /// Cancelled a while after it was accepted.
    pub(super) fickle: bool,
}

#[derive(Default)]
pub struct Users {
    pub(super) jobs: BTreeMap<u64, UserJob>,
    asks: BTreeMap<u64, UserRequest>,
    next_ask: u64,
    pub(super) next_job: u64,
    pub(super) looks: u64,
    pub(super) cancel_at_end: (f64, u64),
}

impl Users {
    /// What workers learn of a task: its CPUs and run time.
    pub fn lookup(&self, task: &str) -> Option<(f64, u64)> {
        let TaskId { job, index } = TaskId::parse(task)?;
        let job = self.jobs.get(&job.0);
        let job = job.filter(|j| !j.odd && index < j.tasks)?;
        Some((job.cpus, job.run_ms))
    }
}

const SUBMIT_MS: u64 = 5000;
const POLL_MS: u64 = 2000;
const TRY_MS: u64 = 60_000;

pub(super) fn body(id: u64, shape: &Shape, odd: u64) -> Vec<u8> {
    let zone = shape.zone.as_deref().map_or(Value::Null, Value::from);
    let cpus = if odd == 1 { 4000.0 } else { shape.cpus };
    let mut fields = vec![
        ("ref", format!("job-{id:06}").into()),
        ("jobclass", "c".into()),
        ("crew", shape.team.as_str().into()),
        (
            "shape",
            if shape.service { "service" } else { "sweep" }.into(),
        ),
        ("urgency", shape.urgency.as_str().into()),
        ("pieces", shape.tasks.into()),
        ("cpus", cpus.into()),
        ("cards", 0.0.into()),
        ("ramGb", 1.0.into()),
        ("bundle", "img".into()),
        ("imageGb", 0.5.into()),
        ("hosttypes", Value::Null),
        ("hall", zone),
        ("samePlace", shape.one_zone.into()),
        ("apart", shape.spread.into()),
        ("loaners", (!shape.ordinary).into()),
        (
            "guessS",
            if shape.service {
                0.0
            } else {
                shape.run_ms as f64 / 1000.0
            }
            .into(),
        ),
        ("snapshotS", 0.0.into()),
        ("stashS", 0.0.into()),
        ("dueS", Value::Null),
    ];
    if odd == 2 {
        fields.retain(|(name, _)| *name != "pieces");
    }
    encode(&map(fields))
}

impl World {
    pub(super) fn user(&mut self, step: Step) {
        match step {
            Step::Ask {
                job,
                asked,
                node,
                first,
            } => self.ask(job, asked, node, first),
            Step::Told(ask, response) => self.told(ask, Some(response)),
            Step::Limit(ask) => self.told(ask, None),
        }
    }

    pub(super) fn user_at(
        &mut self,
        time: u64,
        job: u64,
        asked: RequestKind,
        node: Option<usize>,
        again: bool,
    ) {
        let first = again.then_some(time);
        let step = Step::Ask {
            job,
            asked,
            node,
            first,
        };
        self.at(time, Event::User(step));
    }

    /// The balancer: some node that accepts connections.
    fn some_node(&mut self) -> Option<usize> {
        let now = self.now();
        let fit: Vec<usize> = (0..self.slots.len())
            .filter(|n| {
                let slot = &self.slots[*n];
                let reached = self.passes(*n, Side::Users, None, now).is_some();
                slot.node.is_some() && now >= slot.halted && reached
            })
            .collect();
        let at = self.random.usize(0..fit.len().max(1));
        fit.get(at).copied()
    }

    fn ask(&mut self, job: u64, asked: RequestKind, node: Option<usize>, first: Option<u64>) {
        let now = self.now();
        let some = self.some_node();
        let Some(user_job) = self.users.jobs.get_mut(&job) else {
            return;
        };
        let body = user_job.body.clone();
        if asked == RequestKind::Cancel && !user_job.cancels {
            user_job.cancels = true;
            self.observe(Observation::CancellationRequested(JobId(job)));
            if self.checker.running_task_count(JobId(job)) > 0 {
                self.mark("running-cancelled");
            }
        }
        let name = format!("job-{job:06}");
        let (method, target, body) = match asked {
            RequestKind::Submit => ("POST", "/api/jobs".to_owned(), body),
            RequestKind::Poll => ("GET", format!("/api/jobs/{name}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/api/jobs/{name}/withdraw"), Vec::new()),
        };
        let request = Request {
            method: method.into(),
            target,
            body,
            close: false,
        };
        self.users.next_ask += 1;
        let id = self.users.next_ask;
        let to = node.or(some);
        let limit = if asked == RequestKind::Poll {
            POLL_MS
        } else {
            SUBMIT_MS
        };
        self.users.asks.insert(
            id,
            UserRequest {
                job,
                asked,
                node: to.unwrap_or(0),
                sent: now,
                first,
            },
        );
        self.at(now + limit, Event::User(Step::Limit(id)));
        let Some(to) = to else { return };
        let when = now + self.latency();
        if let Some(arrives) = self.passes(to, Side::Users, None, when) {
            self.at(
                arrives,
                Event::AtNode(to, ListenerKind::Public, Origin::User(id), request),
            );
        }
    }

    fn told(&mut self, id: u64, response: Option<Response>) {
        let now = self.now();
        let Some(ask) = self.users.asks.remove(&id) else {
            return;
        };
        let status = response.as_ref().map_or(0, |r| r.status);
        let retry_after = response.as_ref().and_then(|r| r.retry_after).unwrap_or(1);
        let body: Option<Value> = response.and_then(|r| decode(&r.body).ok());
        let state = body.map_or(String::new(), |b| text(&b, "status"));
        let said = match (status, state.as_str()) {
            (200 | 201, "queued" | "running") => JobAnswer::Open,
            (200, "done") => JobAnswer::Done,
            (200, "cancelled") => JobAnswer::Cancelled,
            (404, _) => JobAnswer::Unknown,
            (400 | 422, _) => JobAnswer::Rejected,
            _ => JobAnswer::Unanswered,
        };
        let (job, asked, node) = (ask.job, ask.asked, ask.node);
        if said != JobAnswer::Unanswered || asked != RequestKind::Poll {
            self.note(format!(
                "job {job}: node {node} to {asked:?}: {status} {state}"
            ));
        }
        let running = self.checker.running_task_count(JobId(job));
        self.observe(Observation::RequestAnswered(AnsweredRequest {
            job: JobId(job),
            kind: asked,
            sent_at: SimTime::from_millis(ask.sent),
            answer: said,
        }));
        if said == JobAnswer::Rejected {
            self.mark("refused");
        }
        if said == JobAnswer::Unanswered {
            self.mark("unanswered");
            if asked == RequestKind::Cancel {
                self.mark("unconfirmed");
            }
        }
        let Some(user_job) = self.users.jobs.get_mut(&job) else {
            return;
        };
        let accepted = said.is_acceptance();
        let newly = accepted && !user_job.accepted;
        let over = said.is_final() && !user_job.over;
        user_job.accepted |= accepted;
        user_job.over |= over;
        let fickle = user_job.fickle && !user_job.cancels;
        let is_over = user_job.over;
        if newly {
            let poll_at = now + self.random.u64(1000..5000);
            self.user_at(poll_at, job, RequestKind::Poll, None, true);
            if fickle {
                let cancel_at = now + self.random.u64(0..8000);
                self.user_at(cancel_at, job, RequestKind::Cancel, None, true);
            }
        }
        if over {
            if said == JobAnswer::Cancelled {
                self.confirmer = Some(node);
                self.mark("confirmed");
                if running > 0 {
                    self.mark("confirmed-while-running");
                }
                if Some(node) != self.leader {
                    self.mark("confirmed-by-another");
                }
            } else {
                self.mark("done");
            }
        }
        if newly || over {
            self.look_closely(job);
        }
        let Some(first) = ask.first else { return };
        match asked {
            RequestKind::Poll => {
                let pause = if is_over { 20_000 } else { 5000 };
                let next = now + pause + self.random.u64(0..1000);
                self.user_at(next, job, RequestKind::Poll, None, true);
            }
            _ if said != JobAnswer::Unanswered && said != JobAnswer::Unknown => {}
            // Called off without end, as only that makes it sure.
            RequestKind::Submit if now > first + TRY_MS => {}
            RequestKind::Submit | RequestKind::Cancel => {
                let step = Step::Ask {
                    job,
                    asked,
                    node: None,
                    first: Some(first),
                };
                let again = now + 1000 * u64::from(retry_after.clamp(1, 30));
                self.at(again, Event::User(step));
            }
        }
    }

    /// Users ask at all nodes within milliseconds, and repeat the submission.
    fn look_closely(&mut self, job: u64) {
        let now = self.now();
        if now >= self.users.looks {
            return;
        }
        self.mark("close-look");
        for node in 0..self.slots.len() {
            for _ in 0..3 {
                let when = now + 1 + self.random.u64(0..25);
                self.user_at(when, job, RequestKind::Poll, Some(node), false);
            }
            let when = now + 1 + self.random.u64(0..25);
            self.user_at(when, job, RequestKind::Submit, Some(node), false);
        }
        if self.random.f64() < 0.2 {
            let when = now + self.random.u64(0..20);
            self.user_at(when, job, RequestKind::Cancel, None, true);
        }
    }

    pub(super) fn task_done(&mut self, job: JobId) {
        let now = self.now();
        if self.checker.is_service(job) {
            // A replica that ended runs again.
            return self.mark("replica-ended");
        }
        let job = job.0;
        let Some(user_job) = self.users.jobs.get_mut(&job) else {
            return;
        };
        user_job.done += 1;
        if user_job.done < user_job.tasks {
            return;
        }
        self.mark("last-task-done");
        if self.chance(self.users.cancel_at_end) {
            self.mark("cancelled-at-its-end");
            let when = now + self.random.u64(0..300);
            self.user_at(when, job, RequestKind::Cancel, None, true);
            self.user_at(when, job, RequestKind::Submit, None, false);
            self.user_at(when + 3, job, RequestKind::Poll, None, false);
        }
    }
}
