//! Tuning parameters, set by operators in a YAML file.

use std::path::Path;

use serde::Deserialize;

/// The tuning parameters. Each has a default value and a permitted range.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Tuning {
    /// Duration of the leader's lease in seconds; it ends unless it is renewed.
    pub leader_lease_s: f64,
    /// Minimum time in seconds between two batches of records that are written to the state service.
    #[serde(rename = "batch_interval_s")]
    pub min_batch_interval_s: f64,
    /// Length in seconds of the window whose peak demand determines which hosts are kept. The other hosts are cordoned
    /// and released.
    #[serde(rename = "idle_return_s")]
    pub idle_release_s: f64,
    /// Capacity kept in addition to the peak demand of that window, as a share of the peak.
    #[serde(rename = "spare_share")]
    pub spare_capacity_share: f64,
    /// Number of heartbeat intervals without a heartbeat after which a host is declared lost.
    #[serde(rename = "silent_reports")]
    pub lost_after_heartbeat_intervals: f64,
    /// A provisioned host that is not up after its boot time multiplied by this factor is replaced.
    #[serde(rename = "boot_patience")]
    pub boot_timeout_factor: f64,
    /// Seconds after which a job none of whose tasks has started goes ahead of all other jobs.
    #[serde(rename = "starve_after_s")]
    pub starvation_threshold_s: f64,
    /// CPUs on on-demand hosts that are kept available for services, and for job classes that have not had a job yet
    /// and whose wait objective is shorter than the boot time of a host.
    pub standby_cpus: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            leader_lease_s: 3.0,
            min_batch_interval_s: 0.0,
            idle_release_s: 25.0,
            spare_capacity_share: 0.0,
            lost_after_heartbeat_intervals: 3.5,
            boot_timeout_factor: 2.5,
            starvation_threshold_s: 100.0,
            standby_cpus: 16.0,
        }
    }
}

impl Tuning {
    /// Reads and validates a tuning file. The error names the file and, if its content is invalid, the field.
    pub fn load(file: &Path) -> Result<Tuning, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Tuning::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Parses and validates tuning parameters. The error names the field.
    pub fn parse(text: &str) -> Result<Tuning, String> {
        // An empty file is valid and leaves all parameters at their defaults.
        let tuning: Option<Tuning> = serde_norway::from_str(text).map_err(|e| e.to_string())?;
        let tuning = tuning.unwrap_or_default();
        let ranges = [
            ("leader_lease_s", tuning.leader_lease_s, 1.0, 60.0),
            ("batch_interval_s", tuning.min_batch_interval_s, 0.0, 10.0),
            ("idle_return_s", tuning.idle_release_s, 0.0, 86_400.0),
            ("spare_share", tuning.spare_capacity_share, 0.0, 10.0),
            (
                "silent_reports",
                tuning.lost_after_heartbeat_intervals,
                2.0,
                100.0,
            ),
            ("boot_patience", tuning.boot_timeout_factor, 1.5, 100.0),
            (
                "starve_after_s",
                tuning.starvation_threshold_s,
                1.0,
                86_400.0,
            ),
            ("standby_cpus", tuning.standby_cpus, 0.0, 100_000.0),
        ];
        for (field, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(format!("{field}: must be from {min} to {max}, is {value}"));
            }
        }
        Ok(tuning)
    }
}
