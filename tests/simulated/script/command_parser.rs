//! Parses the commands of scenario files.

use std::time::Duration;

use super::command::{
    CloudFault, Command, ControllerCommand, HostCommand, HostFault, LinkKind, NetworkFault,
    NodeSelector, ReplicaEnd, StoreFault, UpgradeOrder, UserCommand,
};
use super::error::{unknown_word, Problem};
use super::lexer::Line;
use super::parser::DEFAULT_TEAM;
use crate::simulated::embedder::AdmissionDemand;
use crate::simulated::job_template::JobTemplate;

const DEFAULT_RUN_TIME: Duration = Duration::from_secs(10);
const DEFAULT_RESTART_AFTER: Duration = Duration::from_secs(3);
const DEFAULT_UPGRADE_INTERVAL: Duration = Duration::from_secs(10);

/// Parses a command, without the time at which it is executed.
pub(super) fn command(line: &Line) -> Result<Command, Problem> {
    if let Some(command) = user_command(line)? {
        return Ok(Command::Users(command));
    }
    if let Some(command) = controller_command(line)? {
        return Ok(Command::Controllers(command));
    }
    if let Some(fault) = network_fault(line)? {
        return Ok(Command::Network(fault));
    }
    if let Some(fault) = store_fault(line)? {
        return Ok(Command::Store(fault));
    }
    if let Some(fault) = cloud_fault(line)? {
        return Ok(Command::Cloud(fault));
    }
    if let Some(command) = host_command(line)? {
        return Ok(Command::Hosts(command));
    }
    Err(Problem::UnknownKeyword(line.keyword().to_owned()))
}

/// How long the effect of a command lasts.
fn duration(line: &Line) -> Result<Duration, Problem> {
    Ok(line.duration_of("for")?.unwrap_or(Duration::ZERO))
}

fn user_command(line: &Line) -> Result<Option<UserCommand>, Problem> {
    let parsed = match line.keyword() {
        "submit" => UserCommand::Submit {
            count: line.number_at(1)? as u64,
            interval: line.duration_of("every")?.unwrap_or(Duration::ZERO),
            template: job_template(line)?,
            cancelled_share: line.number_of("cancelled")?.unwrap_or(0.0),
        },
        "odd" => UserCommand::SubmitInvalid {
            count: line.number_at(1)? as u64,
        },
        "cancel" => UserCommand::Cancel {
            count: line.number_at(1)? as usize,
            through: node_selector(line.value_of("through").unwrap_or("other"))?,
            includes_waiting: line.has("any"),
            host_pause: line.duration_of("hang")?.unwrap_or(Duration::ZERO),
        },
        "looks" => UserCommand::PollInBursts {
            duration: duration(line)?,
        },
        "cancel-at-end" => UserCommand::CancelAtCompletion {
            probability: line.number_at(1)?,
            duration: duration(line)?,
        },
        "embed" => UserCommand::StartEmbedder(AdmissionDemand {
            admission_count: line.number_at(1)? as usize,
            cpus: line.number_of("cpus")?.unwrap_or(1.0),
            run_time: line.duration_of("run")?.unwrap_or(DEFAULT_RUN_TIME),
            team: line.value_of("team").unwrap_or(DEFAULT_TEAM).to_owned(),
        }),
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn job_template(line: &Line) -> Result<JobTemplate, Problem> {
    Ok(JobTemplate {
        team: line.value_of("team").unwrap_or(DEFAULT_TEAM).to_owned(),
        priority: line.value_of("urgency").unwrap_or("normal").to_owned(),
        task_count: line.number_of("tasks")?.unwrap_or(1.0) as u32,
        cpus_per_task: line.number_of("cpus")?.unwrap_or(1.0),
        run_time: line.duration_of("run")?.unwrap_or(DEFAULT_RUN_TIME),
        zone: line.value_of("zone").map(str::to_owned),
        requires_single_zone: line.has("together"),
        requires_zone_spread: line.has("apart"),
        allows_spot: !line.has("ordinary"),
        is_service: line.has("service"),
        replica_run_time: line.duration_of("ends")?,
    })
}

fn controller_command(line: &Line) -> Result<Option<ControllerCommand>, Problem> {
    let interval = || -> Result<Duration, Problem> {
        let interval = line.duration_of("every")?;
        Ok(interval.unwrap_or(DEFAULT_UPGRADE_INTERVAL))
    };
    let parsed = match line.keyword() {
        "kill" => ControllerCommand::Kill {
            nodes: node_selector(line.argument(1)?)?,
            restart_after: line.duration_of("back")?.unwrap_or(DEFAULT_RESTART_AFTER),
        },
        "halt" => ControllerCommand::Pause {
            nodes: node_selector(line.argument(1)?)?,
            duration: duration(line)?,
        },
        "upgrade" => ControllerCommand::Upgrade {
            interval: interval()?,
            order: upgrade_order(line),
        },
        "roll-back" => ControllerCommand::RollBack {
            interval: interval()?,
        },
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn upgrade_order(line: &Line) -> UpgradeOrder {
    if line.has("leader-first") {
        UpgradeOrder::LeaderFirst
    } else if line.has("leader-last") {
        UpgradeOrder::LeaderLast
    } else if let Some(zone) = line.value_of("zone-first") {
        UpgradeOrder::ZoneFirst(zone.to_owned())
    } else {
        UpgradeOrder::ByPosition
    }
}

fn network_fault(line: &Line) -> Result<Option<NetworkFault>, Problem> {
    let duration = duration(line)?;
    let parsed = match line.keyword() {
        "cut" => NetworkFault::Partition {
            nodes: node_selector(line.argument(1)?)?,
            links: line
                .words_after("from")
                .iter()
                .map(|word| link_kind(word))
                .collect::<Result<_, _>>()?,
            duration,
            holds_messages: line.has("held"),
        },
        "zones-apart" => NetworkFault::SeparateZones { duration },
        "cut-zone" => NetworkFault::IsolateZone {
            zone: line.argument(1)?.to_owned(),
            duration,
        },
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn link_kind(word: &str) -> Result<LinkKind, Problem> {
    match word {
        "state" => Ok(LinkKind::Store),
        "peers" => Ok(LinkKind::Controllers),
        "workers" => Ok(LinkKind::Workers),
        "users" => Ok(LinkKind::Users),
        other => Err(unknown_word("link kind", other)),
    }
}

fn store_fault(line: &Line) -> Result<Option<StoreFault>, Problem> {
    let duration = duration(line)?;
    let parsed = match line.keyword() {
        "refuse" => StoreFault::RefuseRequests {
            nodes: node_selector(line.argument(1)?)?,
            duration,
        },
        "outage" => StoreFault::Outage { duration },
        "slow" => StoreFault::SlowRequests {
            max_delay: line.duration_at(1)?,
            duration,
        },
        "lost-answers" => StoreFault::LostResponses {
            probability: line.number_at(1)?,
            duration,
        },
        "late-writes" => StoreFault::LateWrites {
            probability: line.number_at(1)?,
            duration,
        },
        "limits-fall" => StoreFault::LowerLimits,
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn cloud_fault(line: &Line) -> Result<Option<CloudFault>, Problem> {
    let parsed = match line.keyword() {
        "cloud-outage" => CloudFault::Outage {
            duration: duration(line)?,
        },
        "boot" => CloudFault::SetBootTime(line.duration_at(1)?),
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn host_command(line: &Line) -> Result<Option<HostCommand>, Problem> {
    let duration = duration(line)?;
    let parsed = match line.keyword() {
        "machines" => HostCommand::Fault {
            fault: host_fault(line.argument(1)?)?,
            probability: line.number_of("share")?.unwrap_or(1.0),
            zone: line.value_of("zone").map(str::to_owned),
            duration,
        },
        "late-reports" => HostCommand::LateHeartbeats {
            probability: line.number_at(1)?,
            duration,
        },
        "keep-reports" => HostCommand::RetainHeartbeats { duration },
        "end-replicas" => HostCommand::EndReplicas {
            probability: line.number_at(1)?,
            end: if line.has("error") {
                ReplicaEnd::Failed
            } else {
                ReplicaEnd::Completed
            },
        },
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn host_fault(word: &str) -> Result<HostFault, Problem> {
    match word {
        "hang" => Ok(HostFault::Pause),
        "deaf" => Ok(HostFault::InboundLoss),
        "mute" => Ok(HostFault::OutboundLoss),
        "cut" => Ok(HostFault::Isolation),
        "die" => Ok(HostFault::Crash),
        "notice" => Ok(HostFault::ReclaimNotice),
        "sick" => Ok(HostFault::FailingTasks),
        other => Err(unknown_word("host fault", other)),
    }
}

fn node_selector(word: &str) -> Result<NodeSelector, Problem> {
    match word {
        "leader" => Ok(NodeSelector::Leader),
        "other" => Ok(NodeSelector::OneFollower),
        "others" => Ok(NodeSelector::AllFollowers),
        "confirmer" => Ok(NodeSelector::LastConfirmer),
        "all" => Ok(NodeSelector::All),
        other => Err(unknown_word("node selector", other)),
    }
}
