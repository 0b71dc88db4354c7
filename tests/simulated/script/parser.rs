//! Reads scripts. The words of the scripts are known here and nowhere else.

use std::time::Duration;

use super::command::{
    CloudFault, Command, ControllerCommand, LinkKind, MachineCommand, MachineFault, NetworkFault,
    NodeSelector, ReplicaEnd, StoreFault, UpgradeOrder, UserCommand,
};
use super::error::{Problem, ScriptError};
use super::lexer::Line;
use super::{Expectation, ScheduledCommand, Script};
use crate::simulated::clock::SimTime;
use crate::simulated::deployment::{
    Deployment, InitialMachines, LoweredStoreLimits, Team, MACHINE_TYPE,
};
use crate::simulated::embedder::AdmissionDemand;
use crate::simulated::history::Mark;
use crate::simulated::job_template::JobTemplate;

/// The team of jobs that name none. It is there, without a limit, if a script lists no teams.
const DEFAULT_TEAM: &str = "t1";
const DEFAULT_RUN_TIME: Duration = Duration::from_secs(10);
const DEFAULT_RESTART_AFTER: Duration = Duration::from_secs(3);
const DEFAULT_UPGRADE_INTERVAL: Duration = Duration::from_secs(10);
const DEFAULT_NEXT_TRANSACTION_OPERATIONS: usize = 5;
const DEFAULT_NEXT_WRITES_PER_SECOND: f64 = 20.0;

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// The first line that has no meaning.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let mut script = Script {
            deployment: Deployment::default(),
            commands: Vec::new(),
            takeover_commands: Vec::new(),
            faults_end_at: SimTime::START,
            end_at: SimTime::START,
            expectations: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let Some(line) = Line::parse(line) else {
                continue;
            };
            let in_line = |problem| ScriptError {
                line_number: index + 1,
                problem,
            };
            script.add_statement(&line).map_err(in_line)?;
        }
        if script.deployment.teams.is_empty() {
            script.deployment.teams.push(Team {
                name: DEFAULT_TEAM.to_owned(),
                cpu_limit: None,
            });
        }
        Ok(script)
    }

    fn add_statement(&mut self, line: &Line) -> Result<(), Problem> {
        match line.keyword() {
            "site" => set_deployment(&mut self.deployment, line)?,
            "team" => self.deployment.teams.push(team(line)?),
            "quota" => self.enable_quota(line)?,
            "zones" => self.enable_zone_tracking(),
            "machines" => self.deployment.initial_machines.push(machines(line)?),
            "calm" => self.faults_end_at = time_at(line, 1)?,
            "end" => self.end_at = time_at(line, 1)?,
            "never" => {
                let mark = mark(line.argument(1)?)?;
                self.expectations.push(Expectation::Never(mark));
            }
            "expect" => self.expectations.push(at_least(line)?),
            "at" if line.argument(2)? == "repeat" => self.add_repeated_command(line)?,
            "at" => self.commands.push(scheduled_command(line)?),
            "takeover-after" => self.takeover_commands.push(scheduled_command(line)?),
            other => return Err(Problem::UnknownKeyword(other.to_owned())),
        }
        Ok(())
    }

    fn enable_quota(&mut self, line: &Line) -> Result<(), Problem> {
        let capacity = match line.number_of("capacity")? {
            Some(cpus) => format!(", capacity_cpus: {cpus}"),
            None => String::new(),
        };
        self.deployment.features += &format!("quota: {{enabled: true{capacity}}}\n");
        Ok(())
    }

    fn enable_zone_tracking(&mut self) {
        self.deployment.features += "zones: {enabled: true}\n";
        self.deployment.tracks_zones = true;
    }

    /// `at FIRST repeat COUNT INTERVAL COMMAND…`
    fn add_repeated_command(&mut self, line: &Line) -> Result<(), Problem> {
        let first = time_at(line, 1)?;
        let count = line.number_at(3)? as u32;
        let interval = line.duration_at(4)?;
        let command = command(&line.without(5))?;
        let repeated = (0..count).map(|number| ScheduledCommand {
            at: first + interval * number,
            command: command.clone(),
        });
        self.commands.extend(repeated);
        Ok(())
    }
}

fn time_at(line: &Line, position: usize) -> Result<SimTime, Problem> {
    Ok(SimTime::START + line.duration_at(position)?)
}

fn mark(word: &str) -> Result<Mark, Problem> {
    Mark::from_name(word).ok_or_else(|| unknown_word("mark", word))
}

fn unknown_word(expected: &'static str, found: &str) -> Problem {
    let found = found.to_owned();
    Problem::UnknownWord { expected, found }
}

/// `site [KEY VALUE]…`
fn set_deployment(deployment: &mut Deployment, line: &Line) -> Result<(), Problem> {
    let durations = [
        ("report", &mut deployment.heartbeat_interval),
        ("lease", &mut deployment.worker_lease),
        ("cancel", &mut deployment.cancellation_deadline),
        ("lag", &mut deployment.machine_list_lag),
        ("boot", &mut deployment.boot_time),
    ];
    for (key, duration) in durations {
        *duration = line.duration_of(key)?.unwrap_or(*duration);
    }
    let limits = &mut deployment.store_limits;
    let rates = [
        ("rps", &mut limits.requests_per_second),
        ("write_rps", &mut limits.writes_per_second),
        ("value_kb", &mut limits.value_kilobytes),
    ];
    for (key, number) in rates {
        *number = line.number_of(key)?.unwrap_or(*number);
    }
    let counts = [
        ("nodes", &mut deployment.controller_count),
        ("txn_ops", &mut limits.transaction_operations),
        ("market", &mut deployment.rentable_machines),
    ];
    for (key, count) in counts {
        *count = line
            .number_of(key)?
            .map_or(*count, |number| number as usize);
    }
    if let Some(zones) = line.value_of("zones") {
        deployment.zones = zones.split(',').map(str::to_owned).collect();
    }
    if let Some(value_kilobytes) = line.number_of("next_value_kb")? {
        let operations = line.number_of("next_txn_ops")?;
        let writes_per_second = line.number_of("next_write_rps")?;
        deployment.next_store_limits = Some(LoweredStoreLimits {
            value_kilobytes,
            transaction_operations: operations
                .map_or(DEFAULT_NEXT_TRANSACTION_OPERATIONS, |number| {
                    number as usize
                }),
            writes_per_second: writes_per_second.unwrap_or(DEFAULT_NEXT_WRITES_PER_SECOND),
        });
    }
    Ok(())
}

/// `team NAME limit CPUS`
fn team(line: &Line) -> Result<Team, Problem> {
    let cpu_limit = line.number_of("limit")?.filter(|limit| *limit > 0.0);
    Ok(Team {
        name: line.argument(1)?.to_owned(),
        cpu_limit,
    })
}

/// `machines COUNT TYPE ZONE`
fn machines(line: &Line) -> Result<InitialMachines, Problem> {
    let machine_type = line.argument(2)?;
    if machine_type != MACHINE_TYPE.name {
        return Err(unknown_word("machine type", machine_type));
    }
    Ok(InitialMachines {
        count: line.number_at(1)? as usize,
        zone: line.argument(3)?.to_owned(),
    })
}

/// `expect MARK COUNT [from T] [to T]`
fn at_least(line: &Line) -> Result<Expectation, Problem> {
    let from = line.duration_of("from")?;
    let to = line.duration_of("to")?;
    Ok(Expectation::AtLeast {
        mark: mark(line.argument(1)?)?,
        count: line.number_at(2)? as usize,
        from: from.map_or(SimTime::START, |from| SimTime::START + from),
        to: to.map_or(SimTime::MAX, |to| SimTime::START + to),
    })
}

/// `at T COMMAND…` and `takeover-after T COMMAND…`
fn scheduled_command(line: &Line) -> Result<ScheduledCommand, Problem> {
    Ok(ScheduledCommand {
        at: time_at(line, 1)?,
        command: command(&line.without(2))?,
    })
}

fn command(line: &Line) -> Result<Command, Problem> {
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
    if let Some(command) = machine_command(line)? {
        return Ok(Command::Machines(command));
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
            include_waiting: line.has("any"),
            machine_pause: line.duration_of("hang")?.unwrap_or(Duration::ZERO),
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
        single_zone: line.has("together"),
        spread_over_zones: line.has("apart"),
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
        other => Err(unknown_word("kind of link", other)),
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
        "lost-answers" => StoreFault::LostAnswers {
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

fn machine_command(line: &Line) -> Result<Option<MachineCommand>, Problem> {
    let duration = duration(line)?;
    let parsed = match line.keyword() {
        "machines" => MachineCommand::Fault {
            fault: machine_fault(line.argument(1)?)?,
            probability: line.number_of("share")?.unwrap_or(1.0),
            zone: line.value_of("zone").map(str::to_owned),
            duration,
        },
        "late-reports" => MachineCommand::LateHeartbeats {
            probability: line.number_at(1)?,
            duration,
        },
        "keep-reports" => MachineCommand::RetainHeartbeats { duration },
        "end-replicas" => MachineCommand::EndReplicas {
            probability: line.number_at(1)?,
            end: match line.has("error") {
                true => ReplicaEnd::Failed,
                false => ReplicaEnd::Completed,
            },
        },
        _ => return Ok(None),
    };
    Ok(Some(parsed))
}

fn machine_fault(word: &str) -> Result<MachineFault, Problem> {
    match word {
        "hang" => Ok(MachineFault::Pause),
        "deaf" => Ok(MachineFault::InboundLoss),
        "mute" => Ok(MachineFault::OutboundLoss),
        "cut" => Ok(MachineFault::Isolation),
        "die" => Ok(MachineFault::Crash),
        "notice" => Ok(MachineFault::PreemptionNotice),
        "sick" => Ok(MachineFault::FailingTasks),
        other => Err(unknown_word("fault of machines", other)),
    }
}

fn node_selector(word: &str) -> Result<NodeSelector, Problem> {
    match word {
        "leader" => Ok(NodeSelector::Leader),
        "other" => Ok(NodeSelector::OneFollower),
        "others" => Ok(NodeSelector::AllFollowers),
        "confirmer" => Ok(NodeSelector::LastConfirmer),
        "all" => Ok(NodeSelector::All),
        other => Err(unknown_word("choice of nodes", other)),
    }
}
