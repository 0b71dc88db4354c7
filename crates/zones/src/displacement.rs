//! The order in which machines of a lost zone are given up: what loses more by waiting goes first.

/// How urgent the most urgent work on a machine is; smaller values are more urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Rank of its priority, 0 for the highest.
    pub priority: u8,
    /// Its team has used up its guarantee; those below theirs go first.
    pub beyond_guarantee: bool,
    /// When it is due, in milliseconds of the day; what is due at no time comes last.
    pub due_ms: u64,
    /// Milliseconds of work that are lost if its machine is given up; less goes first.
    pub work_lost_ms: u64,
}

impl Urgency {
    /// A machine without work waits for all others.
    pub const IDLE: Urgency = Urgency {
        priority: u8::MAX,
        beyond_guarantee: true,
        due_ms: u64::MAX,
        work_lost_ms: u64::MAX,
    };
}

/// A silent machine that may be given up.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate<M> {
    /// The machine.
    pub machine: M,
    /// Its zone.
    pub zone: String,
    /// How urgent the most urgent work on it is.
    pub urgency: Urgency,
}

/// Puts the most urgent candidates first; ties go by machine, so that equal input has equal output.
pub fn sort<M: Ord>(candidates: &mut [Candidate<M>]) {
    candidates.sort_by(|a, b| {
        let by_urgency = a.urgency.cmp(&b.urgency);
        by_urgency.then_with(|| a.machine.cmp(&b.machine))
    });
}
