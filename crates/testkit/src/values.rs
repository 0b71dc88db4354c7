//! Reading and making CBOR values by field.

use ciborium::Value;

/// The fields of a map, in their order.
pub type Fields = Vec<(&'static str, Value)>;

/// A map of those fields.
pub fn map(fields: Fields) -> Value {
    Value::Map(
        fields
            .into_iter()
            .map(|(k, v)| (Value::from(k), v))
            .collect(),
    )
}

/// The value of a field.
pub fn get<'a>(value: &'a Value, key: &str) -> Option<&'a Value> {
    let pairs = value.as_map()?;
    pairs
        .iter()
        .find(|(k, _)| k.as_text() == Some(key))
        .map(|(_, v)| v)
}

/// The text in a field, empty if there is none.
pub fn text(value: &Value, key: &str) -> String {
    get(value, key)
        .and_then(Value::as_text)
        .unwrap_or("")
        .to_owned()
}

/// The number in a field, 0 if there is none.
pub fn number(value: &Value, key: &str) -> u64 {
    let integer = get(value, key).and_then(Value::as_integer);
    integer.and_then(|i| u64::try_from(i).ok()).unwrap_or(0)
}

/// The list in a field, empty if there is none.
pub fn list<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    get(value, key)
        .and_then(Value::as_array)
        .map_or(&[], Vec::as_slice)
}
