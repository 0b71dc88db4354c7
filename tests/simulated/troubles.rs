//! What scenarios bring about: jobs, and the troubles of controllers, machines and other services.

use super::checker::{JobSpec, Observation, RequestKind};
use super::ids::JobId;
use super::script::{Deed, Ill, Shape, Who};
use super::users::{body, UserJob};
use super::{Bucket, Cut, Limits, World};

impl World {
    /// Does what a line of a scenario says.
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
            Deed::Embed(demand) => {
                self.embedder = Some(super::embedder::Embedder::new(demand));
            }
            Deed::Odd(count) => self.submit_odd(count),
            Deed::Cancel {
                count,
                through,
                any,
                hang_ms,
            } => self.cancel(count, through, any, hang_ms),
            Deed::Looks(for_ms) => self.users.looks = now + for_ms,
            Deed::CancelAtEnd(share, for_ms) => self.users.cancel_at_end = (share, now + for_ms),
            Deed::EndReplicas(share, fails) => self.end_replicas(share, fails),
            Deed::Machines {
                ill,
                share,
                zone,
                for_ms,
            } => self.machines_ail(ill, share, zone.as_deref(), now + for_ms),
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
            Deed::Upgrade(every_ms, order) => self.schedule_upgrade(every_ms, &order),
            Deed::RollBack(every_ms) => self.schedule_roll_back(every_ms),
            other => self.begin_trouble(other),
        }
    }

    /// A trouble of the network, the state service or the cloud that lasts for a while.
    fn begin_trouble(&mut self, deed: Deed) {
        let now = self.now();
        match deed {
            Deed::Refuse(who, for_ms) => {
                for node in self.nodes(who) {
                    self.troubles.refused.push((node, now + for_ms));
                }
            }
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
            Deed::Outage(for_ms) => self.troubles.outage = now + for_ms,
            Deed::Slow(most, for_ms) => self.troubles.slow = (most, now + for_ms),
            Deed::LostAnswers(share, for_ms) => {
                self.troubles.lost_answers = (share, now + for_ms);
            }
            Deed::LateWrites(share, for_ms) => self.troubles.late_writes = (share, now + for_ms),
            Deed::LimitsFall => self.limits_fall(),
            Deed::LateReports(share, for_ms) => {
                self.troubles.late_reports = (share, now + for_ms);
            }
            Deed::KeepReports(for_ms) => self.troubles.reports_for_next = now + for_ms,
            Deed::CloudAway(for_ms) => self.troubles.cloud_away = now + for_ms,
            Deed::Boot(boot_ms) => self.cloud.boot_ms = Some(boot_ms),
            Deed::ZonesApart(for_ms) => self.troubles.zones_apart = now + for_ms,
            Deed::ZoneCut(zone, for_ms) => {
                let in_zone = self.workers.values().filter(|w| w.zone == zone);
                self.checker.observe_isolation(in_zone.count());
                self.troubles.zone_cut = (zone, now + for_ms);
                self.troubles.zone_cut_at = now;
            }
            other => unreachable!("{other:?} is no trouble that lasts"),
        }
    }

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
        let spec = JobSpec {
            team: shape.team.clone(),
            task_count: shape.tasks,
            cpus_per_task: shape.cpus,
            zone: shape.zone.clone(),
            single_zone: shape.one_zone,
            spread_over_zones: shape.spread,
            allows_spot: !shape.ordinary,
            is_service: shape.service,
            replicas_keep_ending: shape.replicas_end_ms.is_some(),
            is_invalid: odd > 0,
            is_urgent: matches!(shape.urgency.as_str(), "high" | "critical"),
        };
        let job = JobId(id);
        self.observe(Observation::JobPlanned { job, spec });
        self.user_at(at, id, RequestKind::Submit, None, true);
    }

    /// Jobs that fit no machine or lack a field; repeats of all others; cancellations of those that
    /// are over.
    fn submit_odd(&mut self, count: u64) {
        let now = self.now();
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
                self.user_at(now + 10, id, RequestKind::Submit, None, false);
            }
            if self.users.jobs[&id].over {
                self.user_at(now + 20, id, RequestKind::Cancel, None, false);
            }
        }
    }

    fn end_replicas(&mut self, share: f64, fails: bool) {
        let now = self.now();
        let why = if fails { "error" } else { "done" };
        for worker in self.workers.values_mut() {
            let ended = worker.end_replicas(why, share, &mut self.random);
            for _ in 0..ended {
                self.marks.entry("replica-ended").or_default().push(now);
            }
        }
    }

    fn limits_fall(&mut self) {
        if let Some((kb, txn_ops, rps)) = self.site.next {
            self.state.limits = Limits {
                value_bytes: (kb * 1024.0) as usize,
                txn_ops,
            };
            self.writes = Bucket::new(rps);
        }
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
            .filter(|id| any || self.checker.running_task_count(JobId(*id)) > 0)
            .collect();
        self.random.shuffle(&mut running);
        for id in running.into_iter().take(count) {
            let node = self.nodes(through).first().copied();
            let when = now + self.random.u64(0..200);
            self.user_at(when, id, RequestKind::Cancel, node, true);
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
