//! Names of teams, holders and requesters, and ids of admissions.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest name in its form within a key. Three of them and a number fit into a key of 200 bytes.
const MAX_ENCODED: usize = 60;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// A name from its text.
            pub fn new(text: &str) -> $name {
                $name(text.into())
            }

            /// The name as text.
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
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                String::deserialize(d).map(|text| $name::new(&text))
            }
        }
    };
}

name_type!(
    /// A team, which has a guarantee and a limit.
    TeamName
);
name_type!(
    /// A controller or an embedding program that holds allowances.
    HolderName
);
name_type!(
    /// Who asks for admissions and numbers them.
    RequesterName
);

/// An admission. Whoever repeats a request uses the same id, and gets the same admission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AdmissionId {
    /// Team whose limit applies.
    pub team: TeamName,
    /// Who asks.
    pub requester: RequesterName,
    /// Number of the request among those of the requester. Numbers are given in about ascending order
    /// and never again.
    pub sequence: u32,
}

impl fmt::Display for AdmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.team, self.requester, self.sequence)
    }
}

/// A name as a part of a key: without slashes, spaces and whatever else a key can't hold. `None` if it
/// is empty or too long.
pub(crate) fn encode_segment(name: &str) -> Option<String> {
    let mut encoded = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    let allowed = !encoded.is_empty() && encoded.len() <= MAX_ENCODED;
    allowed.then_some(encoded)
}

/// The name that a part of a key stands for.
pub(crate) fn decode_segment(segment: &str) -> Option<String> {
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
