//! The commands of scenarios, grouped by the part of the simulation that they affect.

use std::time::Duration;

use crate::simulated::embedder::AdmissionDemand;
use crate::simulated::job_template::JobTemplate;

/// One command of a scenario.
#[derive(Clone, Debug)]
pub enum Command {
    /// A command for users.
    Users(UserCommand),
    /// A command for controller processes.
    Controllers(ControllerCommand),
    /// A fault of the network.
    Network(NetworkFault),
    /// A fault of the key-value store.
    Store(StoreFault),
    /// A fault of the cloud.
    Cloud(CloudFault),
    /// A command for hosts, their workers and tasks.
    Hosts(HostCommand),
}

/// Selects the controllers that a command affects. It is resolved when the command is executed, as only then is
/// known who leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSelector {
    /// The leader.
    Leader,
    /// One follower, chosen at random.
    OneFollower,
    /// All followers.
    AllFollowers,
    /// The last node that confirmed a cancellation to a user.
    LastConfirmer,
    /// All nodes.
    All,
}

/// A command for users.
#[derive(Clone, Debug)]
pub enum UserCommand {
    /// Users submit jobs.
    Submit {
        /// The number of jobs.
        count: u64,
        /// The time between two submissions.
        interval: Duration,
        /// The properties of each job.
        template: JobTemplate,
        /// The share of the jobs that users cancel some seconds after the job was accepted.
        cancelled_share: f64,
    },
    /// Users submit jobs that must be rejected, repeat all submissions that were accepted, and cancel jobs that
    /// are over.
    SubmitInvalid {
        /// The number of jobs that must be rejected.
        count: u64,
    },
    /// Users cancel jobs.
    Cancel {
        /// The largest number of jobs to cancel.
        count: usize,
        /// Selects the node that gets each request: the first one, if several nodes are selected.
        through: NodeSelector,
        /// Whether jobs without running tasks may be cancelled too.
        includes_waiting: bool,
        /// How long the hosts of the cancelled jobs are paused; zero if they aren't.
        host_pause: Duration,
    },
    /// Users send a burst of polls and repeated submissions whenever a job is accepted or over.
    PollInBursts {
        /// For how long from now on.
        duration: Duration,
    },
    /// Users cancel jobs just as their last task ends.
    CancelAtCompletion {
        /// The probability for each job.
        probability: f64,
        /// For how long from now on.
        duration: Duration,
    },
    /// A program that embeds the quota library starts.
    StartEmbedder(AdmissionDemand),
}

/// A command for controller processes.
#[derive(Clone, Debug)]
pub enum ControllerCommand {
    /// Processes are killed, and start again later.
    Kill {
        /// The affected controllers.
        nodes: NodeSelector,
        /// The time until they start again.
        restart_after: Duration,
    },
    /// Processes are suspended while simulated time goes on.
    Pause {
        /// The affected controllers.
        nodes: NodeSelector,
        /// For how long.
        duration: Duration,
    },
    /// The nodes are upgraded one after the other.
    Upgrade {
        /// The time from one node to the next.
        interval: Duration,
        /// The order of the nodes.
        order: UpgradeOrder,
    },
    /// Upgraded nodes are rolled back to the first version, one after the other.
    RollBack {
        /// The time from one node to the next.
        interval: Duration,
    },
}

/// The order in which controllers are upgraded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeOrder {
    /// By their position in the deployment.
    ByPosition,
    /// At each step the current leader, if it is not upgraded yet.
    LeaderFirst,
    /// At each step a follower, as long as one is not upgraded yet.
    LeaderLast,
    /// All nodes of this zone before the others.
    ZoneFirst(String),
}

/// The connections of a controller, by the kind of remote end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// The key-value store.
    Store,
    /// The other controllers.
    Controllers,
    /// The workers on hosts.
    Workers,
    /// The users.
    Users,
}

/// A fault of the network.
#[derive(Clone, Debug)]
pub enum NetworkFault {
    /// Controllers lose some of their connections.
    Partition {
        /// The affected controllers.
        nodes: NodeSelector,
        /// Which of their connections are affected.
        links: Vec<LinkKind>,
        /// For how long.
        duration: Duration,
        /// Whether messages are delivered when the partition ends; otherwise they are lost.
        holds_messages: bool,
    },
    /// No zone can reach another one.
    SeparateZones {
        /// For how long.
        duration: Duration,
    },
    /// A zone, with its controllers and hosts, can reach nothing outside.
    IsolateZone {
        /// The zone.
        zone: String,
        /// For how long.
        duration: Duration,
    },
}

/// A fault of the key-value store.
#[derive(Clone, Debug)]
pub enum StoreFault {
    /// The store refuses the requests of some controllers.
    RefuseRequests {
        /// The affected controllers.
        nodes: NodeSelector,
        /// For how long.
        duration: Duration,
    },
    /// The store refuses all requests.
    Outage {
        /// For how long.
        duration: Duration,
    },
    /// Requests to the store are delayed.
    SlowRequests {
        /// The longest delay of a request; the shortest is half of it.
        max_delay: Duration,
        /// For how long.
        duration: Duration,
    },
    /// Transactions are processed, but their responses are lost.
    LostResponses {
        /// The probability for each transaction.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// Transactions are processed seconds late, and their responses are lost.
    LateWrites {
        /// The probability for each transaction.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// The store's limits are lowered to the `next_store_limits` of the deployment.
    LowerLimits,
}

/// A fault of the cloud.
#[derive(Clone, Debug)]
pub enum CloudFault {
    /// The cloud refuses all requests.
    Outage {
        /// For how long.
        duration: Duration,
    },
    /// Hosts that are provisioned from now on boot in this time.
    SetBootTime(Duration),
}

/// A fault of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFault {
    /// The worker is suspended.
    Pause,
    /// Messages to the host are lost.
    InboundLoss,
    /// Heartbeats from the host are lost.
    OutboundLoss,
    /// Messages to the host and heartbeats from it are lost.
    Isolation,
    /// The host is gone at once.
    Crash,
    /// The cloud announces that it will reclaim the host, and does so after the duration of the fault.
    ReclaimNotice,
    /// Every task that starts on the host fails.
    FailingTasks,
}

/// Why replicas end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaEnd {
    /// They exit as if they were complete.
    Completed,
    /// They fail.
    Failed,
}

/// A command for hosts, their workers and tasks.
#[derive(Clone, Debug)]
pub enum HostCommand {
    /// Hosts become faulty.
    Fault {
        /// Which fault.
        fault: HostFault,
        /// The probability for each host.
        probability: f64,
        /// The only zone with faulty hosts; `None` if all zones have some.
        zone: Option<String>,
        /// How long the fault lasts, or the time from a reclaim notice until the host is reclaimed.
        duration: Duration,
    },
    /// Copies of some heartbeats arrive late, in addition to the heartbeats themselves.
    LateHeartbeats {
        /// The probability for each heartbeat.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// Copies of some heartbeats are retained, and reach all controllers after the next takeover.
    RetainHeartbeats {
        /// For how long.
        duration: Duration,
    },
    /// Replicas of services end by themselves.
    EndReplicas {
        /// The probability for each replica.
        probability: f64,
        /// How they end.
        end: ReplicaEnd,
    },
}
