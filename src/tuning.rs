//! The operators' own tuning (YAML).

use std::path::Path;

use serde::Deserialize;

/// What operators may tune; every field has a default and a checked range.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Tuning {
    /// How long the leader's lease lasts without a renewal.
    pub leader_lease_s: f64,
    /// The least time between two batches of records.
    #[serde(rename = "batch_interval_s")]
    pub min_batch_interval_s: f64,
    /// Machines that the peak demand of this long did not need are cordoned and returned.
    #[serde(rename = "idle_return_s")]
    pub idle_release_s: f64,
    /// How much more than that peak is kept.
    #[serde(rename = "spare_share")]
    pub spare_capacity_share: f64,
    /// A machine silent for this many report intervals is given up.
    #[serde(rename = "silent_reports")]
    pub lost_after_heartbeat_intervals: f64,
    /// A rented machine that is not up after this many times its boot time is replaced.
    #[serde(rename = "boot_patience")]
    pub boot_timeout_factor: f64,
    /// A job of which nothing has begun for this long goes before all others.
    #[serde(rename = "starve_after_s")]
    pub starvation_threshold_s: f64,
    /// CPUs on ordinary machines that are kept ready for classes of which no job has come yet, if they
    /// are to begin sooner than a machine boots.
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
    /// Reads and checks a tuning file. The error names the file and the field.
    pub fn load(file: &Path) -> Result<Tuning, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Tuning::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Reads and checks tuning. The error names the field.
    pub fn parse(text: &str) -> Result<Tuning, String> {
        // An empty file is an ordinary way to say "all defaults".
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
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!(
                    "{field}: must be from {least} to {most}, is {value}"
                ));
            }
        }
        Ok(tuning)
    }
}
