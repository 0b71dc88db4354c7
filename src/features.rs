//! What operators switch on: the features file (YAML). Without it everything is off, and records and
//! messages are as they were before there were features.

use std::path::Path;

use lichencrank_zones::ZoneSettings;
use serde::Deserialize;

/// The features file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Team limits and guarantees that hold across all controllers and embedding programs.
    pub quota: QuotaFeature,
    /// Orderly displacement from lost zones, and an orderly return.
    pub zones: ZonesFeature,
}

/// Lost zones and their return.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ZonesFeature {
    /// Whether the leader tracks the states of zones and acts on them.
    pub enabled: bool,
    /// Thresholds and budgets.
    pub settings: ZoneSettings,
}

impl ZonesFeature {
    /// The settings, if the feature is on.
    pub fn settings_if_enabled(&self) -> Option<ZoneSettings> {
        self.enabled.then(|| self.settings.clone())
    }

    fn check(&self) -> Result<(), String> {
        let checked = self.settings.validate();
        checked.map_err(|error| format!("zones.settings.{error}"))?;
        if !self.enabled && self.settings != ZoneSettings::default() {
            return Err("zones.settings: are of no use while zones is off".to_owned());
        }
        Ok(())
    }
}

/// Team limits across controllers.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaFeature {
    /// Whether the leader charges what it books to allowances in the state service.
    pub enabled: bool,
    /// CPUs that there are in all. Without it there is no end of them, as where machines are rented.
    pub capacity_cpus: Option<f64>,
    /// GPUs that there are in all.
    pub capacity_gpus: Option<f64>,
}

impl Features {
    /// Reads and checks a features file. The error names the file and the field.
    pub fn load(file: &Path) -> Result<Features, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Features::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
    }

    /// Reads and checks features. The error names the field.
    pub fn parse(text: &str) -> Result<Features, String> {
        let yaml = serde_norway::Deserializer::from_str(text);
        // An empty file is an ordinary way to say that everything is off.
        let features: Option<Features> =
            serde_path_to_error::deserialize(yaml).map_err(|e| e.to_string())?;
        let features = features.unwrap_or_default();
        features.quota.check()?;
        features.zones.check()?;
        Ok(features)
    }
}

impl QuotaFeature {
    fn check(&self) -> Result<(), String> {
        let amounts = [
            ("capacity_cpus", self.capacity_cpus),
            ("capacity_gpus", self.capacity_gpus),
        ];
        for (field, amount) in amounts {
            if let Some(amount) = amount.filter(|a| !(a.is_finite() && *a > 0.0)) {
                return Err(format!("quota.{field}: must be above 0, is {amount}"));
            }
            if amount.is_some() && !self.enabled {
                return Err(format!("quota.{field}: is of no use while quota is off"));
            }
        }
        Ok(())
    }
}
