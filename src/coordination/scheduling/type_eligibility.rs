//! Which machine types the tasks of a job may use, with regard to work that has no other type.

use crate::coordination::cluster::job::JobPhase;
use crate::coordination::scheduling::scoring::is_type_suitable;
use crate::coordination::View;
use crate::protocol::users::JobSpec;

impl View<'_> {
    /// Types that some waiting or running work needs because no other type fits it.
    pub(crate) fn scarce_types(&self) -> Vec<bool> {
        let mut scarce = vec![false; self.cluster.machine_types().len()];
        for job in self
            .cluster
            .jobs()
            .values()
            .filter(|j| j.phase == JobPhase::Active)
        {
            let Some(spec) = &job.spec else { continue };
            let suited: Vec<usize> = self.suitable_types(spec);
            if let [only] = suited[..] {
                scarce[only] = true;
            }
        }
        for only in self.autoscaler.known_scarce_types() {
            if let Some(s) = scarce.get_mut(*only) {
                *s = true;
            }
        }
        scarce
    }

    pub(crate) fn suitable_types(&self, spec: &JobSpec) -> Vec<usize> {
        let all = self.cluster.machine_types().iter().enumerate();
        all.filter(|(_, t)| is_type_suitable(spec, t))
            .map(|(i, _)| i)
            .collect()
    }

    /// For each machine type, whether the job's tasks may go there.
    pub(crate) fn usable_types(&self, spec: &JobSpec, scarce: &[bool]) -> Vec<bool> {
        let suits = |kind: usize| {
            is_type_suitable(spec, &self.cluster.machine_types()[kind])
                && !self.must_avoid_scarce_type(spec, Some(kind), scarce)
        };
        (0..self.cluster.machine_types().len()).map(suits).collect()
    }

    /// The exception to eligibility: work that fits another type stays off a type that other work
    /// can't do without, as headroom would otherwise fill the large machines with small tasks.
    pub(crate) fn must_avoid_scarce_type(
        &self,
        spec: &JobSpec,
        kind: Option<usize>,
        scarce: &[bool],
    ) -> bool {
        let Some(kind) = kind.filter(|k| scarce.get(*k) == Some(&true)) else {
            return false;
        };
        // A service takes little and can't wait.
        if spec.is_service() {
            return false;
        }
        self.suitable_types(spec)
            .iter()
            .any(|k| *k != kind && scarce.get(*k) == Some(&false))
    }

    /// All kinds that suit urgent work, if that is the only way to its deadline: it would be late if
    /// it waited for another machine of its own kinds, and is in time if it starts now. Work that has
    /// no other kind keeps what is scarce if it has the same or a higher priority, or has waited
    /// for too long.
    pub(crate) fn overflow_types(
        &self,
        spec: &JobSpec,
        usable: &[bool],
        run: f64,
        due_in: Option<f64>,
    ) -> Option<Vec<bool>> {
        let due_in = due_in?;
        let hurried = run <= due_in && self.min_startup_delay_s(spec, usable) + run > due_in;
        if !hurried {
            return None;
        }
        // As with late work, which gives way no longer after twice that time.
        let starve_after_ms = self.policy.tuning.starve_after_s * 2000.0;
        let outranks = |kind: usize| {
            let mut others = self
                .cluster
                .jobs()
                .values()
                .filter(|j| j.waiting_count() > 0);
            others.all(|j| {
                let starves = self.clock.wall_clock_ms.saturating_sub(j.submitted_at_ms) as f64
                    >= starve_after_ms;
                let other = j.spec.as_ref();
                other.is_none_or(|o| {
                    o.priority > spec.priority && !starves || self.suitable_types(o) != [kind]
                })
            })
        };
        let more = |kind: usize| {
            usable[kind]
                || is_type_suitable(spec, &self.cluster.machine_types()[kind]) && outranks(kind)
        };
        let more: Vec<bool> = (0..self.cluster.machine_types().len()).map(more).collect();
        (more != usable).then_some(more)
    }
}
