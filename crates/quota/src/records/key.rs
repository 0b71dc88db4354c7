//! Keys of the records in the store.
//!
//! | key | record |
//! | --- | --- |
//! | `quota/pool` | [`PoolRecord`](super::PoolRecord): capacity, sums of guarantees and of borrowing, unmet demands |
//! | `quota/team/<team>` | [`TeamRecord`](super::TeamRecord): guarantee, limit, allowances, unmet demands |
//! | `quota/allowance/<team>/<client>` | [`AllowanceRecord`](super::AllowanceRecord): the amount that the client may charge; a changed version fences off its charges in flight |
//! | `quota/open/<team>/<requester>/<sequence>` | [`ChargeRecord`](super::ChargeRecord): the charge of an admission |
//! | `quota/settled/<team>/<requester>` | [`CompletedRecord`](crate::completed::CompletedRecord): completed admissions of a requester |

use lichencrank_store::Item;

use super::Record;
use crate::ids::{AdmissionId, AllowanceId, ClientName, RequesterId, RequesterName, TeamName};

/// Prefix of the keys of all records of this package.
pub const KEY_PREFIX: &str = "quota/";
/// Key of the pool's record.
pub const POOL_KEY: &str = "quota/pool";
/// Prefix of the keys of teams.
pub const TEAM_PREFIX: &str = "quota/team/";
/// Prefix of the keys of allowances.
pub const ALLOWANCE_PREFIX: &str = "quota/allowance/";
/// Prefix of the keys of charges.
pub const CHARGE_PREFIX: &str = "quota/open/";
/// Prefix of the keys of completed admissions.
pub const COMPLETED_PREFIX: &str = "quota/settled/";

/// Maximum length of an encoded name. A prefix, three names of this length and a number fit into the 200 bytes
/// that the store allows for a key.
const MAX_ENCODED_NAME_BYTES: usize = 60;

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKey {
    /// Key of the pool.
    Pool,
    /// Key of a team.
    Team(TeamName),
    /// Key of an allowance.
    Allowance(AllowanceId),
    /// Key of the charge of an admission.
    Charge(AdmissionId),
    /// Key of the completed admissions of a requester.
    Completed(RequesterId),
}

impl RecordKey {
    /// The key as text, as used in the store.
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

    /// Parses a key of the store; `None` if it is not a key of this package.
    pub fn parse(path: &str) -> Option<RecordKey> {
        if path == POOL_KEY {
            return Some(RecordKey::Pool);
        }
        let mut segments = path.strip_prefix(KEY_PREFIX)?.split('/');
        let record_type = segments.next()?;
        let team = TeamName::new(&decode_segment(segments.next()?)?);
        let name = segments.next().and_then(decode_segment);
        let sequence = segments.next();
        if segments.next().is_some() {
            return None;
        }
        match (record_type, name, sequence) {
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

    /// Decodes the record of an item with this key. If the value is not such a record, this is logged and
    /// `None` is returned.
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
    /// Whether the names in this id fit into keys of the store, that is, are neither empty nor too long.
    pub fn is_storable(&self) -> bool {
        let names = [self.team.as_str(), self.requester.as_str()];
        names.into_iter().all(|name| encode_segment(name).is_some())
    }
}

/// Prefix of the keys of a team's charges.
pub fn team_charges_prefix(team: &TeamName) -> String {
    format!("{CHARGE_PREFIX}{}/", segment(team.as_str()))
}

/// Encodes a name as a segment of a key. Requests with names that don't fit are rejected before a key is built
/// from them, see [`AdmissionId::is_storable`].
fn segment(name: &str) -> String {
    encode_segment(name).unwrap_or_default()
}

/// Percent-encodes the bytes that are not allowed in a key segment, such as slashes and spaces. `None` if the
/// name is empty, or too long when encoded.
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

/// Decodes a segment of a key to a name; `None` if an escape is malformed or the result is not UTF-8.
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
