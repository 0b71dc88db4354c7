//! The users of the simulated world, and the troubles of a case.

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::{Door, Request, Response};
use std::collections::BTreeMap;

use super::checker::{Asked, Fact, Job, Said};
use super::script::{Deed, Ill, Shape, Who};
use super::values::{map, text};
use super::{Cut, Event, Origin, Side, World};

pub enum Step {
    Ask {
        job: u64,
        asked: Asked,
        node: Option<usize>,
        /// When it was first asked; `None` for a look that is not repeated.
        first: Option<u64>,
    },
    Told(u64, Response),
    Limit(u64),
}

struct Ask {
    job: u64,
    asked: Asked,
    node: usize,
    sent: u64,
    first: Option<u64>,
}

struct UserJob {
    body: Vec<u8>,
    tasks: u32,
    cpus: f64,
    run_ms: u64,
    done: u32,
    odd: bool,
    accepted: bool,
    over: bool,
    cancels: bool,
    /// Cancelled a while after it was accepted.
    fickle: bool,
}

#[derive(Default)]
pub struct Users {
    jobs: BTreeMap<u64, UserJob>,
    asks: BTreeMap<u64, Ask>,
    next_ask: u64,
    next_job: u64,
    looks: u64,
    cancel_at_end: (f64, u64),
}

/// The job and the task of a name such as `job-000001/2`.
pub fn task_of(name: &str) -> Option<(u64, u32)> {
    let (job, task) = name.strip_prefix("job-")?.split_once('/')?;
    Some((job.parse().ok()?, task.parse().ok()?))
}

impl Users {
    /// What workers learn of a task: its CPUs and run time.
    pub fn lookup(&self, task: &str) -> Option<(f64, u64)> {
        let (id, index) = task_of(task)?;
        let job = self.jobs.get(&id).filter(|j| !j.odd && index < j.tasks)?;
        Some((job.cpus, job.run_ms))
    }
}

const SUBMIT_MS: u64 = 5000;
const POLL_MS: u64 = 2000;
const TRY_MS: u64 = 60_000;

fn body(id: u64, shape: &Shape, odd: u64) -> Vec<u8> {
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

    fn user_at(&mut self, time: u64, job: u64, asked: Asked, node: Option<usize>, again: bool) {
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

    fn ask(&mut self, job: u64, asked: Asked, node: Option<usize>, first: Option<u64>) {
        let now = self.now();
        let some = self.some_node();
        let Some(user_job) = self.users.jobs.get_mut(&job) else {
            return;
        };
        let body = user_job.body.clone();
        if asked == Asked::Cancellation && !user_job.cancels {
            user_job.cancels = true;
            self.checker.see(now, Fact::CancelAsked(job));
            if self.checker.running(job) > 0 {
                self.mark("running-cancelled");
            }
        }
        let name = format!("job-{job:06}");
        let (method, target, body) = match asked {
            Asked::Submission => ("POST", "/api/jobs".to_owned(), body),
            Asked::Poll => ("GET", format!("/api/jobs/{name}"), Vec::new()),
            Asked::Cancellation => ("POST", format!("/api/jobs/{name}/withdraw"), Vec::new()),
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
        let limit = if asked == Asked::Poll {
            POLL_MS
        } else {
            SUBMIT_MS
        };
        self.users.asks.insert(
            id,
            Ask {
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
                Event::AtNode(to, Door::Front, Origin::User(id), request),
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
            (200 | 201, "queued" | "running") => Said::Open,
            (200, "done") => Said::Done,
            (200, "cancelled") => Said::Cancelled,
            (404, _) => Said::Unknown,
            (400 | 422, _) => Said::Refused,
            _ => Said::Nothing,
        };
        let (job, asked, node) = (ask.job, ask.asked, ask.node);
        if said != Said::Nothing || asked != Asked::Poll {
            self.note(format!(
                "job {job}: node {node} to {asked:?}: {status} {state}"
            ));
        }
        let running = self.checker.running(job);
        let sent = ask.sent;
        self.checker.see(
            now,
            Fact::Told {
                job,
                asked,
                sent,
                said,
            },
        );
        if said == Said::Refused {
            self.mark("refused");
        }
        if said == Said::Nothing {
            self.mark("unanswered");
            if asked == Asked::Cancellation {
                self.mark("unconfirmed");
            }
        }
        let Some(user_job) = self.users.jobs.get_mut(&job) else {
            return;
        };
        let accepted = matches!(said, Said::Open | Said::Done | Said::Cancelled);
        let newly = accepted && !user_job.accepted;
        let over = matches!(said, Said::Done | Said::Cancelled) && !user_job.over;
        user_job.accepted |= accepted;
        user_job.over |= over;
        let fickle = user_job.fickle && !user_job.cancels;
        let is_over = user_job.over;
        if newly {
            let poll_at = now + self.random.u64(1000..5000);
            self.user_at(poll_at, job, Asked::Poll, None, true);
            if fickle {
                let cancel_at = now + self.random.u64(0..8000);
                self.user_at(cancel_at, job, Asked::Cancellation, None, true);
            }
        }
        if over {
            if said == Said::Cancelled {
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
            Asked::Poll => {
                let pause = if is_over { 20_000 } else { 5000 };
                let next = now + pause + self.random.u64(0..1000);
                self.user_at(next, job, Asked::Poll, None, true);
            }
            _ if said != Said::Nothing && said != Said::Unknown => {}
            // Called off without end, as only that makes it sure.
            Asked::Submission if now > first + TRY_MS => {}
            Asked::Submission | Asked::Cancellation => {
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
                self.user_at(when, job, Asked::Poll, Some(node), false);
            }
            let when = now + 1 + self.random.u64(0..25);
            self.user_at(when, job, Asked::Submission, Some(node), false);
        }
        if self.random.f64() < 0.2 {
            let when = now + self.random.u64(0..20);
            self.user_at(when, job, Asked::Cancellation, None, true);
        }
    }

    pub(super) fn task_done(&mut self, job: u64) {
        let now = self.now();
        if self.checker.is_service(job) {
            // A replica that ended runs again.
            return self.mark("replica-ended");
        }
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
            self.user_at(when, job, Asked::Cancellation, None, true);
            self.user_at(when, job, Asked::Submission, None, false);
            self.user_at(when + 3, job, Asked::Poll, None, false);
        }
    }

    // ---- what cases do

    fn submit(&mut self, shape: &Shape, cancelled: f64, at: u64, odd: u64) {
        self.users.next_job += 1;
        let id = self.users.next_job;
        let fickle = self.random.f64() < cancelled;
        let run_ms = if shape.service {
            shape.replicas_end_ms.unwrap_or(u64::MAX / 4)
        } else {
            (shape.run_ms as f64 * (0.8 + 0.4 * self.random.f64())) as u64
        };
        let job = UserJob {
            body: body(id, shape, odd),
            tasks: shape.tasks,
            cpus: shape.cpus,
            run_ms,
            done: 0,
            odd: odd > 0,
            accepted: false,
            over: false,
            cancels: false,
            fickle,
        };
        self.users.jobs.insert(id, job);
        let now = self.now();
        let known = Job {
            team: shape.team.clone(),
            tasks: shape.tasks,
            cpus: shape.cpus,
            zone: shape.zone.clone(),
            one_zone: shape.one_zone,
            spread: shape.spread,
            spot: !shape.ordinary,
            service: shape.service,
            ends_everywhere: shape.replicas_end_ms.is_some(),
            odd: odd > 0,
        };
        self.checker.see(now, Fact::Submitted(id, known));
        self.user_at(at, id, Asked::Submission, None, true);
    }

    fn nodes(&mut self, who: Who) -> Vec<usize> {
        let leader = self.leader.unwrap_or(0);
        let others: Vec<usize> = (0..self.slots.len()).filter(|n| *n != leader).collect();
        match who {
            Who::Leader => vec![leader],
            Who::Other => {
                let at = self.random.usize(0..others.len().max(1));
                others.get(at).copied().into_iter().collect()
            }
            Who::Others => others,
            Who::Confirmer => self.confirmer.into_iter().collect(),
            Who::All => (0..self.slots.len()).collect(),
        }
    }

    fn cancel(&mut self, count: usize, through: Who, any: bool, hang_ms: u64) {
        let now = self.now();
        let open = self
            .users
            .jobs
            .iter()
            .filter(|(_, j)| !j.cancels && !j.over);
        let ids: Vec<u64> = open.map(|(id, _)| *id).collect();
        let mut running: Vec<u64> = ids
            .into_iter()
            .filter(|id| any || self.checker.running(*id) > 0)
            .collect();
        self.random.shuffle(&mut running);
        for id in running.into_iter().take(count) {
            let node = self.nodes(through).first().copied();
            let when = now + self.random.u64(0..200);
            self.user_at(when, id, Asked::Cancellation, node, true);
            if hang_ms > 0 {
                let prefix = format!("job-{id:06}/");
                let holds = |p: &super::worker::Piece| p.task.starts_with(&prefix);
                let hosts = self.workers.values_mut();
                for host in hosts.filter(|w| w.pieces.iter().any(holds)) {
                    host.hangs = now + hang_ms;
                }
            }
        }
    }

    pub(super) fn carry_out(&mut self, deed: Deed) {
        let now = self.now();
        match deed {
            Deed::Submit {
                count,
                every_ms,
                shape,
                cancelled,
            } => {
                for n in 0..count {
                    let at = now + n * every_ms + self.random.u64(0..100);
                    self.submit(&shape, cancelled, at, 0);
                }
            }
            Deed::Odd(count) => {
                let shape = Shape {
                    tasks: 1,
                    cpus: 1.0,
                    run_ms: 1000,
                    team: "t1".into(),
                    urgency: "normal".into(),
                    zone: None,
                    one_zone: false,
                    spread: false,
                    service: false,
                    replicas_end_ms: None,
                    ordinary: false,
                };
                for n in 0..count {
                    self.submit(&shape, 0.0, now + n * 50, 1 + n % 2);
                }
                let open: Vec<u64> = self.users.jobs.keys().copied().collect();
                for id in open {
                    let job = &self.users.jobs[&id];
                    if !job.odd && job.accepted {
                        self.user_at(now + 10, id, Asked::Submission, None, false);
                    }
                    if self.users.jobs[&id].over {
                        self.user_at(now + 20, id, Asked::Cancellation, None, false);
                    }
                }
            }
            Deed::Cancel {
                count,
                through,
                any,
                hang_ms,
            } => self.cancel(count, through, any, hang_ms),
            Deed::Refuse(who, for_ms) => {
                for node in self.nodes(who) {
                    self.troubles.refused.push((node, now + for_ms));
                }
            }
            Deed::Outage(for_ms) => self.troubles.outage = now + for_ms,
            Deed::Slow(most, for_ms) => self.troubles.slow = (most, now + for_ms),
            Deed::LostAnswers(share, for_ms) => {
                self.troubles.lost_answers = (share, now + for_ms);
            }
            Deed::LateWrites(share, for_ms) => self.troubles.late_writes = (share, now + for_ms),
            Deed::Cut {
                who,
                sides,
                for_ms,
                holds,
            } => {
                for node in self.nodes(who) {
                    let (sides, until) = (sides.clone(), now + for_ms);
                    self.troubles.cuts.push(Cut {
                        node,
                        sides,
                        until,
                        holds,
                    });
                }
            }
            Deed::Kill(who, back) => {
                for node in self.nodes(who) {
                    self.kill(node, Some(back));
                }
            }
            Deed::Halt(who, for_ms) => {
                for node in self.nodes(who) {
                    self.slots[node].halted = now + for_ms;
                }
            }
            Deed::CloudAway(for_ms) => self.troubles.cloud_away = now + for_ms,
            Deed::Machines {
                ill,
                share,
                zone,
                for_ms,
            } => self.machines_ail(ill, share, zone.as_deref(), now + for_ms),
            Deed::LateReports(share, for_ms) => {
                self.troubles.late_reports = (share, now + for_ms);
            }
            Deed::KeepReports(for_ms) => self.troubles.reports_for_next = now + for_ms,
            Deed::Upgrade(every_ms, order) => self.schedule_upgrade(every_ms, &order),
            Deed::RollBack(every_ms) => self.schedule_roll_back(every_ms),
            Deed::LimitsFall => {
                if let Some((kb, txn_ops, rps)) = self.site.next {
                    let value_bytes = (kb * 1024.0) as usize;
                    self.state.limits = super::Limits {
                        value_bytes,
                        txn_ops,
                    };
                    self.writes = super::Bucket::new(rps);
                }
            }
            Deed::EndReplicas(share, fails) => {
                let why = if fails { "error" } else { "done" };
                for worker in self.workers.values_mut() {
                    let ended = worker.end_replicas(why, share, &mut self.random);
                    for _ in 0..ended {
                        self.marks.entry("replica-ended").or_default().push(now);
                    }
                }
            }
            Deed::Looks(for_ms) => self.users.looks = now + for_ms,
            Deed::CancelAtEnd(share, for_ms) => self.users.cancel_at_end = (share, now + for_ms),
            Deed::Boot(boot_ms) => self.cloud.boot_ms = Some(boot_ms),
            Deed::ZonesApart(for_ms) => self.troubles.zones_apart = now + for_ms,
            Deed::ZoneCut(zone, for_ms) => self.troubles.zone_cut = (zone, now + for_ms),
        }
    }

    fn machines_ail(&mut self, ill: Ill, share: f64, zone: Option<&str>, until: u64) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            if zone.is_some_and(|z| z != worker.zone) || self.random.f64() >= share {
                continue;
            }
            match ill {
                Ill::Hang => worker.hangs = until,
                Ill::Deaf => worker.deaf = until,
                Ill::Mute => worker.mute = until,
                Ill::Cut => worker.cut = until,
                Ill::Die => self.gone(&name),
                Ill::Notice => {
                    worker.give_notice(until);
                    self.mark("notice");
                }
                Ill::Sick => worker.sick = until,
            }
        }
    }
}
