//! The simulated key-value store: an in-memory store with rate limits, watches, outages, slow requests and lost
//! responses.

use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::decode;
use lichencrank_testkit::store::{self, watch_timeout_ms, InMemoryStore, Limits};
use lichencrank_testkit::values::{list, number, text};

use super::clock::SimTime;
use super::context::Context;
use super::deployment::{LoweredStoreLimits, StoreLimits};
use super::faults::{FaultWindow, RandomFault};
use super::history::Mark;
use super::ids::{CallHandle, NodeIndex};
use super::rate_limiter::RateLimiter;
use super::transport::OutgoingCall;

/// Whether the response to a request reaches the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The response is delivered.
    ResponseDelivered,
    /// The request is processed, and the response is lost.
    ResponseLost,
}

/// The faults of the store that apply to one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFaults {
    /// Additional delay until the request arrives.
    pub delay: Duration,
    /// Whether the response reaches the caller.
    pub delivery: Delivery,
}

/// Additional delay of a write that is marked as [`Mark::WriteDelayed`].
const LATE_WRITE_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

const BYTES_PER_KILOBYTE: f64 = 1024.0;

/// A response of the store.
pub struct StoreResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

impl StoreResponse {
    fn without_body(status: u16) -> StoreResponse {
        StoreResponse {
            status,
            body: Value::Null,
        }
    }
}

/// The result of a request at the store.
pub enum StoreOutcome {
    /// There is no response yet, or there never is one.
    Unanswered,
    /// The request is refused because of a rate limit or a fault.
    Refused(StoreResponse),
    /// The store has processed the request, successfully or not.
    Processed(StoreResponse),
}

/// A watch that waits for changes.
struct Watch {
    call: CallHandle,
    target: String,
    /// When the watch is answered even without changes.
    held_until: SimTime,
}

/// The response to a watch.
pub struct WatchResponse {
    /// The call that made the watch.
    pub call: CallHandle,
    /// The response.
    pub response: StoreResponse,
}

/// The leadership as recorded in the store.
pub struct LeaderRecord {
    /// The last term. 0 before the first.
    pub term: u64,
    /// Name of the node that holds the leadership, if any.
    pub holder: Option<String>,
    /// The lease to which the leader's key is attached, if any node holds the leadership.
    pub lease: Option<u64>,
}

/// A controller whose requests the store refuses.
struct RefusedNode {
    node: NodeIndex,
    window: FaultWindow,
}

#[derive(Default)]
struct Faults {
    outage: FaultWindow,
    refused_nodes: Vec<RefusedNode>,
    slow_requests: FaultWindow,
    max_delay: Duration,
    lost_responses: RandomFault,
    late_writes: RandomFault,
}

/// The key-value store.
pub struct KeyValueStore {
    contents: InMemoryStore,
    request_limiter: RateLimiter,
    write_limiter: RateLimiter,
    watches: Vec<Watch>,
    faults: Faults,
}

fn in_memory_store_limits(value_kilobytes: f64, transaction_operations: usize) -> Limits {
    Limits {
        max_value_bytes: (value_kilobytes * BYTES_PER_KILOBYTE) as usize,
        max_changes: transaction_operations,
    }
}

fn is_watch(call: &OutgoingCall) -> bool {
    call.target.starts_with("/changes")
}

fn is_transaction(call: &OutgoingCall) -> bool {
    call.target == "/txn"
}

impl KeyValueStore {
    /// An empty store.
    pub fn new(limits: StoreLimits) -> KeyValueStore {
        let store_limits =
            in_memory_store_limits(limits.value_kilobytes, limits.transaction_operations);
        KeyValueStore {
            contents: InMemoryStore::new(store_limits),
            request_limiter: RateLimiter::new(limits.requests_per_second),
            write_limiter: RateLimiter::new(limits.writes_per_second),
            watches: Vec::new(),
            faults: Faults::default(),
        }
    }

    /// The contents.
    pub fn contents(&self) -> &InMemoryStore {
        &self.contents
    }

    /// The contents, for clients to which the rate limits don't apply. `None` during an outage.
    pub fn available_contents(&mut self, now: SimTime) -> Option<&mut InMemoryStore> {
        let is_available = !self.faults.outage.is_active(now);
        is_available.then_some(&mut self.contents)
    }

    /// The leadership as recorded in the store.
    pub fn leader_record(&self) -> LeaderRecord {
        let term = self.contents.value("lead/term");
        let holder = self.contents.value("lead/holder");
        LeaderRecord {
            term: term.map_or(0, |record| number(record, "term")),
            holder: holder.map(|record| text(record, "node")),
            lease: holder.map(|record| number(record, "lease")),
        }
    }

    /// Refuses all requests during the given window.
    pub fn start_outage(&mut self, window: FaultWindow) {
        self.faults.outage = window;
    }

    /// Refuses a controller's requests during the given window.
    pub fn refuse(&mut self, node: NodeIndex, window: FaultWindow) {
        self.faults.refused_nodes.push(RefusedNode { node, window });
    }

    /// Delays all requests during the given window, each by at least half of `max_delay`.
    pub fn slow_down(&mut self, max_delay: Duration, window: FaultWindow) {
        self.faults.max_delay = max_delay;
        self.faults.slow_requests = window;
    }

    /// Lets the responses to some transactions be lost.
    pub fn lose_responses(&mut self, fault: RandomFault) {
        self.faults.lost_responses = fault;
    }

    /// Lets some transactions arrive late and their responses be lost.
    pub fn delay_writes(&mut self, fault: RandomFault) {
        self.faults.late_writes = fault;
    }

    /// Applies lower limits from now on.
    pub fn lower_limits(&mut self, limits: LoweredStoreLimits) {
        let store_limits =
            in_memory_store_limits(limits.value_kilobytes, limits.transaction_operations);
        self.contents.set_limits(store_limits);
        self.write_limiter = RateLimiter::new(limits.writes_per_second);
    }

    /// Draws the faults that apply to a request that is sent now.
    pub fn draw_faults(&self, context: &mut Context, call: &OutgoingCall) -> RequestFaults {
        let mut faults = RequestFaults {
            delay: self.slow_request_delay(context),
            delivery: Delivery::ResponseDelivered,
        };
        if !is_transaction(call) {
            return faults;
        }
        if context.occurs(self.faults.lost_responses) {
            faults.delivery = Delivery::ResponseLost;
            context.mark(Mark::ResponseLost);
        } else if context.occurs(self.faults.late_writes) {
            faults.delivery = Delivery::ResponseLost;
            faults.delay += context.random_millis(LATE_WRITE_DELAY_MS);
            context.mark(Mark::WriteDelayed);
        }
        faults
    }

    fn slow_request_delay(&self, context: &mut Context) -> Duration {
        if !self.faults.slow_requests.is_active(context.now()) {
            return Duration::ZERO;
        }
        let max_delay_ms = self.faults.max_delay.as_millis() as u64;
        context.random_millis(max_delay_ms / 2..max_delay_ms + 1)
    }

    fn refuses(&self, now: SimTime, node: NodeIndex) -> bool {
        let mut refused = self.faults.refused_nodes.iter();
        refused.any(|refused| refused.node == node && refused.window.is_active(now))
    }

    /// Handles a request that has arrived: applies faults and limits, and processes it or opens a watch.
    pub fn handle(
        &mut self,
        context: &mut Context,
        handle: CallHandle,
        call: OutgoingCall,
        delivery: Delivery,
    ) -> StoreOutcome {
        let now = context.now();
        let node = handle.process.node;
        if self.faults.outage.is_active(now) || self.refuses(now, node) {
            // A watch is not refused: it stays open and is never answered.
            return if is_watch(&call) {
                StoreOutcome::Unanswered
            } else {
                StoreOutcome::Refused(StoreResponse::without_body(503))
            };
        }
        if !self.request_limiter.try_take(now, 1.0) {
            context.mark(Mark::StoreOverBudget);
            return StoreOutcome::Refused(StoreResponse::without_body(429));
        }
        if is_watch(&call) {
            self.watches.push(Watch {
                call: handle,
                held_until: now + Duration::from_millis(watch_timeout_ms(&call.target)),
                target: call.target,
            });
            return StoreOutcome::Unanswered;
        }
        self.process(context, node, &call, delivery)
    }

    fn process(
        &mut self,
        context: &mut Context,
        node: NodeIndex,
        call: &OutgoingCall,
        delivery: Delivery,
    ) -> StoreOutcome {
        let now = context.now();
        let body = decode(&call.body).unwrap_or(Value::Null);
        let writes = list(&body, "apply").len() as f64;
        if writes > 0.0 && !self.write_limiter.try_take(now, writes) {
            context.mark(Mark::StoreOverBudget);
            return StoreOutcome::Refused(StoreResponse::without_body(429));
        }
        let time = now.as_millis();
        let response = self
            .contents
            .handle(time, &call.method, &call.target, &body);
        if response.status == 400 {
            mark_bad_request(context, node, &call.target, &response.body, delivery);
        }
        StoreOutcome::Processed(StoreResponse {
            status: response.status,
            body: response.body,
        })
    }

    /// Ends the leases that have expired. During an outage it renews all leases instead, and returns `false`.
    pub fn advance(&mut self, now: SimTime) -> bool {
        let is_available = !self.faults.outage.is_active(now);
        if is_available {
            self.contents.expire_leases(now.as_millis());
        } else {
            self.contents.renew_all_leases(now.as_millis());
        }
        is_available
    }

    /// Removes the watches that have changes to report or have timed out, and returns their responses.
    pub fn take_watch_responses(&mut self, now: SimTime) -> Vec<WatchResponse> {
        let mut responses = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let is_refused = self.refuses(now, watch.call.process.node);
            let has_timed_out = now >= watch.held_until;
            let response = if is_refused {
                None
            } else {
                self.contents.watch(&watch.target, has_timed_out)
            };
            match response {
                None => self.watches.push(watch),
                Some(response) => responses.push(WatchResponse {
                    call: watch.call,
                    response: StoreResponse {
                        status: response.status,
                        body: response.body,
                    },
                }),
            }
        }
        responses
    }
}

/// Notes and marks that the store responds with status 400. This is expected only for a claim of the leadership that
/// is delayed until its lease has expired. Any other request that gets status 400 must not have been sent.
fn mark_bad_request(
    context: &mut Context,
    node: NodeIndex,
    target: &str,
    response: &Value,
    delivery: Delivery,
) {
    let error = text(response, "error");
    context.note(format!("store: 400 to node {node}: {target}: {error}"));
    let is_late_claim = error == store::NO_SUCH_LEASE && delivery == Delivery::ResponseLost;
    context.mark(if is_late_claim {
        Mark::LateClaim
    } else {
        Mark::StoreRejectedRequest
    });
}
