//! Typed messages of every interface. Wire names live in serde attributes, nowhere else.

pub mod cloud;
pub mod peers;
pub mod users;
pub mod workers;

use std::fmt;

use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize};

pub use lichencrank_store::codec::{decode, encode, null_is_empty};

/// A decimal that may travel as an integer, as CBOR writers often shorten whole numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Amount(pub f64);

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Amount, D::Error> {
        struct Number;
        impl Visitor<'_> for Number {
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
        d.deserialize_any(Number)
    }
}
