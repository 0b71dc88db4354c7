//! Parsing of request targets into path and query.

/// The path of a request target.
pub(crate) fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or("")
}

/// The value of a query parameter, empty if the target has no parameter of that name.
pub(super) fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut parameters = query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='));
    let found = parameters.find(|(other, _)| *other == name);
    found.map_or(String::new(), |(_, value)| value.to_owned())
}

/// How long a watch with the given target waits for changes, in milliseconds.
pub fn watch_timeout_ms(target: &str) -> u64 {
    query(target, "holdMs").parse().unwrap_or(0)
}
