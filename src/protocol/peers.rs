//! Messages between controllers, encoded with borsh.
//!
//! # Compatibility between versions
//!
//! Controllers of different versions run side by side during a rolling upgrade. These rules hold for every message in
//! this module. Only the last one is enforced by the code, in [`decode`]:
//!
//! - The layout of a message never changes: no field or variant is added, removed or reordered.
//! - A new kind of message gets its own path. A controller that does not know the path responds with 404, and the
//!   sender has to work without that message.
//! - A body that is not exactly one message of the expected layout is a [`DecodeError`]. The receiver responds with 400
//!   and leaves its state as it is: its term, its leader and the reachability of its peers.

use borsh::{BorshDeserialize, BorshSerialize};
use std::fmt;

/// Sent to each peer once per second. The response is the peer's own heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Name of the sending controller.
    pub sender: String,
    /// The highest term that the sender has seen.
    pub term: u64,
    /// Name of the leader of that term, if the sender knows it.
    pub leader: Option<String>,
    /// Whether the state service responds to the sender.
    pub is_store_reachable: bool,
    /// The zone with the most hosts, according to the latest information from the leader.
    pub home_zone: Option<String>,
    /// Number of workers whose heartbeats have recently reached the sender, whether or not the sender leads.
    pub reporting_worker_count: u32,
    /// Whether the sender has recently resigned in order to transfer the leadership.
    pub has_transferred_leadership: bool,
    /// The part of the state service's rate limits that the sender uses.
    pub store_usage: StoreUsage,
    /// Jobs whose cancellation was recently confirmed. The leader has to stop their tasks even if the state service
    /// does not respond to it.
    pub recent_cancellations: Vec<RecentCancellation>,
}

/// Use of the state service's rate limits by one controller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoreUsage {
    /// Requests per second.
    pub requests_per_s: u32,
    /// Puts and deletes per second.
    pub changes_per_s: u32,
}

/// A cancelled job that controllers pass on to each other for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RecentCancellation {
    /// Number of the job.
    pub job: u64,
    /// Milliseconds for which the cancellation is still passed on. Receivers only lower this value, so that no
    /// cancellation circulates forever.
    pub remaining_ms: u32,
}

/// A user's request that the sender relays to a peer because the state service does not respond to the sender.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayedRequest {
    /// Submission of a job: its encoded description.
    Submit(Vec<u8>),
    /// Status query for the job with this id.
    Status(String),
    /// Cancellation of the job with this id.
    Cancel(String),
}

/// The response to a [`RelayedRequest`], to be returned to the user.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Informs the leader of jobs that are cancelled according to the records. The sender confirms a cancellation to its
/// user only after the leader has acknowledged the job, or once no task of the job is allocated any more.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct CancelledJobs {
    /// Numbers of the jobs, as in their ids.
    pub jobs: Vec<u64>,
}

/// The response to [`CancelledJobs`]: the jobs that the responding leader acknowledges, as it alone commands the
/// workers that hold tasks of them.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AcknowledgedJobs {
    /// Numbers of the jobs, as in their ids.
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
    /// The body ends too early, or contains an invalid variant, flag or text.
    Malformed(String),
    /// This number of bytes follows a complete message.
    TrailingBytes(usize),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(reason) => write!(f, "malformed message: {reason}"),
            DecodeError::TrailingBytes(count) => write!(f, "{count} bytes after the message"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Why a message cannot be encoded: a text or list in it is too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodeError(String);

impl fmt::Display for EncodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "message cannot be encoded: {}", self.0)
    }
}

impl std::error::Error for EncodeError {}

/// Encodes a message to a peer.
pub fn encode<T: BorshSerialize>(message: &T) -> Result<Vec<u8>, EncodeError> {
    borsh::to_vec(message).map_err(|e| EncodeError(e.to_string()))
}

/// Decodes a body that has to be exactly one message, as the rules of this module require.
pub fn decode<T: BorshDeserialize>(body: &[u8]) -> Result<T, DecodeError> {
    let mut remaining_bytes = body;
    let message =
        T::deserialize(&mut remaining_bytes).map_err(|e| DecodeError::Malformed(e.to_string()))?;
    if remaining_bytes.is_empty() {
        Ok(message)
    } else {
        Err(DecodeError::TrailingBytes(remaining_bytes.len()))
    }
}
