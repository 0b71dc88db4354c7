//! Newtypes for versions, lease ids and times.

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
    /// A version of a key: the store's revision at the last change of the key, 0 if the key does not exist. Also a
    /// revision of the whole store, which grows by one with every transaction that changes anything.
    Version
);

impl Version {
    /// The version of a key that does not exist.
    pub const ABSENT: Version = Version(0);
}

number_type!(
    /// Id of a lease. The keys attached to a lease are deleted when it expires or is ended.
    LeaseId
);

/// A time on the monotonic clock of a process, in milliseconds since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The time that is `duration` later.
    pub fn after(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.as_millis() as u64))
    }

    /// The duration since `earlier`; zero if `earlier` is the later of the two.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
