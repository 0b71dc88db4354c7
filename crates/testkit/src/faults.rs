//! A store in memory whose clients meet the faults of a real one.
//!
//! All clients share one [`SharedStore`]; each is a [`FaultyStore`] of its own, and a [`Fault`] decides
//! what becomes of its next request. Time passes only when a test says so.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ciborium::Value;
use lichencrank_store::codec::{decode, encode};
use lichencrank_store::messages::Txn;
use lichencrank_store::outcome::RATE_LIMIT_PAUSE;
use lichencrank_store::request::{HttpRequest, RequestKind};
use lichencrank_store::{ConditionalStore, Outcome, Request};

use crate::http::HttpResponse;
use crate::store::{InMemoryStore, Limits};

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It is processed, and its response is lost.
    ResponseLost,
    /// No response arrives. A transaction is processed when [`SharedStore::deliver_delayed`] is called.
    Delayed,
    /// It is lost and never processed.
    RequestLost,
    /// It is refused with 429.
    RateLimited,
}

/// The store that all clients share.
#[derive(Clone)]
pub struct SharedStore(Rc<RefCell<Shared>>);

struct Shared {
    store: InMemoryStore,
    now_ms: u64,
    /// Nobody is served.
    outage: bool,
    /// Clients that are not served.
    refused_clients: BTreeSet<usize>,
    /// Bodies of transactions that are still on their way.
    delayed: VecDeque<Value>,
}

impl SharedStore {
    /// An empty store.
    pub fn new(limits: Limits) -> SharedStore {
        SharedStore(Rc::new(RefCell::new(Shared {
            store: InMemoryStore::new(limits),
            now_ms: 0,
            outage: false,
            refused_clients: BTreeSet::new(),
            delayed: VecDeque::new(),
        })))
    }

    /// A client with that number.
    pub fn client(&self, number: usize) -> FaultyStore {
        FaultyStore {
            shared: self.clone(),
            number,
            faults: VecDeque::new(),
        }
    }

    /// Lets time pass, in milliseconds. Leases expire, except during an outage.
    pub fn advance(&self, ms: u64) {
        let mut shared = self.0.borrow_mut();
        shared.now_ms += ms;
        let now_ms = shared.now_ms;
        if !shared.outage {
            shared.store.expire_leases(now_ms);
        }
    }

    /// Begins or ends an outage. All leases then have their full time again.
    pub fn set_outage(&self, outage: bool) {
        let mut shared = self.0.borrow_mut();
        shared.outage = outage;
        let now_ms = shared.now_ms;
        shared.store.renew_all_leases(now_ms);
    }

    /// Refuses a client from now on, or serves it again.
    pub fn set_refused(&self, client: usize, refused: bool) {
        let mut shared = self.0.borrow_mut();
        if refused {
            shared.refused_clients.insert(client);
        } else {
            shared.refused_clients.remove(&client);
        }
    }

    /// Processes the oldest transaction that is delayed. Returns whether there was one.
    pub fn deliver_delayed(&self) -> bool {
        let mut shared = self.0.borrow_mut();
        let Some(body) = shared.delayed.pop_front() else {
            return false;
        };
        shared.store.transact(&body);
        true
    }

    /// Reads the store, past all clients.
    pub fn inspect<T>(&self, read: impl FnOnce(&InMemoryStore) -> T) -> T {
        read(&self.0.borrow().store)
    }

    /// Changes the store, past all clients.
    pub fn modify<T>(&self, change: impl FnOnce(&mut InMemoryStore) -> T) -> T {
        change(&mut self.0.borrow_mut().store)
    }
}

/// One client of the store.
#[derive(Clone)]
pub struct FaultyStore {
    shared: SharedStore,
    number: usize,
    /// Faults of the next requests.
    faults: VecDeque<Fault>,
}

impl FaultyStore {
    /// Adds a fault: it befalls the next request that has none yet.
    pub fn inject(&mut self, fault: Fault) {
        self.faults.push_back(fault);
    }

    fn process(&self, request: &HttpRequest) -> HttpResponse {
        let mut shared = self.shared.0.borrow_mut();
        if shared.outage || shared.refused_clients.contains(&self.number) {
            return HttpResponse::unavailable();
        }
        let now_ms = shared.now_ms;
        if request.kind == RequestKind::Watch {
            shared.store.expire_leases(now_ms);
            return shared.store.watch_without_waiting(&request.target);
        }
        let body = decode(&request.body).unwrap_or(Value::Null);
        let store = &mut shared.store;
        store.handle(now_ms, request.method, &request.target, &body)
    }

    fn delay(&self, txn: &Txn) {
        let body = decode(&encode(txn)).unwrap_or(Value::Null);
        self.shared.0.borrow_mut().delayed.push_back(body);
    }
}

impl ConditionalStore for FaultyStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        let http = request.render();
        match self.faults.pop_front() {
            None => {
                let response = self.process(&http);
                Outcome::read(http.kind, response.status, &encode(&response.body))
            }
            Some(Fault::ResponseLost) => {
                self.process(&http);
                Outcome::Unknown
            }
            Some(Fault::Delayed) => {
                if let Request::Txn(txn) = request {
                    self.delay(txn);
                }
                Outcome::Unknown
            }
            Some(Fault::RequestLost) => Outcome::Unknown,
            Some(Fault::RateLimited) => Outcome::RateLimited {
                retry_after: RATE_LIMIT_PAUSE,
            },
        }
    }
}
