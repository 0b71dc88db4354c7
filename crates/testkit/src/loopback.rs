//! The state service as a server on loopback.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ciborium::Value;

use crate::http::{lock, serve};
use crate::state_service::{hold_ms, Limits, StateService};
use crate::values::map;

/// Starts a state service; while `away` is set it answers 503 to everything.
pub fn state_service(away: Arc<AtomicBool>) -> SocketAddr {
    let limits = Limits {
        value_bytes: 16 * 1024,
        txn_ops: 16,
    };
    serve_state(Arc::new(Mutex::new(StateService::new(limits))), away)
}

/// Serves that state service, which the caller can look into; while `away` is set it answers 503.
pub fn serve_state(state: Arc<Mutex<StateService>>, away: Arc<AtomicBool>) -> SocketAddr {
    let began = Instant::now();
    let clock = move || began.elapsed().as_millis() as u64;
    serve(move |method, target, body| {
        if away.load(Ordering::SeqCst) {
            lock(&state).refill_leases(clock());
            return (503, Value::Null);
        }
        let path = target.split('?').next().unwrap_or("");
        if path == "/changes" {
            let until = clock() + hold_ms(target);
            loop {
                let mut state = lock(&state);
                state.expire(clock());
                if let Some(answer) = state.changes(target, clock() >= until) {
                    return answer;
                }
                drop(state);
                thread::sleep(Duration::from_millis(10));
            }
        }
        let mut state = lock(&state);
        if path == "/copies" {
            // Late copies of all that was carried out so far.
            let copies = state.carried_out.clone();
            let statuses = copies.iter().map(|copy| state.txn(copy).0);
            let again = statuses.filter(|status| *status == 200).count() as u64;
            let all = copies.len() as u64;
            return (200, map(vec![("all", all.into()), ("again", again.into())]));
        }
        state.handle(clock(), method, target, body)
    })
}
