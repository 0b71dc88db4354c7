//! Ids used in a simulation. Jobs and tasks have their own types here, so that the checker doesn't depend on how the
//! service parses their names.

use std::fmt;

use lichencrank::transport::CallId;

/// A job, identified by the number in its name.
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
    /// The job of the task.
    pub job: JobId,
    /// Index of the task in its job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a name such as `job-000001/2`.
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

/// A controller node, identified by its position in the deployment, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeIndex(pub usize);

impl fmt::Display for NodeIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One process of a controller node. Events that are addressed to an earlier process of the node don't reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The node that the process runs on.
    pub node: NodeIndex,
    /// Number of the process among those of its node, from 1.
    pub generation: u64,
}

/// A call that a controller process has made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallHandle {
    /// The process that made the call.
    pub process: ProcessId,
    /// Id of the call within the process.
    pub call: CallId,
}

/// A request of a user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);
