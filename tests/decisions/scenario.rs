//! The scenarios: settings of the dispatcher, and what its clients and workers are like.

/// A figure of a load report.
#[derive(Clone, Copy)]
pub enum Figure {
    Queue,
    InFlight,
    FreeSlots,
    FreeMemory,
    ServiceMilliseconds,
}

use Figure::{FreeMemory, FreeSlots, InFlight, Queue, ServiceMilliseconds};

/// What a simulation is run with.
pub struct Scenario {
    pub name: &'static str,
    /// Seed of the dispatcher and of the simulation.
    pub seed: u64,
    /// Settings of the dispatcher, as JSON.
    pub settings: &'static str,
    /// Longest budget of each class, in seconds.
    pub budgets: &'static [f64],
    /// Mean work of each class, in seconds.
    pub works: &'static [f64],
    /// Class whose answers are streams.
    pub streams: Option<u8>,
    /// Class whose running jobs are killed now and then for others.
    pub pushed_out: Option<u8>,
    /// Figures of a worker's report, in their order.
    pub report: &'static [Figure],
    /// Answers carry reports; probes do wherever there are any.
    pub answers_report: bool,
    pub workers: usize,
    pub slots: usize,
    /// Jobs that wait at a worker before it answers that it is full.
    pub queue: usize,
    pub requests: u64,
    /// Mean requests a second outside of bursts.
    pub rate: f64,
    /// Subjects that requests are about; 0 for none.
    pub subjects: u64,
    /// Share of the requests without an idempotency key.
    pub keyless: f64,
    /// Share of the attempts that end in a fault.
    pub faults: f64,
    /// Mean seconds between changes of the worker list.
    pub list_change: f64,
    /// Share of the list changes that are restarts of a worker.
    pub restarts: f64,
    /// Workers report the start of a job.
    pub tells_start: bool,
    /// Seconds between progress reports; 0 for none.
    pub progress: f64,
    /// An operator, a sibling process and handovers take part, which the simulator's protocol has
    /// no records for.
    pub operator: bool,
    /// Lines of the run that its recording has in full.
    pub lines_in_full: usize,
}

const COMMON: Scenario = Scenario {
    name: "",
    seed: 0,
    settings: "{}",
    budgets: &[4.0, 4.0, 4.0],
    works: &[0.1, 0.2, 0.1],
    streams: None,
    pushed_out: None,
    report: &[],
    answers_report: true,
    workers: 8,
    slots: 2,
    queue: 8,
    requests: 2500,
    rate: 60.0,
    subjects: 0,
    keyless: 0.1,
    faults: 0.05,
    list_change: 0.7,
    restarts: 0.2,
    tells_start: false,
    progress: 0.0,
    operator: false,
    lines_in_full: 160,
};

/// All scenarios that are recorded.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        queue_reports(),
        free_slots(),
        no_reports(),
        probes(),
        subjects(),
        priorities(),
        cold_starts(),
        late_worth(),
        zones(),
        full_after_begin(),
        large_fleet(),
        operators(),
        overload_without_cancel(),
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
        streams: Some(0),
        report: &[Queue, ServiceMilliseconds],
        tells_start: true,
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
        keyless: 0.25,
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
        answers_report: false,
        workers: 12,
        rate: 70.0,
        tells_start: true,
        progress: 0.125,
        ..COMMON
    }
}

fn subjects() -> Scenario {
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
        subjects: 40,
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
        pushed_out: Some(0),
        report: &[Queue, FreeSlots, ServiceMilliseconds],
        rate: 90.0,
        progress: 0.25,
        ..COMMON
    }
}

fn cold_starts() -> Scenario {
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
        list_change: 0.6,
        workers: 10,
        rate: 80.0,
        ..COMMON
    }
}

fn late_worth() -> Scenario {
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
        budgets: &[5.0, 4.0, 4.0],
        report: &[Queue, FreeSlots],
        rate: 150.0,
        queue: 12,
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

fn full_after_begin() -> Scenario {
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
        queue: 3,
        rate: 110.0,
        tells_start: true,
        progress: 0.125,
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
        tells_start: true,
        ..COMMON
    }
}

fn operators() -> Scenario {
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
        budgets: &[2.0, 2.0, 2.0],
        report: &[Queue, FreeMemory, FreeSlots],
        rate: 160.0,
        progress: 0.0625,
        ..COMMON
    }
}
