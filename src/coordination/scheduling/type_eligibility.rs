//! Which machine types the tasks of a job may use, and which types are scarce: those that are the only suitable type of
//! some job.

use crate::coordination::cluster::job::JobPhase;
use crate::coordination::scheduling::scoring::is_type_suitable;
use crate::coordination::View;
use crate::protocol::users::JobSpec;

impl View<'_> {
    /// For each machine type, whether it is scarce: it is the only suitable type of an active job, or was so earlier in
    /// this term.
    pub(crate) fn scarce_types(&self) -> Vec<bool> {
        let mut is_scarce = vec![false; self.cluster.machine_types().len()];
        for job in self
            .cluster
            .jobs()
            .values()
            .filter(|job| job.phase == JobPhase::Active)
        {
            let Some(spec) = &job.spec else { continue };
            let suitable_types: Vec<usize> = self.suitable_types(spec);
            if let [only_type] = suitable_types[..] {
                is_scarce[only_type] = true;
            }
        }
        for type_index in self.autoscaler.known_scarce_types() {
            if let Some(is_scarce) = is_scarce.get_mut(*type_index) {
                *is_scarce = true;
            }
        }
        is_scarce
    }

    /// Indices of the machine types that suit the job, whether they are scarce or not.
    pub(crate) fn suitable_types(&self, spec: &JobSpec) -> Vec<usize> {
        let machine_types = self.cluster.machine_types().iter().enumerate();
        machine_types
            .filter(|(_, machine_type)| is_type_suitable(spec, machine_type))
            .map(|(index, _)| index)
            .collect()
    }

    /// For each machine type, whether the job's tasks may be placed on hosts of it. `scarce_types` says of each type
    /// whether it is scarce.
    pub(crate) fn usable_types(&self, spec: &JobSpec, scarce_types: &[bool]) -> Vec<bool> {
        let is_usable = |type_index: usize| {
            is_type_suitable(spec, &self.cluster.machine_types()[type_index])
                && !self.must_avoid_scarce_type(spec, Some(type_index), scarce_types)
        };
        (0..self.cluster.machine_types().len())
            .map(is_usable)
            .collect()
    }

    /// Whether the job must not use the type, as the type is scarce and another suitable type is not. Without this rule
    /// the headroom score would fill the largest hosts with small tasks, and large tasks would find no room.
    pub(crate) fn must_avoid_scarce_type(
        &self,
        spec: &JobSpec,
        type_index: Option<usize>,
        scarce_types: &[bool],
    ) -> bool {
        let Some(type_index) = type_index.filter(|i| scarce_types.get(*i) == Some(&true)) else {
            return false;
        };
        // Services are exempt: they take few resources and cannot wait.
        if spec.is_service() {
            return false;
        }
        self.suitable_types(spec)
            .iter()
            .any(|index| *index != type_index && scarce_types.get(*index) == Some(&false))
    }

    /// For each machine type, whether the job's tasks may use it if scarce types are allowed too; `None` if that allows
    /// no more types. Scarce types are allowed only if the job meets its deadline when it starts now, but not when it
    /// waits for a new host of a usable type. A scarce type stays denied if it is the only suitable type of another job
    /// that waits and has the same or a higher priority, or has waited for too long.
    pub(crate) fn overflow_types(
        &self,
        spec: &JobSpec,
        usable_types: &[bool],
        run_s: f64,
        time_to_deadline_s: Option<f64>,
    ) -> Option<Vec<bool>> {
        let time_to_deadline_s = time_to_deadline_s?;
        let needs_overflow = run_s <= time_to_deadline_s
            && self.min_startup_delay_s(spec, usable_types) + run_s > time_to_deadline_s;
        if !needs_overflow {
            return None;
        }
        // Twice `starve_after_s`, as in the queue order, where late jobs no longer yield after that time.
        let max_wait_ms = self.policy.tuning.starvation_threshold_s * 2000.0;
        let outranks_dependents = |type_index: usize| {
            let mut waiting_jobs = self
                .cluster
                .jobs()
                .values()
                .filter(|job| job.waiting_count() > 0);
            waiting_jobs.all(|job| {
                let has_waited_too_long =
                    self.clock.wall_clock_ms.saturating_sub(job.submitted_at_ms) as f64
                        >= max_wait_ms;
                let other_spec = job.spec.as_ref();
                other_spec.is_none_or(|other| {
                    other.priority > spec.priority && !has_waited_too_long
                        || self.suitable_types(other) != [type_index]
                })
            })
        };
        let may_use = |type_index: usize| {
            usable_types[type_index]
                || is_type_suitable(spec, &self.cluster.machine_types()[type_index])
                    && outranks_dependents(type_index)
        };
        let overflow_types: Vec<bool> = (0..self.cluster.machine_types().len())
            .map(may_use)
            .collect();
        (overflow_types != usable_types).then_some(overflow_types)
    }
}
