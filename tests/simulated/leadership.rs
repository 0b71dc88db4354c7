//! Who leads, as the key-value store's records tell.

use super::controllers::Controllers;
use super::history::Mark;
use super::ids::NodeIndex;
use super::process::Version;
use super::store::LeaderRecord;

/// What a look at the records shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadershipChange {
    /// The leader before, if another node holds the leadership now.
    pub replaced: Option<NodeIndex>,
    /// Whether a new term has begun.
    pub is_new_term: bool,
}

/// The last leader.
#[derive(Debug, Default)]
pub struct Leadership {
    term: u64,
    leader: Option<NodeIndex>,
    /// What the leader of the last term ran.
    version: Option<Version>,
}

impl Leadership {
    /// The node that leads, or was the last to lead.
    pub fn leader(&self) -> Option<NodeIndex> {
        self.leader
    }

    /// The last term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes in what the records say.
    pub fn update(&mut self, record: &LeaderRecord, controllers: &Controllers) -> LeadershipChange {
        let holder = record.holder.as_deref();
        let holder = holder.and_then(|name| controllers.find_by_name(name));
        let mut replaced = None;
        if let Some(holder) = holder {
            let before = self.leader.replace(holder);
            replaced = before.filter(|before| *before != holder);
        }
        let is_new_term = record.term != self.term;
        self.term = record.term;
        LeadershipChange {
            replaced,
            is_new_term,
        }
    }

    /// The leader of a new term runs that version. Returns the mark to set if the one before ran another.
    pub fn note_version(&mut self, version: Version) -> Option<Mark> {
        match (self.version.replace(version), version) {
            (Some(Version::Current), Version::Earlier) => Some(Mark::EarlierVersionTookOver),
            (Some(Version::Earlier), Version::Current) => Some(Mark::CurrentVersionTookOver),
            _ => None,
        }
    }
}
