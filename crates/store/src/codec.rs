//! The body format: CBOR, one value a body.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};

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
        tracing::error!("encoding a message failed: {e}");
    }
    body
}

/// A list that may be null or left out.
pub fn null_is_empty<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::<Vec<T>>::deserialize(d)?.unwrap_or_default())
}
