//! A client of the state service: queues requests by priority under the rate limits, and assigns responses to requests.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use lichencrank_store::rate_limit::RateLimit;
use lichencrank_store::request::{HttpRequest, RequestKind};
pub use lichencrank_store::{Outcome, Request as StoreRequest};

use crate::transport::{CallError, CallId, Response};
use crate::types::Time;

/// Priority of a request while the rate limits hold requests back: the first class is sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// Leader elections and lease renewals, on which everything else depends.
    Lease,
    /// Submissions and cancellations, whose users wait for a response.
    User,
    /// The leader's records, and the machine types.
    Records,
    /// Status queries.
    Read,
}

/// Identifies a request to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StoreRequestId(pub u64);

/// A request that waits to be sent.
struct QueuedRequest {
    id: StoreRequestId,
    request: StoreRequest,
    /// How long a response is awaited once the request is sent.
    response_timeout: Duration,
    /// The request is refused if it is not sent by this time.
    send_by: Time,
}

/// A request that is to be sent now.
pub struct OutgoingRequest {
    /// Identifies the request.
    pub id: StoreRequestId,
    /// Request method.
    pub method: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
    /// How long a response is awaited.
    pub response_timeout: Duration,
}

/// Queues requests to the state service and interprets its responses.
pub struct StoreClient {
    last_id: u64,
    /// Requests sent since reads last had priority.
    requests_since_read_turn: u32,
    queues: BTreeMap<RequestClass, VecDeque<QueuedRequest>>,
    request_rate_limit: RateLimit,
    /// Limits puts and deletes.
    pub write_rate_limit: RateLimit,
    /// Kind and send time of each request that awaits a response.
    unanswered: HashMap<StoreRequestId, (RequestKind, Time)>,
    /// The longest recent response time, in milliseconds. It decays with each response.
    slowest_response_ms: f64,
    request_by_call: HashMap<CallId, StoreRequestId>,
    /// When the service itself last sent a valid response.
    pub last_response_at: Option<Time>,
}

/// For one request in this many, reads have priority over everything but leases.
const READ_TURN_PERIOD: u32 = 4;
/// Factor by which the longest recent response time decays with each response.
const SLOWEST_RESPONSE_DECAY: f64 = 0.9;
/// Lower and upper bound of the response timeout. The upper one is limited by how long a user's request may take.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Requests that can wait are sent only while more than this fraction of the request rate limit is available.
const SPARE_BUDGET_FRACTION: f64 = 0.5;

impl StoreClient {
    /// A client without requests. `requests_per_s` and `changes_per_s` are this controller's shares of the rate limits,
    /// in requests and changes a second.
    pub fn new(requests_per_s: f64, changes_per_s: f64) -> StoreClient {
        StoreClient {
            last_id: 0,
            requests_since_read_turn: 0,
            queues: BTreeMap::new(),
            request_rate_limit: RateLimit::new(requests_per_s, requests_per_s),
            write_rate_limit: RateLimit::new(changes_per_s, changes_per_s),
            unanswered: HashMap::new(),
            slowest_response_ms: 0.0,
            request_by_call: HashMap::new(),
            last_response_at: None,
        }
    }

    /// How many requests and changes were sent so far.
    pub fn total_spent(&self) -> (f64, f64) {
        (
            self.request_rate_limit.total_spent(),
            self.write_rate_limit.total_spent(),
        )
    }

    /// Sets this controller's shares of the rate limits, in requests and changes a second.
    pub fn set_rates(&mut self, now: Time, requests_per_s: f64, changes_per_s: f64) {
        self.request_rate_limit.set_rate(now, requests_per_s);
        self.write_rate_limit.set_rate(now, changes_per_s);
    }

    /// Whether requests that can wait may be sent too: no other request waits and enough of the rate limit is
    /// available.
    pub fn has_spare_budget(&mut self, now: Time) -> bool {
        self.request_rate_limit.available_fraction(now) > SPARE_BUDGET_FRACTION
            && self.queues.values().all(VecDeque::is_empty)
    }

    /// Queues a request. `response_timeout` is how long a response is awaited once the request is sent. A request that
    /// can't be sent within the same time is refused.
    pub fn enqueue(
        &mut self,
        now: Time,
        class: RequestClass,
        request: StoreRequest,
        response_timeout: Duration,
    ) -> StoreRequestId {
        self.last_id += 1;
        let id = StoreRequestId(self.last_id);
        let send_by = now.after(response_timeout);
        let queued = QueuedRequest {
            id,
            request,
            response_timeout,
            send_by,
        };
        self.queues.entry(class).or_default().push_back(queued);
        id
    }

    /// Takes the next request that the rate limits allow; `Err` holds one that is refused since it waited too long.
    ///
    /// Requests are taken in the order of their classes, but reads regularly have priority: otherwise a backlog of
    /// writes would leave status queries unanswered as long as it lasts. `is_leader_lease_valid` says whether this
    /// controller holds the leader lease now; if not, transactions on the leader's records that were queued under it
    /// are refused.
    pub fn next_outgoing(
        &mut self,
        now: Time,
        is_leader_lease_valid: bool,
    ) -> Option<Result<OutgoingRequest, StoreRequestId>> {
        for (class, queue) in &mut self.queues {
            let must_be_refused = |first: &QueuedRequest| {
                let is_records_txn = *class == RequestClass::Records
                    && matches!(first.request, StoreRequest::Txn(_));
                now > first.send_by || is_records_txn && !is_leader_lease_valid
            };
            if queue.front().is_some_and(must_be_refused) {
                return queue.pop_front().map(|first| Err(first.id));
            }
        }
        let mut order: Vec<RequestClass> = self.queues.keys().copied().collect();
        if self.requests_since_read_turn + 1 >= READ_TURN_PERIOD {
            order.sort_by_key(|class| !matches!(class, RequestClass::Lease | RequestClass::Read));
        }
        let mut are_changes_reserved = false;
        for class in order {
            let queue = self.queues.get(&class);
            let Some(first) = queue.and_then(VecDeque::front) else {
                continue;
            };
            let change_count = match &first.request {
                StoreRequest::Txn(txn) => txn.changes.len() as f64,
                _ => 0.0,
            };
            // Lease requests may overdraw the rate limits: without the lease, everything else is lost.
            if class != RequestClass::Lease {
                if self.request_rate_limit.available(now) < 1.0 {
                    return None;
                }
                // Requests of lower classes that change nothing may be sent meanwhile; ones with changes would use up
                // the write rate limit that this request waits for.
                if change_count > 0.0
                    && (are_changes_reserved || self.write_rate_limit.available(now) < 1.0)
                {
                    are_changes_reserved = true;
                    continue;
                }
            }
            let first = self.queues.get_mut(&class)?.pop_front()?;
            self.requests_since_read_turn = (self.requests_since_read_turn + 1) % READ_TURN_PERIOD;
            self.request_rate_limit.spend(now, 1.0);
            self.write_rate_limit.spend(now, change_count);
            return Some(Ok(self.render(first, now)));
        }
        None
    }

    /// How many requests the rate limits hold back, and how long the oldest has waited.
    pub fn request_backlog(&self, now: Time) -> (usize, Duration) {
        let queued = self.queues.values().flatten();
        let ages = queued.map(|q| q.response_timeout.saturating_sub(q.send_by.since(now)));
        (
            self.queues.values().map(VecDeque::len).sum(),
            ages.max().unwrap_or_default(),
        )
    }

    /// Puts a request into its form in HTTP, and notes that it awaits a response.
    fn render(&mut self, queued: QueuedRequest, now: Time) -> OutgoingRequest {
        let hold_time = match &queued.request {
            StoreRequest::Watch { max_wait, .. } => *max_wait,
            _ => Duration::ZERO,
        };
        let HttpRequest {
            kind,
            method,
            target,
            body,
        } = queued.request.render();
        self.unanswered.insert(queued.id, (kind, now));
        OutgoingRequest {
            id: queued.id,
            method,
            target,
            body,
            response_timeout: queued.response_timeout + hold_time,
        }
    }

    /// Notes that the request was sent with this call, so that the call's result is assigned to the request.
    pub fn on_sent(&mut self, id: StoreRequestId, call: CallId) {
        self.request_by_call.insert(call, id);
    }

    /// Whether one of the requests was sent with this call and awaits its response.
    pub fn owns_call(&self, call: CallId) -> bool {
        self.request_by_call.contains_key(&call)
    }

    /// Interprets the result of a call. Returns the request that was sent with the call, and its outcome; `None` if
    /// the call carried no request to the state service.
    pub fn on_response(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<Response, CallError>,
    ) -> Option<(StoreRequestId, Outcome)> {
        let id = self.request_by_call.remove(&call)?;
        let (kind, sent_at) = self.unanswered.remove(&id)?;
        self.note_response_time(now.since(sent_at), kind, result.is_ok());
        let outcome = self.interpret(now, kind, result);
        if outcome.is_answer() {
            self.last_response_at = Some(now);
        }
        Some((id, outcome))
    }

    /// Takes in how long a response took. A missing response counts as a slow one, unless the request was a
    /// transaction: responses to transactions can be lost one by one while everything else is fast. The service holds
    /// watches open, so they don't count.
    fn note_response_time(
        &mut self,
        response_time: Duration,
        kind: RequestKind,
        has_response: bool,
    ) {
        let is_counted = if has_response {
            kind != RequestKind::Watch
        } else {
            !matches!(kind, RequestKind::Watch | RequestKind::Txn)
        };
        if is_counted {
            self.slowest_response_ms = (self.slowest_response_ms * SLOWEST_RESPONSE_DECAY)
                .max(response_time.as_millis() as f64);
        }
    }

    /// After how long without a response a request counts as lost: three times the longest recent response time, within
    /// bounds.
    pub fn response_timeout(&self) -> Duration {
        let timeout = Duration::from_millis((self.slowest_response_ms * 3.0) as u64);
        timeout.clamp(MIN_RESPONSE_TIMEOUT, MAX_RESPONSE_TIMEOUT)
    }

    /// The outcome of a request. A response that the rate limit is exceeded pauses sending.
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
