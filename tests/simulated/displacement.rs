//! Judges which machines of a zone that is cut off are given up: how many, and in which order. Machines
//! with cancelled work go by their own clock and are not judged.

use std::collections::{BTreeMap, BTreeSet};

use lichencrank_zones::ZoneSettings;

use super::worker::{State, Worker};
use super::{users, World};

/// What a machine of the zone held when it was given up, as its worker knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    pub urgent: usize,
    /// Urgent work that ended during the cut, of which the leader can't know.
    pub urgent_ended: usize,
    pub other: usize,
    pub cancelled: usize,
}

/// The present cut of a zone.
#[derive(Debug, Default)]
pub struct Displacement {
    /// The most machines of the zone.
    size: usize,
    given_up_at: Vec<u64>,
}

const MINUTE_MS: u64 = 60_000;
/// A healthy worker has reported by then after a cut.
const RETURNED_MS: u64 = 8_000;
/// Replicas may be given up for machines that fail by themselves meanwhile.
const SLACK: f64 = 1.0;

impl Displacement {
    /// A cut begins in a zone of so many machines.
    pub fn begin(&mut self, machines: usize) {
        self.size = self.size.max(machines);
    }

    /// A machine was given up while others of the zone stayed. The error says which rule that broke.
    pub fn given_up(
        &mut self,
        now: u64,
        host: &str,
        held: Held,
        staying: &BTreeMap<String, Held>,
        together: &BTreeSet<String>,
    ) -> Result<(), String> {
        if held.cancelled > 0 {
            return Ok(());
        }
        self.given_up_at.push(now);
        self.judge_budget(now)?;
        let waits = |(name, other): (&String, &Held)| {
            let more_urgent = other.urgent > 0 && other.cancelled == 0;
            (more_urgent && !together.contains(name)).then(|| name.clone())
        };
        if held.urgent + held.urgent_ended == 0 && held.other > 0 {
            if let Some(waiting) = staying.iter().find_map(waits) {
                return Err(format!("{host} before {waiting}, which holds urgent work"));
            }
        }
        Ok(())
    }

    /// A new leader begins with a full budget for what may go at once.
    fn judge_budget(&self, now: u64) -> Result<(), String> {
        let settings = ZoneSettings::default();
        let size = self.size as f64;
        let at_once = (size * settings.displacement_burst).max(2.0);
        let per_minute = (size * settings.displacement_per_minute).max(6.0);
        let recent = self
            .given_up_at
            .iter()
            .filter(|at| now - **at < MINUTE_MS)
            .count();
        if recent as f64 > at_once * 2.0 + per_minute + SLACK {
            return Err(format!("{recent} machines of {size} given up in a minute"));
        }
        Ok(())
    }
}

impl World {
    /// Machines that the leader returns: what it gives up of a zone that is cut off is judged.
    pub(super) fn judge_release(&mut self, names: &[String]) {
        let now = self.now();
        let (zone, cut_until) = self.troubles.zone_cut.clone();
        if (cut_until..cut_until + RETURNED_MS).contains(&now) {
            self.mark_given_up_after_return(&zone, names);
        }
        if !self.site.tracks_zones || !self.is_cut_off(&zone) {
            return;
        }
        let in_zone = self.workers.values().filter(|worker| worker.zone == zone);
        let mut held: BTreeMap<String, Held> = in_zone
            .map(|worker| (worker.name.clone(), self.held_by(worker)))
            .collect();
        let together: BTreeSet<String> = names.iter().cloned().collect();
        for name in names {
            let Some(of_host) = held.remove(name) else {
                continue;
            };
            self.mark("given-up-in-cut");
            let displacement = &mut self.troubles.displacement;
            if let Err(why) = displacement.given_up(now, name, of_host, &held, &together) {
                self.checker.breaks(now, "displacement", why);
            }
        }
    }

    /// The zone is back, and its healthy workers are about to report.
    fn mark_given_up_after_return(&mut self, zone: &str, names: &[String]) {
        let given_up = names.iter().filter(|name| {
            let worker = self.workers.get(*name).filter(|worker| worker.zone == zone);
            worker.is_some_and(|worker| {
                let held = self.held_by(worker);
                held.cancelled == 0 && held.urgent + held.other > 0
            })
        });
        for _ in 0..given_up.count() {
            self.mark("given-up-after-return");
        }
    }

    fn held_by(&self, worker: &Worker) -> Held {
        let mut held = Held::default();
        for piece in &worker.pieces {
            let Some((job, _)) = users::task_of(&piece.task) else {
                continue;
            };
            let ended = matches!(piece.state, State::Ended { .. });
            if self.checker.is_cancelled(job) {
                held.cancelled += 1;
            } else if self.checker.is_urgent(job) && ended {
                held.urgent_ended += 1;
            } else if self.checker.is_urgent(job) {
                held.urgent += 1;
            } else {
                held.other += 1;
            }
        }
        held
    }

    /// Whether nothing keeps that node from leading.
    pub(super) fn could_go_on(&self, node: usize) -> bool {
        let slot = &self.slots[node];
        let now = self.now();
        let halted = slot.halted > now;
        slot.node.is_some() && !halted && !self.is_cut_off(&slot.settings.zone)
    }
}
