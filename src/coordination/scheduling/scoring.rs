//! The design's weighted headroom score, and whether a machine type can take a task at all.

use crate::coordination::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

const MEMORY_WEIGHT: f64 = 25.0;
const CPU_WEIGHT: f64 = 25.0;
const GPU_WEIGHT: f64 = 20.0;
const UTILIZATION_WEIGHT: f64 = 5.0;

/// What an empty machine of the type has.
pub fn capacity(kind: &MachineType) -> Resources {
    Resources {
        cpus: kind.cpus.0,
        gpus: kind.gpus.0,
        memory_gb: kind.memory_gb.0,
    }
}

fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (100.0 * part / whole).clamp(0.0, 100.0)
    } else {
        0.0
    }
}

/// The design's weighted headroom score of a machine for a task.
pub fn headroom_score(whole: &Resources, used: &Resources, needs_gpu: bool) -> f64 {
    let free = whole.saturating_sub(used);
    let gpu = if needs_gpu {
        GPU_WEIGHT * percent(free.gpus, whole.gpus)
    } else {
        0.0
    };
    MEMORY_WEIGHT * percent(free.memory_gb, whole.memory_gb)
        + CPU_WEIGHT * percent(free.cpus, whole.cpus)
        + gpu
        - UTILIZATION_WEIGHT * percent(used.cpus, whole.cpus)
}

/// Whether the job may use machines of this type at all, and one task fits an empty one.
pub fn is_type_suitable(spec: &JobSpec, kind: &MachineType) -> bool {
    let allowed = spec
        .machine_types
        .as_ref()
        .is_none_or(|t| t.contains(&kind.name));
    let zone = spec.zone.as_ref().is_none_or(|z| kind.zones.contains(z));
    allowed && zone && task_resources(spec).fits(&capacity(kind))
}

/// What a task of the job takes.
pub fn task_resources(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus.0,
        gpus: spec.gpus.0,
        memory_gb: spec.memory_gb.0,
    }
}
