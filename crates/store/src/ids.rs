//! Small types for versions, leases and times.

use std::time::Duration;

/// Defines a newtype around an unsigned integer that travels as the plain number.
#[macro_export]
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number_type!(
    /// The revision at which a key last changed; 0 means that the key does not exist.
    Version
);

impl Version {
    /// The version of a key that does not exist.
    pub const ABSENT: Version = Version(0);
}

number_type!(
    /// A lease of the store.
    LeaseId
);

/// A point on a process's steady clock, in milliseconds since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// This time plus a span.
    pub fn after(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span.as_millis() as u64))
    }

    /// Time passed since `earlier`, zero if that lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
