//! Typed messages of all interfaces. Names on the wire that differ from the Rust names are set by serde attributes
//! here.

pub mod cloud;
pub mod peers;
pub mod users;
pub mod workers;

use std::fmt;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize};

pub use lichencrank_store::codec::{decode, encode, null_is_empty};

/// A decimal number that is also accepted as an integer, since CBOR encoders often shorten whole numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Amount(pub f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Amount, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Amount;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, v: f64) -> Result<Amount, E> {
                Ok(Amount(v))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Amount, E> {
                Ok(Amount(v as f64))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Amount, E> {
                Ok(Amount(v as f64))
            }
        }
        deserializer.deserialize_any(NumberVisitor)
    }
}
