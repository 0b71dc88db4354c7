//! Building and reading CBOR maps with named fields. As in a lenient client, a field that is missing or of
//! another type reads as empty.

use ciborium::Value;

/// The fields of a map, in order.
pub type Fields = Vec<(&'static str, Value)>;

/// A map with the given fields.
pub fn map(fields: Fields) -> Value {
    let fields = fields.into_iter();
    Value::Map(fields.map(|(name, value)| (name.into(), value)).collect())
}

/// The value of a field; `None` if the field is missing.
pub fn get<'a>(map: &'a Value, name: &str) -> Option<&'a Value> {
    let mut fields = map.as_map()?.iter();
    let field = fields.find(|(other, _)| other.as_text() == Some(name));
    field.map(|(_, value)| value)
}

/// The text of a field, empty if it has none.
pub fn text(map: &Value, name: &str) -> String {
    let text = get(map, name).and_then(Value::as_text);
    text.unwrap_or("").to_owned()
}

/// The unsigned integer in a field, 0 if it has none.
pub fn number(map: &Value, name: &str) -> u64 {
    let integer = get(map, name).and_then(Value::as_integer);
    integer
        .and_then(|integer| u64::try_from(integer).ok())
        .unwrap_or(0)
}

/// The list in a field, empty if it has none.
pub fn list<'a>(map: &'a Value, name: &str) -> &'a [Value] {
    let list = get(map, name).and_then(Value::as_array);
    list.map_or(&[], Vec::as_slice)
}
