//! Settings from the JSON text that a dispatcher gets at its start. Unknown keys are skipped;
//! missing ones get the defaults written here.

use crate::decision::interface::{
    Class, DedupScope, Effect, ReportField, Reports, RetryBudget, Settings, SettingsError,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Raw {
    balancers: u32,
    zone: u8,
    services: Vec<Service>,
    discovery: String,
    tick: f64,
    report: RawReport,
    limits: Limits,
    prices: Prices,
    rules: Rules,
    extra: Extra,
    client_habits: Habits,
    weight_source: String,
    counted_by: String,
    dcs: Vec<String>,
    machine_types: Vec<String>,
    orgs: Vec<Org>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Habits {
    marks_retry: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Org {
    name: String,
}

impl Default for Raw {
    fn default() -> Self {
        Self {
            balancers: 1,
            zone: 0,
            services: Vec::new(),
            discovery: "pushed".into(),
            tick: 0.001,
            report: RawReport::default(),
            limits: Limits::default(),
            prices: Prices::default(),
            rules: Rules::default(),
            extra: Extra::default(),
            client_habits: Habits::default(),
            weight_source: "none".into(),
            counted_by: "request".into(),
            dcs: Vec::new(),
            machine_types: Vec::new(),
            orgs: Vec::new(),
        }
    }
}

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Service {
    name: String,
    effect: String,
    dedup_scope: String,
    memory_span: f64,
    aim: f64,
    aim_stretch: Option<f64>,
    deadline: f64,
    importance: f64,
    late_value: f64,
    stream: bool,
    allowed_on: Option<Vec<u32>>,
    confined_to: Option<Vec<u32>>,
}

impl Default for Service {
    /// An unnamed effect is taken for the most careful one.
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

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct RawReport {
    fields: Vec<String>,
    via: String,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Limits {
    cancel: bool,
    conn_idle: f64,
    max_open: usize,
    dial_timeout: f64,
    max_attempts: u16,
    max_retry_after: f64,
    may_probe: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for Limits {
    /// What is not said to be permitted is not done.
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

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Prices {
    probe: f64,
    cross_zone: f64,
    origin: f64,
    waste: f64,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Rules {
    cold: f64,
    cold_from: f64,
    fall_multiple: f64,
    must_ask_in: f64,
    tip_after: f64,
    spare_attempts: Option<f64>,
    repeat_ratio: Option<f64>,
    look_back: Option<f64>,
    may_shed_begun: Option<bool>,
}

impl Default for Rules {
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

impl Rules {
    /// The budget of further attempts, if one is stated; of its two shares, a missing one is 0.
    fn retry_budget(&self) -> Result<Option<RetryBudget>, SettingsError> {
        if self.spare_attempts.is_none() && self.repeat_ratio.is_none() {
            // A window alone rations nothing, but an unsound one is still worth a word.
            check(
                self.look_back.is_none_or(|x| x.is_finite() && x > 0.0),
                "rules.look-back",
                "a time above 0",
            )?;
            return Ok(None);
        }
        let want = "a time above 0 where further attempts are rationed";
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

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "kebab-case")]
struct Extra {
    class_kind: Vec<i32>,
    class_priority: Vec<i32>,
    class_stretch: Vec<f64>,
    progress: f64,
    queue_order: String,
    report_x0: String,
    report_x1: String,
    tells_start: bool,
}

fn check(ok: bool, key: &'static str, want: &'static str) -> Result<(), SettingsError> {
    if ok {
        Ok(())
    } else {
        Err(SettingsError::Range { key, want })
    }
}

/// Words of a key, with what each stands for.
type Words<T, const N: usize> = [(&'static str, T); N];

const EFFECTS: Words<Effect, 3> = [
    ("pure", Effect::Idempotent),
    ("token", Effect::IdempotentByKey),
    ("side_effect", Effect::NotIdempotent),
];
const GROUPS: Words<DedupScope, 3> = [
    ("all", DedupScope::All),
    ("zone", DedupScope::Zone),
    ("cell", DedupScope::Cell),
];
const WAYS_OF_REPORTS: Words<Reports, 3> = [
    ("answers", Reports::Answers),
    ("probe", Reports::Probes),
    ("none", Reports::None),
];
const FIELDS: Words<ReportField, 8> = [
    ("backlog", ReportField::Queue),
    ("outstanding", ReportField::InFlight),
    ("recent_ms", ReportField::ServiceMs),
    ("x0", ReportField::Other),
    ("x1", ReportField::Other),
    ("utilization", ReportField::Other),
    ("throughput", ReportField::Other),
    ("errors_per_s", ReportField::Other),
];

/// What the word at this path stands for; `want` lists the words for the error.
fn word<T: Copy, const N: usize>(
    words: Words<T, N>,
    found: &str,
    path: impl FnOnce() -> String,
    want: &'static str,
) -> Result<T, SettingsError> {
    let meaning = words
        .iter()
        .find(|(word, _)| *word == found)
        .map(|(_, meaning)| *meaning);
    meaning.ok_or_else(|| SettingsError::Word {
        path: path(),
        found: found.into(),
        want,
    })
}

/// The figures of a load report. What `x0` and `x1` stand for is told in words; of other words
/// nothing is made.
fn fields(report: &RawReport, extra: &Extra) -> Result<Vec<ReportField>, SettingsError> {
    let meaning = |text: &str, field: ReportField| match text {
        text if text.contains("free slots") => ReportField::FreeSlots,
        text if text.contains("free memory") => ReportField::FreeMemory,
        _ => field,
    };
    let field = |(i, name): (usize, &String)| {
        let path = || format!("report.fields[{i}]");
        let want = "backlog, outstanding, utilization, recent_ms, throughput, errors_per_s, x0, x1";
        Ok(match (name.as_str(), word(FIELDS, name, path, want)?) {
            ("x0", field) => meaning(&extra.report_x0, field),
            ("x1", field) => meaning(&extra.report_x1, field),
            (_, field) => field,
        })
    };
    report.fields.iter().enumerate().map(field).collect()
}

/// The class of this number.
fn class(number: usize, service: &Service, extra: &Extra) -> Result<Class, SettingsError> {
    let path = |key: &str| format!("services[{number}].{key}");
    let stretch = service
        .aim_stretch
        .or_else(|| extra.class_stretch.get(number).copied());
    Ok(Class {
        name: service.name.clone(),
        effect: word(
            EFFECTS,
            &service.effect,
            || path("effect"),
            "pure, token, side_effect",
        )?,
        dedup_scope: word(
            GROUPS,
            &service.dedup_scope,
            || path("dedup-scope"),
            "all, zone, cell",
        )?,
        dedup_window: service.memory_span,
        latency_objective: service.aim,
        objective_stretch: stretch.unwrap_or(0.0),
        deadline: service.deadline,
        priority_weight: service.importance,
        late_weight: service.late_value,
        required_kind: extra
            .class_kind
            .get(number)
            .and_then(|&kind| u16::try_from(kind).ok()),
        priority: extra.class_priority.get(number).copied().unwrap_or(0),
        stream: service.stream,
        allowed_kinds: service.allowed_on.clone(),
        allowed_zones: service.confined_to.clone(),
    })
}

/// Checks that what has keys is an object. Danger: a list there would be read key by key in the
/// order of the lines above.
fn objects(json: &serde_json::Value) -> Result<(), SettingsError> {
    const SECTIONS: [&str; 6] = [
        "client-habits",
        "extra",
        "limits",
        "prices",
        "report",
        "rules",
    ];
    const LISTS: [(&str, &str); 2] = [("orgs", "orgs[]"), ("services", "services[]")];
    check(json.is_object(), "(all)", "an object")?;
    for key in SECTIONS {
        check(
            json.get(key).is_none_or(|section| !section.is_array()),
            key,
            "an object",
        )?;
    }
    for (list, key) in LISTS {
        let entries = json.get(list).and_then(serde_json::Value::as_array);
        check(
            entries.is_none_or(|entries| !entries.iter().any(serde_json::Value::is_array)),
            key,
            "an object",
        )?;
    }
    Ok(())
}

impl Settings {
    /// Reads settings from JSON.
    ///
    /// # Errors
    ///
    /// If the text is not JSON, a known key has a value of another type, or a figure is out of
    /// range.
    pub fn from_json(text: &str) -> Result<Self, SettingsError> {
        let at_all = |error| {
            let path = serde_path_to_error::Track::new().path();
            SettingsError::Json(serde_path_to_error::Error::new(path, error))
        };
        let json: serde_json::Value = serde_json::from_str(text).map_err(at_all)?;
        objects(&json)?;
        let raw: Raw = serde_path_to_error::deserialize(&json).map_err(SettingsError::Json)?;
        let fields = fields(&raw.report, &raw.extra)?;
        let numbered = raw.services.iter().enumerate();
        let classes = numbered
            .map(|(i, service)| class(i, service, &raw.extra))
            .collect::<Result<_, _>>()?;
        let extra = raw.extra;
        let reports = match raw.report.via.as_str() {
            "" => Reports::None,
            via => word(
                WAYS_OF_REPORTS,
                via,
                || "report.via".into(),
                "answers, probe, none",
            )?,
        };
        let settings = Self {
            dispatcher_count: raw.balancers,
            zone: raw.zone,
            classes,
            discovery_on_request: raw.discovery == "on_request",
            max_poll_interval: raw.rules.must_ask_in,
            tick: raw.tick,
            reports,
            fields,
            probes_allowed: raw.limits.may_probe,
            cancel_allowed: raw.limits.cancel,
            hedging_allowed: raw.limits.second_copies,
            max_retry_after: if raw.limits.retry_after {
                raw.limits.max_retry_after
            } else {
                0.0
            },
            max_attempts: raw.limits.max_attempts,
            dial_timeout: raw.limits.dial_timeout,
            weight_by_work: raw.counted_by == "work",
            probe_price: raw.prices.probe,
            cross_zone_price: raw.prices.cross_zone,
            fetch_price: raw.prices.origin,
            waste_price: raw.prices.waste,
            priority_queues: extra.queue_order == "priority",
            reports_start: extra.tells_start,
            progress_interval: extra.progress,
            clients_mark_retries: raw.client_habits.marks_retry,
            sizes_compare: raw.weight_source != "none",
            initial_capacity_share: raw.rules.cold_from,
            warm_up_time: raw.rules.cold,
            overload_multiple: raw.rules.fall_multiple,
            overload_window: raw.rules.tip_after,
            retry_budget: raw.rules.retry_budget()?,
            full_may_have_run: raw.rules.may_shed_begun.unwrap_or(false),
            zone_names: raw.dcs,
            kind_names: raw.machine_types,
            tenant_names: raw.orgs.into_iter().map(|org| org.name).collect(),
            field_names: raw.report.fields.clone(),
            idle_timeout: raw.limits.conn_idle,
            max_waiting_requests: raw.limits.max_open,
        };
        settings.validate()?;
        Ok(settings)
    }

    /// Checks that every figure is one that a dispatcher can work with.
    ///
    /// # Errors
    ///
    /// Names the first key that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let span = |x: f64| x.is_finite() && x >= 0.0;
        check(self.dispatcher_count > 0, "balancers", "at least 1")?;
        check(self.max_attempts > 0, "limits.max-attempts", "at least 1")?;
        check(span(self.tick), "tick", "a time of 0 or more")?;
        check(
            span(self.max_poll_interval),
            "rules.must-ask-in",
            "a time of 0 or more",
        )?;
        check(span(self.warm_up_time), "rules.cold", "a time of 0 or more")?;
        check(
            span(self.overload_window),
            "rules.tip-after",
            "a time of 0 or more",
        )?;
        check(
            span(self.overload_multiple),
            "rules.fall-multiple",
            "0 or more",
        )?;
        check(
            span(self.initial_capacity_share) && self.initial_capacity_share <= 1.0,
            "rules.cold-from",
            "between 0 and 1",
        )?;
        check(
            span(self.dial_timeout),
            "limits.dial-timeout",
            "a time of 0 or more",
        )?;
        check(
            span(self.max_retry_after),
            "limits.max-retry-after",
            "a time of 0 or more",
        )?;
        check(
            span(self.idle_timeout),
            "limits.conn-idle",
            "a time of 0 or more",
        )?;
        check(
            span(self.progress_interval),
            "extra.progress",
            "a time of 0 or more",
        )?;
        check(span(self.probe_price), "prices.probe", "0 or more")?;
        check(
            span(self.cross_zone_price),
            "prices.cross-zone",
            "0 or more",
        )?;
        check(span(self.fetch_price), "prices.origin", "0 or more")?;
        check(span(self.waste_price), "prices.waste", "0 or more")?;
        if let Some(budget) = &self.retry_budget {
            check(
                span(budget.min_retries),
                "rules.spare-attempts",
                "0 or more",
            )?;
            check(span(budget.ratio), "rules.repeat-ratio", "0 or more")?;
            check(
                span(budget.window) && budget.window > 0.0,
                "rules.look-back",
                "a time above 0",
            )?;
        }
        for (i, class) in self.classes.iter().enumerate() {
            let alike = |other: &Class| !class.name.is_empty() && other.name == class.name;
            check(
                !self.classes[..i].iter().any(alike),
                "services[].name",
                "of one class alone",
            )?;
            check(
                class.deadline.is_finite() && class.deadline > 0.0,
                "services[].deadline",
                "a time above 0",
            )?;
            check(
                span(class.latency_objective),
                "services[].aim",
                "a time of 0 or more",
            )?;
            check(
                span(class.objective_stretch),
                "services[].aim-stretch",
                "0 or more",
            )?;
            check(
                span(class.dedup_window),
                "services[].memory-span",
                "a time of 0 or more",
            )?;
            check(
                span(class.priority_weight) && span(class.late_weight),
                "services[].importance",
                "0 or more",
            )?;
        }
        Ok(())
    }
}
