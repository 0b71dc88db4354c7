//! Requests to the store, and their representation in HTTP.

use std::time::Duration;

use crate::codec::encode;
use crate::ids::{LeaseId, Version};
use crate::messages::{LeaseRequest, Txn};

/// A request to the store.
#[derive(Clone, Debug)]
pub enum Request {
    /// Reads a key.
    Get(String),
    /// Reads a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the previous page; empty for the first page.
        after: String,
        /// Most keys on the page.
        limit: u32,
    },
    /// Commits a transaction if its conditions are met.
    Txn(Txn),
    /// Requests a lease that expires after this time without a renewal.
    GrantLease(Duration),
    /// Renews a lease.
    RenewLease(LeaseId),
    /// Ends a lease and deletes the keys that are attached to it.
    EndLease(LeaseId),
    /// Waits for changes of keys (long polling).
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// The revision after which changes are requested.
        after: Version,
        /// How long the store waits for the first change.
        max_wait: Duration,
    },
}

/// The kind of a request, on which the meaning of its response depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// [`Request::Get`].
    Get,
    /// [`Request::List`].
    List,
    /// [`Request::Txn`].
    Txn,
    /// [`Request::GrantLease`].
    GrantLease,
    /// [`Request::RenewLease`] and [`Request::EndLease`].
    UpdateLease,
    /// [`Request::Watch`].
    Watch,
}

/// The HTTP representation of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpRequest {
    /// Kind of the request, for [`Outcome::read`](crate::Outcome::read).
    pub kind: RequestKind,
    /// Request method.
    pub method: &'static str,
    /// Request target: path and query.
    pub target: String,
    /// Request body; empty if there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// The HTTP representation of the request.
    pub fn render(&self) -> HttpRequest {
        match self {
            Request::Get(key) => {
                HttpRequest::without_body(RequestKind::Get, "GET", format!("/kv/{key}"))
            }
            Request::List {
                prefix,
                after,
                limit,
            } => {
                let mut target = format!("/kv?prefix={prefix}&page={limit}");
                if !after.is_empty() {
                    target.push_str("&after=");
                    target.push_str(after);
                }
                HttpRequest::without_body(RequestKind::List, "GET", target)
            }
            Request::Txn(txn) => HttpRequest::post(RequestKind::Txn, "/txn", encode(txn)),
            Request::GrantLease(ttl) => {
                let ttl_ms = ttl.as_millis() as u64;
                let body = encode(&LeaseRequest { ttl_ms });
                HttpRequest::post(RequestKind::GrantLease, "/grants", body)
            }
            Request::RenewLease(lease) => {
                let target = format!("/grants/{lease}/extend");
                HttpRequest::without_body(RequestKind::UpdateLease, "POST", target)
            }
            Request::EndLease(lease) => HttpRequest::without_body(
                RequestKind::UpdateLease,
                "DELETE",
                format!("/grants/{lease}"),
            ),
            Request::Watch {
                prefix,
                after,
                max_wait,
            } => {
                let max_wait_ms = max_wait.as_millis();
                let target = format!("/changes?prefix={prefix}&after={after}&holdMs={max_wait_ms}");
                HttpRequest::without_body(RequestKind::Watch, "GET", target)
            }
        }
    }
}

impl HttpRequest {
    fn without_body(kind: RequestKind, method: &'static str, target: String) -> HttpRequest {
        HttpRequest {
            kind,
            method,
            target,
            body: Vec::new(),
        }
    }

    fn post(kind: RequestKind, target: &str, body: Vec<u8>) -> HttpRequest {
        HttpRequest {
            kind,
            method: "POST",
            target: target.to_owned(),
            body,
        }
    }
}
