//! Identifiers, versions and times, each a type of its own.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lichencrank_store::number_type;
pub use lichencrank_store::{LeaseId, Time, Version};

number_type!(
    /// The term of a leader. It is also the fencing token that workers check.
    Term
);
number_type!(
    /// Incarnation of a worker. A new one begins whenever the worker's lease has expired.
    Incarnation
);
number_type!(
    /// Position of a message among those of one worker incarnation.
    SequenceNumber
);
number_type!(
    /// Number of an attempt at a task. Later attempts have higher numbers.
    Attempt
);

impl Attempt {
    /// The number of the next attempt.
    pub fn next(self) -> Attempt {
        Attempt(self.0 + 1)
    }
}

/// The duration of a number of seconds from the settings or the protocol. It never panics: a negative number and NaN
/// give zero, a number that is too large gives a very long duration.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX / 4)
}

/// Id of a job: `job-` and a number of 6 to 18 digits, which fits into 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses an id; `None` if it is not in the canonical form.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        let is_numeric = digits.bytes().all(|b| b.is_ascii_digit());
        // More than six digits never begin with a zero, so that each job has a single id.
        let is_canonical = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
        if !is_numeric || !is_canonical || digits.len() > 18 {
            return None;
        }
        digits.parse().ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "job-{:06}", self.0)
    }
}

/// Id of a task: its job and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job of the task.
    pub job: JobId,
    /// Number of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses an id such as `job-000412/3`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        let index = index.parse().ok()?;
        JobId::parse(job).map(|job| TaskId { job, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Serializes an id in its text form.
macro_rules! serialize_as_text {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                $name::parse(&text)
                    .ok_or_else(|| serde::de::Error::custom(concat!("not a ", stringify!($name))))
            }
        }
    };
}

serialize_as_text!(JobId);
serialize_as_text!(TaskId);

/// Name of a host. Names sort in the order in which the hosts were created.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostName(Arc<str>);

impl HostName {
    /// The host name with that text.
    pub fn new(name: &str) -> HostName {
        HostName(name.into())
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HostName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Serialize for HostName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for HostName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer).map(|name| HostName::new(&name))
    }
}
