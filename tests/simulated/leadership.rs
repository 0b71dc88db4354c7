//! Which controller leads, according to the records in the key-value store.

use super::controllers::Controllers;
use super::history::Mark;
use super::ids::NodeIndex;
use super::process::Version;
use super::store::LeaderRecord;

/// What has changed since the records were read last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipChange {
    /// The previous leader, if another node holds the leadership now.
    pub replaced_leader: Option<NodeIndex>,
    /// Whether a node has begun to lead in a new term.
    pub is_new_term: bool,
    /// Whether the leader has raised its own term.
    pub is_term_raised: bool,
}

/// The last known leader and term.
#[derive(Debug, Default)]
pub struct Leadership {
    term: u64,
    leader: Option<NodeIndex>,
    /// The lease of the last leader. It keeps its lease when it raises its term.
    lease: Option<u64>,
    /// The version that the leader of the last term ran.
    leader_version: Option<Version>,
}

impl Leadership {
    /// The present leader, or the last one if the leadership is vacant.
    pub fn leader(&self) -> Option<NodeIndex> {
        self.leader
    }

    /// The number of the last term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Compares the records with the last known state, and updates that.
    pub fn update(&mut self, record: &LeaderRecord, controllers: &Controllers) -> LeadershipChange {
        let holder = record.holder.as_deref();
        let holder = holder.and_then(|name| controllers.find_by_name(name));
        let mut replaced_leader = None;
        if let Some(holder) = holder {
            let previous = self.leader.replace(holder);
            replaced_leader = previous.filter(|previous| *previous != holder);
        }
        let has_term_changed = record.term != self.term;
        let is_same_lease = record.lease.is_some() && record.lease == self.lease;
        self.term = record.term;
        self.lease = record.lease.or(self.lease);
        LeadershipChange {
            replaced_leader,
            is_new_term: has_term_changed && !is_same_lease,
            is_term_raised: has_term_changed && is_same_lease,
        }
    }

    /// Records which version the leader of a new term runs. Returns the mark to set if the previous leader ran
    /// another version.
    pub fn record_leader_version(&mut self, version: Version) -> Option<Mark> {
        match (self.leader_version.replace(version), version) {
            (Some(Version::Current), Version::Earlier) => Some(Mark::EarlierVersionTookOver),
            (Some(Version::Earlier), Version::Current) => Some(Mark::CurrentVersionTookOver),
            _ => None,
        }
    }
}
