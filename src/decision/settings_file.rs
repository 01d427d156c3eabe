//! The sections of the settings file in their JSON form, with the defaults for missing keys.
//! Unknown keys are ignored.
//!
//! The texts of `expecting` name the objects in error messages that operators read.

use super::configuration::RetryBudget;
use super::settings_error::SettingsError;
use super::settings_validation::check;
use serde::Deserialize;

/// The settings file.
#[derive(Deserialize)]
#[serde(
    default,
    rename_all = "kebab-case",
    expecting = "the object `settings`"
)]
pub(super) struct SettingsFile {
    pub(super) balancers: u32,
    pub(super) zone: u8,
    pub(super) services: Vec<ClassSection>,
    pub(super) discovery: String,
    pub(super) tick: f64,
    pub(super) report: ReportSection,
    pub(super) limits: LimitsSection,
    pub(super) prices: PricesSection,
    pub(super) rules: RulesSection,
    pub(super) extra: ExtraSection,
    pub(super) client_habits: ClientHabitsSection,
    pub(super) weight_source: String,
    pub(super) counted_by: String,
    pub(super) dcs: Vec<String>,
    pub(super) machine_types: Vec<String>,
    pub(super) orgs: Vec<TenantSection>,
}

/// The behaviour of clients.
#[derive(Default, Deserialize)]
#[serde(
    default,
    rename_all = "kebab-case",
    expecting = "the object `client-habits`"
)]
pub(super) struct ClientHabitsSection {
    pub(super) marks_retry: bool,
}

/// A tenant.
#[derive(Default, Deserialize)]
#[serde(default, expecting = "an object in `orgs`")]
pub(super) struct TenantSection {
    pub(super) name: String,
}

impl Default for SettingsFile {
    fn default() -> Self {
        Self {
            balancers: 1,
            zone: 0,
            services: Vec::new(),
            discovery: "pushed".into(),
            tick: 0.001,
            report: ReportSection::default(),
            limits: LimitsSection::default(),
            prices: PricesSection::default(),
            rules: RulesSection::default(),
            extra: ExtraSection::default(),
            client_habits: ClientHabitsSection::default(),
            weight_source: "none".into(),
            counted_by: "request".into(),
            dcs: Vec::new(),
            machine_types: Vec::new(),
            orgs: Vec::new(),
        }
    }
}

/// A request class.
#[derive(Deserialize)]
#[serde(
    default,
    rename_all = "kebab-case",
    expecting = "an object in `services`"
)]
pub(super) struct ClassSection {
    pub(super) name: String,
    pub(super) effect: String,
    pub(super) dedup_scope: String,
    pub(super) memory_span: f64,
    pub(super) aim: f64,
    pub(super) aim_stretch: Option<f64>,
    pub(super) deadline: f64,
    pub(super) importance: f64,
    pub(super) late_value: f64,
    pub(super) stream: bool,
    pub(super) allowed_on: Option<Vec<u32>>,
    pub(super) confined_to: Option<Vec<u32>>,
}

impl Default for ClassSection {
    /// A class without an `effect` is assumed to be not idempotent, which is the safe assumption.
    fn default() -> Self {
        Self {
            name: String::new(),
            effect: "side_effect".into(),
            dedup_scope: "cell".into(),
            memory_span: 0.0,
            aim: 1.0,
            aim_stretch: None,
            deadline: 10.0,
            importance: 1.0,
            late_value: 0.0,
            stream: false,
            allowed_on: None,
            confined_to: None,
        }
    }
}

/// The load reports of workers.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case", expecting = "the object `report`")]
pub(super) struct ReportSection {
    pub(super) fields: Vec<String>,
    pub(super) via: String,
}

/// The permissions and limits of a dispatcher.
#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case", expecting = "the object `limits`")]
pub(super) struct LimitsSection {
    pub(super) cancel: bool,
    pub(super) conn_idle: f64,
    pub(super) max_open: usize,
    pub(super) dial_timeout: f64,
    pub(super) max_attempts: u16,
    pub(super) max_retry_after: f64,
    pub(super) may_probe: bool,
    pub(super) retry_after: bool,
    pub(super) second_copies: bool,
}

impl Default for LimitsSection {
    /// Anything that the file does not allow explicitly is forbidden.
    fn default() -> Self {
        Self {
            cancel: false,
            conn_idle: 0.0,
            max_open: 0,
            dial_timeout: 0.25,
            max_attempts: 3,
            max_retry_after: 0.0,
            may_probe: false,
            retry_after: false,
            second_copies: false,
        }
    }
}

impl LimitsSection {
    /// Returns the maximum `Retry-After` value for clients; 0 if none may be sent.
    pub(super) fn effective_max_retry_after(&self) -> f64 {
        if self.retry_after {
            self.max_retry_after
        } else {
            0.0
        }
    }
}

/// The prices of probes, of attempts across zones, of fetched data and of wasted work.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case", expecting = "the object `prices`")]
pub(super) struct PricesSection {
    pub(super) probe: f64,
    pub(super) cross_zone: f64,
    pub(super) origin: f64,
    pub(super) waste: f64,
}

/// The rules for discovery, warm-up and retries.
#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case", expecting = "the object `rules`")]
pub(super) struct RulesSection {
    pub(super) cold: f64,
    pub(super) cold_from: f64,
    pub(super) fall_multiple: f64,
    pub(super) must_ask_in: f64,
    pub(super) tip_after: f64,
    pub(super) spare_attempts: Option<f64>,
    pub(super) repeat_ratio: Option<f64>,
    pub(super) look_back: Option<f64>,
    pub(super) may_shed_begun: Option<bool>,
}

impl Default for RulesSection {
    fn default() -> Self {
        Self {
            cold: 0.0,
            cold_from: 1.0,
            fall_multiple: 3.0,
            must_ask_in: 10.0,
            tip_after: 2.0,
            spare_attempts: None,
            repeat_ratio: None,
            look_back: None,
            may_shed_begun: None,
        }
    }
}

impl RulesSection {
    /// Returns the retry budget, or `None` if the file has none. If only one of the minimum and the
    /// ratio is given, the other one is 0.
    ///
    /// # Errors
    ///
    /// Returns an error if a budget has no window, or if there is no budget and the window is not
    /// above 0. The window of a budget is validated with the other settings.
    pub(super) fn retry_budget(&self) -> Result<Option<RetryBudget>, SettingsError> {
        if self.spare_attempts.is_none() && self.repeat_ratio.is_none() {
            // A window alone has no effect, but an invalid one is a mistake in the file.
            check(
                self.look_back.is_none_or(|x| x.is_finite() && x > 0.0),
                "rules.look-back",
                "a time above 0",
            )?;
            return Ok(None);
        }
        let want = "a time above 0 if spare-attempts or repeat-ratio is set";
        let window = self.look_back.ok_or(SettingsError::Range {
            key: "rules.look-back",
            want,
        })?;
        Ok(Some(RetryBudget {
            min_retries: self.spare_attempts.unwrap_or(0.0),
            ratio: self.repeat_ratio.unwrap_or(0.0),
            window,
        }))
    }
}

/// Settings of optional extensions.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case", expecting = "the object `extra`")]
pub(super) struct ExtraSection {
    pub(super) class_kind: Vec<i32>,
    pub(super) class_priority: Vec<i32>,
    pub(super) class_stretch: Vec<f64>,
    pub(super) progress: f64,
    pub(super) queue_order: String,
    pub(super) report_x0: String,
    pub(super) report_x1: String,
    pub(super) tells_start: bool,
}
