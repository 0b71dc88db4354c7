//! Requests to the store, and their form in HTTP.

use std::time::Duration;

use crate::codec::encode;
use crate::ids::{LeaseId, Version};
use crate::messages::{Grant, Txn};

/// A request to the store.
#[derive(Clone, Debug)]
pub enum Request {
    /// Reads a key.
    Get(String),
    /// Reads a page of keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Begins behind this key.
        after: String,
        /// Most items.
        limit: u32,
    },
    /// Carries out a transaction.
    Txn(Txn),
    /// Asks for a lease of that length.
    Grant(Duration),
    /// Renews a lease.
    Extend(LeaseId),
    /// Ends a lease.
    End(LeaseId),
    /// Waits for changes.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes count.
        after: Version,
        /// How long to wait.
        hold: Duration,
    },
}

/// What kind of request an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// [`Request::Get`].
    Get,
    /// [`Request::List`].
    List,
    /// [`Request::Txn`].
    Txn,
    /// [`Request::Grant`].
    Grant,
    /// [`Request::Extend`] and [`Request::End`].
    Lease,
    /// [`Request::Watch`].
    Watch,
}

/// A request as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpRequest {
    /// What the answer has to be read as.
    pub kind: RequestKind,
    /// HTTP method.
    pub method: &'static str,
    /// HTTP target.
    pub target: String,
    /// HTTP body.
    pub body: Vec<u8>,
}

impl Request {
    /// Puts the request into its form in HTTP.
    pub fn render(&self) -> HttpRequest {
        match self {
            Request::Get(key) => HttpRequest::bare(RequestKind::Get, "GET", format!("/kv/{key}")),
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
                HttpRequest::bare(RequestKind::List, "GET", target)
            }
            Request::Txn(txn) => HttpRequest::post(RequestKind::Txn, "/txn", encode(txn)),
            Request::Grant(ttl) => {
                let ttl_ms = ttl.as_millis() as u64;
                HttpRequest::post(RequestKind::Grant, "/grants", encode(&Grant { ttl_ms }))
            }
            Request::Extend(lease) => {
                let target = format!("/grants/{lease}/extend");
                HttpRequest::bare(RequestKind::Lease, "POST", target)
            }
            Request::End(lease) => {
                HttpRequest::bare(RequestKind::Lease, "DELETE", format!("/grants/{lease}"))
            }
            Request::Watch {
                prefix,
                after,
                hold,
            } => {
                let hold_ms = hold.as_millis();
                let target = format!("/changes?prefix={prefix}&after={after}&holdMs={hold_ms}");
                HttpRequest::bare(RequestKind::Watch, "GET", target)
            }
        }
    }
}

impl HttpRequest {
    /// Without a body.
    fn bare(kind: RequestKind, method: &'static str, target: String) -> HttpRequest {
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
