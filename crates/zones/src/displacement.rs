//! The order in which machines of a lost zone are given up: those whose work loses most by waiting first.

/// How urgent the most urgent work on a machine is. Smaller values are more urgent; the fields are
/// compared in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of its priority, 0 for the highest.
    pub priority: u8,
    /// Whether its team uses more than its guarantee.
    pub is_over_guarantee: bool,
    /// When it is due, in milliseconds since the Unix epoch; `u64::MAX` without a deadline.
    pub deadline_ms: u64,
    /// Work that is lost if its machine is given up, in milliseconds.
    pub work_lost_ms: u64,
}

impl Urgency {
    /// Of a machine without work, which goes last.
    pub const IDLE: Urgency = Urgency {
        priority: u8::MAX,
        is_over_guarantee: true,
        deadline_ms: u64::MAX,
        work_lost_ms: u64::MAX,
    };
}

/// A silent machine that may be given up.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<M> {
    /// Id of the machine.
    pub host: M,
    /// Name of its zone.
    pub zone: String,
    /// How urgent the most urgent work on it is.
    pub urgency: Urgency,
}

/// Puts the most urgent candidates first. Equally urgent ones are ordered by their ids, so that the result
/// doesn't depend on the order of the input.
pub(crate) fn sort_by_urgency<M: Ord>(candidates: &mut [Candidate<M>]) {
    candidates.sort_by(|a, b| {
        let by_urgency = a.urgency.cmp(&b.urgency);
        by_urgency.then_with(|| a.host.cmp(&b.host))
    });
}
