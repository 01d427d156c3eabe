//! The scenarios: settings of the dispatcher, and the behaviour of its clients and workers.

/// A field of a load report.
#[derive(Clone, Copy)]
pub enum ReportField {
    Queue,
    InFlight,
    FreeSlots,
    FreeMemory,
    ServiceMilliseconds,
}

use ReportField::{FreeMemory, FreeSlots, InFlight, Queue, ServiceMilliseconds};

/// The parameters of a simulation.
pub struct Scenario {
    pub name: &'static str,
    /// Seed of the dispatcher and of the simulation.
    pub seed: u64,
    /// Settings of the dispatcher, as JSON.
    pub settings: &'static str,
    /// Longest time limit of each class, in seconds.
    pub time_limits: &'static [f64],
    /// Share of the requests with half the longest time limit.
    pub short_time_limits: f64,
    /// Mean work of each class, in seconds.
    pub mean_work: &'static [f64],
    /// Class whose answers are streamed.
    pub streamed_class: Option<u8>,
    /// Class whose running jobs workers sometimes stop in favour of others.
    pub preempted_class: Option<u8>,
    /// Fields of a worker's load report, in their order.
    pub report: &'static [ReportField],
    /// Whether answers to attempts contain load reports. Answers to probes always do.
    pub reports_in_answers: bool,
    /// Number of workers.
    pub workers: usize,
    /// Number of slots of a worker; every other worker has one more.
    pub slots: usize,
    /// Number of waiting jobs at which a worker rejects further ones.
    pub max_queue: usize,
    /// Number of requests.
    pub requests: u64,
    /// Mean requests per second, multiplied by 0.7 outside of bursts and by `burst` in bursts.
    pub rate: f64,
    /// Multiple of `rate` in bursts.
    pub burst: f64,
    /// Number of affinity keys; 0 for none.
    pub affinity_keys: u64,
    /// Share of the requests without an idempotency key, if `operator` is set.
    pub without_key: f64,
    /// Share of the attempts that end with a fault before they reach the worker.
    pub faults: f64,
    /// Share of the attempts that take thirty times as long and report no progress.
    pub hangs: f64,
    /// Maximum number of jobs of other dispatchers at a worker.
    pub max_other_jobs: usize,
    /// Mean time between changes of the worker list, in seconds.
    pub list_change_interval: f64,
    /// Share of the calls to discovery that fail.
    pub failed_calls: f64,
    /// Share of the list changes that are worker restarts.
    pub restarts: f64,
    /// Time between a worker's start and its return to the list, in seconds.
    pub start_delay: f64,
    /// Whether workers report the start of a job.
    pub reports_start: bool,
    /// Interval between progress reports, in seconds; 0 for none.
    pub progress_interval: f64,
    /// Whether there are events of an operator, a sibling process and handovers. The protocol of
    /// `postproxy-drill` does not encode these.
    pub operator: bool,
    /// Whether there are handovers to new processes, if `operator` is set.
    pub handovers: bool,
    /// Number of lines of the run that its recording contains in full.
    pub lines_in_full: usize,
}

const COMMON: Scenario = Scenario {
    name: "",
    seed: 0,
    settings: "{}",
    time_limits: &[4.0, 4.0, 4.0],
    short_time_limits: 0.2,
    mean_work: &[0.1, 0.2, 0.1],
    streamed_class: None,
    preempted_class: None,
    report: &[],
    reports_in_answers: true,
    workers: 8,
    slots: 2,
    max_queue: 8,
    requests: 2500,
    rate: 60.0,
    burst: 2.0,
    affinity_keys: 0,
    without_key: 0.1,
    faults: 0.05,
    hangs: 0.01,
    max_other_jobs: 0,
    list_change_interval: 0.7,
    failed_calls: 0.4,
    restarts: 0.2,
    start_delay: 0.0,
    reports_start: false,
    progress_interval: 0.0,
    operator: false,
    handovers: true,
    lines_in_full: 160,
};

/// Returns all recorded scenarios.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        queue_reports(),
        free_slots(),
        no_reports(),
        probes(),
        slow_probes(),
        affinity_keys(),
        priorities(),
        worker_restarts(),
        worker_restarts_with_uneven_traffic(),
        late_answers(),
        marked_retries(),
        zones(),
        zones_without_reports(),
        coarse_clock(),
        rejection_after_start(),
        large_fleet(),
        operator_events(),
        overload_without_cancel(),
        suspended_workers(),
        few_requests(),
        silent_jobs(),
        silent_jobs_with_expensive_waste(),
    ]
}

fn queue_reports() -> Scenario {
    Scenario {
        name: "queue-reports",
        seed: 11,
        settings: r#"{"balancers": 2, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0, "stream": true},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.8, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0, "importance": 2.0}],
            "orgs": [{"name": "a"}, {"name": "b"}, {"name": "c"}],
            "report": {"fields": ["backlog", "recent_ms"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 1.5},
            "extra": {"tells-start": true}}"#,
        streamed_class: Some(0),
        report: &[Queue, ServiceMilliseconds],
        reports_start: true,
        ..COMMON
    }
}

fn free_slots() -> Scenario {
    Scenario {
        name: "free-slots",
        seed: 12,
        settings: r#"{"balancers": 3, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "aim-stretch": 2.0, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "zone", "memory-span": 1.5, "aim": 0.6, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0, "importance": 3.0}],
            "report": {"fields": ["x0", "x1"], "via": "answers"},
            "limits": {"cancel": true, "max-attempts": 4},
            "rules": {"spare-attempts": 2, "repeat-ratio": 0.1, "look-back": 2.0}, "weight-source": "size",
            "extra": {"report-x0": "free slots", "report-x1": "free memory"}}"#,
        report: &[FreeSlots, FreeMemory],
        faults: 0.12,
        slots: 4,
        rate: 130.0,
        ..COMMON
    }
}

fn no_reports() -> Scenario {
    Scenario {
        name: "no-reports",
        seed: 13,
        settings: r#"{"balancers": 5, "services": [
            {"name": "zone", "effect": "token", "dedup-scope": "zone", "memory-span": 2.5, "aim": 0.5, "deadline": 4.0},
            {"name": "cell", "effect": "token", "dedup-scope": "cell", "memory-span": 2.5, "aim": 0.5, "deadline": 4.0},
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0}],
            "limits": {"second-copies": true, "max-attempts": 3}}"#,
        without_key: 0.25,
        faults: 0.1,
        ..COMMON
    }
}

fn probes() -> Scenario {
    Scenario {
        name: "probes",
        seed: 14,
        settings: r#"{"balancers": 6, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "cell", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0, "importance": 2.0}],
            "report": {"fields": ["outstanding", "x0"], "via": "probe"},
            "limits": {"cancel": true, "may-probe": true, "second-copies": true, "max-attempts": 3},
            "prices": {"probe": 0.005, "waste": 0.02},
            "extra": {"report-x0": "free slots", "tells-start": true, "progress": 0.125}}"#,
        report: &[InFlight, FreeSlots],
        reports_in_answers: false,
        workers: 12,
        rate: 70.0,
        reports_start: true,
        progress_interval: 0.125,
        ..COMMON
    }
}

/// Probes are sent again before the previous one has been answered, and calls to discovery often
/// fail.
fn slow_probes() -> Scenario {
    Scenario {
        name: "slow-probes",
        seed: 31,
        settings: r#"{"balancers": 6, "discovery": "on_request", "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "cell", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["outstanding", "x0"], "via": "probe"},
            "limits": {"cancel": true, "may-probe": true, "max-attempts": 3, "dial-timeout": 0.03},
            "rules": {"must-ask-in": 1.0},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[InFlight, FreeSlots],
        reports_in_answers: false,
        workers: 6,
        requests: 1500,
        list_change_interval: 6.0,
        failed_calls: 0.9,
        ..COMMON
    }
}

fn affinity_keys() -> Scenario {
    Scenario {
        name: "subjects",
        seed: 15,
        settings: r#"{"balancers": 8, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "second", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "may-probe": true, "max-attempts": 3},
            "prices": {"origin": 0.3, "probe": 0.002, "cross-zone": 0.1},
            "rules": {"cold": 6.0, "cold-from": 0.2, "fall-multiple": 3.0, "tip-after": 1.0},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[Queue, FreeSlots],
        workers: 80,
        rate: 250.0,
        affinity_keys: 40,
        ..COMMON
    }
}

fn priorities() -> Scenario {
    Scenario {
        name: "priorities",
        seed: 16,
        settings: r#"{"balancers": 2, "counted-by": "work", "services": [
            {"name": "low", "effect": "pure", "aim": 0.5, "deadline": 4.0, "importance": 0.5},
            {"name": "high", "effect": "pure", "aim": 0.5, "deadline": 4.0, "importance": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["backlog", "x0", "errors_per_s"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 5},
            "extra": {"class-priority": [0, 2, 1], "class-stretch": [1.0, 3.0, 0.0], "queue-order": "priority",
                      "report-x0": "free slots", "progress": 0.25}}"#,
        preempted_class: Some(0),
        report: &[Queue, FreeSlots, ServiceMilliseconds],
        rate: 90.0,
        progress_interval: 0.25,
        ..COMMON
    }
}

fn worker_restarts() -> Scenario {
    Scenario {
        name: "cold-starts",
        seed: 17,
        settings: r#"{"balancers": 4, "weight-source": "size", "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.4, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0}],
            "report": {"fields": ["outstanding", "x0"], "via": "answers"},
            "limits": {"cancel": true, "max-attempts": 3},
            "rules": {"cold": 8.0, "cold-from": 0.1, "fall-multiple": 2.0, "tip-after": 1.5},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[InFlight, FreeSlots],
        restarts: 0.6,
        list_change_interval: 0.6,
        workers: 10,
        rate: 80.0,
        ..COMMON
    }
}

/// One of many dispatchers receives most of the traffic.
fn worker_restarts_with_uneven_traffic() -> Scenario {
    Scenario {
        name: "cold-starts-in-a-large-share",
        seed: 28,
        settings: r#"{"balancers": 16, "weight-source": "size", "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.4, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0}],
            "report": {"fields": ["outstanding", "x0"], "via": "answers"},
            "limits": {"cancel": true, "max-attempts": 3},
            "rules": {"cold": 8.0, "cold-from": 0.1, "fall-multiple": 2.0, "tip-after": 0.5},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[InFlight, FreeSlots],
        restarts: 0.6,
        list_change_interval: 0.4,
        workers: 10,
        slots: 3,
        requests: 4500,
        rate: 30.0,
        burst: 12.0,
        ..COMMON
    }
}

fn late_answers() -> Scenario {
    Scenario {
        name: "late-worth",
        seed: 18,
        settings: r#"{"balancers": 3, "client-habits": {"marks-retry": true}, "services": [
            {"name": "patient", "effect": "pure", "aim": 0.3, "aim-stretch": 3.0, "deadline": 5.0, "late-value": 0.6},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 2.0, "aim": 0.3, "deadline": 4.0,
             "late-value": 0.3, "importance": 2.0},
            {"name": "once", "effect": "side_effect", "aim": 0.3, "deadline": 4.0, "late-value": 0.9}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 0.2},
            "extra": {"report-x0": "free slots"}}"#,
        time_limits: &[5.0, 4.0, 4.0],
        report: &[Queue, FreeSlots],
        rate: 150.0,
        max_queue: 12,
        ..COMMON
    }
}

fn marked_retries() -> Scenario {
    Scenario {
        name: "marked-retries",
        seed: 29,
        settings: r#"{"balancers": 3, "client-habits": {"marks-retry": true}, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.3, "aim-stretch": 2.0, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 2.0, "aim": 0.3, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.3, "deadline": 4.0, "late-value": 0.5}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 0.2},
            "extra": {"report-x0": "free slots"}}"#,
        short_time_limits: 0.12,
        report: &[Queue, FreeSlots],
        requests: 3500,
        rate: 170.0,
        ..COMMON
    }
}

fn zones() -> Scenario {
    Scenario {
        name: "zones",
        seed: 19,
        settings: r#"{"balancers": 2, "zone": 1, "dcs": ["a", "b", "c"], "machine-types": ["k", "l"], "services": [
            {"name": "any", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "kind", "effect": "token", "dedup-scope": "zone", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "bound", "effect": "side_effect", "aim": 0.5, "deadline": 4.0, "confined-to": [0, 1], "allowed-on": [1]}],
            "report": {"fields": ["outstanding", "x0"], "via": "answers"},
            "limits": {"cancel": true, "may-probe": true, "max-attempts": 3},
            "prices": {"cross-zone": 0.05, "probe": 0.001},
            "extra": {"class-kind": [-1, 0, -1], "report-x0": "free slots"}}"#,
        report: &[InFlight, FreeSlots],
        workers: 12,
        rate: 90.0,
        ..COMMON
    }
}

fn zones_without_reports() -> Scenario {
    Scenario {
        name: "zones-without-reports",
        seed: 30,
        settings: r#"{"balancers": 1, "zone": 1, "dcs": ["a", "b", "c"], "services": [
            {"name": "any", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "zone", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "limits": {"cancel": true, "max-attempts": 3},
            "prices": {"cross-zone": 0.05}}"#,
        workers: 9,
        rate: 70.0,
        requests: 1500,
        ..COMMON
    }
}

/// The clock has a resolution of only 1/32 s, and the retry budget is small.
fn coarse_clock() -> Scenario {
    Scenario {
        name: "coarse-clock",
        seed: 32,
        settings: r#"{"balancers": 2, "tick": 0.03125, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["backlog", "outstanding"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 4},
            "rules": {"spare-attempts": 1, "repeat-ratio": 0.15, "look-back": 1.0}}"#,
        report: &[Queue, InFlight],
        requests: 2000,
        faults: 0.2,
        ..COMMON
    }
}

fn rejection_after_start() -> Scenario {
    Scenario {
        name: "full-after-begin",
        seed: 20,
        settings: r#"{"balancers": 3, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 4.0, "late-value": 0.5},
            {"name": "keyed", "effect": "token", "dedup-scope": "cell", "memory-span": 3.0, "aim": 0.4, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0, "late-value": 0.5}],
            "report": {"fields": ["backlog"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3, "may-probe": true},
            "prices": {"waste": 0.2},
            "rules": {"may-shed-begun": true, "spare-attempts": 1, "look-back": 0.5},
            "extra": {"tells-start": true, "progress": 0.125}}"#,
        report: &[Queue],
        max_queue: 3,
        rate: 110.0,
        reports_start: true,
        progress_interval: 0.125,
        ..COMMON
    }
}

fn large_fleet() -> Scenario {
    Scenario {
        name: "large-fleet",
        seed: 21,
        settings: r#"{"balancers": 20, "discovery": "on_request", "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "cell", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3},
            "rules": {"must-ask-in": 4.0, "cold": 5.0, "cold-from": 0.3},
            "extra": {"report-x0": "free slots", "tells-start": true}}"#,
        report: &[Queue, FreeSlots],
        workers: 90,
        slots: 1,
        rate: 200.0,
        reports_start: true,
        ..COMMON
    }
}

fn operator_events() -> Scenario {
    Scenario {
        name: "operators",
        seed: 22,
        settings: r#"{"balancers": 3, "discovery": "on_request", "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0, "allowed-on": [1]}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3},
            "rules": {"must-ask-in": 3.0, "cold": 6.0, "cold-from": 0.2, "fall-multiple": 2.0, "tip-after": 1.0,
                      "spare-attempts": 3, "repeat-ratio": 0.2, "look-back": 5.0},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[Queue, FreeSlots],
        workers: 6,
        requests: 3500,
        operator: true,
        lines_in_full: 320,
        ..COMMON
    }
}

fn overload_without_cancel() -> Scenario {
    Scenario {
        name: "overload-without-cancel",
        seed: 23,
        settings: r#"{"balancers": 2, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 2.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 1.0, "aim": 0.4, "deadline": 2.0},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 2.0, "importance": 0.2}],
            "report": {"fields": ["backlog", "x0", "x1"], "via": "answers"},
            "limits": {"second-copies": true, "max-attempts": 2, "dial-timeout": 0.1, "may-probe": true},
            "extra": {"report-x0": "free memory", "report-x1": "free slots", "progress": 0.0625}}"#,
        time_limits: &[2.0, 2.0, 2.0],
        report: &[Queue, FreeMemory, FreeSlots],
        rate: 160.0,
        progress_interval: 0.0625,
        ..COMMON
    }
}

fn suspended_workers() -> Scenario {
    Scenario {
        name: "suspended-workers",
        seed: 27,
        settings: r#"{"balancers": 2, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "max-attempts": 3},
            "rules": {"cold": 15.0, "cold-from": 0.03, "fall-multiple": 2.0, "tip-after": 2.0},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[Queue, FreeSlots],
        workers: 30,
        requests: 5000,
        rate: 120.0,
        start_delay: 0.5,
        operator: true,
        handovers: false,
        ..COMMON
    }
}

fn few_requests() -> Scenario {
    Scenario {
        name: "few-requests",
        seed: 24,
        settings: r#"{"balancers": 12, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.5, "deadline": 4.0},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.5, "deadline": 4.0},
            {"name": "once", "effect": "side_effect", "aim": 0.5, "deadline": 4.0}],
            "report": {"fields": ["outstanding", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3},
            "extra": {"report-x0": "free slots"}}"#,
        report: &[InFlight, FreeSlots],
        requests: 400,
        rate: 6.0,
        max_other_jobs: 6,
        ..COMMON
    }
}

fn silent_jobs() -> Scenario {
    Scenario {
        name: "silent-jobs",
        seed: 25,
        settings: r#"{"balancers": 3, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 4.0, "late-value": 0.5},
            {"name": "keyed", "effect": "token", "dedup-scope": "all", "memory-span": 3.0, "aim": 0.4, "deadline": 4.0,
             "late-value": 0.5},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0, "late-value": 0.5}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3},
            "extra": {"report-x0": "free slots", "progress": 0.0625}}"#,
        report: &[Queue, FreeSlots],
        workers: 16,
        requests: 1000,
        hangs: 0.45,
        progress_interval: 0.0625,
        ..COMMON
    }
}

fn silent_jobs_with_expensive_waste() -> Scenario {
    Scenario {
        name: "silent-jobs-at-a-price",
        seed: 26,
        settings: r#"{"balancers": 3, "services": [
            {"name": "safe", "effect": "pure", "aim": 0.4, "deadline": 4.0, "late-value": 0.5},
            {"name": "keyed", "effect": "token", "dedup-scope": "zone", "memory-span": 3.0, "aim": 0.4, "deadline": 4.0,
             "late-value": 0.5},
            {"name": "once", "effect": "side_effect", "aim": 0.4, "deadline": 4.0, "late-value": 0.5}],
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "limits": {"cancel": true, "second-copies": true, "max-attempts": 3},
            "prices": {"waste": 0.1},
            "extra": {"report-x0": "free slots", "progress": 0.0625}}"#,
        report: &[Queue, FreeSlots],
        workers: 16,
        requests: 1000,
        hangs: 0.2,
        progress_interval: 0.0625,
        ..COMMON
    }
}
