//! Validation of settings. The first key that is out of range is reported.

use super::configuration::{Class, RetryBudget, Settings};
use super::figures::finite_non_negative;
use super::settings_error::SettingsError;

const TIME: &str = "a time of 0 or more";
const TIME_ABOVE_ZERO: &str = "a time above 0";
const ZERO_OR_MORE: &str = "0 or more";

impl Settings {
    /// Checks that all settings are within their valid ranges.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first key that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        check(self.dispatcher_count > 0, "balancers", "at least 1")?;
        check(self.max_attempts > 0, "limits.max-attempts", "at least 1")?;
        check_time(self.tick, "tick")?;
        self.validate_rules()?;
        self.validate_limits()?;
        check_time(self.progress_interval, "extra.progress")?;
        self.validate_prices()?;
        if let Some(budget) = &self.retry_budget {
            validate_retry_budget(budget)?;
        }
        self.validate_classes()
    }

    fn validate_rules(&self) -> Result<(), SettingsError> {
        check_time(self.max_poll_interval, "rules.must-ask-in")?;
        check_time(self.warm_up_time, "rules.cold")?;
        check_time(self.overload_window, "rules.tip-after")?;
        check_not_negative(self.overload_multiple, "rules.fall-multiple")?;
        let share = finite_non_negative(self.initial_capacity_share);
        check(
            share.is_some_and(|share| share <= 1.0),
            "rules.cold-from",
            "between 0 and 1",
        )
    }

    fn validate_limits(&self) -> Result<(), SettingsError> {
        check_time(self.dial_timeout, "limits.dial-timeout")?;
        check_time(self.max_retry_after, "limits.max-retry-after")?;
        check_time(self.idle_timeout, "limits.conn-idle")
    }

    fn validate_prices(&self) -> Result<(), SettingsError> {
        check_not_negative(self.probe_price, "prices.probe")?;
        check_not_negative(self.cross_zone_price, "prices.cross-zone")?;
        check_not_negative(self.fetch_price, "prices.origin")?;
        check_not_negative(self.waste_price, "prices.waste")
    }

    fn validate_classes(&self) -> Result<(), SettingsError> {
        for (number, class) in self.classes.iter().enumerate() {
            let has_same_name = |other: &Class| !class.name.is_empty() && other.name == class.name;
            check(
                !self.classes[..number].iter().any(has_same_name),
                "services[].name",
                "unique among the classes",
            )?;
            validate_class(class)?;
        }
        Ok(())
    }
}

fn validate_retry_budget(budget: &RetryBudget) -> Result<(), SettingsError> {
    check_not_negative(budget.min_retries, "rules.spare-attempts")?;
    check_not_negative(budget.ratio, "rules.repeat-ratio")?;
    check_time_above_zero(budget.window, "rules.look-back")
}

fn validate_class(class: &Class) -> Result<(), SettingsError> {
    check_time_above_zero(class.deadline, "services[].deadline")?;
    check_time(class.latency_objective, "services[].aim")?;
    check_not_negative(class.objective_stretch, "services[].aim-stretch")?;
    check_time(class.dedup_window, "services[].memory-span")?;
    check_not_negative(class.priority_weight, "services[].importance")?;
    check_not_negative(class.late_weight, "services[].importance")
}

/// Checks that the file and its sections are JSON objects. Without this check, an array in place of
/// a section would be accepted, and its elements would be assigned to the keys by position.
pub(super) fn check_objects(json: &serde_json::Value) -> Result<(), SettingsError> {
    const WANT: &str = "an object";
    const SECTIONS: [&str; 6] = [
        "client-habits",
        "extra",
        "limits",
        "prices",
        "report",
        "rules",
    ];
    const LISTS: [(&str, &str); 2] = [("orgs", "orgs[]"), ("services", "services[]")];
    check(json.is_object(), "(all)", WANT)?;
    for key in SECTIONS {
        let section = json.get(key);
        check(section.is_none_or(|value| !value.is_array()), key, WANT)?;
    }
    for (list, key) in LISTS {
        let entries = json.get(list).and_then(serde_json::Value::as_array);
        let has_array = entries.is_some_and(|entries| entries.iter().any(|entry| entry.is_array()));
        check(!has_array, key, WANT)?;
    }
    Ok(())
}

/// Returns an error for this key unless the condition holds. `want` describes valid values.
pub(super) fn check(
    condition: bool,
    key: &'static str,
    want: &'static str,
) -> Result<(), SettingsError> {
    if condition {
        Ok(())
    } else {
        Err(SettingsError::Range { key, want })
    }
}

fn check_time(seconds: f64, key: &'static str) -> Result<(), SettingsError> {
    check(finite_non_negative(seconds).is_some(), key, TIME)
}

fn check_time_above_zero(seconds: f64, key: &'static str) -> Result<(), SettingsError> {
    check(
        finite_non_negative(seconds).is_some_and(|seconds| seconds > 0.0),
        key,
        TIME_ABOVE_ZERO,
    )
}

fn check_not_negative(value: f64, key: &'static str) -> Result<(), SettingsError> {
    check(finite_non_negative(value).is_some(), key, ZERO_OR_MORE)
}
