//! The state, the penalty and the budgets of one zone.

use std::time::Duration;

use lichencrank_store::Time;

use crate::damping::FlapDamping;
use crate::observation::ZoneObservation;
use crate::record::ZoneRecord;
use crate::return_ramp;
use crate::settings::ZoneSettings;
use crate::state::{ZoneState, ZoneStateMachine, ZoneTransition};
use crate::token_bucket::{BucketLimits, TokenBucket};
use crate::tracker::ZoneStatus;

/// One zone, as the tracker knows it.
#[derive(Clone, Debug)]
pub(crate) struct Zone {
    state_machine: ZoneStateMachine,
    damping: FlapDamping,
    /// The last observation.
    observation: ZoneObservation,
    /// The most hosts observed since the zone was last healthy. Budgets are shares of it, so that they don't
    /// shrink while hosts are released.
    peak_host_count: usize,
    /// Hosts that may be released.
    displacement_budget: TokenBucket,
    /// New tasks that the zone takes while it returns.
    return_budget: TokenBucket,
    /// Silent hosts that waited for the displacement budget in the last displacement pass.
    waiting_hosts: usize,
}

impl Zone {
    /// A healthy zone that has not been observed yet.
    pub(crate) fn new(now: Time) -> Zone {
        Zone {
            state_machine: ZoneStateMachine::default(),
            damping: FlapDamping::default(),
            observation: ZoneObservation::default(),
            peak_host_count: 0,
            displacement_budget: TokenBucket::full(now),
            return_budget: TokenBucket::default(),
            waiting_hosts: 0,
        }
    }

    /// Restores a zone that an earlier leader recorded. `wall_clock_ms` is `now` in milliseconds since the
    /// Unix epoch.
    pub(crate) fn restore(
        record: &ZoneRecord,
        now: Time,
        wall_clock_ms: u64,
        settings: &ZoneSettings,
    ) -> Zone {
        let age_ms = wall_clock_ms.saturating_sub(record.since_ms);
        let since = Time(now.0.saturating_sub(age_ms));
        Zone {
            state_machine: ZoneStateMachine::restore(record.state, since),
            damping: FlapDamping::restore(
                record.penalty,
                record.is_suppressed,
                Duration::from_millis(age_ms),
                now,
                &settings.damping,
            ),
            peak_host_count: record.hosts as usize,
            return_budget: TokenBucket::empty(now),
            ..Zone::new(now)
        }
    }

    pub(crate) fn state(&self) -> ZoneState {
        self.state_machine.state()
    }

    /// How long the zone has been in its state.
    pub(crate) fn time_in_state(&self, now: Time) -> Duration {
        now.since(self.state_machine.since())
    }

    /// The most hosts observed since the zone was last healthy.
    pub(crate) fn peak_host_count(&self) -> usize {
        self.peak_host_count
    }

    /// Processes an observation. Returns the change of state that follows, if any.
    pub(crate) fn observe(
        &mut self,
        name: &str,
        observation: ZoneObservation,
        is_observer_isolated: bool,
        now: Time,
        settings: &ZoneSettings,
    ) -> Option<ZoneTransition> {
        self.observation = observation;
        self.damping.update(now, &settings.damping);
        if self.state() == ZoneState::Healthy {
            self.peak_host_count = 0;
        }
        self.peak_host_count = self.peak_host_count.max(observation.hosts);
        let from = self.state();
        let to = self
            .state_machine
            .next(&observation, is_observer_isolated, now, settings)?;
        self.enter(to, now, settings);
        Some(ZoneTransition {
            zone: name.to_owned(),
            from,
            to,
            observation,
        })
    }

    /// Enters a state. A loss adds to the penalty; a return begins with an empty budget for new tasks.
    fn enter(&mut self, state: ZoneState, now: Time, settings: &ZoneSettings) {
        self.state_machine.enter(state, now);
        match state {
            ZoneState::Lost => self.damping.on_loss(now, &settings.damping),
            ZoneState::Returning => self.return_budget = TokenBucket::empty(now),
            ZoneState::Healthy | ZoneState::Suspected => {}
        }
    }

    /// Begins a displacement pass, in which no host waits for the budget yet.
    pub(crate) fn begin_displacement(&mut self) {
        self.waiting_hosts = 0;
    }

    /// Whether one more silent host may be released now. If so, it is charged to the displacement budget; if
    /// only the budget forbids it, it is counted as waiting.
    pub(crate) fn try_displace(&mut self, now: Time, settings: &ZoneSettings) -> bool {
        if self.state() == ZoneState::Suspected {
            return false;
        }
        let limits = BucketLimits::for_hosts(
            self.peak_host_count,
            settings.displacement_burst,
            settings.displacement_per_minute,
        );
        if self.displacement_budget.available(now, limits) == 0 {
            self.waiting_hosts += 1;
            return false;
        }
        self.displacement_budget.take(1);
        true
    }

    /// Whether hosts may be provisioned in the zone.
    pub(crate) fn may_provision(&self) -> bool {
        !self.state().is_disrupted() && !self.damping.is_suppressed()
    }

    /// How many new tasks the zone takes now; `None` if it has no limit.
    pub(crate) fn admission_limit(&mut self, now: Time, settings: &ZoneSettings) -> Option<usize> {
        if self.damping.is_suppressed() {
            return Some(0);
        }
        if self.state() != ZoneState::Returning {
            return None;
        }
        let returning_for = self.time_in_state(now);
        let limits = return_ramp::limits(self.observation.hosts, returning_for, settings);
        Some(self.return_budget.available(now, limits))
    }

    /// Charges `count` new tasks that were placed in the zone to the return budget.
    pub(crate) fn on_placed(&mut self, count: usize) {
        self.return_budget.take(count);
    }

    pub(crate) fn status(&self, now: Time, settings: &ZoneSettings) -> ZoneStatus {
        ZoneStatus {
            state: self.state(),
            since: self.state_machine.since(),
            penalty: self.damping.penalty(now, &settings.damping),
            is_suppressed: self.damping.is_suppressed(),
            waiting_hosts: self.waiting_hosts,
        }
    }

    /// The record that is stored for the next leader. `wall_clock_ms` is `now` in milliseconds since the
    /// Unix epoch.
    pub(crate) fn to_record(
        &self,
        name: &str,
        now: Time,
        wall_clock_ms: u64,
        settings: &ZoneSettings,
    ) -> ZoneRecord {
        let since = self.state_machine.since();
        let time_in_state_ms = now.since(since).as_millis() as u64;
        ZoneRecord {
            zone: name.to_owned(),
            state: self.state(),
            since_ms: wall_clock_ms.saturating_sub(time_in_state_ms),
            penalty: self.damping.penalty(since, &settings.damping),
            is_suppressed: self.damping.is_suppressed(),
            hosts: self.observation.hosts as u64,
            silent_hosts: self.observation.silent_hosts as u64,
            waiting_hosts: self.waiting_hosts as u64,
        }
    }
}
