//! The key-value store as an HTTP server on loopback.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{serve, HttpResponse};
use crate::store::target::path;
use crate::store::{watch_timeout_ms, InMemoryStore, Limits};
use crate::sync::lock;
use crate::values::map;

/// The limits of stores whose test doesn't depend on them.
const DEFAULT_LIMITS: Limits = Limits {
    max_value_bytes: 16 * 1024,
    max_changes: 16,
};
/// Interval at which a watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a server with an empty store. While `unavailable` is set, it responds to each request with status 503.
pub fn start_store(unavailable: Arc<AtomicBool>) -> SocketAddr {
    serve_store(
        Arc::new(Mutex::new(InMemoryStore::new(DEFAULT_LIMITS))),
        unavailable,
    )
}

/// Serves a store, which the caller can inspect. While `unavailable` is set, the server responds to each request
/// with status 503 and renews all leases.
///
/// In addition to the store's protocol, a request for `/replay` processes all transactions applied before it once
/// more, as if copies of them arrived late. The response has their number (`total`) and the number of those
/// that were applied again (`applied`).
pub fn serve_store(store: Arc<Mutex<InMemoryStore>>, unavailable: Arc<AtomicBool>) -> SocketAddr {
    let started_at = Instant::now();
    let now_ms = move || started_at.elapsed().as_millis() as u64;
    serve(move |method, target, body| {
        if unavailable.load(Ordering::SeqCst) {
            lock(&store).renew_all_leases(now_ms());
            return HttpResponse::unavailable();
        }
        match path(target) {
            "/changes" => wait_for_changes(&store, target, now_ms),
            "/replay" => replay(&mut lock(&store)),
            _ => lock(&store).handle(now_ms(), method, target, body),
        }
    })
}

fn wait_for_changes(
    store: &Mutex<InMemoryStore>,
    target: &str,
    now_ms: impl Fn() -> u64,
) -> HttpResponse {
    let deadline_ms = now_ms() + watch_timeout_ms(target);
    loop {
        let mut store = lock(store);
        store.expire_leases(now_ms());
        if let Some(response) = store.watch(target, now_ms() >= deadline_ms) {
            return response;
        }
        drop(store);
        thread::sleep(WATCH_CHECK_INTERVAL);
    }
}

fn replay(store: &mut InMemoryStore) -> HttpResponse {
    let transactions = store.applied_transactions().to_vec();
    let statuses = transactions.iter().map(|body| store.transact(body).status);
    let applied = statuses.filter(|status| *status == 200).count() as u64;
    let total = transactions.len() as u64;
    HttpResponse::ok(map(vec![
        ("total", total.into()),
        ("applied", applied.into()),
    ]))
}
