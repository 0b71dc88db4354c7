//! A store in memory whose answers fail as those of a real one do.
//!
//! Each client has a [`FaultyStore`] of its own over one [`SharedState`]. A [`Fault`] says what becomes
//! of its next requests. Time only passes when a test says so.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ciborium::Value;
use lichencrank_store::codec::{decode, encode};
use lichencrank_store::messages::Txn;
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;
use lichencrank_store::request::RequestKind;
use lichencrank_store::{ConditionalStore, Outcome, Request};

use crate::state_service::{Limits, StateService};

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It is carried out, and its answer is lost.
    LostAnswer,
    /// No answer comes; a transaction is carried out when [`SharedState::deliver_late`] says so.
    CarriedOutLate,
    /// It is lost on its way.
    LostRequest,
    /// It is refused with 429.
    RateLimited,
}

/// The state that all clients share.
#[derive(Clone)]
pub struct SharedState(Rc<RefCell<Inner>>);

struct Inner {
    service: StateService,
    now_ms: u64,
    outage: bool,
    refused_clients: BTreeSet<usize>,
    late: VecDeque<Value>,
}

impl SharedState {
    /// An empty store.
    pub fn new(limits: Limits) -> SharedState {
        SharedState(Rc::new(RefCell::new(Inner {
            service: StateService::new(limits),
            now_ms: 0,
            outage: false,
            refused_clients: BTreeSet::new(),
            late: VecDeque::new(),
        })))
    }

    /// A client of it.
    pub fn client(&self, number: usize) -> FaultyStore {
        FaultyStore {
            shared: self.clone(),
            number,
            faults: VecDeque::new(),
        }
    }

    /// Lets time pass; leases end.
    pub fn advance(&self, ms: u64) {
        let mut inner = self.0.borrow_mut();
        inner.now_ms += ms;
        let now = inner.now_ms;
        if !inner.outage {
            inner.service.expire(now);
        }
    }

    /// Begins or ends an outage; at its end all leases have their full time again.
    pub fn set_outage(&self, outage: bool) {
        let mut inner = self.0.borrow_mut();
        inner.outage = outage;
        let now = inner.now_ms;
        inner.service.refill_leases(now);
    }

    /// Refuses one client, or serves it again.
    pub fn refuse(&self, client: usize, refused: bool) {
        let mut inner = self.0.borrow_mut();
        if refused {
            inner.refused_clients.insert(client);
        } else {
            inner.refused_clients.remove(&client);
        }
    }

    /// Carries out the oldest transaction that is late. Returns whether there was one.
    pub fn deliver_late(&self) -> bool {
        let mut inner = self.0.borrow_mut();
        let Some(body) = inner.late.pop_front() else {
            return false;
        };
        inner.service.txn(&body);
        true
    }

    /// Looks at the content.
    pub fn look<T>(&self, look: impl FnOnce(&StateService) -> T) -> T {
        look(&self.0.borrow().service)
    }

    /// Changes the content, past all clients.
    pub fn alter<T>(&self, alter: impl FnOnce(&mut StateService) -> T) -> T {
        alter(&mut self.0.borrow_mut().service)
    }
}

/// One client of the store.
#[derive(Clone)]
pub struct FaultyStore {
    shared: SharedState,
    number: usize,
    faults: VecDeque<Fault>,
}

impl FaultyStore {
    /// The next request without a fault of its own has this one.
    pub fn inject(&mut self, fault: Fault) {
        self.faults.push_back(fault);
    }

    fn handle(&self, request: &Request) -> (RequestKind, u16, Value) {
        let http = request.render();
        let mut inner = self.shared.0.borrow_mut();
        if inner.outage || inner.refused_clients.contains(&self.number) {
            return (http.kind, 503, Value::Null);
        }
        let now = inner.now_ms;
        if http.kind == RequestKind::Watch {
            inner.service.expire(now);
            let (status, answer) = inner.service.watch_now(&http.target);
            return (http.kind, status, answer);
        }
        let body = decode(&http.body).unwrap_or(Value::Null);
        let (status, answer) = inner.service.handle(now, http.method, &http.target, &body);
        (http.kind, status, answer)
    }

    fn postpone(&self, txn: &Txn) {
        let body = decode(&encode(txn)).unwrap_or(Value::Null);
        self.shared.0.borrow_mut().late.push_back(body);
    }
}

impl ConditionalStore for FaultyStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        match self.faults.pop_front() {
            Some(Fault::LostRequest) => return Outcome::Unknown,
            Some(Fault::RateLimited) => {
                return Outcome::RateLimited {
                    retry_after: RATE_LIMIT_PAUSE,
                };
            }
            Some(Fault::CarriedOutLate) => {
                if let Request::Txn(txn) = request {
                    self.postpone(txn);
                }
                return Outcome::Unknown;
            }
            Some(Fault::LostAnswer) => {
                self.handle(request);
                return Outcome::Unknown;
            }
            None => {}
        }
        let (kind, status, answer) = self.handle(request);
        Outcome::read(kind, status, &encode(&answer))
    }
}
