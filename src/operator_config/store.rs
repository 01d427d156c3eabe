//! The section `store`: the persistent store of requests and their results.

use super::error::OperatorConfigError;
use postproxy_idempotency::Limits;
use serde::Deserialize;
use std::collections::HashMap;
use std::ops::RangeInclusive;

/// Default of [`StoreSection::segment_mb`].
const DEFAULT_SEGMENT_MB: u64 = 16;
/// Default of [`StoreSection::patience_ms`].
const DEFAULT_PATIENCE_MS: u64 = 500;
/// Default of [`StoreSection::retention_s`].
const DEFAULT_RETENTION_S: f64 = 3600.0;
/// Default of [`StoreSection::result_kb`].
const DEFAULT_RESULT_KB: usize = 64;
/// Default of [`StoreSection::most_jobs`].
const DEFAULT_MOST_JOBS: usize = 1_000_000;
/// Allowed values of [`StoreSection::segment_mb`].
const SEGMENT_MB_RANGE: RangeInclusive<u64> = 1..=1024;
/// Allowed retention times, in seconds.
const RETENTION_S_RANGE: RangeInclusive<f64> = 1.0..=1e8;
/// The minimum number of segments that [`StoreSection::most_mb`] must have room for, because
/// compaction needs space to copy live records.
const MIN_SEGMENTS: u64 = 4;

/// The section `store`: the persistent store of requests and their results.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "the object `store`")]
pub struct StoreSection {
    /// The store's folder, created if missing.
    pub folder: String,
    /// A second folder with a copy of all files, preferably on another disk.
    #[serde(default)]
    pub mirror: Option<String>,
    /// Size of a segment file, in MiB.
    #[serde(default = "default_segment_mb")]
    pub segment_mb: u64,
    /// Maximum size of all files, in MiB; 0 for no limit.
    #[serde(default)]
    pub most_mb: u64,
    /// Whether attempts of classes with idempotency keys also wait until their intents are durable
    /// before they are sent.
    #[serde(default)]
    pub keyed_durable: bool,
    /// How long an intent may take to become durable before its request is rejected, in
    /// milliseconds.
    #[serde(default = "default_patience_ms")]
    pub patience_ms: u64,
    /// How long the record of a request is kept after its last change, in seconds.
    #[serde(default = "default_retention_s")]
    pub retention_s: f64,
    /// Overrides of `retention_s` by name of the request class.
    #[serde(default)]
    pub retention_of_s: HashMap<String, f64>,
    /// Maximum size of a stored result, in KiB.
    #[serde(default = "default_result_kb")]
    pub result_kb: usize,
    /// Maximum number of stored requests.
    #[serde(default = "default_most_jobs")]
    pub most_jobs: usize,
    /// For tests: delay added to every sync, in milliseconds, to simulate a slow disk.
    #[serde(default)]
    pub sync_delay_ms: u64,
    /// For tests: while this file contains `full`, writes fail as on a full disk; while it contains
    /// `sync`, syncs fail.
    #[serde(default)]
    pub trouble_file: Option<String>,
}

fn default_segment_mb() -> u64 {
    DEFAULT_SEGMENT_MB
}

fn default_patience_ms() -> u64 {
    DEFAULT_PATIENCE_MS
}

fn default_retention_s() -> f64 {
    DEFAULT_RETENTION_S
}

fn default_result_kb() -> usize {
    DEFAULT_RESULT_KB
}

fn default_most_jobs() -> usize {
    DEFAULT_MOST_JOBS
}

impl StoreSection {
    /// Returns the section of a store in these folders, with defaults for all other values.
    pub fn of(folder: &str, mirror: Option<&str>) -> Self {
        Self {
            folder: folder.to_owned(),
            mirror: mirror.map(str::to_owned),
            segment_mb: DEFAULT_SEGMENT_MB,
            most_mb: 0,
            keyed_durable: false,
            patience_ms: DEFAULT_PATIENCE_MS,
            retention_s: DEFAULT_RETENTION_S,
            retention_of_s: HashMap::new(),
            result_kb: DEFAULT_RESULT_KB,
            most_jobs: DEFAULT_MOST_JOBS,
            sync_delay_ms: 0,
            trouble_file: None,
        }
    }

    /// Returns the limits of the request log.
    pub fn limits(&self) -> Limits {
        Limits {
            retention_seconds: self.retention_s,
            retention_seconds_by_class: self.retention_of_s.clone(),
            max_result_bytes: self.result_kb << 10,
            max_requests: self.most_jobs,
        }
    }

    /// Checks the section.
    pub(super) fn validate(&self) -> Result<(), OperatorConfigError> {
        let error = |path, message| Err(OperatorConfigError::new(path, message));
        if self.folder.is_empty() {
            return error("store.folder", "must not be empty");
        }
        if self.mirror.as_ref() == Some(&self.folder) {
            return error("store.mirror", "must differ from store.folder");
        }
        if !SEGMENT_MB_RANGE.contains(&self.segment_mb) {
            return error("store.segment_mb", "must be between 1 and 1024");
        }
        if self.most_mb > 0 && self.most_mb < MIN_SEGMENTS * self.segment_mb {
            return error(
                "store.most_mb",
                "must be 0, or at least four times store.segment_mb",
            );
        }
        if self.patience_ms == 0 || self.most_jobs == 0 {
            return error("store", "patience_ms and most_jobs must be above 0");
        }
        self.validate_retention()
    }

    fn validate_retention(&self) -> Result<(), OperatorConfigError> {
        let message = "must be between 1 and 1e8";
        if !RETENTION_S_RANGE.contains(&self.retention_s) {
            return Err(OperatorConfigError::new("store.retention_s", message));
        }
        let mut by_class = self.retention_of_s.iter();
        match by_class.find(|(_, seconds)| !RETENTION_S_RANGE.contains(seconds)) {
            Some((class, _)) => Err(OperatorConfigError::new(
                format!("store.retention_of_s.{class}"),
                message,
            )),
            None => Ok(()),
        }
    }
}
