//! What the leader tells of itself: to the node, about which machines it hears, and to the log.

use super::*;

/// How many machines the leader hears.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reach {
    /// Machines that reported lately.
    pub heard: usize,
    /// Machines that are up or silent.
    pub known: usize,
    /// The zone that holds the most machines.
    pub home: Option<String>,
}

impl Reach {
    /// More than half of the machines are out of earshot.
    pub fn is_cut_off(&self) -> bool {
        self.known >= 3 && self.heard * 2 < self.known
    }
}

impl Controller {
    /// How many of the machines that were up this leader still hears, and where most of them are.
    pub fn reach(&self, now: Time) -> Reach {
        let late = self.rules.report.mul_f64(zones::LATE_FACTOR);
        let mut reach = Reach::default();
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for host in self.hosts.values() {
            if host.zone.is_empty()
                || !matches!(host.lifecycle, HostLifecycle::Up | HostLifecycle::Silent)
            {
                continue;
            }
            reach.known += 1;
            reach.heard += usize::from(now.since(host.heard_at) <= late);
            *zones.entry(&host.zone).or_default() += 1;
        }
        reach.home = zones
            .iter()
            .max_by_key(|(_, count)| **count)
            .map(|(zone, _)| (*zone).to_owned());
        reach
    }

    /// Which job has waited the longest for its first start, and why, for operators.
    pub fn longest_wait(&self, now: Time) -> Option<String> {
        let unbegun = |j: &&Job| j.waiting() > 0 && j.booked == 0 && j.done == 0;
        let job = self.jobs.values().filter(unbegun).min_by_key(|j| j.at_ms)?;
        let spec = job.spec.as_ref()?;
        let waited = self.day_ms.saturating_sub(job.at_ms) / 1000;
        let why = if !self.may_act(now) {
            "the state service does not answer here".to_owned()
        } else if matches!(self.phase, Phase::Loading | Phase::Gathering { .. }) {
            "a new leader is making its picture".to_owned()
        } else if job.suspect() || now < job.not_before {
            format!("it failed {} times", job.failures)
        } else if self.team_room(job) == 0 {
            format!("{} is at its limit", job.team)
        } else if self.batcher.urgent() >= self.rules.records {
            format!("{} records wait to be written", self.batcher.urgent())
        } else {
            let suits = |h: &&Host| {
                let kind = h.kind.and_then(|k| self.types.get(k));
                kind.is_some_and(|t| scoring::type_suits(spec, t)) && (spec.spot || !h.spot)
            };
            let count = |life| {
                let hosts = self.hosts.values().filter(suits);
                hosts.filter(|h| h.lifecycle == life).count()
            };
            let (up, expected) = (count(HostLifecycle::Up), count(HostLifecycle::Expected));
            format!("no room on {up} machines that suit it, {expected} more expected")
        };
        Some(format!("{} waits for {waited} s: {why}", job.id))
    }

    /// A line for the log that tells operators how things stand.
    pub fn summary(&self) -> String {
        let count = |life| self.hosts.values().filter(|h| h.lifecycle == life).count();
        let waiting: u64 = self.jobs.values().map(|j| u64::from(j.waiting())).sum();
        let booked: usize = self.hosts.values().map(|h| h.bookings.len()).sum();
        let fetching: usize = self
            .hosts
            .values()
            .map(|h| h.bookings.values().filter(|b| b.started.is_none()).count())
            .sum();
        let (mut used, mut closed, mut all) = (0.0, 0.0, 0.0);
        for host in self
            .hosts
            .values()
            .filter(|h| h.lifecycle == HostLifecycle::Up)
        {
            let cpus = host
                .kind
                .and_then(|k| self.types.get(k))
                .map_or(0.0, |t| t.cpus.0);
            used += host.used.cpus;
            all += cpus;
            if host.cordon.is_some() {
                closed += cpus - host.used.cpus;
            }
        }
        format!(
            "{} jobs, {waiting} tasks waiting, {booked} booked, {fetching} of them not started; {used} of {all} CPUs used, {closed} closed; machines: {} up, {} expected, {} silent, {} returning",
            self.jobs.len(),
            count(HostLifecycle::Up),
            count(HostLifecycle::Expected),
            count(HostLifecycle::Silent),
            count(HostLifecycle::Releasing),
        )
    }
}
