//! Messages between the controllers, encoded with borsh.
//!
//! # The version rule
//!
//! Controllers of different versions run side by side during an upgrade. One rule holds for every
//! message here, and [`decode`] is the one place that enforces it:
//!
//! - The layout of a message never changes: no field or variant is added, removed or reordered.
//! - A new kind of message gets a path of its own. A controller that does not know the path answers
//!   404, and the sender has to do without.
//! - Whatever is not exactly one message of the expected layout is a [`DecodeError`]. The receiver
//!   answers 400 and changes nothing: not its term, not its leader, not the reachability of a peer.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Sent every second to each peer; the answer is the peer's own heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    pub sender: String,
    /// The highest term that the sender has seen.
    pub term: u64,
    /// Who leads in that term, if the sender knows.
    pub leader: Option<String>,
    /// Whether the state service answers the sender.
    pub is_store_reachable: bool,
    /// The zone that holds the most machines, as the leader said last.
    pub home_zone: Option<String>,
    /// How many workers reported to the sender lately, whether or not it leads.
    pub reporting_worker_count: u32,
    /// The sender transferred the leadership away a short while ago.
    pub has_transferred_leadership: bool,
    /// What the sender spends of the state service's rate limits.
    pub store_usage: StoreUsage,
    /// Jobs that were confirmed as cancelled a short while ago. The state service may not answer the
    /// leader, which has to stop their tasks all the same.
    pub recent_cancellations: Vec<RecentCancellation>,
}

/// Use of the state service's rate limits, each a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreUsage {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Puts and deletes a second.
    pub changes_per_s: u32,
}

/// A cancelled job that peers pass on to each other for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RecentCancellation {
    /// Number of the job.
    pub job: u64,
    /// For how many milliseconds it is still passed on. Receivers only ever lower it.
    pub remaining_ms: u32,
}

/// A user's request that the sender passes on, as the state service does not answer it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayedRequest {
    /// A submission: the body as the user sent it.
    Submit(Vec<u8>),
    /// A status query for the job of that id.
    Status(String),
    /// A cancellation of the job of that id.
    Cancel(String),
}

/// The answer to a [`RelayedRequest`], to be passed back to the user.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Tells the leader of jobs that the records show as cancelled. Users are told after it has
/// acknowledged them.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CancelledJobs {
    /// Numbers of the jobs.
    pub jobs: Vec<u64>,
}

/// Those of the [`CancelledJobs`] whose tasks the receiver, as the leader, commands alone.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AcknowledgedJobs {
    /// Numbers of the jobs.
    pub jobs: Vec<u64>,
}

/// Path of [`CancelledJobs`].
pub const CANCELLED_PATH: &str = "/peer/cancelled";
/// Path of [`PeerHeartbeat`].
pub const HEARTBEAT_PATH: &str = "/peer/hello";
/// Path of [`RelayedRequest`].
pub const RELAY_PATH: &str = "/peer/relay";

/// Why a body is not a message of the expected layout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It ends too early, or a variant, flag or text in it is invalid.
    Malformed(String),
    /// So many bytes follow a complete message.
    TrailingBytes(usize),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(why) => write!(f, "malformed message: {why}"),
            DecodeError::TrailingBytes(count) => write!(f, "{count} bytes after the message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// A message that has no encoding, as a text or list in it is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodeError(String);

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message without an encoding: {}", self.0)
    }
}

impl std::error::Error for EncodeError {}

/// Encodes a message for a peer.
pub fn encode<T: BorshSerialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    borsh::to_vec(message).map_err(|e| EncodeError(e.to_string()))
}

/// Decodes exactly one message; see the version rule above.
pub fn decode<T: BorshDeserialize>(body: &[u8]) -> Result<T, DecodeError> {
    let mut rest = body;
    let message = T::deserialize(&mut rest).map_err(|e| DecodeError::Malformed(e.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::TrailingBytes(rest.len()))
    }
}
