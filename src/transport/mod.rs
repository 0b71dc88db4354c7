//! Moves bytes: the event loop, an HTTP server and an HTTP client on it.

mod client;
pub mod event_loop;
pub mod http;
mod server;
pub mod timers;

pub use client::{CallError, CallId};
pub use event_loop::{Door, Happening, Transport};
pub use http::{Request, Response};
pub use server::ConnId;
