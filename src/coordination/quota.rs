//! What teams may use: their limits, or where the feature is on the leader's allowances of them.

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

/// What a task counts as.
pub(crate) fn usage(need: &Resources) -> ResourceVector {
    ResourceVector::rounded_up(need.cpus, need.gpus)
}

fn guarantee(team: &Team) -> ResourceVector {
    let (cpus, gpus) = team.guaranteed();
    ResourceVector::rounded_down(cpus, gpus)
}

fn limit(team: &Team) -> ResourceVector {
    let cpus = team.cpus_max.unwrap_or(0.0);
    let gpus = team.gpus_max.unwrap_or(0.0);
    ResourceVector::from_limit_settings(cpus, gpus)
}

/// The policy that settings and features make; `None` where the feature is off.
pub fn quota_policy(
    teams: &[Team],
    feature: &QuotaFeature,
) -> Option<lichencrank_quota::QuotaPolicy> {
    if !feature.enabled {
        return None;
    }
    let of_team = |team: &Team| {
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
        teams: teams.iter().map(of_team).collect(),
    })
}

fn priority(priority: Priority) -> lichencrank_quota::Priority {
    match priority {
        Priority::Critical => lichencrank_quota::Priority::Critical,
        Priority::High => lichencrank_quota::Priority::High,
        Priority::Normal => lichencrank_quota::Priority::Normal,
        Priority::BestEffort => lichencrank_quota::Priority::BestEffort,
    }
}

/// What teams may use beside what their allocations take.
pub(crate) struct TeamQuota {
    /// What hosts report of each team that is not allocated there.
    unrecorded_usage: BTreeMap<String, ResourceVector>,
    /// The allowances that allocations are charged to, where that feature is on.
    accounts: Option<LeaderAllowances>,
    /// An allocation failed, as its allowance has changed: the accounts have to be read again.
    pub(crate) outdated: bool,
}

impl TeamQuota {
    pub(crate) fn new(term: Term, policy: &Policy) -> TeamQuota {
        let accounts = policy.quota.clone();
        TeamQuota {
            unrecorded_usage: BTreeMap::new(),
            accounts: accounts.map(|accounts| LeaderAllowances::new(term.0, accounts)),
            outdated: false,
        }
    }
}

impl View<'_> {
    /// What counts for a team: its allocations, and what machines reported that is not booked there.
    fn counted(&self, team: &str) -> ResourceVector {
        let booked = self.cluster.team_usage(team);
        let unbooked = self
            .quota
            .unrecorded_usage
            .get(team)
            .copied()
            .unwrap_or_default();
        booked + unbooked
    }

    /// How many more tasks of this size the team may have booked.
    pub(crate) fn tasks_within_team_quota(&self, job: &Job) -> u64 {
        let Some(team) = self.policy.team(&job.team) else {
            return 0;
        };
        let allowed = match &self.quota.accounts {
            // Before the allowance is claimed nothing is booked.
            Some(accounts) => accounts
                .granted(&TeamName::new(&job.team))
                .unwrap_or_default(),
            None => limit(team),
        };
        let room = allowed.saturating_sub(&self.counted(&job.team));
        usage(&job.task_resources).multiples_within(&room)
    }

    /// Whether a task of that priority may be stopped for the job, by the rules of preemption. Borrowed
    /// work gives way to guarantees where the feature is on.
    pub(crate) fn may_preempt(&self, victim: &Job, by: &Job) -> bool {
        let by_guarantee = self.quota.accounts.is_some()
            && victim.team != by.team
            && self
                .team_use(&by.team)
                .guarantee_covers(&usage(&by.task_resources));
        let borrowed = self
            .team_use(&victim.team)
            .is_borrowed(&usage(&victim.task_resources));
        let case = PreemptionCase {
            victim_priority: priority(victim.priority()),
            victim_is_borrowed: borrowed,
            preemptor_priority: priority(by.priority()),
            preemptor_is_guaranteed: by_guarantee,
        };
        case.is_allowed()
    }

    /// Whether stopping tasks of the other job serves the guarantee of this one's team.
    pub(crate) fn serves_guarantee(&self, victim: &Job, by: &Job) -> bool {
        victim.priority() <= by.priority() && self.may_preempt(victim, by)
    }

    fn team_use(&self, name: &str) -> TeamUsage {
        TeamUsage {
            guarantee: self.policy.team(name).map(guarantee).unwrap_or_default(),
            used: self.counted(name),
        }
    }

    fn demands(&self) -> BTreeMap<TeamName, TeamWorkload> {
        let mut demands: BTreeMap<TeamName, TeamWorkload> = BTreeMap::new();
        for team in &self.policy.teams {
            let used = self.counted(&team.name);
            let demand = TeamWorkload {
                charged: used,
                ..TeamWorkload::default()
            };
            demands.insert(TeamName::new(&team.name), demand);
        }
        let active = self
            .cluster
            .jobs()
            .values()
            .filter(|j| j.phase == JobPhase::Active);
        for job in active.filter(|j| j.waiting_count() > 0) {
            let Some(demand) = demands.get_mut(&TeamName::new(&job.team)) else {
                continue;
            };
            let one = usage(&job.task_resources);
            demand.pending += one.saturating_mul(u64::from(job.waiting_count()));
            demand.largest_pending_task = demand.largest_pending_task.component_max(&one);
        }
        demands
    }
}

impl Leader {
    /// Whether it is known what teams may use. Before that all work seems to need no machines, and they
    /// would be returned.
    pub(crate) fn has_claimed_allowances(&self) -> bool {
        let Some(accounts) = &self.quota.accounts else {
            return true;
        };
        let mut teams = self.policy.teams.iter();
        teams.all(|team| accounts.granted(&TeamName::new(&team.name)).is_some())
    }

    /// Sums up what machines report and nobody booked there. It is rare, so looking is cheap where there
    /// is none.
    pub(crate) fn update_unrecorded_usage(&mut self) {
        self.quota.unrecorded_usage.clear();
        if self.quota.accounts.is_none() {
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
                let counted = self
                    .quota
                    .unrecorded_usage
                    .entry(job.team.clone())
                    .or_default();
                *counted += usage(&job.task_resources);
            }
        }
    }

    // ---- the accounts

    /// Whether the accounts have to be read again, which is then taken for done.
    pub fn take_quota_reload_request(&mut self) -> bool {
        std::mem::take(&mut self.quota.outdated)
    }

    /// The accounts have to be read again.
    pub fn request_quota_reload(&mut self) {
        self.quota.outdated = true;
    }

    /// The policy of the accounts, where the feature is on.
    pub fn quota_policy(&self) -> Option<&lichencrank_quota::QuotaPolicy> {
        self.policy.quota.as_ref()
    }

    /// Whether a change of the accounts is under way.
    pub fn is_writing_quota(&self) -> bool {
        self.quota
            .accounts
            .as_ref()
            .is_some_and(LeaderAllowances::is_writing)
    }

    /// Begins to read the accounts' records anew.
    pub fn begin_loading_quota(&mut self) {
        if let Some(accounts) = &mut self.quota.accounts {
            accounts.begin_reading();
        }
    }

    /// Takes in a record of the accounts.
    pub fn on_quota_item(&mut self, item: &Item) {
        if let Some(accounts) = &mut self.quota.accounts {
            accounts.insert_item(item);
        }
    }

    /// All records of the accounts are read.
    pub fn on_quota_loaded(&mut self) {
        if let Some(accounts) = &mut self.quota.accounts {
            accounts.finish_reading();
        }
        self.quota_changed();
    }

    /// The next change of the accounts, on condition that this controller still leads.
    pub fn next_quota_txn(&mut self) -> Option<Txn> {
        self.update_unrecorded_usage();
        let ready = self
            .quota
            .accounts
            .as_ref()
            .is_some_and(LeaderAllowances::is_idle);
        if !ready {
            return None;
        }
        let demands = self.view().demands();
        let most = self.cluster.record_writer().max_txn_changes();
        let mut txn = self
            .quota
            .accounts
            .as_mut()?
            .next_transaction(&demands, most)?;
        let holder = crate::storage::records::LEADER_KEY.to_owned();
        txn.require(holder, self.cluster.record_writer().leader_key_version());
        Some(txn)
    }

    /// A change of the accounts was written.
    pub fn on_quota_committed(&mut self, version: Version) {
        if let Some(accounts) = &mut self.quota.accounts {
            accounts.on_committed(version);
        }
        self.quota_changed();
    }

    /// A change of the accounts was surely not written.
    pub fn on_quota_not_committed(&mut self) {
        if let Some(accounts) = &mut self.quota.accounts {
            accounts.on_not_committed();
        }
    }

    /// Every allocation depends on the version of its team's allowance.
    fn quota_changed(&mut self) {
        let Some(accounts) = &self.quota.accounts else {
            return;
        };
        let teams = self.policy.teams.iter();
        let fences = teams
            .filter_map(|team| {
                let fence = accounts.fence(&TeamName::new(&team.name))?;
                Some((team.name.clone(), (fence.key, fence.version)))
            })
            .collect();
        self.cluster.set_allowance_fences(fences);
    }
}
