//! What a scenario can bring about, grouped by the part of the simulation that carries it out.

use std::time::Duration;

use crate::simulated::embedder::AdmissionDemand;
use crate::simulated::job_template::JobTemplate;

/// One command of a scenario.
#[derive(Clone, Debug)]
pub enum Command {
    /// What users do.
    Users(UserCommand),
    /// What happens to controller processes.
    Controllers(ControllerCommand),
    /// A fault of the network.
    Network(NetworkFault),
    /// A fault of the key-value store.
    Store(StoreFault),
    /// A fault of the cloud.
    Cloud(CloudFault),
    /// What happens to machines, their workers and tasks.
    Hosts(HostCommand),
}

/// Which controllers a command is about; who leads is known only when it is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSelector {
    /// The node that leads.
    Leader,
    /// One node that does not lead, at random.
    OneFollower,
    /// All nodes that do not lead.
    AllFollowers,
    /// The node that was the last to confirm a cancellation.
    LastConfirmer,
    /// All nodes.
    All,
}

/// What users do.
#[derive(Clone, Debug)]
pub enum UserCommand {
    /// They submit jobs.
    Submit {
        /// How many.
        count: u64,
        /// The time from one to the next.
        interval: Duration,
        /// What each job looks like.
        template: JobTemplate,
        /// The share of jobs that their users cancel a while after they were accepted.
        cancelled_share: f64,
    },
    /// They submit jobs that must be rejected, repeat all submissions that were accepted, and cancel jobs
    /// that are over.
    SubmitInvalid {
        /// How many jobs that must be rejected.
        count: u64,
    },
    /// They cancel jobs.
    Cancel {
        /// How many jobs at the most.
        count: usize,
        /// The nodes to which they send their requests.
        through: NodeSelector,
        /// Jobs of which no task runs are cancelled too.
        include_waiting: bool,
        /// For so long the machines of the cancelled jobs are paused.
        machine_pause: Duration,
    },
    /// They poll and repeat submissions in bursts on every change of a job.
    PollInBursts {
        /// For how long from now on.
        duration: Duration,
    },
    /// They cancel jobs as their last task ends.
    CancelAtCompletion {
        /// The probability for each job.
        probability: f64,
        /// For how long from now on.
        duration: Duration,
    },
    /// A program that embeds the quota library starts beside the controllers.
    StartEmbedder(AdmissionDemand),
}

/// What happens to controller processes.
#[derive(Clone, Debug)]
pub enum ControllerCommand {
    /// Their processes end, and start again later.
    Kill {
        /// Which.
        nodes: NodeSelector,
        /// The time until they start again.
        restart_after: Duration,
    },
    /// Their processes stand still while time goes on.
    Pause {
        /// Which.
        nodes: NodeSelector,
        /// For how long.
        duration: Duration,
    },
    /// One node after the other comes back upgraded.
    Upgrade {
        /// The time from one node to the next.
        interval: Duration,
        /// Which node is next.
        order: UpgradeOrder,
    },
    /// Nodes that are upgraded go back to the version before, one after the other.
    RollBack {
        /// The time from one node to the next.
        interval: Duration,
    },
}

/// Which controller is upgraded next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpgradeOrder {
    /// By their position in the deployment.
    ByPosition,
    /// Whichever leads at that time.
    LeaderFirst,
    /// Whichever does not lead at that time.
    LeaderLast,
    /// All nodes of that zone before the others.
    ZoneFirst(String),
}

/// What a controller can lose its connections to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// The key-value store.
    Store,
    /// The other controllers.
    Controllers,
    /// The workers on machines.
    Workers,
    /// The users.
    Users,
}

/// A fault of the network.
#[derive(Clone, Debug)]
pub enum NetworkFault {
    /// Controllers lose some of their connections.
    Partition {
        /// Which controllers.
        nodes: NodeSelector,
        /// Their connections to what.
        links: Vec<LinkKind>,
        /// For how long.
        duration: Duration,
        /// Messages arrive when the partition ends; otherwise they are lost.
        holds_messages: bool,
    },
    /// No zone reaches another.
    SeparateZones {
        /// For how long.
        duration: Duration,
    },
    /// A zone with its controllers and machines reaches nothing outside.
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
    /// It refuses the requests of some controllers.
    RefuseRequests {
        /// Which controllers.
        nodes: NodeSelector,
        /// For how long.
        duration: Duration,
    },
    /// It refuses all requests.
    Outage {
        /// For how long.
        duration: Duration,
    },
    /// Requests take long.
    SlowRequests {
        /// The most that a request is delayed by; half of that is the least.
        max_delay: Duration,
        /// For how long requests are delayed.
        duration: Duration,
    },
    /// Transactions are carried out and their answers are lost.
    LostAnswers {
        /// The probability for each transaction.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// Transactions are carried out seconds later, and their answers are lost.
    LateWrites {
        /// The probability for each transaction.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// Its limits fall to the next ones of the deployment.
    LowerLimits,
}

/// A fault of the cloud.
#[derive(Clone, Debug)]
pub enum CloudFault {
    /// It refuses all requests.
    Outage {
        /// For how long.
        duration: Duration,
    },
    /// Machines that are rented from now on boot that fast.
    SetBootTime(Duration),
}

/// A fault of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostFault {
    /// It stands still.
    Pause,
    /// Nothing that is sent to it arrives.
    InboundLoss,
    /// No heartbeat that it sends arrives.
    OutboundLoss,
    /// It neither receives nor sends anything.
    Isolation,
    /// It is gone at once.
    Crash,
    /// The cloud gives notice, and takes the machine away when the time is over.
    PreemptionNotice,
    /// Every task that it starts fails.
    FailingTasks,
}

/// Why replicas end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaEnd {
    /// They exit as if their work was done.
    Completed,
    /// They fail.
    Failed,
}

/// What happens to machines, their workers and tasks.
#[derive(Clone, Debug)]
pub enum HostCommand {
    /// Machines are at fault.
    Fault {
        /// Which fault.
        fault: HostFault,
        /// The probability for each machine.
        probability: f64,
        /// The only zone with faulty machines.
        zone: Option<String>,
        /// For how long, or the time of the notice.
        duration: Duration,
    },
    /// Copies of heartbeats arrive late.
    LateHeartbeats {
        /// The probability for each heartbeat.
        probability: f64,
        /// For how long.
        duration: Duration,
    },
    /// Copies of some heartbeats are kept and reach the controllers after the next takeover.
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
