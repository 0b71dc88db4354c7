//! Several real nodes in one thread and in simulated time, against stand-ins for the state service,
//! the cloud, machines and users, with seeded delays and every trouble of the operators' lists. The
//! nodes are the service's own; nothing that it does is done here a second time.

pub mod checker;
pub mod clock;
mod cloud;
mod embedder;
mod fingerprint;
pub mod ids;
pub mod network;
pub mod process;
mod rollout;
pub mod runner;
pub mod script;
pub mod site;
mod troubles;
mod users;
pub mod worker;

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::settings::Settings;
use lichencrank::transport::{
    CallError, CallId, ConnId, ListenerKind, Request, Response, TransportEvent,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::rc::Rc;

use checker::{Bounds, Checker, HeldTask, Invariant, Observation, Violation};
use clock::SimTime;
use cloud::Cloud;
use fingerprint::Fingerprint;
use ids::TaskId;
use lichencrank_testkit::state_service::{self, hold_ms, Limits, StateService};
use lichencrank_testkit::values::{self, get, number, text};
use network::{Call, Out, SimNet};
use process::{Launcher, Process, Start, Version};
use rollout::UpgradeOrder;
use script::Script;
use site::Site;
use users::Users;
use worker::{Deed, Worker};

/// A call of a node: which node, which of its processes, which call.
type CallRef = (usize, u64, CallId);

/// Who waits for a node's answer.
#[derive(Clone, Debug)]
enum Origin {
    Peer(CallRef),
    Worker {
        host: String,
        tick: u64,
        sent: u64,
    },
    User(u64),
    /// A late copy: nobody waits.
    Nobody,
}

enum Event {
    Wake(usize, u64),
    AtNode(usize, ListenerKind, Origin, Request),
    AtState(CallRef, Call, Carried),
    AtCloud(CallRef, Call),
    AtWorker(String, CallRef, Value),
    Reply(CallRef, Result<Response, CallError>),
    WorkerAnswer {
        host: String,
        tick: u64,
        sent: u64,
        response: Response,
    },
    Workers,
    State,
    Look,
    Line(usize),
    Start(usize),
    Upgrade(UpgradeOrder),
    RollBack(usize),
    User(users::Step),
}

/// What becomes of a transaction and its answer.
#[derive(Clone, Copy, PartialEq)]
enum Carried {
    Soundly,
    /// Its answer is lost.
    Silently,
}

struct Slot {
    settings: Settings,
    /// The same, as the process reads them.
    settings_json: String,
    version: Version,
    upgraded: bool,
    node: Option<Box<dyn Process>>,
    out: Rc<RefCell<Vec<Out>>>,
    /// Counts its processes.
    life: u64,
    halted: u64,
    /// What arrived while it stood still.
    backlog: Vec<TransportEvent>,
    wake: u64,
    /// When its clock began.
    started: u64,
}

struct Watch {
    from: CallRef,
    target: String,
    until: u64,
}

/// Whom a node can be cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    State,
    Peers,
    Workers,
    Users,
}

struct Cut {
    node: usize,
    sides: Vec<Side>,
    until: u64,
    /// What is sent meanwhile arrives when it ends.
    holds: bool,
}

/// Until when each trouble lasts, and how heavy it is.
#[derive(Default)]
struct Troubles {
    outage: u64,
    refused: Vec<(usize, u64)>,
    slow: (u64, u64),
    lost_answers: (f64, u64),
    late_writes: (f64, u64),
    cloud_away: u64,
    late_reports: (f64, u64),
    reports_for_next: u64,
    cuts: Vec<Cut>,
    /// Until when zones can't reach each other, and until when one is cut off from all else.
    zones_apart: u64,
    zone_cut: (String, u64),
    /// When it was cut off.
    zone_cut_at: u64,
}

/// The requests and changes that the state service still takes this second.
struct Bucket {
    rate: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: 0,
        }
    }

    fn takes(&mut self, now: u64, amount: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.level = (self.level + passed * self.rate).min(self.rate);
        self.at = now;
        let takes = self.level >= amount;
        if takes {
            self.level -= amount;
        }
        takes
    }
}

/// Why a run failed.
pub struct RunFailure {
    violations: Vec<Violation>,
    unmet_expectations: Vec<String>,
    /// The last lines of the history.
    history: Vec<String>,
    fingerprint: u64,
}

impl fmt::Display for RunFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.history {
            writeln!(formatter, "{line}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "{violation}")?;
        }
        for expectation in &self.unmet_expectations {
            writeln!(formatter, "the scenario was missed: {expectation}")?;
        }
        write!(
            formatter,
            "fingerprint of the run: {:016x}",
            self.fingerprint
        )
    }
}

pub struct World {
    clock: Rc<Cell<u64>>,
    random: fastrand::Rng,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    site: Site,
    slots: Vec<Slot>,
    state: StateService,
    requests: Bucket,
    writes: Bucket,
    watches: Vec<Watch>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    users: Users,
    /// Calls whose callers still wait.
    open: BTreeSet<CallRef>,
    conns: HashMap<(usize, u64, u64), Origin>,
    troubles: Troubles,
    /// Reports kept for the next leader.
    kept_reports: Vec<Request>,
    at_takeover: Vec<(u64, script::Deed)>,
    checker: Checker,
    /// When what took place, for a scenario to assert that its troubles met.
    marks: BTreeMap<&'static str, Vec<u64>>,
    term: u64,
    leader: Option<usize>,
    /// What the last leader ran.
    leader_version: Option<Version>,
    embedder: Option<embedder::Embedder>,
    launcher: Launcher,
    /// The node that confirmed a cancellation last.
    confirmer: Option<usize>,
    history: Vec<String>,
    fingerprint: Fingerprint,
    said: (usize, u64),
}

const EPOCH_MS: u64 = 1_700_000_000_000;
const WORKERS_EVERY: u64 = 50;
const STATE_EVERY: u64 = 10;
const LOOK_EVERY: u64 = 250;
/// By then a leader has noticed that a zone is cut off.
const NOTICED_MS: u64 = 15_000;
/// A healthy worker has reported by then after a cut.
const RETURNED_MS: u64 = 8_000;

impl World {
    pub fn new(script: &Script, seed: u64, launcher: Launcher) -> World {
        let site = script.site.clone();
        let clock = Rc::new(Cell::new(0));
        let bounds = Bounds {
            cancellation_deadline: clock::duration_from_seconds(site.cancel_s),
            team_cpu_limits: site.limits(),
        };
        let faults_end_at = SimTime::from_millis(script.calm_at);
        let mut world = World {
            random: fastrand::Rng::with_seed(seed),
            events: BTreeMap::new(),
            serial: 0,
            slots: Vec::new(),
            state: StateService::new(Limits {
                value_bytes: (site.value_kb * 1024.0) as usize,
                txn_ops: site.txn_ops,
            }),
            requests: Bucket::new(site.rps),
            writes: Bucket::new(site.write_rps),
            watches: Vec::new(),
            cloud: Cloud::new(&site),
            workers: BTreeMap::new(),
            users: Users::default(),
            open: BTreeSet::new(),
            conns: HashMap::new(),
            troubles: Troubles::default(),
            kept_reports: Vec::new(),
            at_takeover: Vec::new(),
            checker: Checker::new(bounds, faults_end_at),
            marks: BTreeMap::new(),
            term: 0,
            leader: None,
            leader_version: None,
            embedder: None,
            launcher,
            confirmer: None,
            history: Vec::new(),
            fingerprint: Fingerprint::default(),
            said: (0, 0),
            clock,
            site,
        };
        for at in 0..world.site.nodes {
            let (settings_json, settings) = world.settings_of(at, false);
            world.slots.push(Slot {
                settings,
                settings_json,
                version: launcher.first,
                upgraded: false,
                node: None,
                out: Rc::default(),
                life: 0,
                halted: 0,
                backlog: Vec::new(),
                wake: 0,
                started: 0,
            });
            world.start(at);
        }
        let up = world.site.up.clone();
        for (kind, zone, count) in up {
            for _ in 0..count {
                world.rent(&kind, &zone, false, Some(0));
            }
        }
        world.at(0, Event::Workers);
        world.at(0, Event::State);
        world.at(0, Event::Look);
        world
    }

    fn now(&self) -> u64 {
        self.clock.get()
    }

    fn at(&mut self, time: u64, event: Event) {
        self.serial += 1;
        self.events
            .insert((time.max(self.now()), self.serial), event);
    }

    /// The embedding program has its turn.
    fn step_embedder(&mut self) {
        let now = self.now();
        let away = now < self.troubles.outage;
        let Some(embedder) = &mut self.embedder else {
            return;
        };
        let begun = embedder.step(now, away, &mut self.state);
        let (team, cpus) = embedder.uses();
        let now = SimTime::from_millis(now);
        self.checker.observe_embedded_work(now, &team, cpus);
        for _ in 0..begun {
            self.mark("embedded");
        }
    }

    /// Judges what the records say of the teams' limits.
    fn audit_quota(&mut self) {
        if self.site.features.is_empty() {
            return;
        }
        let knows = self
            .slots
            .iter()
            .all(|slot| slot.version == Version::Current)
            && self.launcher.first == Version::Current;
        for difference in embedder::audit(&self.state, knows) {
            self.report(Invariant::QuotaAccounts, difference);
        }
    }

    fn observe(&mut self, observation: Observation) {
        let now = SimTime::from_millis(self.now());
        self.checker.observe(now, observation);
    }

    fn report(&mut self, invariant: Invariant, details: String) {
        let now = SimTime::from_millis(self.now());
        self.checker.report(now, invariant, details);
    }

    fn mark(&mut self, what: &'static str) {
        let now = self.now();
        self.marks.entry(what).or_default().push(now);
    }

    fn note(&mut self, what: String) {
        let now = self.now() as f64 / 1000.0;
        self.history.push(format!("{now:9.3} {what}"));
    }

    fn chance(&mut self, (share, until): (f64, u64)) -> bool {
        self.now() < until && self.random.f64() < share
    }

    fn latency(&mut self) -> u64 {
        1 + self.random.u64(0..3)
    }

    /// Plays the script to its end and says what broke, with the history.
    pub fn play(&mut self, script: &Script) -> Result<(), RunFailure> {
        for (number, (at, _)) in script.lines.iter().enumerate() {
            self.at(*at, Event::Line(number));
        }
        self.at_takeover.clone_from(&script.at_takeover);
        while let Some(((time, _), event)) = self.events.pop_first() {
            if time > script.until {
                break;
            }
            self.clock.set(time);
            self.happen(event, script);
            if !self.checker.violations().is_empty() {
                break;
            }
        }
        if self.checker.violations().is_empty() {
            self.check_end(script);
        }
        let failure = RunFailure {
            violations: self.checker.violations().to_vec(),
            unmet_expectations: self.unmet_expectations(script),
            history: self.history[self.history.len().saturating_sub(150)..].to_vec(),
            fingerprint: self.fingerprint(),
        };
        if failure.violations.is_empty() && failure.unmet_expectations.is_empty() {
            Ok(())
        } else {
            Err(failure)
        }
    }

    fn check_end(&mut self, script: &Script) {
        self.checker.check_end(SimTime::from_millis(script.until));
        for records in ["run/", "live/"] {
            let left = self.state.count(records);
            if left > 0 {
                let details = format!("{left} records under {records} are left");
                self.report(Invariant::RecordsAreCollected, details);
            }
        }
    }

    fn unmet_expectations(&self, script: &Script) -> Vec<String> {
        let mut unmet = Vec::new();
        for mark in &script.never {
            if let Some(times) = self.marks.get(mark.as_str()) {
                unmet.push(format!("{mark} took place {} times", times.len()));
            }
        }
        for (mark, least, from, to) in &script.expected {
            let seen = self.marks.get(mark.as_str());
            let seen = seen.map_or(0, |times| {
                times.iter().filter(|t| (*from..=*to).contains(t)).count()
            });
            if seen < *least {
                unmet.push(format!("{mark} took place {seen} times, not {least}"));
            }
        }
        unmet
    }

    /// The hash of every message that a node has sent or received.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint.value()
    }

    fn happen(&mut self, event: Event, script: &Script) {
        match event {
            Event::Wake(node, life) => {
                let slot = &self.slots[node];
                if slot.life == life && slot.wake <= self.now() {
                    self.run(node, None);
                }
            }
            Event::AtNode(node, listener, origin, request) => {
                self.at_node(node, listener, origin, request)
            }
            Event::AtState(from, call, carried) => self.at_state(from, call, carried),
            Event::AtCloud(from, call) => self.at_cloud(from, &call),
            Event::AtWorker(host, from, body) => self.at_worker(host, from, body),
            Event::Reply(from, result) => self.reply(from, result),
            Event::WorkerAnswer {
                host,
                tick,
                sent,
                response,
            } => self.answer_worker(&host, tick, sent, &response),
            Event::Workers => self.pass_workers(),
            Event::State => {
                self.pass_state();
                self.step_embedder();
                let next = self.now() + STATE_EVERY;
                self.at(next, Event::State);
            }
            Event::Look => {
                let now = self.now();
                self.checker.check_liveness(SimTime::from_millis(now));
                if self.checker.are_limits_exhausted() {
                    self.mark("at-limit");
                }
                self.audit_quota();
                self.at(now + LOOK_EVERY, Event::Look);
            }
            Event::Line(number) => {
                let (_, deed) = script.lines[number].clone();
                self.note(format!("{deed:?}"));
                self.carry_out(deed);
            }
            Event::Start(node) => self.start(node),
            Event::Upgrade(order) => self.upgrade_next(&order),
            Event::RollBack(node) => self.roll_back(node),
            Event::User(step) => self.user(step),
        }
    }

    // ---- nodes

    fn start(&mut self, at: usize) {
        let now = self.now();
        let incarnation = self.random.u64(..);
        let slot = &mut self.slots[at];
        if slot.node.is_some() {
            return;
        }
        slot.life += 1;
        slot.halted = 0;
        slot.started = now;
        slot.backlog.clear();
        slot.out = Rc::default();
        let net = SimNet::new(self.clock.clone(), now, slot.out.clone());
        let version = slot.version;
        slot.node = Some((self.launcher.launch)(Start {
            version,
            settings: slot.settings_json.clone(),
            features: self.site.features.clone(),
            net,
            incarnation,
        }));
        self.note(format!("node {at} starts, {version:?} version"));
        self.run(at, None);
    }

    fn kill(&mut self, at: usize, back: Option<u64>) {
        self.note(format!("node {at} is killed"));
        self.mark("killed");
        let slot = &mut self.slots[at];
        slot.node = None;
        let life = slot.life;
        self.open.retain(|(node, l, _)| (*node, *l) != (at, life));
        if let Some(after) = back {
            let at_time = self.now() + after;
            self.at(at_time, Event::Start(at));
        }
    }

    /// Gives the node something to take in, lets it do what is due, and sends what it sends.
    fn run(&mut self, at: usize, event: Option<TransportEvent>) {
        let now = self.now();
        let trace = self.said != (at, now) && std::env::var_os("LOG_LEVEL").is_some();
        let slot = &mut self.slots[at];
        let Some(node) = &mut slot.node else { return };
        if now < slot.halted {
            slot.backlog.extend(event);
            let wake = (slot.halted, slot.life);
            slot.wake = wake.0;
            self.at(wake.0, Event::Wake(at, wake.1));
            return;
        }
        if trace {
            eprintln!("---- {:.3} node {at}", now as f64 / 1000.0);
            self.said = (at, now);
        }
        for held in std::mem::take(&mut slot.backlog) {
            self.fingerprint.received(now, at, &held);
            node.handle_event(held);
        }
        if let Some(event) = event {
            self.fingerprint.received(now, at, &event);
            node.handle_event(event);
        }
        node.run_due_work();
        let life = slot.life;
        slot.wake = (slot.started + node.next_wake()).max(now + 1);
        let (wake, out) = (slot.wake, slot.out.take());
        self.at(wake, Event::Wake(at, life));
        for sent in out {
            self.fingerprint.sent(now, at, &sent);
            match sent {
                Out::Respond(conn, response) => self.respond(at, life, conn, response),
                Out::Call(call) => self.call((at, life, call.id), call),
            }
        }
    }

    fn at_node(&mut self, node: usize, listener: ListenerKind, origin: Origin, request: Request) {
        let slot = &self.slots[node];
        if slot.node.is_none() {
            if let Origin::Peer(from) = origin {
                self.reply(from, Err(CallError::NotSent));
            }
            return;
        }
        self.serial += 1;
        let serial = self.serial;
        self.conns.insert((node, slot.life, serial), origin);
        let conn = ConnId { slot: 0, serial };
        let event = TransportEvent::Request {
            conn,
            listener,
            request,
        };
        self.run(node, Some(event));
    }

    fn respond(&mut self, node: usize, life: u64, conn: ConnId, response: Response) {
        let Some(origin) = self.conns.remove(&(node, life, conn.serial)) else {
            return;
        };
        let when = self.now() + self.latency();
        match origin {
            Origin::Nobody => {}
            Origin::Peer(from) => {
                if let Some(arrives) = self.passes(node, Side::Peers, Some(from.0), when) {
                    self.at(arrives, Event::Reply(from, Ok(response)));
                }
            }
            Origin::Worker { host, tick, sent } => {
                let zone = self.workers.get(&host).map(|w| w.zone.clone());
                let Some(zone) = zone else { return };
                if let Some(arrives) = self.passes_to(node, &zone, when) {
                    let at_worker = Event::WorkerAnswer {
                        host,
                        tick,
                        sent,
                        response,
                    };
                    self.at(arrives, at_worker);
                }
            }
            Origin::User(ask) => {
                if let Some(arrives) = self.passes(node, Side::Users, None, when) {
                    self.at(arrives, Event::User(users::Step::Told(ask, response)));
                }
            }
        }
    }

    fn is_cut_off(&self, zone: &str) -> bool {
        let (cut, until) = &self.troubles.zone_cut;
        self.now() < *until && zone == cut
    }

    /// Whether the two zones can't reach each other.
    fn apart(&self, one: &str, other: &str) -> bool {
        let parted = self.now() < self.troubles.zones_apart;
        one != other && (parted || self.is_cut_off(one) || self.is_cut_off(other))
    }

    /// When a message between a node and a worker arrives.
    fn passes_to(&self, node: usize, worker_zone: &str, when: u64) -> Option<u64> {
        let apart = self.apart(&self.slots[node].settings.zone, worker_zone);
        self.passes(node, Side::Workers, None, when)
            .filter(|_| !apart)
    }

    /// When a message between a node and that side arrives; `None` if it is lost.
    fn passes(&self, node: usize, side: Side, peer: Option<usize>, when: u64) -> Option<u64> {
        let now = self.now();
        let cut = |c: &&Cut| {
            let hit = c.node == node || peer == Some(c.node);
            now < c.until && hit && c.sides.contains(&side)
        };
        let zone = |n: usize| self.slots[n].settings.zone.as_str();
        let apart = match (side, peer) {
            (Side::Peers, Some(peer)) => self.apart(zone(node), zone(peer)),
            (Side::State | Side::Users, _) => self.is_cut_off(zone(node)),
            _ => false,
        };
        match self.troubles.cuts.iter().find(cut) {
            Some(cut) if cut.holds => Some(cut.until + (when - now)),
            Some(_) => None,
            None if apart => None,
            None => Some(when),
        }
    }

    /// A node calls somebody.
    fn call(&mut self, from: CallRef, call: Call) {
        let now = self.now();
        self.open.insert(from);
        self.at(now + call.limit, Event::Reply(from, Err(CallError::Lost)));
        let when = now + self.latency();
        let to = call.to.to_string();
        let node = from.0;
        if to == script::STATE {
            let Some(arrives) = self.passes(node, Side::State, None, when) else {
                return;
            };
            let mut carried = Carried::Soundly;
            let mut arrives = arrives + self.slowness();
            if call.target == "/txn" {
                if self.chance(self.troubles.lost_answers) {
                    carried = Carried::Silently;
                    self.mark("lost-answer");
                } else if self.chance(self.troubles.late_writes) {
                    carried = Carried::Silently;
                    arrives += self.random.u64(2000..12_000);
                    self.mark("late-write");
                }
            }
            self.at(arrives, Event::AtState(from, call, carried));
        } else if to == script::CLOUD {
            if self.is_cut_off(&self.slots[node].settings.zone) {
                return;
            }
            let when = when + 50 + self.random.u64(0..100);
            self.at(when, Event::AtCloud(from, call));
        } else if let Some(peer) = self
            .slots
            .iter()
            .position(|s| s.settings.internal == call.to)
        {
            if let Some(arrives) = self.passes(node, Side::Peers, Some(peer), when) {
                let request = call.request();
                let origin = Origin::Peer(from);
                self.at(
                    arrives,
                    Event::AtNode(peer, ListenerKind::Internal, origin, request),
                );
            }
        } else if let Some(host) = self.host_at(&to) {
            let body = decode(&call.body).unwrap_or(Value::Null);
            let zone = self.workers[&host].zone.clone();
            if let Some(arrives) = self.passes_to(node, &zone, when) {
                self.at(arrives, Event::AtWorker(host, from, body));
            }
        }
    }

    fn slowness(&mut self) -> u64 {
        let (most, until) = self.troubles.slow;
        if self.now() < until {
            self.random.u64(most / 2..=most)
        } else {
            0
        }
    }

    fn reply(&mut self, from: CallRef, result: Result<Response, CallError>) {
        if !self.open.remove(&from) {
            return;
        }
        let (node, life, call) = from;
        if self.slots[node].life == life {
            self.run(node, Some(TransportEvent::Reply { call, result }));
        }
    }

    // ---- the state service

    fn at_state(&mut self, from: CallRef, call: Call, carried: Carried) {
        let now = self.now();
        let node = from.0;
        let refused = self.troubles.refused.iter();
        let refused = refused.clone().any(|(n, until)| *n == node && now < *until);
        let answer = if now < self.troubles.outage || refused {
            if call.target.starts_with("/changes") {
                // Watches stay open.
                return;
            }
            (503, Value::Null)
        } else if !self.requests.takes(now, 1.0) {
            self.mark("over-budget");
            (429, Value::Null)
        } else if call.target.starts_with("/changes") {
            let until = now + hold_ms(&call.target);
            let target = call.target;
            self.watches.push(Watch {
                from,
                target,
                until,
            });
            return;
        } else {
            let body = decode(&call.body).unwrap_or(Value::Null);
            let writes = values::list(&body, "apply").len() as f64;
            if writes > 0.0 && !self.writes.takes(now, writes) {
                self.mark("over-budget");
                (429, Value::Null)
            } else {
                let answer = self.state.handle(now, &call.method, &call.target, &body);
                if answer.0 == 400 {
                    self.note_refusal(node, &call.target, &answer.1, carried);
                }
                self.see_leader();
                answer
            }
        };
        if carried == Carried::Silently {
            return;
        }
        let when = now + self.latency();
        let response = Response::new(answer.0, encode(&answer.1));
        if let Some(arrives) = self.passes(node, Side::State, None, when) {
            self.at(arrives, Event::Reply(from, Ok(response)));
        }
    }

    /// The state service answers 400. A claim of the leadership that is carried out so late that its
    /// lease has expired can't but get that; anything else is a request that should not have been sent.
    fn note_refusal(&mut self, node: usize, target: &str, answer: &Value, carried: Carried) {
        let error = text(answer, "error");
        self.note(format!(
            "state service: 400 to node {node}: {target}: {error}"
        ));
        let late_claim = error == state_service::NO_SUCH_LEASE && carried == Carried::Silently;
        self.mark(if late_claim {
            "late-claim"
        } else {
            "refused-by-state"
        });
    }

    fn pass_state(&mut self) {
        let now = self.now();
        if now < self.troubles.outage {
            self.state.refill_leases(now);
            return;
        }
        self.state.expire(now);
        self.see_leader();
        for watch in std::mem::take(&mut self.watches) {
            let node = watch.from.0;
            let mut refused = self.troubles.refused.iter();
            let refused = refused.any(|(n, until)| *n == node && now < *until);
            let answer = if refused {
                None
            } else {
                self.state.changes(&watch.target, now >= watch.until)
            };
            match answer {
                None => self.watches.push(watch),
                Some((status, body)) => {
                    let when = now + self.latency();
                    let response = Response::new(status, encode(&body));
                    if let Some(arrives) = self.passes(node, Side::State, None, when) {
                        self.at(arrives, Event::Reply(watch.from, Ok(response)));
                    }
                }
            }
        }
    }

    /// Who leads, by the state service's word.
    fn see_leader(&mut self) {
        let term = self
            .state
            .peek("lead/term")
            .map_or(0, |t| number(t, "term"));
        let holder = self.state.peek("lead/holder").map(|h| text(h, "node"));
        let named = |h: String| self.slots.iter().position(|s| s.settings.name == h);
        if let Some(leader) = holder.and_then(named) {
            let before = self.leader.replace(leader);
            if before.is_some_and(|node| node != leader && self.could_go_on(node)) {
                self.mark("moved");
            }
        }
        if term == self.term {
            return;
        }
        self.term = term;
        self.mark_takeover();
        self.note(format!("term {term}: node {:?} leads", self.leader));
        let now = self.now();
        let (due, later) = std::mem::take(&mut self.at_takeover)
            .into_iter()
            .partition(|(from, _)| *from <= now);
        self.at_takeover = later;
        for (_, deed) in due {
            self.note(format!("{deed:?}"));
            self.carry_out(deed);
        }
        for request in std::mem::take(&mut self.kept_reports) {
            self.mark("old-report-at-new-leader");
            for node in 0..self.slots.len() {
                let when = self.now() + 5 + self.random.u64(0..600);
                let event =
                    Event::AtNode(node, ListenerKind::Public, Origin::Nobody, request.clone());
                self.at(when, event);
            }
        }
    }

    // ---- machines

    fn host_at(&self, address: &str) -> Option<String> {
        let mut workers = self.workers.values();
        workers
            .find(|w| w.address == address)
            .map(|w| w.name.clone())
    }

    fn rent(&mut self, kind: &str, zone: &str, spot: bool, boot_ms: Option<u64>) -> String {
        let now = self.now();
        let boot = boot_ms.unwrap_or_else(|| {
            let usual = self.site.boot_ms(kind) as f64;
            let boot = usual * (0.6 + 0.9 * self.random.f64());
            self.cloud.boot_ms.unwrap_or(boot as u64)
        });
        let number = self.cloud.machines.len();
        let name = format!("vm-{number:06}");
        let address = format!("10.1.{}.{}:9000", number / 250, 1 + number % 250);
        let mut worker = Worker::new(name.clone(), address.clone(), kind, zone, spot);
        worker.cpus = self.site.cpus(kind);
        worker.fetch_ms = 300 + self.random.u64(0..900);
        worker.at = self.random.usize(0..self.slots.len());
        self.cloud.add(&worker, now, now + boot);
        self.workers.insert(name.clone(), worker);
        name
    }

    fn at_cloud(&mut self, from: CallRef, call: &Call) {
        let now = self.now();
        let body = decode(&call.body).unwrap_or(Value::Null);
        let path = call.target.split('?').next().unwrap_or("");
        let away = map_error("trouble");
        let answer = match (call.method.as_str(), path) {
            _ if now < self.troubles.cloud_away => (503, away),
            ("GET", "/machine_types") => (200, self.site.types()),
            ("POST", "/hosts") => self.rented(&body),
            ("POST", "/hosts/release") => {
                let names = values::list(&body, "hosts").iter();
                let names: Vec<String> = names
                    .filter_map(|name| name.as_text().map(str::to_owned))
                    .collect();
                self.judge_release(&names);
                for name in names {
                    self.gone(&name);
                }
                (200, values::map(vec![]))
            }
            _ => (200, self.cloud.list(now, &call.target)),
        };
        let when = now + 20 + self.latency();
        let response = Response::new(answer.0, encode(&answer.1));
        self.at(when, Event::Reply(from, Ok(response)));
    }

    /// Machines that the leader returns: what it gives up of a zone that is cut off is judged.
    fn judge_release(&mut self, names: &[String]) {
        let now = self.now();
        let (zone, cut_until) = self.troubles.zone_cut.clone();
        let in_zone = self.workers.values().filter(|worker| worker.zone == zone);
        let machines: BTreeMap<String, Vec<HeldTask>> = in_zone
            .map(|worker| (worker.name.clone(), worker.held_tasks()))
            .collect();
        let released = names.iter().filter_map(|name| machines.get(name));
        if (cut_until..cut_until + RETURNED_MS).contains(&now) {
            let wanted = released
                .clone()
                .filter(|held| self.checker.is_wanted_work(held));
            for _ in 0..wanted.count() {
                self.mark("given-up-after-return");
            }
        }
        if self.site.tracks_zones && self.is_cut_off(&zone) {
            for _ in 0..released.count() {
                self.mark("given-up-in-cut");
            }
            let now = SimTime::from_millis(now);
            self.checker.observe_zone_release(now, names, &machines);
        }
    }

    /// Whether nothing keeps that node from leading.
    fn could_go_on(&self, node: usize) -> bool {
        let slot = &self.slots[node];
        let now = self.now();
        let halted = slot.halted > now;
        slot.node.is_some() && !halted && !self.is_cut_off(&slot.settings.zone)
    }

    fn rented(&mut self, body: &Value) -> (u16, Value) {
        let request = text(body, "ask");
        if let Some(answer) = self.cloud.asked.get(&request) {
            return (200, answer.clone());
        }
        let spot = get(body, "loaners").and_then(Value::as_bool) == Some(true);
        let (kind, zone) = (text(body, "hosttype"), text(body, "hall"));
        if self.is_cut_off(&zone) && self.now() > self.troubles.zone_cut_at + NOTICED_MS {
            self.mark("rented-in-cut-zone");
        }
        let room = self.site.market.saturating_sub(self.cloud.there());
        let count = number(body, "howMany").min(room as u64);
        if count == 0 {
            return (503, map_error("no capacity"));
        }
        let names = (0..count).map(|_| self.rent(&kind, &zone, spot, None));
        let names = Value::Array(names.map(Value::from).collect());
        let answer = values::map(vec![("hosts", names)]);
        self.cloud.asked.insert(request, answer.clone());
        (200, answer)
    }

    /// The machine and all on it are no more.
    fn gone(&mut self, name: &str) {
        let now = self.now();
        if let Some(mut worker) = self.workers.remove(name) {
            worker.end();
            self.deeds(&mut worker);
            self.observe(Observation::MachineGone(name.to_owned()));
        }
        self.cloud.remove(name, now);
    }

    /// Tells the checker what happened on the machine.
    fn deeds(&mut self, worker: &mut Worker) {
        let now = self.now();
        for deed in std::mem::take(&mut worker.deeds) {
            let host = worker.name.clone();
            let (Deed::Taken(task) | Deed::Begun(task) | Deed::Over(task, _)) = &deed;
            let Some(task) = TaskId::parse(task) else {
                continue;
            };
            self.note(format!("{host}: {deed:?}"));
            let observation = match deed {
                Deed::Taken(_) => Observation::TaskAccepted { host, task },
                Deed::Begun(_) => Observation::TaskStarted { host, task },
                Deed::Over(_, is_complete) => Observation::TaskEnded {
                    host,
                    task,
                    is_complete,
                },
            };
            let ends = matches!(
                observation,
                Observation::TaskEnded {
                    is_complete: true,
                    ..
                }
            );
            self.observe(observation);
            if now < worker.quick_until {
                self.mark("work-on-a-new-machine");
            }
            if ends {
                self.task_done(task.job);
            }
        }
    }

    fn pass_workers(&mut self) {
        let now = self.now();
        for name in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.workers[&name].gone_at.is_some_and(|at| now >= at) {
                self.mark("taken");
                self.gone(&name);
                continue;
            }
            let Some(mut worker) = self.workers.remove(&name) else {
                continue;
            };
            self.pass_worker(&mut worker, now);
            self.workers.insert(name, worker);
        }
        self.at(now + WORKERS_EVERY, Event::Workers);
    }

    fn pass_worker(&mut self, worker: &mut Worker, now: u64) {
        let up_at = self.cloud.machines[&worker.name].up_at;
        if now < up_at {
            return;
        }
        if !self.cloud.machines[&worker.name].begun {
            self.cloud.begin(&worker.name);
            worker.begin(now, (self.site.lease_s * 1000.0) as u64);
            worker.quick_until = now + 3000;
            self.observe(Observation::MachineUp {
                host: worker.name.clone(),
                zone: worker.zone.clone(),
                is_spot: worker.spot,
                cpus: worker.cpus,
            });
        }
        if now < worker.hangs {
            worker.hung = true;
            return;
        }
        if std::mem::take(&mut worker.hung) {
            worker.resumed(now - worker.moved);
        }
        worker.moved = now;
        let session = worker.session;
        let held_work = worker.holds_work();
        worker.pass(now);
        if worker.session > session && held_work {
            self.mark("lease-ended");
        }
        for (from, body) in worker.take_held() {
            self.command(worker, from, &body);
        }
        let spread = 0.75 + 0.5 * self.random.f64();
        let every = (self.site.report_s * 1000.0 * spread) as u64;
        if worker.reports(now, every) {
            self.send_report(worker);
        }
        self.deeds(worker);
    }

    fn send_report(&mut self, worker: &mut Worker) {
        let now = self.now();
        let node = worker.at % self.slots.len();
        let report = worker.report(now);
        let tick = worker.tick;
        worker.in_flight = Some((tick, now));
        let request = Request {
            method: "POST".into(),
            target: "/agent/beat".into(),
            body: encode(&report),
            close: false,
        };
        if now < worker.mute || now < worker.cut {
            return;
        }
        if now < self.troubles.reports_for_next && self.random.f64() < 0.3 {
            self.kept_reports.push(request.clone());
        }
        if self.chance(self.troubles.late_reports) {
            self.mark("late-report");
            let lease = (self.site.lease_s * 1000.0) as u64;
            let when = now + 2000 + self.random.u64(0..lease * 2);
            let event = Event::AtNode(node, ListenerKind::Public, Origin::Nobody, request.clone());
            self.at(when, event);
        }
        let slot = &self.slots[node];
        if slot.node.is_none() {
            worker.elsewhere(now);
            return;
        }
        let when = now + self.latency();
        if let Some(arrives) = self.passes_to(node, &worker.zone, when) {
            let (host, sent) = (worker.name.clone(), now);
            let origin = Origin::Worker { host, tick, sent };
            self.at(
                arrives,
                Event::AtNode(node, ListenerKind::Public, origin, request),
            );
        }
    }

    fn answer_worker(&mut self, host: &str, tick: u64, sent: u64, response: &Response) {
        let now = self.now();
        let Some(mut worker) = self.workers.remove(host) else {
            return;
        };
        let lost = now < worker.deaf || now < worker.cut || now < worker.hangs;
        let late = worker.in_flight.is_none_or(|(t, _)| t != tick);
        if !lost && !late {
            worker.pass(now);
            let body: Value = decode(&response.body).unwrap_or(Value::Null);
            match response.status {
                200 => {
                    let users = &self.users;
                    worker.answered(tick, sent, &body, now, &|task| users.lookup(task));
                }
                421 => {
                    let foreman = text(&body, "foreman");
                    let named = self.slots.iter().position(|s| s.settings.name == foreman);
                    match named.filter(|n| *n != worker.at % self.slots.len()) {
                        Some(node) => {
                            worker.in_flight = None;
                            worker.at = node;
                            worker.next_report = now + self.random.u64(0..500);
                        }
                        None => worker.elsewhere(now),
                    }
                }
                _ => worker.elsewhere(now),
            }
            self.deeds(&mut worker);
        }
        self.workers.insert(host.to_owned(), worker);
    }

    fn at_worker(&mut self, host: String, from: CallRef, body: Value) {
        let now = self.now();
        let Some(mut worker) = self.workers.remove(&host) else {
            return;
        };
        let up = self.cloud.machines[&host].begun;
        if up && now >= worker.deaf && now >= worker.cut {
            if now < worker.hangs {
                worker.hold(from, body);
            } else {
                worker.pass(now);
                self.command(&mut worker, from, &body);
            }
        }
        self.workers.insert(host, worker);
    }

    fn command(&mut self, worker: &mut Worker, from: CallRef, body: &Value) {
        let now = self.now();
        let users = &self.users;
        let took_effect = worker.commanded(body, now, &|task| users.lookup(task));
        let status = if took_effect { 200 } else { 409 };
        let response = Response::new(status, encode(&worker.report(now)));
        self.deeds(worker);
        let when = now + self.latency();
        if let Some(arrives) = self.passes_to(from.0, &worker.zone, when) {
            self.at(arrives, Event::Reply(from, Ok(response)));
        }
    }
}

fn map_error(what: &str) -> Value {
    values::map(vec![("error", what.into())])
}
