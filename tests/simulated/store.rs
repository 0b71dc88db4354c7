//! The key-value store as controllers meet it: its contents behind rate limits, outages, watches that are
//! held open, and answers that come late or get lost.

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

/// Whether the answer to a request gets back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It does.
    Answered,
    /// The request is carried out, and the answer is lost.
    AnswerLost,
}

/// What the store's faults do to a request on its way.
#[derive(Clone, Copy, Debug)]
pub struct RequestFaults {
    /// By how much it arrives later.
    pub delay: Duration,
    /// Whether its answer gets back.
    pub delivery: Delivery,
}

/// How late a write of [`Mark::WriteDelayed`] arrives, in milliseconds.
const LATE_WRITE_DELAY_MS: std::ops::Range<u64> = 2000..12_000;

const BYTES_IN_A_KILOBYTE: f64 = 1024.0;

/// An answer with its HTTP status.
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

/// What becomes of a request at the store.
pub enum StoreOutcome {
    /// There is no answer yet, or never.
    Unanswered,
    /// The request is refused by a limit or a fault.
    Refused(StoreResponse),
    /// The store has carried out the request, or has judged it.
    Processed(StoreResponse),
}

/// A watch that is held open.
struct Watch {
    call: CallHandle,
    target: String,
    held_until: SimTime,
}

/// The answer to a watch.
pub struct WatchResponse {
    /// The watch.
    pub call: CallHandle,
    /// The answer.
    pub response: StoreResponse,
}

/// Who leads, by the store's records.
pub struct LeaderRecord {
    /// The term of the last leader.
    pub term: u64,
    /// The name of the node that holds the leadership.
    pub holder: Option<String>,
}

/// A controller whose requests are refused.
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
    lost_answers: RandomFault,
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

fn service_limits(value_kilobytes: f64, transaction_operations: usize) -> Limits {
    Limits {
        max_value_bytes: (value_kilobytes * BYTES_IN_A_KILOBYTE) as usize,
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
        let service_limits = service_limits(limits.value_kilobytes, limits.transaction_operations);
        KeyValueStore {
            contents: InMemoryStore::new(service_limits),
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

    /// The contents, for clients that no limit holds back; `None` during an outage.
    pub fn available_contents(&mut self, now: SimTime) -> Option<&mut InMemoryStore> {
        let is_available = !self.faults.outage.is_active(now);
        is_available.then_some(&mut self.contents)
    }

    /// Who leads.
    pub fn leader_record(&self) -> LeaderRecord {
        let term = self.contents.value("lead/term");
        let holder = self.contents.value("lead/holder");
        LeaderRecord {
            term: term.map_or(0, |record| number(record, "term")),
            holder: holder.map(|record| text(record, "node")),
        }
    }

    /// All requests are refused while this lasts.
    pub fn start_outage(&mut self, window: FaultWindow) {
        self.faults.outage = window;
    }

    /// A controller's requests are refused while this lasts.
    pub fn refuse(&mut self, node: NodeIndex, window: FaultWindow) {
        self.faults.refused_nodes.push(RefusedNode { node, window });
    }

    /// Requests are slow while this lasts.
    pub fn slow_down(&mut self, max_delay: Duration, window: FaultWindow) {
        self.faults.max_delay = max_delay;
        self.faults.slow_requests = window;
    }

    /// Answers to transactions get lost.
    pub fn lose_answers(&mut self, fault: RandomFault) {
        self.faults.lost_answers = fault;
    }

    /// Transactions arrive late, and their answers get lost.
    pub fn delay_writes(&mut self, fault: RandomFault) {
        self.faults.late_writes = fault;
    }

    /// Lower limits come into force.
    pub fn lower_limits(&mut self, limits: LoweredStoreLimits) {
        let service = service_limits(limits.value_kilobytes, limits.transaction_operations);
        self.contents.set_limits(service);
        self.write_limiter = RateLimiter::new(limits.writes_per_second);
    }

    /// What the store's faults do to a request that is sent now.
    pub fn draw_faults(&self, context: &mut Context, call: &OutgoingCall) -> RequestFaults {
        let mut faults = RequestFaults {
            delay: self.slowness(context),
            delivery: Delivery::Answered,
        };
        if !is_transaction(call) {
            return faults;
        }
        if context.occurs(self.faults.lost_answers) {
            faults.delivery = Delivery::AnswerLost;
            context.mark(Mark::AnswerLost);
        } else if context.occurs(self.faults.late_writes) {
            faults.delivery = Delivery::AnswerLost;
            faults.delay += context.random_millis(LATE_WRITE_DELAY_MS);
            context.mark(Mark::WriteDelayed);
        }
        faults
    }

    fn slowness(&self, context: &mut Context) -> Duration {
        if !self.faults.slow_requests.is_active(context.now()) {
            return Duration::ZERO;
        }
        let most = self.faults.max_delay.as_millis() as u64;
        context.random_millis(most / 2..most + 1)
    }

    fn refuses(&self, now: SimTime, node: NodeIndex) -> bool {
        let mut refused = self.faults.refused_nodes.iter();
        refused.any(|refused| refused.node == node && refused.window.is_active(now))
    }

    /// Takes in a request that has arrived.
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
            // A watch stays open, and is never answered.
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
        let answer = self
            .contents
            .handle(time, &call.method, &call.target, &body);
        if answer.status == 400 {
            note_rejection(context, node, &call.target, &answer.body, delivery);
        }
        StoreOutcome::Processed(StoreResponse {
            status: answer.status,
            body: answer.body,
        })
    }

    /// Time passes: leases expire. During an outage they have their full time again instead, and the result
    /// is `false`.
    pub fn advance(&mut self, now: SimTime) -> bool {
        let is_available = !self.faults.outage.is_active(now);
        if is_available {
            self.contents.expire_leases(now.as_millis());
        } else {
            self.contents.renew_all_leases(now.as_millis());
        }
        is_available
    }

    /// Closes the watches that have news or have been held for long enough.
    pub fn take_watch_responses(&mut self, now: SimTime) -> Vec<WatchResponse> {
        let mut responses = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            let is_refused = self.refuses(now, watch.call.process.node);
            let is_due = now >= watch.held_until;
            let answer = if is_refused {
                None
            } else {
                self.contents.watch(&watch.target, is_due)
            };
            match answer {
                None => self.watches.push(watch),
                Some(answer) => responses.push(WatchResponse {
                    call: watch.call,
                    response: StoreResponse {
                        status: answer.status,
                        body: answer.body,
                    },
                }),
            }
        }
        responses
    }
}

/// The store answers 400. To a claim of the leadership that is carried out so late that its lease has expired
/// it can't but do so; any other such request must not have been sent.
fn note_rejection(
    context: &mut Context,
    node: NodeIndex,
    target: &str,
    answer: &Value,
    delivery: Delivery,
) {
    let error = text(answer, "error");
    context.note(format!("store: 400 to node {node}: {target}: {error}"));
    let is_late_claim = error == store::NO_SUCH_LEASE && delivery == Delivery::AnswerLost;
    context.mark(if is_late_claim {
        Mark::LateClaim
    } else {
        Mark::StoreRejectedRequest
    });
}
