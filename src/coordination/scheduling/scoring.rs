//! The weighted headroom score of hosts, and whether a machine type is suitable for a job at all.

use crate::coordination::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

// Weights of the percentages that the headroom score adds up.

const MEMORY_WEIGHT: f64 = 25.0;
const CPU_WEIGHT: f64 = 25.0;
const GPU_WEIGHT: f64 = 20.0;
const UTILIZATION_WEIGHT: f64 = 5.0;

/// The resources of an empty host of the machine type.
pub fn capacity(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus.0,
        gpus: machine_type.gpus.0,
        memory_gb: machine_type.memory_gb.0,
    }
}

/// The part as a percentage of the whole, from 0 to 100; 0 if the whole is 0.
fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        (100.0 * part / whole).clamp(0.0, 100.0)
    } else {
        0.0
    }
}

/// The weighted headroom score of a host: the more of its memory, CPUs and, if the task needs a GPU, GPUs are free, the
/// higher; the more of its CPUs are allocated, the lower.
pub fn headroom_score(capacity: &Resources, allocated: &Resources, needs_gpu: bool) -> f64 {
    let free = capacity.saturating_sub(allocated);
    let gpu_score = if needs_gpu {
        GPU_WEIGHT * percent(free.gpus, capacity.gpus)
    } else {
        0.0
    };
    MEMORY_WEIGHT * percent(free.memory_gb, capacity.memory_gb)
        + CPU_WEIGHT * percent(free.cpus, capacity.cpus)
        + gpu_score
        - UTILIZATION_WEIGHT * percent(allocated.cpus, capacity.cpus)
}

/// Whether the job's constraints allow hosts of the machine type, and one of its tasks fits an empty one.
pub fn is_type_suitable(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let is_allowed = spec
        .allowed_machine_types
        .as_ref()
        .is_none_or(|names| names.contains(&machine_type.name));
    let is_in_zone = spec
        .required_zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    is_allowed && is_in_zone && task_resources(spec).fits(&capacity(machine_type))
}

/// The resources that one task of the job takes.
pub fn task_resources(spec: &JobSpec) -> Resources {
    Resources {
        cpus: spec.cpus.0,
        gpus: spec.gpus.0,
        memory_gb: spec.memory_gb.0,
    }
}
