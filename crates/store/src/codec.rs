//! The format of bodies: CBOR, one value each.

use std::io;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// Room for an encoded body, in bytes; larger ones grow.
const BODY_CAPACITY: usize = 256;

/// Why a body is not a value of the expected type.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is no CBOR, or a value of another type.
    #[error(transparent)]
    Malformed(#[from] ciborium::de::Error<io::Error>),
    /// More bytes follow the value.
    #[error("bytes after the end")]
    TrailingBytes,
}

/// Decodes a body.
///
/// # Errors
///
/// If it is anything else than exactly one value of the type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError::TrailingBytes)
    }
}

/// Encodes a body. A value that has no form in CBOR, which no type of the protocols can hold, is logged and
/// gives an incomplete body, which no receiver accepts.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(BODY_CAPACITY);
    if let Err(error) = ciborium::into_writer(value, &mut body) {
        tracing::error!("encoding a message failed: {error}");
    }
    body
}

/// For `deserialize_with`: a list that may be null, which counts as empty.
///
/// # Errors
///
/// If the value is neither a list of that type nor null.
pub fn null_is_empty<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(deserializer)?.unwrap_or_default())
}
