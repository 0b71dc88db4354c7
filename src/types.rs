//! Ids, versions and times, each a small type of its own.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lichencrank_store::number_type;
pub use lichencrank_store::{LeaseId, Time, Version};

number_type!(
    /// The leader's term. It is also the fencing token that workers check.
    Term
);
number_type!(
    /// A worker's incarnation; a new one begins whenever its lease ran out.
    Incarnation
);
number_type!(
    /// Orders the messages of one worker incarnation.
    SequenceNumber
);
number_type!(
    /// Which attempt at a task this is; numbers only grow.
    Attempt
);

impl Attempt {
    /// The attempt after this one.
    pub fn next(self) -> Attempt {
        Attempt(self.0 + 1)
    }
}

/// A duration from a settings or protocol number; nonsense becomes zero, not a panic.
pub fn duration_from_seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s.max(0.0)).unwrap_or(Duration::MAX / 4)
}

/// A job's id: `job-` and a number of at least six digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Reads an id; `None` if it is not in its one canonical form.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("job-")?;
        let plain = digits.bytes().all(|b| b.is_ascii_digit());
        // More than six digits never start with a zero, so that one job has one spelling.
        let canonical = digits.len() == 6 || (digits.len() > 6 && !digits.starts_with('0'));
        if !plain || !canonical || digits.len() > 18 {
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

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Number of the task, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads a name such as `job-000412/3`.
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

macro_rules! textual {
    ($name:ident) => {
        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                $name::parse(&text)
                    .ok_or_else(|| serde::de::Error::custom(concat!("not a ", stringify!($name))))
            }
        }
    };
}

textual!(JobId);
textual!(TaskId);

/// A machine's name. Names sort in the order of creation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostName(Arc<str>);

impl HostName {
    /// A machine's name from its text.
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
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for HostName {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d).map(|s| HostName::new(&s))
    }
}
