//! Names of teams, clients and requesters, and the ids that consist of them.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Defines a newtype of a shared string, which is serialized as a string.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from any text; [`AdmissionId::is_storable`] tells whether names fit into a key
            /// of the store.
            pub fn new(text: &str) -> $name {
                $name(text.into())
            }

            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(|text| $name::new(&text))
            }
        }
    };
}

name_type!(
    /// Name of a team, the unit that has a guarantee and a limit.
    TeamName
);
name_type!(
    /// Name of a quota client: a controller or an embedding program to which allowances are granted.
    ClientName
);
name_type!(
    /// Name of a requester: a user or program that requests admissions and numbers its requests.
    RequesterName
);

/// Identifies an admission, and makes its request idempotent: a repeated request with the same id, at any
/// client, is for the same admission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionId {
    /// Team whose quota the admission is charged to.
    pub team: TeamName,
    /// The requester of the admission.
    pub requester: RequesterName,
    /// Sequence number of the request, assigned by the requester. Requesters should count upwards with few
    /// gaps, because completed numbers are stored as ranges, and must never reuse a number for other
    /// work.
    pub sequence: u32,
}

impl AdmissionId {
    /// Identifies the requester, within the team.
    pub fn requester_id(&self) -> RequesterId {
        RequesterId {
            team: self.team.clone(),
            requester: self.requester.clone(),
        }
    }
}

impl fmt::Display for AdmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.requester, self.sequence)
    }
}

/// Identifies an allowance: the part of one team's limit that is granted to one client.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AllowanceId {
    /// Team whose limit the allowance is a part of.
    pub team: TeamName,
    /// Client to which the allowance is granted.
    pub client: ClientName,
}

impl AllowanceId {
    /// The id of the allowance that the client has of the team.
    pub fn new(team: &TeamName, client: &ClientName) -> AllowanceId {
        AllowanceId {
            team: team.clone(),
            client: client.clone(),
        }
    }
}

/// Identifies a requester within a team. Completed admissions are recorded per requester id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequesterId {
    /// Team for which it requests admissions.
    pub team: TeamName,
    /// The requester.
    pub requester: RequesterName,
}
