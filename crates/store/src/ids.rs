//! Versions, leases and times, each a type of its own.

use std::time::Duration;

/// Defines a newtype around an unsigned integer that is serialized as the plain number.
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
    /// A version of a key: the store's revision at its last change, 0 if the key does not exist. Also a
    /// revision of the whole store, which grows by one with every transaction that changes anything.
    Version
);

impl Version {
    /// The version of a key that does not exist.
    pub const ABSENT: Version = Version(0);
}

number_type!(
    /// Id of a lease. Keys that are attached to a lease are deleted when it expires or is ended.
    LeaseId
);

/// A time on the monotonic clock of a process, in milliseconds since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time that much later.
    pub fn after(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// The time passed since `earlier`; zero if that is later than this.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
