//! Requests to the state service: their order under the budget, and what their answers mean.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use super::budget::Budget;
use crate::protocol::state::{Applied, Failed, Grant, Granted, Item, News, Page, Txn};
use crate::protocol::{decode, encode};
use crate::transport::{CallError, CallId, Response};
use crate::types::{LeaseId, Stamp, Time};

/// Who goes first when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Elections and renewals, which all else depends on.
    Lease,
    /// What users wait for.
    User,
    /// The leader's records.
    Booking,
    /// Status queries.
    Read,
}

/// A request to the state service.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Reads a key.
    Get(String),
    /// Reads a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Begins behind this key.
        after: String,
        /// Most items.
        limit: u32,
    },
    /// Carries out a transaction.
    Txn(Txn),
    /// Asks for a lease of that length.
    Grant(Duration),
    /// Renews a lease.
    Extend(LeaseId),
    /// Ends a lease.
    End(LeaseId),
    /// Waits for changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes count.
        after: Stamp,
        /// How long to wait.
        hold: Duration,
    },
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome {
    /// The key's item; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of keys.
    Page(Page),
    /// The transaction was carried out at that revision.
    Applied(Stamp),
    /// The versions of these keys differ from the conditions.
    Conflict(Vec<String>),
    /// The lease.
    Granted(LeaseId),
    /// The lease was renewed or ended.
    Extended,
    /// The lease is no more.
    LeaseGone,
    /// Changes that a watch brought.
    News(News),
    /// The watch began too far back.
    TooOld,
    /// Surely not carried out; again later.
    Refused,
    /// Surely not carried out, as the budget does not suffice: the service itself is well.
    Busy,
    /// May have been carried out, or may yet be.
    Unknown,
    /// Refused for what it says; repeating it is of no use.
    Invalid,
}

/// Identifies a request to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StateRequestId(pub u64);

struct Waiting {
    id: StateRequestId,
    ask: Ask,
    limit: Duration,
    until: Time,
}

/// A request ready to be sent.
pub struct Outgoing {
    /// The request.
    pub id: StateRequestId,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP target.
    pub target: String,
    /// HTTP body.
    pub body: Vec<u8>,
    /// How long its answer is awaited.
    pub limit: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Get,
    List,
    Txn,
    Grant,
    Lease,
    Watch,
}

/// Queues requests to the state service and reads their answers.
pub struct Store {
    next: u64,
    turn: u32,
    queues: BTreeMap<Class, VecDeque<Waiting>>,
    requests: Budget,
    /// The budget of puts and deletes.
    pub writes: Budget,
    sent: HashMap<StateRequestId, (Kind, Time)>,
    /// The longest that answers took lately, in milliseconds; it fades with each answer.
    slowest: f64,
    calls: HashMap<CallId, StateRequestId>,
    /// When the service last answered properly.
    pub good_at: Option<Time>,
}

/// One of so many requests is a read, if any waits.
const READ_EVERY: u32 = 4;
const SLOWEST_KEEP: f64 = 0.9;
/// A request without an answer counts as lost after this, or after three times as long as answers
/// took lately, but not after more than a user has.
const LEAST_PATIENCE: Duration = Duration::from_millis(450);
const MOST_PATIENCE: Duration = Duration::from_millis(1500);
/// Above this share of the request budget there is some to spare.
const SPARE: f64 = 0.5;
/// A 429 means that the nodes together spend too much.
const PAUSE: Duration = Duration::from_millis(200);

/// A request as it goes out.
struct Rendered {
    kind: Kind,
    method: &'static str,
    target: String,
    body: Vec<u8>,
}

impl Ask {
    fn render(&self) -> Rendered {
        match self {
            Ask::Get(key) => Rendered::bare(Kind::Get, "GET", format!("/kv/{key}")),
            Ask::List {
                prefix,
                after,
                limit,
            } => {
                let mut target = format!("/kv?prefix={prefix}&page={limit}");
                if !after.is_empty() {
                    target.push_str("&after=");
                    target.push_str(after);
                }
                Rendered::bare(Kind::List, "GET", target)
            }
            Ask::Txn(txn) => Rendered::post(Kind::Txn, "/txn", encode(txn)),
            Ask::Grant(ttl) => {
                let ttl_ms = ttl.as_millis() as u64;
                Rendered::post(Kind::Grant, "/grants", encode(&Grant { ttl_ms }))
            }
            Ask::Extend(lease) => {
                Rendered::bare(Kind::Lease, "POST", format!("/grants/{lease}/extend"))
            }
            Ask::End(lease) => Rendered::bare(Kind::Lease, "DELETE", format!("/grants/{lease}")),
            Ask::Watch {
                prefix,
                after,
                hold,
            } => {
                let hold_ms = hold.as_millis();
                let target = format!("/changes?prefix={prefix}&after={after}&holdMs={hold_ms}");
                Rendered::bare(Kind::Watch, "GET", target)
            }
        }
    }
}

impl Rendered {
    /// Without a body.
    fn bare(kind: Kind, method: &'static str, target: String) -> Rendered {
        Rendered {
            kind,
            method,
            target,
            body: Vec::new(),
        }
    }

    fn post(kind: Kind, target: &str, body: Vec<u8>) -> Rendered {
        Rendered {
            kind,
            method: "POST",
            target: target.to_owned(),
            body,
        }
    }
}

impl Store {
    /// `rps` and `write_rps` are this node's share of the budgets.
    pub fn new(rps: f64, write_rps: f64) -> Store {
        Store {
            next: 0,
            turn: 0,
            queues: BTreeMap::new(),
            requests: Budget::new(rps, rps),
            writes: Budget::new(write_rps, write_rps),
            sent: HashMap::new(),
            slowest: 0.0,
            calls: HashMap::new(),
            good_at: None,
        }
    }

    /// What was spent so far: requests and changes.
    pub fn spent(&self) -> (f64, f64) {
        (self.requests.spent(), self.writes.spent())
    }

    /// Sets this controller's share of the rate limits.
    pub fn set_rates(&mut self, now: Time, rps: f64, write_rps: f64) {
        self.requests.set_rate(now, rps);
        self.writes.set_rate(now, write_rps);
    }

    /// Whether requests that can wait may go out beside the others.
    pub fn has_spare(&mut self, now: Time) -> bool {
        self.requests.share(now) > SPARE && self.queues.values().all(VecDeque::is_empty)
    }

    /// Queues a request. `limit` is how long an answer is awaited once it is sent; what can't be
    /// sent within that time is refused.
    pub fn ask(&mut self, now: Time, class: Class, ask: Ask, limit: Duration) -> StateRequestId {
        self.next += 1;
        let id = StateRequestId(self.next);
        let until = now.after(limit);
        let waiting = Waiting {
            id,
            ask,
            limit,
            until,
        };
        self.queues.entry(class).or_default().push_back(waiting);
        id
    }

    /// Takes the next request that the budget allows; `Err` holds one that waited too long. The
    /// higher class goes first, but every so often reads have their turn: else a backlog of writes
    /// would leave polls unanswered for as long as it lasts.
    /// `may_book` says that the own lease stands at this moment: bookings that have waited here since
    /// it ran out are refused.
    pub fn next_outgoing(
        &mut self,
        now: Time,
        may_book: bool,
    ) -> Option<Result<Outgoing, StateRequestId>> {
        for (class, queue) in &mut self.queues {
            let void = |first: &Waiting| {
                let books = *class == Class::Booking && matches!(first.ask, Ask::Txn(_));
                now > first.until || books && !may_book
            };
            if queue.front().is_some_and(void) {
                return queue.pop_front().map(|first| Err(first.id));
            }
        }
        let mut order: Vec<Class> = self.queues.keys().copied().collect();
        if self.turn + 1 >= READ_EVERY {
            order.sort_by_key(|class| !matches!(class, Class::Lease | Class::Read));
        }
        let mut writes_taken = false;
        for class in order {
            let queue = self.queues.get(&class);
            let Some(first) = queue.and_then(VecDeque::front) else {
                continue;
            };
            let writes = match &first.ask {
                Ask::Txn(txn) => txn.changes.len() as f64,
                _ => 0.0,
            };
            // The lease may run the account into debt: without it all the rest is lost.
            if class != Class::Lease {
                if self.requests.available(now) < 1.0 {
                    return None;
                }
                // Lower classes may read meanwhile, but not take the writes that this one waits for.
                if writes > 0.0 && (writes_taken || self.writes.available(now) < 1.0) {
                    writes_taken = true;
                    continue;
                }
            }
            let first = self.queues.get_mut(&class)?.pop_front()?;
            self.turn = (self.turn + 1) % READ_EVERY;
            self.requests.spend(now, 1.0);
            self.writes.spend(now, writes);
            return Some(Ok(self.render(first, now)));
        }
        None
    }

    /// How many requests wait for the budget, and for how long the oldest has.
    pub fn backlog(&self, now: Time) -> (usize, Duration) {
        let waiting = self.queues.values().flatten();
        let ages = waiting.map(|w| w.limit.saturating_sub(w.until.since(now)));
        (
            self.queues.values().map(VecDeque::len).sum(),
            ages.max().unwrap_or_default(),
        )
    }

    fn render(&mut self, waiting: Waiting, now: Time) -> Outgoing {
        let held = match &waiting.ask {
            Ask::Watch { hold, .. } => *hold,
            _ => Duration::ZERO,
        };
        let Rendered {
            kind,
            method,
            target,
            body,
        } = waiting.ask.render();
        self.sent.insert(waiting.id, (kind, now));
        Outgoing {
            id: waiting.id,
            method,
            target,
            body,
            limit: waiting.limit + held,
        }
    }

    /// Notes the call that carries a request.
    pub fn sent_as(&mut self, id: StateRequestId, call: CallId) {
        self.calls.insert(call, id);
    }

    /// Whether the call carries one of the requests.
    pub fn is_own(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Says what the answer to a call means, if the call was one of the store's.
    pub fn answered(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Response, CallError>,
    ) -> Option<(StateRequestId, Outcome)> {
        let id = self.calls.remove(&call)?;
        let (kind, sent) = self.sent.remove(&id)?;
        self.took(now.since(sent), kind, result.is_ok());
        let outcome = self.interpret(now, kind, result);
        if !matches!(outcome, Outcome::Refused | Outcome::Unknown) {
            self.good_at = Some(now);
        }
        Some((id, outcome))
    }

    /// Notes how long an answer took. No answer counts as a slow one, save that of a transaction:
    /// those are lost one by one while all else is quick.
    fn took(&mut self, time: Duration, kind: Kind, answered: bool) {
        let tells = if answered {
            kind != Kind::Watch
        } else {
            !matches!(kind, Kind::Watch | Kind::Txn)
        };
        if tells {
            self.slowest = (self.slowest * SLOWEST_KEEP).max(time.as_millis() as f64);
        }
    }

    /// How long an answer is worth waiting for before the request counts as lost.
    pub fn patience(&self) -> Duration {
        let usual = Duration::from_millis((self.slowest * 3.0) as u64);
        usual.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    fn interpret(&mut self, now: Time, kind: Kind, result: Result<Response, CallError>) -> Outcome {
        let response = match result {
            Ok(response) => response,
            Err(CallError::NotSent | CallError::NoSocket) => return Outcome::Refused,
            Err(CallError::Lost) => return Outcome::Unknown,
        };
        let body = &response.body[..];
        let parsed = match (response.status, kind) {
            (200, Kind::Get) => decode(body).map(|i| Outcome::Item(Some(i))),
            (404, Kind::Get) => Ok(Outcome::Item(None)),
            (200, Kind::List) => decode(body).map(Outcome::Page),
            (200, Kind::Txn) => decode(body).map(|a: Applied| Outcome::Applied(a.revision)),
            (409, Kind::Txn) => decode(body).map(|f: Failed| Outcome::Conflict(f.failed)),
            (200, Kind::Grant) => decode(body).map(|g: Granted| Outcome::Granted(g.lease)),
            (200, Kind::Lease) => Ok(Outcome::Extended),
            (404, Kind::Lease) => Ok(Outcome::LeaseGone),
            (200, Kind::Watch) => decode(body).map(|n: News| Outcome::News(n)),
            (410, Kind::Watch) => Ok(Outcome::TooOld),
            (429, _) => {
                log::debug!("state service: over the budget");
                self.requests.back_off(now, PAUSE);
                self.writes.back_off(now, PAUSE);
                Ok(Outcome::Busy)
            }
            (503, _) => Ok(Outcome::Refused),
            (400, _) => {
                log::warn!("state service: 400 {}", String::from_utf8_lossy(body));
                Ok(Outcome::Invalid)
            }
            (status, _) => {
                log::warn!("state service: unexpected status {status}");
                Ok(Outcome::Unknown)
            }
        };
        parsed.unwrap_or_else(|e| {
            log::warn!("state service: answer not understood: {e}");
            Outcome::Unknown
        })
    }
}
