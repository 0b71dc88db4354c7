//! Keys of the records in the store.
//!
//! | key | record |
//! | --- | --- |
//! | `quota/pool` | [`PoolRecord`](super::PoolRecord): capacity, sum of guarantees, sum of borrowing |
//! | `quota/team/<team>` | [`TeamRecord`](super::TeamRecord): guarantee, limit, allowances, unmet demands |
//! | `quota/allowance/<team>/<client>` | [`AllowanceRecord`](super::AllowanceRecord): what the client may charge; its version fences the client |
//! | `quota/open/<team>/<requester>/<sequence>` | [`ChargeRecord`](super::ChargeRecord): the charge of an admission |
//! | `quota/settled/<team>/<requester>` | [`CompletedRecord`](crate::completed::CompletedRecord): completed admissions of a requester |

use lichencrank_store::Item;

use super::Record;
use crate::ids::{AdmissionId, AllowanceId, ClientName, RequesterId, RequesterName, TeamName};

/// Prefix of all keys of this package.
pub const KEY_PREFIX: &str = "quota/";
/// Key of the pool.
pub const POOL_KEY: &str = "quota/pool";
/// Prefix of the keys of teams.
pub const TEAM_PREFIX: &str = "quota/team/";
/// Prefix of the keys of allowances.
pub const ALLOWANCE_PREFIX: &str = "quota/allowance/";
/// Prefix of the keys of charges.
pub const CHARGE_PREFIX: &str = "quota/open/";
/// Prefix of the keys of completed admissions.
pub const COMPLETED_PREFIX: &str = "quota/settled/";

/// Longest encoded name, in bytes: a prefix, three of them and a number fit into the 200 bytes that the
/// store allows for a key.
const MAX_ENCODED_NAME_BYTES: usize = 60;

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// Of the pool.
    Pool,
    /// Of a team.
    Team(TeamName),
    /// Of an allowance.
    Allowance(AllowanceId),
    /// Of the charge of an admission.
    Charge(AdmissionId),
    /// Of the completed admissions of a requester.
    Completed(RequesterId),
}

impl RecordKey {
    /// The key as the store has it.
    pub fn path(&self) -> String {
        match self {
            RecordKey::Pool => POOL_KEY.to_owned(),
            RecordKey::Team(team) => format!("{TEAM_PREFIX}{}", segment(team.as_str())),
            RecordKey::Allowance(AllowanceId { team, client }) => {
                let (team, client) = (segment(team.as_str()), segment(client.as_str()));
                format!("{ALLOWANCE_PREFIX}{team}/{client}")
            }
            RecordKey::Charge(id) => {
                let prefix = team_charges_prefix(&id.team);
                let requester = segment(id.requester.as_str());
                format!("{prefix}{requester}/{:010}", id.sequence)
            }
            RecordKey::Completed(RequesterId { team, requester }) => {
                let (team, requester) = (segment(team.as_str()), segment(requester.as_str()));
                format!("{COMPLETED_PREFIX}{team}/{requester}")
            }
        }
    }

    /// Parses a key of the store; `None` if no record of this package has such a key.
    pub fn parse(path: &str) -> Option<RecordKey> {
        if path == POOL_KEY {
            return Some(RecordKey::Pool);
        }
        let mut segments = path.strip_prefix(KEY_PREFIX)?.split('/');
        let kind = segments.next()?;
        let team = TeamName::new(&decode_segment(segments.next()?)?);
        let name = segments.next().and_then(decode_segment);
        let sequence = segments.next();
        if segments.next().is_some() {
            return None;
        }
        match (kind, name, sequence) {
            ("team", None, None) => Some(RecordKey::Team(team)),
            ("allowance", Some(name), None) => Some(RecordKey::Allowance(AllowanceId {
                team,
                client: ClientName::new(&name),
            })),
            ("settled", Some(name), None) => Some(RecordKey::Completed(RequesterId {
                team,
                requester: RequesterName::new(&name),
            })),
            ("open", Some(name), Some(sequence)) => Some(RecordKey::Charge(AdmissionId {
                team,
                requester: RequesterName::new(&name),
                sequence: sequence.parse().ok()?,
            })),
            _ => None,
        }
    }

    /// Reads the record below this key; `None`, with a line in the log, if the value isn't such a record.
    pub fn read_record(&self, item: &Item) -> Option<Record> {
        match self {
            RecordKey::Pool => item.record().map(Record::Pool),
            RecordKey::Team(_) => item.record().map(Record::Team),
            RecordKey::Allowance(_) => item.record().map(Record::Allowance),
            RecordKey::Charge(_) => item.record().map(Record::Charge),
            RecordKey::Completed(_) => item.record().map(Record::Completed),
        }
    }
}

impl AdmissionId {
    /// Whether the names in this id fit into keys of the store: they are neither empty nor too long.
    pub fn is_storable(&self) -> bool {
        let names = [self.team.as_str(), self.requester.as_str()];
        names.into_iter().all(|name| encode_segment(name).is_some())
    }
}

/// Prefix of the keys of a team's charges.
pub fn team_charges_prefix(team: &TeamName) -> String {
    format!("{CHARGE_PREFIX}{}/", segment(team.as_str()))
}

/// A name as a segment of a key. Names that don't fit are rejected before any key is made of them, see
/// [`AdmissionId::is_storable`].
fn segment(name: &str) -> String {
    encode_segment(name).unwrap_or_default()
}

/// Escapes what a key can't hold, such as slashes and spaces, as `%` and two hexadecimal digits. `None`
/// if the name is empty, or too long in this form.
fn encode_segment(name: &str) -> Option<String> {
    let mut encoded = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    let fits = !encoded.is_empty() && encoded.len() <= MAX_ENCODED_NAME_BYTES;
    fits.then_some(encoded)
}

/// The name that a segment of a key stands for; `None` if its escapes or its text are malformed.
fn decode_segment(segment: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = segment.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        if *first != b'%' {
            bytes.push(*first);
            rest = others;
            continue;
        }
        let digits = std::str::from_utf8(others.get(..2)?).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &others[2..];
    }
    String::from_utf8(bytes).ok()
}
