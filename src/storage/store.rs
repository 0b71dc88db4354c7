//! Requests to the state service: their order under the rate limits, and which answer belongs to which.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use lichencrank_store::rate_limit::RateLimit;
use lichencrank_store::request::{HttpRequest, RequestKind};
pub use lichencrank_store::{Outcome, Request as StoreRequest};

use crate::transport::{CallError, CallId, Response};
use crate::types::Time;

/// Who goes first when the budget is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Elections and renewals, which all else depends on.
    Lease,
    /// What users wait for.
    User,
    /// The leader's records.
    Records,
    /// Status queries.
    Read,
}

/// Identifies a request to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreRequestId(pub u64);

struct QueuedRequest {
    id: StoreRequestId,
    ask: StoreRequest,
    limit: Duration,
    until: Time,
}

/// A request ready to be sent.
pub struct OutgoingRequest {
    /// The request.
    pub id: StoreRequestId,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP target.
    pub target: String,
    /// HTTP body.
    pub body: Vec<u8>,
    /// How long its answer is awaited.
    pub response_timeout: Duration,
}

/// Queues requests to the state service and reads their answers.
pub struct StoreClient {
    next: u64,
    requests_since_read: u32,
    queues: BTreeMap<RequestClass, VecDeque<QueuedRequest>>,
    request_rate_limit: RateLimit,
    /// The budget of puts and deletes.
    pub write_rate_limit: RateLimit,
    sent: HashMap<StoreRequestId, (RequestKind, Time)>,
    /// The longest that answers took lately, in milliseconds; it fades with each answer.
    slowest_response_ms: f64,
    calls: HashMap<CallId, StoreRequestId>,
    /// When the service last answered properly.
    pub last_response_at: Option<Time>,
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

impl StoreClient {
    /// `rps` and `write_rps` are this node's share of the budgets.
    pub fn new(rps: f64, write_rps: f64) -> StoreClient {
        StoreClient {
            next: 0,
            requests_since_read: 0,
            queues: BTreeMap::new(),
            request_rate_limit: RateLimit::new(rps, rps),
            write_rate_limit: RateLimit::new(write_rps, write_rps),
            sent: HashMap::new(),
            slowest_response_ms: 0.0,
            calls: HashMap::new(),
            last_response_at: None,
        }
    }

    /// What was spent so far: requests and changes.
    pub fn total_spent(&self) -> (f64, f64) {
        (
            self.request_rate_limit.total_spent(),
            self.write_rate_limit.total_spent(),
        )
    }

    /// Sets this controller's share of the rate limits.
    pub fn set_rates(&mut self, now: Time, rps: f64, write_rps: f64) {
        self.request_rate_limit.set_rate(now, rps);
        self.write_rate_limit.set_rate(now, write_rps);
    }

    /// Whether requests that can wait may go out beside the others.
    pub fn has_spare_budget(&mut self, now: Time) -> bool {
        self.request_rate_limit.available_fraction(now) > SPARE
            && self.queues.values().all(VecDeque::is_empty)
    }

    /// Queues a request. `limit` is how long an answer is awaited once it is sent; what can't be
    /// sent within that time is refused.
    pub fn enqueue(
        &mut self,
        now: Time,
        class: RequestClass,
        ask: StoreRequest,
        limit: Duration,
    ) -> StoreRequestId {
        self.next += 1;
        let id = StoreRequestId(self.next);
        let until = now.after(limit);
        let waiting = QueuedRequest {
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
    /// `may_book` says that the own lease stands at this moment: allocations that have waited here since
    /// it ran out are refused.
    pub fn next_outgoing(
        &mut self,
        now: Time,
        may_book: bool,
    ) -> Option<Result<OutgoingRequest, StoreRequestId>> {
        for (class, queue) in &mut self.queues {
            let void = |first: &QueuedRequest| {
                let books =
                    *class == RequestClass::Records && matches!(first.ask, StoreRequest::Txn(_));
                now > first.until || books && !may_book
            };
            if queue.front().is_some_and(void) {
                return queue.pop_front().map(|first| Err(first.id));
            }
        }
        let mut order: Vec<RequestClass> = self.queues.keys().copied().collect();
        if self.requests_since_read + 1 >= READ_EVERY {
            order.sort_by_key(|class| !matches!(class, RequestClass::Lease | RequestClass::Read));
        }
        let mut writes_taken = false;
        for class in order {
            let queue = self.queues.get(&class);
            let Some(first) = queue.and_then(VecDeque::front) else {
                continue;
            };
            let writes = match &first.ask {
                StoreRequest::Txn(txn) => txn.changes.len() as f64,
                _ => 0.0,
            };
            // The lease may run the account into debt: without it all the rest is lost.
            if class != RequestClass::Lease {
                if self.request_rate_limit.available(now) < 1.0 {
                    return None;
                }
                // Lower classes may read meanwhile, but not take the writes that this one waits for.
                if writes > 0.0 && (writes_taken || self.write_rate_limit.available(now) < 1.0) {
                    writes_taken = true;
                    continue;
                }
            }
            let first = self.queues.get_mut(&class)?.pop_front()?;
            self.requests_since_read = (self.requests_since_read + 1) % READ_EVERY;
            self.request_rate_limit.spend(now, 1.0);
            self.write_rate_limit.spend(now, writes);
            return Some(Ok(self.render(first, now)));
        }
        None
    }

    /// How many requests wait for the budget, and for how long the oldest has.
    pub fn request_backlog(&self, now: Time) -> (usize, Duration) {
        let waiting = self.queues.values().flatten();
        let ages = waiting.map(|w| w.limit.saturating_sub(w.until.since(now)));
        (
            self.queues.values().map(VecDeque::len).sum(),
            ages.max().unwrap_or_default(),
        )
    }

    fn render(&mut self, waiting: QueuedRequest, now: Time) -> OutgoingRequest {
        let held = match &waiting.ask {
            StoreRequest::Watch { max_wait, .. } => *max_wait,
            _ => Duration::ZERO,
        };
        let HttpRequest {
            kind,
            method,
            target,
            body,
        } = waiting.ask.render();
        self.sent.insert(waiting.id, (kind, now));
        OutgoingRequest {
            id: waiting.id,
            method,
            target,
            body,
            response_timeout: waiting.limit + held,
        }
    }

    /// Notes the call that carries a request.
    pub fn on_sent(&mut self, id: StoreRequestId, call: CallId) {
        self.calls.insert(call, id);
    }

    /// Whether the call carries one of the requests.
    pub fn owns_call(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// Says what the answer to a call means, if the call was one of the store's.
    pub fn on_response(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Response, CallError>,
    ) -> Option<(StoreRequestId, Outcome)> {
        let id = self.calls.remove(&call)?;
        let (kind, sent) = self.sent.remove(&id)?;
        self.note_response_time(now.since(sent), kind, result.is_ok());
        let outcome = self.interpret(now, kind, result);
        if outcome.is_answer() {
            self.last_response_at = Some(now);
        }
        Some((id, outcome))
    }

    /// Notes how long an answer took. No answer counts as a slow one, save that of a transaction:
    /// those are lost one by one while all else is quick.
    fn note_response_time(&mut self, time: Duration, kind: RequestKind, answered: bool) {
        let tells = if answered {
            kind != RequestKind::Watch
        } else {
            !matches!(kind, RequestKind::Watch | RequestKind::Txn)
        };
        if tells {
            self.slowest_response_ms =
                (self.slowest_response_ms * SLOWEST_KEEP).max(time.as_millis() as f64);
        }
    }

    /// How long an answer is worth waiting for before the request counts as lost.
    pub fn response_timeout(&self) -> Duration {
        let usual = Duration::from_millis((self.slowest_response_ms * 3.0) as u64);
        usual.clamp(LEAST_PATIENCE, MOST_PATIENCE)
    }

    fn interpret(
        &mut self,
        now: Time,
        kind: RequestKind,
        result: Result<Response, CallError>,
    ) -> Outcome {
        let outcome = match result {
            Ok(response) => Outcome::read(kind, response.status, &response.body),
            Err(CallError::NotSent | CallError::NoSocket) => Outcome::Unavailable,
            Err(CallError::Lost) => Outcome::Unknown,
        };
        if let Outcome::RateLimited { retry_after } = &outcome {
            self.request_rate_limit.back_off(now, *retry_after);
            self.write_rate_limit.back_off(now, *retry_after);
        }
        outcome
    }
}
