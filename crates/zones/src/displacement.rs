//! The order in which silent hosts of a lost zone are released: those whose tasks lose most by waiting come
//! first.

/// The urgency of the most urgent task on a host. Smaller values are more urgent; the fields are compared in
/// the order of their declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of the task's priority, 0 for the highest.
    pub priority: u8,
    /// Whether the task's team uses more than its guarantee.
    pub is_over_guarantee: bool,
    /// The task's deadline, in milliseconds since the Unix epoch; `u64::MAX` if it has none.
    pub deadline_ms: u64,
    /// Run time that would have to be repeated if the host were released, in milliseconds.
    pub work_lost_ms: u64,
}

impl Urgency {
    /// The urgency of a host without tasks, which is released last.
    pub const IDLE: Urgency = Urgency {
        priority: u8::MAX,
        is_over_guarantee: true,
        deadline_ms: u64::MAX,
        work_lost_ms: u64::MAX,
    };
}

/// A silent host that may be released.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<H> {
    /// Id of the host.
    pub host: H,
    /// Name of the host's zone.
    pub zone: String,
    /// Urgency of the most urgent task on the host.
    pub urgency: Urgency,
}

/// Sorts the candidates, the most urgent first. Equally urgent ones are sorted by host id, so that the result
/// doesn't depend on the order of the input.
pub(crate) fn sort_by_urgency<H: Ord>(candidates: &mut [Candidate<H>]) {
    candidates.sort_by(|a, b| {
        let by_urgency = a.urgency.cmp(&b.urgency);
        by_urgency.then_with(|| a.host.cmp(&b.host))
    });
}
