//! Placement: a pass over the waiting tasks in queue order that allocates each to the eligible host with the highest
//! weighted headroom score. Hosts without another task of the job are preferred; ties go to the first name.

use std::time::Duration;

use super::candidates::CandidateHost;
use super::job_placement::{is_zone_allowed, JobPlacement, NextStep, PlacementPass};
use super::ranking::JobRank;
use super::scoring::capacity;
use crate::coordination::cluster::host::{Host, Reachability};
use crate::coordination::{Leader, View};
use crate::types::{TaskId, Time};

/// The most tasks that one pass allocates, which bounds the duration of a pass; the others wait for the next pass.
const MAX_ALLOCATIONS_PER_PASS: u64 = 400;
/// A job that has waited this long since its submission may have a surplus host uncordoned for itself.
const UNCORDON_FOR_JOB_AFTER: Duration = Duration::from_secs(5);

impl View<'_> {
    /// The hosts that accept tasks and have free resources, ordered by name.
    fn candidates(&self, now: Time) -> Vec<CandidateHost> {
        let hosts = self.cluster.hosts().values();
        let candidates = hosts.filter_map(|host| {
            let machine_type = self.cluster.machine_type_of(host)?;
            if !self.accepts_tasks(host, now) {
                return None;
            }
            CandidateHost::new(host, host.type_index?, capacity(machine_type))
        });
        candidates.collect()
    }

    /// Whether new tasks may be placed on the host.
    pub(crate) fn accepts_tasks(&self, host: &Host, now: Time) -> bool {
        host.cordon_reason.is_none() && self.is_responsive(host, now)
    }

    /// Whether the host's heartbeats arrive and commands reach its worker.
    pub(crate) fn is_responsive(&self, host: &Host, now: Time) -> bool {
        let is_heartbeat_recent =
            now.since(host.last_heartbeat_at) <= self.policy.heartbeat_interval * 2;
        host.is_up() && is_heartbeat_recent && host.reachability == Reachability::Confirmed
    }
}

impl Leader {
    /// Runs one placement pass over the waiting tasks of all jobs.
    pub(crate) fn place_waiting_tasks(&mut self, now: Time) {
        self.update_unrecorded_usage();
        let ranks = self.view().ranked_jobs();
        if ranks.is_empty() {
            return;
        }
        let scarce_types = self.view().scarce_types();
        let cluster = &self.cluster;
        let is_waiting = |job| cluster.job(job).is_some_and(|job| job.waiting_count() > 0);
        self.scheduler
            .room_reservations
            .remove_outdated(is_waiting, now);
        let mut candidates = self.view().candidates(now);
        for candidate in &mut candidates {
            let reservations = &self.scheduler.room_reservations;
            candidate.room_reservation = reservations.on_host(&candidate.name, now);
        }
        let mut pass = PlacementPass {
            candidates,
            unplaceable_profiles: Vec::new(),
            remaining_allocations: MAX_ALLOCATIONS_PER_PASS,
            zone_admissions: self.zone_admission_limits(now),
            now,
        };
        for rank in ranks {
            if pass.remaining_allocations == 0 {
                // The next pass continues, after waiting heartbeats and user requests have been handled.
                self.cluster.request_scheduling();
                return;
            }
            self.place_job(&rank, &scarce_types, &mut pass);
        }
    }

    /// Places the waiting tasks of one job.
    fn place_job(&mut self, rank: &JobRank, scarce_types: &[bool], pass: &mut PlacementPass) {
        let _job = tracing::debug_span!("job", id = %rank.job).entered();
        let Some(mut placement) = self.view().begin_placement(rank, scarce_types, pass) else {
            return;
        };
        while placement.remaining_tasks > 0 {
            match self.view().next_step(&mut placement, pass) {
                NextStep::Allocate(task, candidate_index) => {
                    self.allocate_to(task, candidate_index, &mut placement, pass);
                }
                NextStep::MakeRoom => {
                    if self.uncordon_for(&placement, pass.now) {
                        self.cluster.request_scheduling();
                        return;
                    }
                    if !placement.permit_return_to_hosts() {
                        return self.make_room(&placement, pass);
                    }
                }
                NextStep::Finish => return,
            }
        }
    }

    /// Allocates the task to the candidate. The candidate stays eligible if it has room for another task of the job.
    fn allocate_to(
        &mut self,
        task: TaskId,
        candidate_index: usize,
        placement: &mut JobPlacement,
        pass: &mut PlacementPass,
    ) {
        let candidate = &mut pass.candidates[candidate_index];
        let zone = candidate.zone.clone();
        *placement.siblings_by_zone.entry(zone).or_default() += 1;
        candidate.allocated.add(&placement.resources);
        let reservation = candidate.room_reservation;
        if reservation.is_some_and(|reservation| reservation.job == placement.id) {
            candidate.room_reservation = None;
            let reservations = &mut self.scheduler.room_reservations;
            reservations.use_on(&candidate.name, placement.id);
        }
        if placement.resources.fits(&candidate.free_for(placement.id)) {
            let fetch_steps = self.view().fetch_steps(&placement.spec, &candidate.name);
            let needs_gpu = placement.resources.gpus > 0.0;
            let scored = candidate.scored(candidate_index, true, fetch_steps, needs_gpu);
            placement.eligible_hosts.heap.push(scored);
        }
        self.cluster.allocate(task, &candidate.name);
        placement.remaining_tasks -= 1;
        pass.remaining_allocations -= 1;
        if let Some(admissions) = pass.zone_admissions.get_mut(&candidate.zone) {
            *admissions = admissions.saturating_sub(1);
            self.on_task_placed_in_zone(&candidate.zone);
        }
    }

    /// Uncordons a surplus host for the next task of the job: at once for a replica, whose outage users notice, and
    /// otherwise once the job has waited for longer than it takes to uncordon hosts for a higher demand. Returns whether
    /// a host was uncordoned.
    fn uncordon_for(&mut self, placement: &JobPlacement, now: Time) -> bool {
        let JobPlacement {
            id,
            spec,
            usable_types,
            siblings_by_zone,
            ..
        } = placement;
        if !spec.is_service() && self.view().waiting_time(*id) < UNCORDON_FOR_JOB_AFTER {
            return false;
        }
        let may_use = |host: &Host| {
            let type_index = host.type_index;
            type_index.is_some_and(|index| usable_types.get(index) == Some(&true))
                && (spec.allows_spot || !host.is_spot)
                && is_zone_allowed(spec, &host.zone, siblings_by_zone)
        };
        self.uncordon_host_for(*id, may_use, now)
    }

    /// Makes room for the next task of the job, as no host has any: reserves a host for a starving job, or preempts
    /// tasks.
    fn make_room(&mut self, placement: &JobPlacement, pass: &mut PlacementPass) {
        let JobPlacement {
            id,
            spec,
            usable_types,
            ..
        } = placement;
        if placement.is_starving {
            reserve_host(placement, pass);
        } else if placement.is_unconstrained && placement.eligible_hosts.is_exhausted() {
            pass.unplaceable_profiles.push(placement.profile);
        }
        self.preempt_for(*id, spec, usable_types, pass.now);
    }
}

/// Reserves the suitable host with the most free CPUs for a starving job that finds no room, since smaller tasks would
/// otherwise take all resources that become free. For the rest of the pass no other job is placed on the host; the next
/// pass reserves one again if the job still finds no room.
fn reserve_host(placement: &JobPlacement, pass: &mut PlacementPass) {
    let spec = &placement.spec;
    let is_suitable = |candidate: &CandidateHost| {
        placement.usable_types.get(candidate.type_index) == Some(&true)
            && !candidate.is_reserved
            && (spec.allows_spot || !candidate.is_spot)
            && spec
                .required_zone
                .as_ref()
                .is_none_or(|zone| *zone == candidate.zone)
            && placement.resources.fits(&candidate.capacity)
            && !placement.resources.fits(&candidate.free())
    };
    let free_cpus = |candidate: &CandidateHost| candidate.free().cpus;
    let suitable_hosts = pass.candidates.iter_mut().filter(|c| is_suitable(c));
    if let Some(best) = suitable_hosts.max_by(|a, b| free_cpus(a).total_cmp(&free_cpus(b))) {
        best.is_reserved = true;
    }
}
