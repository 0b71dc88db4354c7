//! Encoding of request and response bodies: each is one CBOR value.

use std::io;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

/// Initial capacity for an encoded body.
const BODY_CAPACITY_BYTES: usize = 256;

/// The reason why a body could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The body is not valid CBOR, or its value has another type than expected.
    #[error(transparent)]
    Malformed(#[from] ciborium::de::Error<io::Error>),
    /// More bytes follow the value.
    #[error("trailing bytes after the CBOR value")]
    TrailingBytes,
}

/// Decodes a body.
///
/// # Errors
///
/// If the body is not exactly one value of the expected type.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let mut rest = body;
    let value = ciborium::from_reader(&mut rest)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(DecodeError::TrailingBytes)
    }
}

/// Encodes a body. Every value of a protocol type can be encoded. If another value can't, the error is logged, and the
/// incomplete body that is returned is rejected by its receiver.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut body = Vec::with_capacity(BODY_CAPACITY_BYTES);
    if let Err(error) = ciborium::into_writer(value, &mut body) {
        tracing::error!("encoding a message body as CBOR failed: {error}");
    }
    body
}

/// Reads a list that may be null, which counts as empty. For serde's `deserialize_with`.
///
/// # Errors
///
/// If the value is neither a list of the element type nor null.
pub fn null_is_empty<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(deserializer)?.unwrap_or_default())
}
