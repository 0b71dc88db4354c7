//! Identities within a simulation. Jobs and tasks have types of their own here, so that the checker does
//! not depend on how the service reads their names.

use std::fmt;

/// A job, by the number in its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "job-{:06}", self.0)
    }
}

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task is a part of.
    pub job: JobId,
    /// Its number within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Reads a name such as `job-000001/2`.
    pub fn parse(name: &str) -> Option<TaskId> {
        let (job, index) = name.strip_prefix("job-")?.split_once('/')?;
        let job = JobId(job.parse().ok()?);
        let index = index.parse().ok()?;
        Some(TaskId { job, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}
