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
}

pub const PATH: &str = "/peer/hello";

pub fn encode(hello: &Hello) -> Vec<u8> {
    borsh::to_vec(hello).unwrap_or_default()
}

pub fn decode(body: &[u8]) -> Option<Hello> {
    borsh::from_slice(body).ok()
}
