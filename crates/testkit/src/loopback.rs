//! The key-value store as a server on loopback.

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

/// The limits of a store that a test does not care about.
const LIMITS: Limits = Limits {
    max_value_bytes: 16 * 1024,
    max_changes: 16,
};
/// How often a watch looks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Starts an empty store; while `unavailable` is set it answers 503 to everything.
pub fn start_store(unavailable: Arc<AtomicBool>) -> SocketAddr {
    serve_store(
        Arc::new(Mutex::new(InMemoryStore::new(LIMITS))),
        unavailable,
    )
}

/// Serves a store, which the caller can look into; while `unavailable` is set it answers 503 to everything.
///
/// Beside the store's protocol, any request for `/replay` processes all transactions that were applied so
/// far once more, as if copies of them arrived late, and answers with how many there were (`total`) and
/// how many of them were carried out again (`applied`).
pub fn serve_store(store: Arc<Mutex<InMemoryStore>>, unavailable: Arc<AtomicBool>) -> SocketAddr {
    let started = Instant::now();
    let now_ms = move || started.elapsed().as_millis() as u64;
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
    let until_ms = now_ms() + watch_timeout_ms(target);
    loop {
        let mut store = lock(store);
        store.expire_leases(now_ms());
        if let Some(response) = store.watch(target, now_ms() >= until_ms) {
            return response;
        }
        drop(store);
        thread::sleep(WATCH_INTERVAL);
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
