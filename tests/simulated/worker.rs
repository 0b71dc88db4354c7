//! A machine's worker as the protocol describes it, in simulated time.

use ciborium::Value;

use super::checker::HeldTask;
use super::ids::TaskId;
use super::CallRef;
use lichencrank_testkit::values::{list, map, number, text};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Fetching { until: u64 },
    Running { until: u64 },
    Ended { why: &'static str },
}

#[derive(Clone, Debug)]
pub struct Piece {
    pub task: String,
    pub attempt: u64,
    pub state: State,
    pub cpus: f64,
    run_ms: u64,
}

/// What happened to a task here, for the checker.
#[derive(Clone, Debug, PartialEq)]
pub enum Deed {
    /// Accepted: it takes room from now on, and waits for its image.
    Taken(String),
    Begun(String),
    /// `true`: it completed.
    Over(String, bool),
}

/// What a worker knows of a task that it is told to run: CPUs and run time.
pub type Lookup<'a> = &'a dyn Fn(&str) -> Option<(f64, u64)>;

pub struct Worker {
    pub name: String,
    pub address: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub session: u64,
    pub tick: u64,
    pub token: u64,
    pub pieces: Vec<Piece>,
    pub fetch_ms: u64,
    lease_ms: u64,
    /// When the last report was sent that got an answer which counts.
    answered: u64,
    /// The node it reports to.
    pub at: usize,
    pub in_flight: Option<(u64, u64)>,
    pub next_report: u64,
    last_report: u64,
    changed: bool,
    /// Until when it stands still, hears nothing, says nothing, or is cut off.
    pub hangs: u64,
    pub deaf: u64,
    pub mute: u64,
    pub cut: u64,
    /// Until then every task that it starts fails.
    pub sick: u64,
    /// The cloud takes it away then, and it was told so.
    pub gone_at: Option<u64>,
    /// Whether it stood still until now, and when it last moved.
    pub hung: bool,
    pub moved: u64,
    /// It is new until then.
    pub quick_until: u64,
    /// Commands that arrived while it stood still.
    held: Vec<(CallRef, Value)>,
    pub deeds: Vec<Deed>,
}

impl Worker {
    pub fn new(name: String, address: String, kind: &str, zone: &str, spot: bool) -> Worker {
        Worker {
            name,
            address,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
            cpus: 0.0,
            session: 1,
            tick: 0,
            token: 0,
            pieces: Vec::new(),
            fetch_ms: 500,
            lease_ms: 0,
            answered: 0,
            at: 0,
            in_flight: None,
            next_report: 0,
            last_report: 0,
            changed: false,
            hangs: 0,
            deaf: 0,
            mute: 0,
            cut: 0,
            sick: 0,
            gone_at: None,
            hung: false,
            moved: 0,
            quick_until: 0,
            held: Vec::new(),
            deeds: Vec::new(),
        }
    }

    pub fn begin(&mut self, now: u64, lease_ms: u64) {
        self.lease_ms = lease_ms;
        self.answered = now;
        self.next_report = now;
    }

    /// Tasks that are here and have not ended.
    pub fn present(&self) -> impl Iterator<Item = &str> {
        let there = self.pieces.iter();
        let there = there.filter(|p| !matches!(p.state, State::Ended { .. }));
        there.map(|p| p.task.as_str())
    }

    /// All tasks that are here, also those that have ended.
    pub fn held_tasks(&self) -> Vec<HeldTask> {
        let held = |piece: &Piece| {
            Some(HeldTask {
                task: TaskId::parse(&piece.task)?,
                has_ended: matches!(piece.state, State::Ended { .. }),
            })
        };
        self.pieces.iter().filter_map(held).collect()
    }

    pub fn holds_work(&self) -> bool {
        self.present().next().is_some()
    }

    fn free(&self) -> f64 {
        let there = self.pieces.iter();
        let there = there.filter(|p| !matches!(p.state, State::Ended { .. }));
        self.cpus - there.map(|p| p.cpus).sum::<f64>()
    }

    /// Time passes: images arrive, tasks complete, the lease runs out.
    pub fn pass(&mut self, now: u64) {
        if now > self.answered + self.lease_ms {
            for piece in std::mem::take(&mut self.pieces) {
                if !matches!(piece.state, State::Ended { .. }) {
                    self.deeds.push(Deed::Over(piece.task, false));
                }
            }
            self.session += 1;
            self.tick = 0;
            self.answered = now;
            self.in_flight = None;
            self.changed = true;
        }
        for piece in &mut self.pieces {
            if let State::Fetching { until } = piece.state {
                if now >= until {
                    let until = now + piece.run_ms;
                    piece.state = State::Running { until };
                    self.deeds.push(Deed::Begun(piece.task.clone()));
                    self.changed = true;
                    if now < self.sick {
                        piece.state = State::Ended { why: "error" };
                        self.deeds.push(Deed::Over(piece.task.clone(), false));
                    }
                }
            }
            if matches!(piece.state, State::Running { until } if now >= until) {
                piece.state = State::Ended { why: "done" };
                self.deeds.push(Deed::Over(piece.task.clone(), true));
                self.changed = true;
            }
        }
    }

    /// A machine that hung executed nothing meanwhile.
    pub fn resumed(&mut self, after_ms: u64) {
        for piece in &mut self.pieces {
            if let State::Running { until } | State::Fetching { until } = &mut piece.state {
                *until += after_ms;
            }
        }
    }

    pub fn hold(&mut self, from: CallRef, command: Value) {
        self.held.push((from, command));
    }

    pub fn take_held(&mut self) -> Vec<(CallRef, Value)> {
        std::mem::take(&mut self.held)
    }

    /// Whether a report goes out now.
    pub fn reports(&mut self, now: u64, every: u64) -> bool {
        if let Some((_, sent)) = self.in_flight {
            if now < sent + 4000 {
                return false;
            }
            self.elsewhere(now);
            return false;
        }
        let due = now >= self.next_report;
        let due =
            due || self.changed && now >= self.last_report + 500 && self.next_report < u64::MAX;
        if due {
            self.changed = false;
            self.last_report = now;
            self.next_report = now + every;
        }
        due
    }

    /// No answer that helps: the next node, a second later.
    pub fn elsewhere(&mut self, now: u64) {
        self.in_flight = None;
        self.at += 1;
        self.changed = false;
        self.next_report = now + 1000;
    }

    /// The cloud gives notice that it takes the machine away.
    pub fn give_notice(&mut self, gone_at: u64) {
        self.gone_at = Some(gone_at);
        self.changed = true;
    }

    pub fn report(&mut self, now: u64) -> Value {
        self.tick += 1;
        let pieces = self.pieces.iter().map(|p| {
            let (status, why) = match p.state {
                State::Fetching { .. } => ("fetching", Value::Null),
                State::Running { .. } => ("running", Value::Null),
                State::Ended { why } => ("ended", why.into()),
            };
            map(vec![
                ("piece", p.task.as_str().into()),
                ("try", p.attempt.into()),
                ("status", status.into()),
                ("cause", why),
            ])
        });
        let pieces = Value::Array(pieces.collect());
        let notice = self
            .gone_at
            .map(|at| at.saturating_sub(now) as f64 / 1000.0);
        map(vec![
            ("host", self.name.as_str().into()),
            ("address", self.address.as_str().into()),
            ("hosttype", self.kind.as_str().into()),
            ("hall", self.zone.as_str().into()),
            ("loaners", self.spot.into()),
            ("tenure", self.session.into()),
            ("tick", self.tick.into()),
            ("baton", self.token.into()),
            ("warningS", notice.map_or(Value::Null, Value::from)),
            ("pieces", pieces),
        ])
    }

    /// An answer to the report with that tick.
    pub fn answered(&mut self, tick: u64, sent: u64, message: &Value, now: u64, lookup: Lookup) {
        if self.in_flight.is_none_or(|(t, _)| t != tick) {
            return;
        }
        self.in_flight = None;
        if self.accepts(message) {
            self.answered = sent;
            self.obey(message, now, lookup);
        }
    }

    fn accepts(&mut self, message: &Value) -> bool {
        let token = number(message, "baton");
        if token == 0 || token < self.token {
            return false;
        }
        self.changed |= token > self.token;
        self.token = token;
        true
    }

    /// A direct command: `true` if it was executed.
    pub fn commanded(&mut self, message: &Value, now: u64, lookup: Lookup) -> bool {
        let ours = number(message, "tenure") == self.session;
        if !ours || !self.accepts(message) {
            return false;
        }
        self.obey(message, now, lookup);
        true
    }

    fn obey(&mut self, message: &Value, now: u64, lookup: Lookup) {
        for order in list(message, "orders") {
            let (task, attempt) = (text(order, "piece"), number(order, "try"));
            let is = |p: &Piece| p.task == task && p.attempt == attempt;
            let at = self.pieces.iter().position(is);
            match (text(order, "verb").as_str(), at) {
                ("run", None) => {
                    let piece = self.take(task, attempt, now, lookup);
                    self.pieces.push(piece);
                }
                ("stop", Some(at)) => {
                    let piece = &mut self.pieces[at];
                    if !matches!(piece.state, State::Ended { .. }) {
                        piece.state = State::Ended { why: "halted" };
                        self.deeds.push(Deed::Over(task, false));
                    }
                }
                ("clear", Some(at)) if matches!(self.pieces[at].state, State::Ended { .. }) => {
                    self.pieces.remove(at);
                }
                _ => continue,
            }
            self.changed = true;
        }
    }

    fn take(&mut self, task: String, attempt: u64, now: u64, lookup: Lookup) -> Piece {
        let known = lookup(&task);
        let there = |p: &Piece| p.task == task && !matches!(p.state, State::Ended { .. });
        let refused = match known {
            None => Some("no_such"),
            Some(_) if self.pieces.iter().any(there) => Some("in_use"),
            Some((cpus, _)) if cpus > self.free() => Some("no_room"),
            Some(_) => None,
        };
        let state = match refused {
            Some(why) => State::Ended { why },
            None => {
                self.deeds.push(Deed::Taken(task.clone()));
                let until = now + self.fetch_ms;
                State::Fetching { until }
            }
        };
        let (cpus, run_ms) = known.unwrap_or((0.0, 0));
        Piece {
            task,
            attempt,
            state,
            cpus,
            run_ms,
        }
    }

    /// Some replicas of services, which run without end, end all the same.
    pub fn end_replicas(
        &mut self,
        why: &'static str,
        share: f64,
        random: &mut fastrand::Rng,
    ) -> usize {
        let mut ended = 0;
        for piece in &mut self.pieces {
            let endless = matches!(piece.state, State::Running { until } if until > u64::MAX / 8);
            if endless && random.f64() < share {
                piece.state = State::Ended { why };
                self.deeds.push(Deed::Over(piece.task.clone(), false));
                self.changed = true;
                ended += 1;
            }
        }
        ended
    }

    /// The machine is no more.
    pub fn end(&mut self) {
        for piece in std::mem::take(&mut self.pieces) {
            if !matches!(piece.state, State::Ended { .. }) {
                self.deeds.push(Deed::Over(piece.task, false));
            }
        }
    }
}
