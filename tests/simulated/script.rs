//! Scenarios as people read them; `tests/scenarios/README.md` lists the words.

use super::rollout::UpgradeOrder;
use super::site::Site;
use super::Side;

pub const STATE: &str = "10.2.0.1:2379";
pub const CLOUD: &str = "10.2.0.2:8443";

/// Which nodes a trouble meets; who leads is known only when it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Leader,
    /// One that does not lead.
    Other,
    Others,
    /// The one that confirmed a cancellation last.
    Confirmer,
    All,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ill {
    Hang,
    Deaf,
    Mute,
    Cut,
    Die,
    /// The cloud gives notice, and takes the machine away when it is over.
    Notice,
    /// Every task that it starts fails.
    Sick,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub tasks: u32,
    pub cpus: f64,
    pub run_ms: u64,
    pub team: String,
    pub urgency: String,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    /// Its tasks run until it is called off.
    pub service: bool,
    /// Its replicas end by themselves after so long, wherever they run.
    pub replicas_end_ms: Option<u64>,
    /// It may not use spot machines.
    pub ordinary: bool,
}

#[derive(Clone, Debug)]
pub enum Deed {
    Submit {
        count: u64,
        every_ms: u64,
        shape: Shape,
        /// The share that is cancelled, a while after it was accepted.
        cancelled: f64,
    },
    Cancel {
        count: usize,
        through: Who,
        /// Also of those of which nothing runs.
        any: bool,
        /// For so long the machines of the cancelled jobs hang.
        hang_ms: u64,
    },
    Refuse(Who, u64),
    Outage(u64),
    Slow(u64, u64),
    LostAnswers(f64, u64),
    LateWrites(f64, u64),
    Cut {
        who: Who,
        sides: Vec<Side>,
        for_ms: u64,
        holds: bool,
    },
    Kill(Who, u64),
    Halt(Who, u64),
    CloudAway(u64),
    Machines {
        ill: Ill,
        share: f64,
        zone: Option<String>,
        for_ms: u64,
    },
    LateReports(f64, u64),
    /// Reports are kept for the next leader.
    KeepReports(u64),
    Looks(u64),
    CancelAtEnd(f64, u64),
    Boot(u64),
    ZonesApart(u64),
    ZoneCut(String, u64),
    /// A program embeds the quota library beside the controllers.
    Embed(super::embedder::Demand),
    Odd(u64),
    /// One node after the other comes back upgraded, so far apart.
    Upgrade(u64, UpgradeOrder),
    /// Those that are upgraded go back to the version before, so far apart.
    RollBack(u64),
    /// The state service's limits fall to those.
    LimitsFall,
    /// That share of the replicas ends by itself; with an error or done.
    EndReplicas(f64, bool),
}

pub struct Script {
    pub site: Site,
    pub lines: Vec<(u64, Deed)>,
    /// What happens as soon as the next leader has won its term, from then on.
    pub at_takeover: Vec<(u64, Deed)>,
    pub calm_at: u64,
    pub until: u64,
    /// What must not take place at all.
    pub never: Vec<String>,
    /// What has to take place, how often at the least, between when and when.
    pub expected: Vec<(String, usize, u64, u64)>,
}

pub struct Words<'a>(Vec<&'a str>);

impl<'a> Words<'a> {
    pub fn after(&self, word: &str) -> Option<&'a str> {
        let at = self.0.iter().position(|w| *w == word)?;
        self.0.get(at + 1).copied()
    }

    pub fn has(&self, word: &str) -> bool {
        self.0.contains(&word)
    }

    pub fn number(&self, word: &str) -> Option<f64> {
        let text = self.after(word)?;
        Some(
            text.parse()
                .unwrap_or_else(|_| panic!("{word} {text}: no number")),
        )
    }

    pub fn ms(&self, word: &str) -> Option<u64> {
        self.number(word).map(|s| (s * 1000.0) as u64)
    }

    pub fn at(&self, index: usize) -> &'a str {
        self.0.get(index).copied().unwrap_or("")
    }

    pub fn figure(&self, index: usize) -> f64 {
        let text = self.at(index);
        text.parse()
            .unwrap_or_else(|_| panic!("{:?}: {text} is no number", self.0))
    }

    /// Everything from the word on.
    pub fn all_after(&self, word: &str) -> Vec<String> {
        let found = self.0.iter().skip_while(|w| **w != word).skip(1);
        found.map(|w| (*w).to_owned()).collect()
    }
}

fn who(word: &str) -> Who {
    match word {
        "leader" => Who::Leader,
        "other" => Who::Other,
        "others" => Who::Others,
        "confirmer" => Who::Confirmer,
        "all" => Who::All,
        other => panic!("{other}: which nodes?"),
    }
}

pub fn ms(s: f64) -> u64 {
    (s * 1000.0) as u64
}

impl Script {
    pub fn parse(text: &str) -> Script {
        let mut script = Script {
            site: Site::empty(),
            lines: Vec::new(),
            at_takeover: Vec::new(),
            calm_at: 0,
            until: 0,
            never: Vec::new(),
            expected: Vec::new(),
        };
        for line in text.lines() {
            let line = line.split('#').next().unwrap_or("").trim();
            let words = Words(line.split_whitespace().collect());
            match words.at(0) {
                "" => {}
                "site" => script.site.read(&words),
                "team" => {
                    let limit = words.number("limit").unwrap_or(0.0);
                    script.site.teams.push((words.at(1).into(), limit));
                }
                "quota" => {
                    let capacity = words.number("capacity");
                    let line = capacity.map(|cpus| format!(", capacity_cpus: {cpus}"));
                    let line = line.unwrap_or_default();
                    script.site.features += &format!("quota: {{enabled: true{line}}}\n");
                }
                "zones" => {
                    script.site.features += "zones: {enabled: true}\n";
                    script.site.tracks_zones = true;
                }
                "machines" => {
                    let count = words.figure(1) as usize;
                    let up = (words.at(2).into(), words.at(3).into(), count);
                    script.site.up.push(up);
                }
                "never" => script.never.push(words.at(1).into()),
                "calm" => script.calm_at = ms(words.figure(1)),
                "end" => script.until = ms(words.figure(1)),
                "expect" => {
                    let from = words.ms("from").unwrap_or(0);
                    let to = words.ms("to").unwrap_or(u64::MAX);
                    let least = words.figure(2) as usize;
                    script.expected.push((words.at(1).into(), least, from, to));
                }
                "at" | "takeover-after" => {
                    let repeated = words.at(2) == "repeat";
                    let rest = Words(words.0[if repeated { 5 } else { 2 }..].to_vec());
                    let (first, deed) = (ms(words.figure(1)), deed(&rest));
                    if words.at(0) != "at" {
                        script.at_takeover.push((first, deed));
                    } else if repeated {
                        let (times, every) = (words.figure(3) as u64, ms(words.figure(4)));
                        let lines = (0..times).map(|n| (first + n * every, deed.clone()));
                        script.lines.extend(lines);
                    } else {
                        script.lines.push((first, deed));
                    }
                }
                other => panic!("{other}: no word of a case"),
            }
        }
        if script.site.teams.is_empty() {
            script.site.teams.push(("t1".into(), 0.0));
        }
        script
    }
}

fn upgrade_order(words: &Words) -> UpgradeOrder {
    if words.has("leader-first") {
        UpgradeOrder::LeaderFirst
    } else if words.has("leader-last") {
        UpgradeOrder::LeaderLast
    } else if let Some(zone) = words.after("zone-first") {
        UpgradeOrder::ZoneFirst(zone.into())
    } else {
        UpgradeOrder::ByNumber
    }
}

fn deed(words: &Words) -> Deed {
    let for_ms = words.ms("for").unwrap_or(0);
    match words.at(0) {
        "submit" => Deed::Submit {
            count: words.figure(1) as u64,
            every_ms: words.ms("every").unwrap_or(0),
            cancelled: words.number("cancelled").unwrap_or(0.0),
            shape: Shape {
                tasks: words.number("tasks").unwrap_or(1.0) as u32,
                cpus: words.number("cpus").unwrap_or(1.0),
                run_ms: words.ms("run").unwrap_or(10_000),
                team: words.after("team").unwrap_or("t1").into(),
                urgency: words.after("urgency").unwrap_or("normal").into(),
                zone: words.after("zone").map(str::to_owned),
                one_zone: words.has("together"),
                spread: words.has("apart"),
                service: words.has("service"),
                replicas_end_ms: words.ms("ends"),
                ordinary: words.has("ordinary"),
            },
        },
        "cancel" => Deed::Cancel {
            count: words.figure(1) as usize,
            through: who(words.after("through").unwrap_or("other")),
            any: words.has("any"),
            hang_ms: words.ms("hang").unwrap_or(0),
        },
        "refuse" => Deed::Refuse(who(words.at(1)), for_ms),
        "outage" => Deed::Outage(for_ms),
        "slow" => Deed::Slow(ms(words.figure(1)), for_ms),
        "lost-answers" => Deed::LostAnswers(words.figure(1), for_ms),
        "late-writes" => Deed::LateWrites(words.figure(1), for_ms),
        "cut" => Deed::Cut {
            who: who(words.at(1)),
            sides: words
                .all_after("from")
                .iter()
                .filter_map(|side| match side.as_str() {
                    "state" => Some(Side::State),
                    "peers" => Some(Side::Peers),
                    "workers" => Some(Side::Workers),
                    "users" => Some(Side::Users),
                    _ => None,
                })
                .collect(),
            for_ms,
            holds: words.has("held"),
        },
        "kill" => Deed::Kill(who(words.at(1)), words.ms("back").unwrap_or(3000)),
        "halt" => Deed::Halt(who(words.at(1)), for_ms),
        "cloud-outage" => Deed::CloudAway(for_ms),
        "machines" => Deed::Machines {
            ill: match words.at(1) {
                "hang" => Ill::Hang,
                "deaf" => Ill::Deaf,
                "mute" => Ill::Mute,
                "cut" => Ill::Cut,
                "die" => Ill::Die,
                "notice" => Ill::Notice,
                "sick" => Ill::Sick,
                other => panic!("{other}: what ails the machines?"),
            },
            share: words.number("share").unwrap_or(1.0),
            zone: words.after("zone").map(str::to_owned),
            for_ms,
        },
        "late-reports" => Deed::LateReports(words.figure(1), for_ms),
        "keep-reports" => Deed::KeepReports(for_ms),
        "looks" => Deed::Looks(for_ms),
        "cancel-at-end" => Deed::CancelAtEnd(words.figure(1), for_ms),
        "boot" => Deed::Boot(ms(words.figure(1))),
        "zones-apart" => Deed::ZonesApart(for_ms),
        "cut-zone" => Deed::ZoneCut(words.at(1).into(), for_ms),
        "upgrade" => Deed::Upgrade(words.ms("every").unwrap_or(10_000), upgrade_order(words)),
        "roll-back" => Deed::RollBack(words.ms("every").unwrap_or(10_000)),
        "limits-fall" => Deed::LimitsFall,
        "end-replicas" => Deed::EndReplicas(words.figure(1), words.has("error")),
        "embed" => Deed::Embed(super::embedder::Demand {
            tasks: words.figure(1) as u32,
            cpus: words.number("cpus").unwrap_or(1.0),
            run_ms: words.ms("run").unwrap_or(10_000),
            team: words.after("team").unwrap_or("t1").into(),
        }),
        "odd" => Deed::Odd(words.figure(1) as u64),
        other => panic!("{other}: no deed of a case"),
    }
}
