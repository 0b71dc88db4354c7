//! The records in the store and their keys.
//!
//! | key | holds |
//! | --- | --- |
//! | `quota/pool` | capacity, the sum of all guarantees, and what is lent beyond them |
//! | `quota/team/<team>` | guarantee, limit, what is lent to each holder, who waits for more |
//! | `quota/allowance/<team>/<holder>` | what a holder may charge; its version fences the holder |
//! | `quota/open/<team>/<requester>/<number>` | an admission that is not settled |
//! | `quota/settled/<team>/<requester>` | numbers and sum of settled admissions |
//! | `quota/holder/<holder>` | there while the holder renews its lease |

use std::collections::BTreeMap;

use ciborium::Value;
use lichencrank_store::Item;
use serde::{Deserialize, Serialize};

use crate::names::{decode_segment, encode_segment};
use crate::names::{AdmissionId, HolderName, RequesterName, TeamName};
use crate::resource_vector::ResourceVector;
use crate::settled::SettledRecord;

/// Prefix of all keys of this package.
pub const PREFIX: &str = "quota/";
/// Prefix of the teams' records.
pub const TEAMS: &str = "quota/team/";
/// Prefix of the allowances.
pub const ALLOWANCES: &str = "quota/allowance/";
/// Prefix of open admissions.
pub const OPEN: &str = "quota/open/";
/// Prefix of settled admissions.
pub const SETTLED: &str = "quota/settled/";
/// Prefix of the keys that hang on the holders' leases.
pub const HOLDERS: &str = "quota/holder/";
/// Key of the pool.
pub const POOL: &str = "quota/pool";

/// How urgent work is; the order is that in which work is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served first.
    Critical,
    /// Before normal work.
    High,
    /// Ordinary work.
    Normal,
    /// Uses what idles.
    BestEffort,
}

/// A holder that waits for more than it has been lent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// Who waits.
    pub holder: HolderName,
    /// How much more it needs.
    pub usage: ResourceVector,
}

/// A team: what it is guaranteed and allowed, and where its limit is lent to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRecord {
    /// What other teams' borrowing never takes from it.
    pub guarantee: ResourceVector,
    /// What all of its admissions together never exceed.
    pub limit: ResourceVector,
    /// What each holder's allowance is.
    #[serde(default)]
    pub lent: BTreeMap<HolderName, ResourceVector>,
    /// Who waits for more, the first one first.
    #[serde(default)]
    pub wanted: Vec<Want>,
}

/// A team that waits to borrow more than the machines have now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamWant {
    /// The team.
    pub team: TeamName,
    /// How much more it needs beyond its guarantee.
    pub usage: ResourceVector,
}

/// What the teams share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// What the machines have in all.
    pub capacity: ResourceVector,
    /// The sum of all guarantees.
    pub guaranteed: ResourceVector,
    /// What is lent beyond guarantees, in all.
    pub borrowed: ResourceVector,
    /// Which teams wait to borrow, the first one first. Only so many that the record stays small; the
    /// others get their places later.
    #[serde(default)]
    pub wanted: Vec<TeamWant>,
}

impl Default for PoolRecord {
    fn default() -> PoolRecord {
        PoolRecord {
            capacity: ResourceVector::UNLIMITED,
            guaranteed: ResourceVector::ZERO,
            borrowed: ResourceVector::ZERO,
            wanted: Vec::new(),
        }
    }
}

/// A holder's allowance of one team. Every charge is conditional on this key's version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AllowanceRecord {
    /// Grows whenever a process takes the allowance over or is fenced off.
    pub epoch: u64,
    /// What its open admissions may take together.
    pub granted: ResourceVector,
    /// Its holder was given up: it charges nothing before it takes the allowance over anew.
    #[serde(default)]
    pub fenced: bool,
    /// Its charges are kept in other records, which only its holder can sum up.
    #[serde(default)]
    pub self_accounted: bool,
}

/// How far an open admission is, in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenState {
    /// It counts.
    Charged,
    /// It counts, and is to end.
    Revoked,
}

/// An admission that counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OpenRecord {
    /// Whose allowance it is charged to.
    pub holder: HolderName,
    /// The allowance's epoch when it was charged: it tells the processes of a holder apart.
    pub epoch: u64,
    /// What it takes.
    pub usage: ResourceVector,
    /// How urgent it is.
    pub priority: Priority,
    /// How far it is.
    pub state: OpenState,
}

/// A record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// What the teams share.
    Pool(PoolRecord),
    /// A team.
    Team(TeamRecord),
    /// An allowance.
    Allowance(AllowanceRecord),
    /// An open admission.
    Open(OpenRecord),
    /// Settled admissions.
    Settled(SettledRecord),
}

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// Of what the teams share.
    Pool,
    /// Of a team.
    Team(TeamName),
    /// Of an allowance.
    Allowance(TeamName, HolderName),
    /// Of an open admission.
    Open(AdmissionId),
    /// Of settled admissions.
    Settled(TeamName, RequesterName),
}

fn segment(name: &str) -> String {
    // What does not fit into a key is refused before it gets here; see `names_fit`.
    encode_segment(name).unwrap_or_default()
}

/// Whether the names in an id fit into keys.
pub fn names_fit(id: &AdmissionId) -> bool {
    encode_segment(id.team.as_str()).is_some() && encode_segment(id.requester.as_str()).is_some()
}

/// Prefix of a team's open admissions.
pub fn open_prefix(team: &TeamName) -> String {
    format!("{OPEN}{}/", segment(team.as_str()))
}

/// Key that hangs on a holder's lease.
pub fn holder_key(holder: &HolderName) -> String {
    format!("{HOLDERS}{}", segment(holder.as_str()))
}

impl RecordKey {
    /// The key as the store has it.
    pub fn path(&self) -> String {
        match self {
            RecordKey::Pool => POOL.to_owned(),
            RecordKey::Team(team) => format!("{TEAMS}{}", segment(team.as_str())),
            RecordKey::Allowance(team, holder) => {
                let (team, holder) = (segment(team.as_str()), segment(holder.as_str()));
                format!("{ALLOWANCES}{team}/{holder}")
            }
            RecordKey::Open(id) => {
                let requester = segment(id.requester.as_str());
                format!("{}{requester}/{:010}", open_prefix(&id.team), id.sequence)
            }
            RecordKey::Settled(team, requester) => {
                let (team, requester) = (segment(team.as_str()), segment(requester.as_str()));
                format!("{SETTLED}{team}/{requester}")
            }
        }
    }

    /// Reads a key; `None` if it is none of this package's records.
    pub fn parse(path: &str) -> Option<RecordKey> {
        if path == POOL {
            return Some(RecordKey::Pool);
        }
        let mut parts = path.strip_prefix(PREFIX)?.split('/');
        let kind = parts.next()?;
        let team = TeamName::new(&decode_segment(parts.next()?)?);
        let second = parts.next().and_then(decode_segment);
        let third = parts.next();
        if parts.next().is_some() {
            return None;
        }
        match (kind, second, third) {
            ("team", None, None) => Some(RecordKey::Team(team)),
            ("allowance", Some(holder), None) => {
                Some(RecordKey::Allowance(team, HolderName::new(&holder)))
            }
            ("settled", Some(requester), None) => {
                Some(RecordKey::Settled(team, RequesterName::new(&requester)))
            }
            ("open", Some(requester), Some(number)) => Some(RecordKey::Open(AdmissionId {
                team,
                requester: RequesterName::new(&requester),
                sequence: number.parse().ok()?,
            })),
            _ => None,
        }
    }

    /// Reads the record below this key; `None`, with a line in the log, where it isn't one.
    pub fn read(&self, item: &Item) -> Option<Record> {
        match self {
            RecordKey::Pool => item.record().map(Record::Pool),
            RecordKey::Team(_) => item.record().map(Record::Team),
            RecordKey::Allowance(..) => item.record().map(Record::Allowance),
            RecordKey::Open(_) => item.record().map(Record::Open),
            RecordKey::Settled(..) => item.record().map(Record::Settled),
        }
    }
}

impl Record {
    /// The record in the form that the store keeps.
    pub fn to_value(&self) -> Value {
        match self {
            Record::Pool(record) => lichencrank_store::value(record),
            Record::Team(record) => lichencrank_store::value(record),
            Record::Allowance(record) => lichencrank_store::value(record),
            Record::Open(record) => lichencrank_store::value(record),
            Record::Settled(record) => lichencrank_store::value(record),
        }
    }
}
