//! Team quotas: how much each team may use. Without the `quota` feature a team may use the limit in its settings, with
//! the feature the allowance that the leader has claimed for it.

use std::collections::BTreeMap;

use lichencrank_quota::preemption::{PreemptionCase, TeamUsage};
use lichencrank_quota::{LeaderAllowances, ResourceVector, TeamName, TeamPolicy, TeamWorkload};
use lichencrank_store::{Item, Txn, Version};

use crate::coordination::cluster::job::{Job, JobPhase};
use crate::coordination::resources::Resources;
use crate::coordination::{Leader, Policy, View};
use crate::features::QuotaFeature;
use crate::protocol::users::Priority;
use crate::settings::Team;
use crate::types::{TaskId, Term};

/// The amount that is charged to the team of a task with these resources.
pub(crate) fn task_charge(task_resources: &Resources) -> ResourceVector {
    ResourceVector::rounded_up(task_resources.cpus, task_resources.gpus)
}

fn guarantee(team: &Team) -> ResourceVector {
    let (cpus, gpus) = team.guaranteed();
    ResourceVector::rounded_down(cpus, gpus)
}

fn limit(team: &Team) -> ResourceVector {
    let cpus = team.max_cpus.unwrap_or(0.0);
    let gpus = team.max_gpus.unwrap_or(0.0);
    ResourceVector::from_limit_settings(cpus, gpus)
}

/// The quota policy that follows from the teams' settings; `None` if the feature is disabled.
pub fn quota_policy(
    teams: &[Team],
    feature: &QuotaFeature,
) -> Option<lichencrank_quota::QuotaPolicy> {
    if !feature.enabled {
        return None;
    }
    let named_policy = |team: &Team| {
        let policy = TeamPolicy {
            guarantee: guarantee(team),
            limit: limit(team),
        };
        (TeamName::new(&team.name), policy)
    };
    let capacity = ResourceVector::from_limit_settings(
        feature.capacity_cpus.unwrap_or(0.0),
        feature.capacity_gpus.unwrap_or(0.0),
    );
    Some(lichencrank_quota::QuotaPolicy {
        capacity,
        teams: teams.iter().map(named_policy).collect(),
    })
}

fn quota_priority(priority: Priority) -> lichencrank_quota::Priority {
    match priority {
        Priority::Critical => lichencrank_quota::Priority::Critical,
        Priority::High => lichencrank_quota::Priority::High,
        Priority::Normal => lichencrank_quota::Priority::Normal,
        Priority::BestEffort => lichencrank_quota::Priority::BestEffort,
    }
}

/// The state of the team quotas, apart from the usage by allocations, which
/// [`ClusterState`](crate::coordination::cluster::ClusterState) tracks.
pub(crate) struct TeamQuota {
    /// Usage of each team by attempts that hosts report although no record places them there.
    unrecorded_usage: BTreeMap<String, ResourceVector>,
    /// The allowances that allocations are charged to, if the feature is enabled.
    allowances: Option<LeaderAllowances>,
    /// Whether the quota records have to be read again, as an allocation failed because its allowance had changed.
    pub(crate) needs_reload: bool,
}

impl TeamQuota {
    pub(crate) fn new(term: Term, policy: &Policy) -> TeamQuota {
        let quota_policy = policy.quota.clone();
        TeamQuota {
            unrecorded_usage: BTreeMap::new(),
            allowances: quota_policy.map(|policy| LeaderAllowances::new(term.0, policy)),
            needs_reload: false,
        }
    }
}

impl View<'_> {
    /// What is charged to a team: its allocations, and the attempts that hosts report without a record.
    fn charged_usage(&self, team: &str) -> ResourceVector {
        let allocated = self.cluster.team_usage(team);
        let unrecorded = self
            .quota
            .unrecorded_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        allocated + unrecorded
    }

    /// How many more tasks of the job its team's quota permits to be allocated.
    pub(crate) fn tasks_within_team_quota(&self, job: &Job) -> u64 {
        let Some(team) = self.policy.team(&job.team) else {
            return 0;
        };
        let quota = match &self.quota.allowances {
            // Nothing is allocated before the allowance is claimed.
            Some(allowances) => allowances
                .granted(&TeamName::new(&job.team))
                .unwrap_or_default(),
            None => limit(team),
        };
        let remaining = quota.saturating_sub(&self.charged_usage(&job.team));
        task_charge(&job.task_resources).multiples_within(&remaining)
    }

    /// Whether a task of `victim` may be stopped to make room for one of `preemptor`: if the victim's priority is lower
    /// or, with the `quota` feature, if the victim exceeds its team's guarantee and the preemptor is within the
    /// guarantee of another team.
    pub(crate) fn may_preempt(&self, victim: &Job, preemptor: &Job) -> bool {
        let preemptor_is_guaranteed = self.quota.allowances.is_some()
            && victim.team != preemptor.team
            && self
                .guarantee_and_usage(&preemptor.team)
                .guarantee_covers(&task_charge(&preemptor.task_resources));
        let victim_is_borrowed = self
            .guarantee_and_usage(&victim.team)
            .is_borrowed(&task_charge(&victim.task_resources));
        let case = PreemptionCase {
            victim_priority: quota_priority(victim.priority()),
            victim_is_borrowed,
            preemptor_priority: quota_priority(preemptor.priority()),
            preemptor_is_guaranteed,
        };
        case.is_allowed()
    }

    /// Whether tasks of `victim`, which is of the same or a higher priority, may be stopped because `preemptor` is
    /// within its team's guarantee.
    pub(crate) fn serves_guarantee(&self, victim: &Job, preemptor: &Job) -> bool {
        victim.priority() <= preemptor.priority() && self.may_preempt(victim, preemptor)
    }

    fn guarantee_and_usage(&self, team: &str) -> TeamUsage {
        TeamUsage {
            guarantee: self.policy.team(team).map(guarantee).unwrap_or_default(),
            used: self.charged_usage(team),
        }
    }

    /// The charged and the pending resources of each team, by which the allowances are claimed.
    fn team_workloads(&self) -> BTreeMap<TeamName, TeamWorkload> {
        let mut workloads: BTreeMap<TeamName, TeamWorkload> = BTreeMap::new();
        for team in &self.policy.teams {
            let charged = self.charged_usage(&team.name);
            let workload = TeamWorkload {
                charged,
                ..TeamWorkload::default()
            };
            workloads.insert(TeamName::new(&team.name), workload);
        }
        let active_jobs = self
            .cluster
            .jobs()
            .values()
            .filter(|job| job.phase == JobPhase::Active);
        for job in active_jobs.filter(|job| job.waiting_count() > 0) {
            let Some(workload) = workloads.get_mut(&TeamName::new(&job.team)) else {
                continue;
            };
            let charge = task_charge(&job.task_resources);
            workload.pending += charge.saturating_mul(u64::from(job.waiting_count()));
            workload.largest_pending_task = workload.largest_pending_task.component_max(&charge);
        }
        workloads
    }
}

impl Leader {
    /// Whether the allowances of all teams have been claimed. Before that no task may be allocated, so all hosts would
    /// seem surplus and be released.
    pub(crate) fn has_claimed_allowances(&self) -> bool {
        let Some(allowances) = &self.quota.allowances else {
            return true;
        };
        let mut teams = self.policy.teams.iter();
        teams.all(|team| allowances.granted(&TeamName::new(&team.name)).is_some())
    }

    /// Sums up the usage by attempts that hosts report without a record. They are rare, so this is usually cheap.
    pub(crate) fn update_unrecorded_usage(&mut self) {
        self.quota.unrecorded_usage.clear();
        if self.quota.allowances.is_none() {
            return;
        }
        let unrecorded_attempts = self
            .cluster
            .hosts()
            .values()
            .flat_map(|host| &host.unrecorded_attempts);
        let tasks: Vec<TaskId> = unrecorded_attempts.map(|(task, _)| *task).collect();
        for task in tasks {
            if let Some(job) = self.cluster.jobs().get(&task.job) {
                let team_usage = self
                    .quota
                    .unrecorded_usage
                    .entry(job.team.clone())
                    .or_default();
                *team_usage += task_charge(&job.task_resources);
            }
        }
    }

    // ---- quota records

    /// Whether the quota records have to be read again. Clears the request.
    pub fn take_quota_reload_request(&mut self) -> bool {
        std::mem::take(&mut self.quota.needs_reload)
    }

    /// Requests that the quota records are read again.
    pub fn request_quota_reload(&mut self) {
        self.quota.needs_reload = true;
    }

    /// The quota policy, if the feature is enabled.
    pub fn quota_policy(&self) -> Option<&lichencrank_quota::QuotaPolicy> {
        self.policy.quota.as_ref()
    }

    /// Whether a transaction on the quota records is in flight.
    pub fn is_writing_quota(&self) -> bool {
        self.quota
            .allowances
            .as_ref()
            .is_some_and(LeaderAllowances::is_writing)
    }

    /// Begins to read all quota records again.
    pub fn begin_loading_quota(&mut self) {
        if let Some(allowances) = &mut self.quota.allowances {
            allowances.begin_reading();
        }
    }

    /// Takes in a quota record while they are read.
    pub fn on_quota_item(&mut self, item: &Item) {
        if let Some(allowances) = &mut self.quota.allowances {
            allowances.insert_item(item);
        }
    }

    /// All quota records have been read.
    pub fn on_quota_loaded(&mut self) {
        if let Some(allowances) = &mut self.quota.allowances {
            allowances.finish_reading();
        }
        self.update_allowance_fences();
    }

    /// The next transaction on the quota records, if one is needed, conditional on this controller still being the
    /// leader.
    pub fn next_quota_txn(&mut self) -> Option<Txn> {
        self.update_unrecorded_usage();
        let is_idle = self
            .quota
            .allowances
            .as_ref()
            .is_some_and(LeaderAllowances::is_idle);
        if !is_idle {
            return None;
        }
        let workloads = self.view().team_workloads();
        let max_changes = self.cluster.record_writer().max_txn_changes();
        let mut txn = self
            .quota
            .allowances
            .as_mut()?
            .next_transaction(&workloads, max_changes)?;
        let leader_key = crate::storage::records::LEADER_KEY.to_owned();
        txn.require(
            leader_key,
            self.cluster.record_writer().leader_key_version(),
        );
        Some(txn)
    }

    /// The last transaction on the quota records was committed.
    pub fn on_quota_committed(&mut self, version: Version) {
        if let Some(allowances) = &mut self.quota.allowances {
            allowances.on_committed(version);
        }
        self.update_allowance_fences();
    }

    /// The last transaction on the quota records was not committed. This is called for an unknown outcome too, after
    /// which the records have to be read again.
    pub fn on_quota_not_committed(&mut self) {
        if let Some(allowances) = &mut self.quota.allowances {
            allowances.on_not_committed();
        }
    }

    /// Passes on the keys and versions of the allowances. The write of every allocation is conditional on the version
    /// of its team's allowance.
    fn update_allowance_fences(&mut self) {
        let Some(allowances) = &self.quota.allowances else {
            return;
        };
        let teams = self.policy.teams.iter();
        let fences = teams
            .filter_map(|team| {
                let fence = allowances.fence(&TeamName::new(&team.name))?;
                Some((team.name.clone(), (fence.key, fence.version)))
            })
            .collect();
        self.cluster.set_allowance_fences(fences);
    }
}
