//! Request targets: path and query.

/// The path of a target.
pub(crate) fn path(target: &str) -> &str {
    target.split('?').next().unwrap_or("")
}

/// A parameter of a target's query, empty if there is none of that name.
pub(super) fn query(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut parameters = query
        .split('&')
        .filter_map(|parameter| parameter.split_once('='));
    let found = parameters.find(|(other, _)| *other == name);
    found.map_or(String::new(), |(_, value)| value.to_owned())
}

/// How long a watch with that target waits for changes, in milliseconds.
pub fn watch_timeout_ms(target: &str) -> u64 {
    query(target, "holdMs").parse().unwrap_or(0)
}
