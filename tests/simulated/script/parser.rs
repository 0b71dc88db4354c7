//! Parses scenario files, except for their commands. Only this module and [`super::command_parser`] know the
//! words of scenario files.

use super::command_parser::command;
use super::error::{unknown_word, Problem, ScriptError};
use super::lexer::Line;
use super::{Expectation, ScheduledCommand, Script};
use crate::simulated::clock::SimTime;
use crate::simulated::deployment::{
    Deployment, InitialHosts, LoweredStoreLimits, Team, MACHINE_TYPE,
};
use crate::simulated::history::Mark;

/// The team of jobs without a `team` argument. It exists, without a limit, if a script lists no teams.
pub(super) const DEFAULT_TEAM: &str = "t1";
const DEFAULT_NEXT_TRANSACTION_OPERATIONS: usize = 5;
const DEFAULT_NEXT_WRITES_PER_SECOND: f64 = 20.0;

impl Script {
    /// Parses the text of a scenario file.
    ///
    /// # Errors
    /// Returns the first line that is not valid.
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
            let error_in_line = |problem| ScriptError {
                line_number: index + 1,
                problem,
            };
            script.add_statement(&line).map_err(error_in_line)?;
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
            "machines" => self.deployment.initial_hosts.push(initial_hosts(line)?),
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
            not_before: first + interval * number,
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

/// `site [KEY VALUE]…`
fn set_deployment(deployment: &mut Deployment, line: &Line) -> Result<(), Problem> {
    let durations = [
        ("report", &mut deployment.heartbeat_interval),
        ("lease", &mut deployment.worker_lease),
        ("cancel", &mut deployment.cancellation_timeout),
        ("lag", &mut deployment.host_list_lag),
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
        ("market", &mut deployment.host_capacity),
    ];
    for (key, count) in counts {
        *count = line
            .number_of(key)?
            .map_or(*count, |number| number as usize);
    }
    if let Some(zones) = line.value_of("zones") {
        deployment.zones = zones.split(',').map(str::to_owned).collect();
    }
    deployment.next_store_limits = next_store_limits(line)?.or(deployment.next_store_limits);
    Ok(())
}

fn next_store_limits(line: &Line) -> Result<Option<LoweredStoreLimits>, Problem> {
    let Some(value_kilobytes) = line.number_of("next_value_kb")? else {
        return Ok(None);
    };
    let operations = line.number_of("next_txn_ops")?;
    let writes_per_second = line.number_of("next_write_rps")?;
    Ok(Some(LoweredStoreLimits {
        value_kilobytes,
        transaction_operations: operations.map_or(DEFAULT_NEXT_TRANSACTION_OPERATIONS, |number| {
            number as usize
        }),
        writes_per_second: writes_per_second.unwrap_or(DEFAULT_NEXT_WRITES_PER_SECOND),
    }))
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
fn initial_hosts(line: &Line) -> Result<InitialHosts, Problem> {
    let machine_type = line.argument(2)?;
    if machine_type != MACHINE_TYPE.name {
        return Err(unknown_word("machine type", machine_type));
    }
    Ok(InitialHosts {
        count: line.number_at(1)? as usize,
        zone: line.argument(3)?.to_owned(),
    })
}

/// `expect MARK COUNT [from T] [to T]`
fn at_least(line: &Line) -> Result<Expectation, Problem> {
    let start = line.duration_of("from")?;
    let end = line.duration_of("to")?;
    Ok(Expectation::AtLeast {
        mark: mark(line.argument(1)?)?,
        count: line.number_at(2)? as usize,
        range_start: start.map_or(SimTime::START, |start| SimTime::START + start),
        range_end: end.map_or(SimTime::MAX, |end| SimTime::START + end),
    })
}

/// `at T COMMAND…` and `takeover-after T COMMAND…`
fn scheduled_command(line: &Line) -> Result<ScheduledCommand, Problem> {
    Ok(ScheduledCommand {
        not_before: time_at(line, 1)?,
        command: command(&line.without(2))?,
    })
}
