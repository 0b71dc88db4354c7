//! Optional features, enabled by operators in a YAML file. Without the file all features are disabled, and records and
//! messages have the same form as before features were introduced.

use std::path::Path;

use lichencrank_zones::ZoneSettings;
use serde::Deserialize;

/// The content of the features file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Team limits and guarantees that hold across all controllers and embedding programs.
    pub quota: QuotaFeature,
    /// Rate-limited displacement of tasks from lost zones, and rate-limited return of work to recovered zones.
    pub zones: ZonesFeature,
}

/// The feature that handles the loss and the recovery of zones.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZonesFeature {
    /// Whether the leader tracks the state of each zone and acts on it.
    pub enabled: bool,
    /// Thresholds and rate limits.
    pub settings: ZoneSettings,
}

impl ZonesFeature {
    /// The settings, if the feature is enabled.
    pub fn settings_if_enabled(&self) -> Option<ZoneSettings> {
        self.enabled.then(|| self.settings.clone())
    }

    fn validate(&self) -> Result<(), String> {
        let result = self.settings.validate();
        result.map_err(|error| format!("zones.settings.{error}"))?;
        if !self.enabled && self.settings != ZoneSettings::default() {
            return Err("zones.settings: have no effect while zones.enabled is false".to_owned());
        }
        Ok(())
    }
}

/// The feature that enforces team quotas across controllers and embedding programs.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaFeature {
    /// Whether the leader charges allocations to allowances in the state service.
    pub enabled: bool,
    /// Total CPUs of the cluster. `None` means unlimited, as with hosts that are provisioned on demand.
    pub capacity_cpus: Option<f64>,
    /// Total GPUs of the cluster; `None` means unlimited.
    pub capacity_gpus: Option<f64>,
}

impl Features {
    /// Reads and validates a features file. The error names the file and, if its content is invalid, the field.
    pub fn load(file: &Path) -> Result<Features, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Features::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Parses and validates features. The error names the field.
    pub fn parse(text: &str) -> Result<Features, String> {
        let yaml = serde_norway::Deserializer::from_str(text);
        // An empty file is valid and leaves all features disabled.
        let features: Option<Features> =
            serde_path_to_error::deserialize(yaml).map_err(|e| e.to_string())?;
        let features = features.unwrap_or_default();
        features.quota.validate()?;
        features.zones.validate()?;
        Ok(features)
    }
}

impl QuotaFeature {
    fn validate(&self) -> Result<(), String> {
        let capacities = [
            ("capacity_cpus", self.capacity_cpus),
            ("capacity_gpus", self.capacity_gpus),
        ];
        for (field, capacity) in capacities {
            if let Some(capacity) = capacity.filter(|c| !(c.is_finite() && *c > 0.0)) {
                return Err(format!("quota.{field}: must be above 0, is {capacity}"));
            }
            if capacity.is_some() && !self.enabled {
                return Err(format!(
                    "quota.{field}: has no effect while quota.enabled is false"
                ));
            }
        }
        Ok(())
    }
}
