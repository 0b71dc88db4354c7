//! An in-memory store whose clients experience the faults of a real one.
//!
//! All clients share one [`SharedStore`]. Each client is a [`FaultyStore`], whose next requests fail as the
//! injected [`Fault`]s say. Time advances only when a test calls [`SharedStore::advance`].

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

/// How a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The request is processed, and its response is lost.
    ResponseLost,
    /// No response arrives. A transaction is processed when [`SharedStore::deliver_delayed`] is called.
    Delayed,
    /// The request is lost and never processed.
    RequestLost,
    /// The request is refused with status 429.
    RateLimited,
}

/// The store that all clients share, with its clock.
#[derive(Clone)]
pub struct SharedStore(Rc<RefCell<Shared>>);

struct Shared {
    store: InMemoryStore,
    now_ms: u64,
    /// Whether the store serves no client.
    is_in_outage: bool,
    /// Numbers of the clients that the store refuses to serve.
    refused_clients: BTreeSet<usize>,
    /// Bodies of the delayed transactions, oldest first.
    delayed_transactions: VecDeque<Value>,
}

impl SharedStore {
    /// An empty store.
    pub fn new(limits: Limits) -> SharedStore {
        SharedStore(Rc::new(RefCell::new(Shared {
            store: InMemoryStore::new(limits),
            now_ms: 0,
            is_in_outage: false,
            refused_clients: BTreeSet::new(),
            delayed_transactions: VecDeque::new(),
        })))
    }

    /// Creates a client with the given number, which [`SharedStore::set_refused`] refers to.
    pub fn client(&self, number: usize) -> FaultyStore {
        FaultyStore {
            shared: self.clone(),
            number,
            pending_faults: VecDeque::new(),
        }
    }

    /// Advances the time. Leases expire, except during an outage.
    pub fn advance(&self, duration_ms: u64) {
        let mut shared = self.0.borrow_mut();
        shared.now_ms += duration_ms;
        let now_ms = shared.now_ms;
        if !shared.is_in_outage {
            shared.store.expire_leases(now_ms);
        }
    }

    /// Begins or ends an outage. Either renews all leases, so that none expires because of the outage.
    pub fn set_outage(&self, is_in_outage: bool) {
        let mut shared = self.0.borrow_mut();
        shared.is_in_outage = is_in_outage;
        let now_ms = shared.now_ms;
        shared.store.renew_all_leases(now_ms);
    }

    /// Sets whether the store refuses to serve a client.
    pub fn set_refused(&self, client: usize, is_refused: bool) {
        let mut shared = self.0.borrow_mut();
        if is_refused {
            shared.refused_clients.insert(client);
        } else {
            shared.refused_clients.remove(&client);
        }
    }

    /// Processes the oldest delayed transaction. Returns whether there was one.
    pub fn deliver_delayed(&self) -> bool {
        let mut shared = self.0.borrow_mut();
        let Some(body) = shared.delayed_transactions.pop_front() else {
            return false;
        };
        shared.store.transact(&body);
        true
    }

    /// Reads the store directly, not through a client.
    pub fn inspect<T>(&self, read: impl FnOnce(&InMemoryStore) -> T) -> T {
        read(&self.0.borrow().store)
    }

    /// Changes the store directly, not through a client.
    pub fn modify<T>(&self, change: impl FnOnce(&mut InMemoryStore) -> T) -> T {
        change(&mut self.0.borrow_mut().store)
    }
}

/// One client of the store.
#[derive(Clone)]
pub struct FaultyStore {
    shared: SharedStore,
    number: usize,
    /// Faults of the next requests, in order.
    pending_faults: VecDeque<Fault>,
}

impl FaultyStore {
    /// Adds a fault for the first of the next requests that has none yet.
    pub fn inject(&mut self, fault: Fault) {
        self.pending_faults.push_back(fault);
    }

    fn process(&self, request: &HttpRequest) -> HttpResponse {
        let mut shared = self.shared.0.borrow_mut();
        if shared.is_in_outage || shared.refused_clients.contains(&self.number) {
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

    fn delay_transaction(&self, txn: &Txn) {
        let body = decode(&encode(txn)).unwrap_or(Value::Null);
        self.shared
            .0
            .borrow_mut()
            .delayed_transactions
            .push_back(body);
    }
}

impl ConditionalStore for FaultyStore {
    fn execute(&mut self, request: &Request) -> Outcome {
        let http = request.render();
        match self.pending_faults.pop_front() {
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
                    self.delay_transaction(txn);
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
