//! Reads settings from JSON text.

use super::configuration::{Class, DedupScope, Effect, ReportField, ReportSource, Settings};
use super::settings_error::SettingsError;
use super::settings_file::{ClassSection, ExtraSection, ReportSection, SettingsFile};
use super::settings_validation::check_objects;

/// The keywords that are allowed as the value of a key, and their meanings.
type Keywords<T, const N: usize> = [(&'static str, T); N];

const EFFECTS: Keywords<Effect, 3> = [
    ("pure", Effect::Idempotent),
    ("token", Effect::IdempotentByKey),
    ("side_effect", Effect::NotIdempotent),
];
const DEDUP_SCOPES: Keywords<DedupScope, 3> = [
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
    ("cell", DedupScope::Cell),
];
const REPORT_SOURCES: Keywords<ReportSource, 3> = [
    ("answers", ReportSource::Answers),
    ("probe", ReportSource::Probes),
    ("none", ReportSource::None),
];
const REPORT_FIELDS: Keywords<ReportField, 8> = [
    ("backlog", ReportField::Queue),
    ("outstanding", ReportField::InFlight),
    ("recent_ms", ReportField::ServiceMs),
    ("x0", ReportField::Other),
    ("x1", ReportField::Other),
    ("utilization", ReportField::Other),
    ("throughput", ReportField::Other),
    ("errors_per_s", ReportField::Other),
];

/// Returns the meaning of a keyword. `path`, the key, and `want`, the list of allowed keywords, are
/// used in the error.
fn parse_keyword<T: Copy, const N: usize>(
    keywords: Keywords<T, N>,
    found: &str,
    path: impl FnOnce() -> String,
    want: &'static str,
) -> Result<T, SettingsError> {
    let meaning = keywords
        .iter()
        .find(|(keyword, _)| *keyword == found)
        .map(|(_, meaning)| *meaning);
    meaning.ok_or_else(|| SettingsError::UnknownKeyword {
        path: path(),
        found: found.into(),
        want,
    })
}

/// Returns the fields of a load report. The settings describe `x0` and `x1` in free text; a field
/// whose description contains neither of the two known phrases is not used.
fn report_fields(
    report: &ReportSection,
    extra: &ExtraSection,
) -> Result<Vec<ReportField>, SettingsError> {
    let meaning = |text: &str, field: ReportField| match text {
        text if text.contains("free slots") => ReportField::FreeSlots,
        text if text.contains("free memory") => ReportField::FreeMemory,
        _ => field,
    };
    let field = |(position, name): (usize, &String)| {
        let path = || format!("report.fields[{position}]");
        let want = "backlog, outstanding, utilization, recent_ms, throughput, errors_per_s, x0, x1";
        Ok(
            match (
                name.as_str(),
                parse_keyword(REPORT_FIELDS, name, path, want)?,
            ) {
                ("x0", field) => meaning(&extra.report_x0, field),
                ("x1", field) => meaning(&extra.report_x1, field),
                (_, field) => field,
            },
        )
    };
    report.fields.iter().enumerate().map(field).collect()
}

/// Returns the class with this index.
fn class(
    number: usize,
    section: &ClassSection,
    extra: &ExtraSection,
) -> Result<Class, SettingsError> {
    let path = |key: &str| format!("services[{number}].{key}");
    let stretch = section
        .aim_stretch
        .or_else(|| extra.class_stretch.get(number).copied());
    Ok(Class {
        name: section.name.clone(),
        effect: parse_keyword(
            EFFECTS,
            &section.effect,
            || path("effect"),
            "pure, token, side_effect",
        )?,
        dedup_scope: parse_keyword(
            DEDUP_SCOPES,
            &section.dedup_scope,
            || path("dedup-scope"),
            "all, zone, cell",
        )?,
        dedup_window: section.memory_span,
        latency_objective: section.aim,
        objective_stretch: stretch.unwrap_or(0.0),
        deadline: section.deadline,
        priority_weight: section.importance,
        late_weight: section.late_value,
        required_kind: extra
            .class_kind
            .get(number)
            .and_then(|&kind| u16::try_from(kind).ok()),
        priority: extra.class_priority.get(number).copied().unwrap_or(0),
        stream: section.stream,
        allowed_kinds: section.allowed_on.clone(),
        allowed_zones: section.confined_to.clone(),
    })
}

/// Returns the classes, in the order of the file.
fn classes(file: &SettingsFile) -> Result<Vec<Class>, SettingsError> {
    let sections = file.services.iter().enumerate();
    sections
        .map(|(number, section)| class(number, section, &file.extra))
        .collect()
}

/// Returns the source of load reports. If the key is missing or empty, there are none.
fn report_source(report: &ReportSection) -> Result<ReportSource, SettingsError> {
    match report.via.as_str() {
        "" => Ok(ReportSource::None),
        via => parse_keyword(
            REPORT_SOURCES,
            via,
            || "report.via".into(),
            "answers, probe, none",
        ),
    }
}

impl Settings {
    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not valid JSON, a known key has a value of the wrong type or
    /// an unknown keyword, or a value is out of range.
    pub fn from_json(text: &str) -> Result<Self, SettingsError> {
        let at_root = |error| {
            let path = serde_path_to_error::Track::new().path();
            SettingsError::Json(serde_path_to_error::Error::new(path, error))
        };
        let json: serde_json::Value = serde_json::from_str(text).map_err(at_root)?;
        check_objects(&json)?;
        let file = serde_path_to_error::deserialize(&json).map_err(SettingsError::Json)?;
        let settings = Self::from_file(file)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Converts the sections of the settings file.
    fn from_file(file: SettingsFile) -> Result<Self, SettingsError> {
        Ok(Self {
            report_fields: report_fields(&file.report, &file.extra)?,
            classes: classes(&file)?,
            report_source: report_source(&file.report)?,
            dispatcher_count: file.balancers,
            zone: file.zone,
            discovery_on_request: file.discovery == "on_request",
            max_poll_interval: file.rules.must_ask_in,
            tick: file.tick,
            probes_allowed: file.limits.may_probe,
            cancel_allowed: file.limits.cancel,
            hedging_allowed: file.limits.second_copies,
            max_retry_after: file.limits.effective_max_retry_after(),
            max_attempts: file.limits.max_attempts,
            dial_timeout: file.limits.dial_timeout,
            weight_by_work: file.counted_by == "work",
            probe_price: file.prices.probe,
            cross_zone_price: file.prices.cross_zone,
            fetch_price: file.prices.origin,
            waste_price: file.prices.waste,
            priority_queues: file.extra.queue_order == "priority",
            reports_start: file.extra.tells_start,
            progress_interval: file.extra.progress,
            clients_mark_retries: file.client_habits.marks_retry,
            sizes_are_comparable: file.weight_source != "none",
            initial_capacity_share: file.rules.cold_from,
            warm_up_time: file.rules.cold,
            overload_multiple: file.rules.fall_multiple,
            overload_window: file.rules.tip_after,
            retry_budget: file.rules.retry_budget()?,
            rejected_may_have_run: file.rules.may_shed_begun.unwrap_or(false),
            zone_names: file.dcs,
            kind_names: file.machine_types,
            tenant_names: file.orgs.into_iter().map(|tenant| tenant.name).collect(),
            field_names: file.report.fields,
            idle_timeout: file.limits.conn_idle,
            max_waiting_requests: file.limits.max_open,
        })
    }
}
