//! What the service's own processes tell each other, in borsh.

use borsh::{BorshDeserialize, BorshSerialize};

/// Sent every second to each peer, and answered by the peer's own.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    pub from: String,
    /// The highest term the sender has seen, and who leads it, if it knows.
    pub term: u64,
    pub leader: Option<String>,
    /// Whether the state service answers the sender.
    pub state_ok: bool,
    /// The zone that holds the most machines, by the leader's word.
    pub home: Option<String>,
    /// How many workers reported to the sender lately, whether or not it leads.
    pub workers: u32,
    /// The sender led and made room a short while ago.
    pub made_room: bool,
    /// What the sender spends of the state service's budgets: requests and changes a second.
    pub spends: (u32, u32),
    /// Jobs that the sender told users were cancelled, a short while ago. The leader may be the one
    /// that the state service does not answer, and must stop their tasks all the same.
    /// With each the milliseconds for which that is worth telling.
    pub cancelled: Vec<(u64, u32)>,
}

/// A user's request, passed on by a node that the state service does not answer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Relay {
    Submit(Vec<u8>),
    Poll(String),
    Withdraw(String),
}

/// What the other node answers to it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Relayed {
    pub status: u16,
    pub retry_after: Option<u32>,
    pub body: Vec<u8>,
}

/// Jobs that are cancelled in the records. The leader has to know before a user is told.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Cancelled {
    pub jobs: Vec<u64>,
}

/// Those of them that the one who was asked has in hand, as the leader in office.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Secured {
    pub jobs: Vec<u64>,
}

pub const CANCELLED: &str = "/peer/cancelled";
pub const HELLO: &str = "/peer/hello";
pub const RELAY: &str = "/peer/relay";

pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    borsh::to_vec(message).unwrap_or_else(|e| {
        log::error!("encoding for a peer failed: {e}");
        Vec::new()
    })
}

pub fn decode<T: BorshDeserialize>(body: &[u8]) -> Option<T> {
    borsh::from_slice(body).ok()
}
