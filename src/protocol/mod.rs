//! Typed messages of every interface. Wire names live in serde attributes, nowhere else.

pub mod cloud;
pub mod peers;
pub mod state;
pub mod users;
pub mod workers;

use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;

/// Decodes a body; anything but exactly one well-formed value is an error.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest).map_err(|e| e.to_string())?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err("bytes after the end".into())
    }
}

/// Encodes a body. The types here always have a form in CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(256);
    if let Err(e) = ciborium::into_writer(value, &mut body) {
        log::error!("encoding a message failed: {e}");
    }
    body
}

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

/// A list that may be null or left out.
pub fn null_is_empty<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(d)?.unwrap_or_default())
}
