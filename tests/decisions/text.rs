//! Formats events and actions as lines of text. The lines don't depend on the names of Rust types,
//! and numbers are written exactly. The recordings contain these words, so they must not change.

use postproxy::{
    Action, Entry, Event, Health, ListKind, MigratedRequest, NewRequest, Outcome, ProgressNote,
    SiblingEvent, WorkerId,
};

fn worker_text(worker: WorkerId) -> String {
    let [a, b, c, d] = worker.address;
    format!("{a}.{b}.{c}.{d}:{}", worker.port)
}

fn list_kind_text(kind: ListKind) -> &'static str {
    match kind {
        ListKind::Delta => "delta",
        ListKind::Full => "full",
        ListKind::Cached => "cached",
        ListKind::FromPeer => "passed",
        ListKind::Failed => "failed",
    }
}

fn entry_text(entry: &Entry) -> String {
    let health = match entry.health {
        Health::Ready => "ready",
        Health::Draining => "draining",
        Health::Removed => "gone",
    };
    let Entry {
        zone,
        kind,
        cell,
        identity,
        size,
        started,
        ..
    } = entry;
    let worker = worker_text(entry.worker);
    format!("{worker}/{zone}/{kind}/{cell}/{health}/{identity:x}/{size:?}/{started:?}")
}

fn request_text(new: &NewRequest) -> String {
    format!(
        "request {} class {} tenant {} key {} budget {:?} hint {} slots {:?} memory {:?} repeat {} keyless {}",
        new.id,
        new.class,
        new.tenant,
        new.affinity_key,
        new.time_limit,
        new.expected_work
            .map_or("none".into(), |hint| format!("{hint:?}")),
        new.slots,
        new.memory,
        new.is_marked_retry,
        new.without_key,
    )
}

fn outcome_text(outcome: Outcome) -> String {
    match outcome {
        Outcome::Succeeded => "ok".into(),
        Outcome::Error => "error".into(),
        Outcome::Rejected => "full".into(),
        Outcome::Timeout => "timeout".into(),
        Outcome::ConnectFailed => "connect-failed".into(),
        Outcome::Reset => "reset".into(),
        Outcome::Cancelled => "cancelled".into(),
        Outcome::CancelledLocally => "never-sent".into(),
        Outcome::Unknown(code) => format!("code-{code}"),
    }
}

fn note_text(note: ProgressNote) -> String {
    match note {
        ProgressNote::Started => "started".into(),
        ProgressNote::Progress(share) => format!("progress {share:?}"),
        ProgressNote::Unknown => "other".into(),
    }
}

fn report_text(report: &[f32]) -> String {
    report
        .iter()
        .map(|value| format!("{value:?}"))
        .collect::<Vec<_>>()
        .join(",")
}

fn times_text(times: &[f64]) -> String {
    times
        .iter()
        .map(|at| format!("{at:?}"))
        .collect::<Vec<_>>()
        .join(",")
}

fn sibling_text(event: &SiblingEvent) -> String {
    match event {
        SiblingEvent::BudgetHistory { admitted, retries } => {
            format!(
                "taken [{}] further [{}]",
                times_text(admitted),
                times_text(retries)
            )
        }
        SiblingEvent::AttemptSent {
            request,
            attempt,
            worker,
            slots,
            work,
            sent,
        } => {
            let work = work.map_or("none".into(), |work| format!("{work:?}"));
            format!(
                "sent {request}.{attempt} to {} slots {slots:?} work {work} at {sent:?}",
                worker_text(*worker)
            )
        }
        SiblingEvent::AttemptEnded {
            request,
            attempt,
            worker,
        } => {
            format!("ended {request}.{attempt} at {}", worker_text(*worker))
        }
    }
}

/// Returns the encoded record of a request that migrates to another process.
fn record_text(record: &MigratedRequest) -> String {
    let bytes = postcard::to_allocvec(record).expect("an encoded request");
    hex::encode(&bytes)
}

/// Returns the line for an event.
pub fn event_line(now: f64, event: &Event) -> String {
    let text = match event {
        Event::WorkerListReceived { kind, entries } => {
            let entries: Vec<String> = entries.iter().map(entry_text).collect();
            format!("list {} {}", list_kind_text(*kind), entries.join(" "))
        }
        Event::RequestReceived(new) => request_text(new),
        Event::AttemptStreaming { request, attempt } => format!("streaming {request}.{attempt}"),
        Event::AttemptProgress {
            request,
            attempt,
            note,
        } => format!("note {request}.{attempt} {}", note_text(*note)),
        Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed,
            answered,
            report,
        } => format!(
            "outcome {request}.{attempt} {} {} after {elapsed:?} closed {answered} report [{}]",
            worker_text(*worker),
            outcome_text(*outcome),
            report_text(report)
        ),
        Event::ClientDisconnected { request } => format!("client-gone {request}"),
        Event::SuspensionChanged { worker, resume } => {
            format!("use {} {resume}", worker_text(*worker))
        }
        Event::DispatcherCountChanged(count) => format!("balancers {count}"),
        Event::SiblingEvent(event) => format!("sibling {}", sibling_text(event)),
        Event::RequestMigrated { request, record } => {
            format!("carried {request} {}", record_text(record))
        }
        Event::TimerExpired { token } => format!("timer {token:x}"),
        Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        } => format!(
            "probed {} {} after {elapsed:?} report [{}]",
            worker_text(*worker),
            outcome_text(*outcome),
            report_text(report)
        ),
        Event::PeerMessage => "peer".into(),
    };
    format!("{now:?} {text}")
}

/// Returns the line for an action.
pub fn action_line(action: &Action) -> String {
    let text = match action {
        Action::WatchDiscovery => "watch".into(),
        Action::Send {
            request,
            worker,
            timeout,
        } => {
            format!(
                "send {request} to {} timeout {timeout:?}",
                worker_text(*worker)
            )
        }
        Action::Cancel { request, attempt } => format!("cancel {request}.{attempt}"),
        Action::Reject {
            request,
            retry_after,
        } => format!("refuse {request} retry-after {retry_after:?}"),
        Action::Fail { request } => format!("fail {request}"),
        Action::Timer { at, token } => format!("timer {token:x} at {at:?}"),
        Action::Probe { worker } => format!("probe {}", worker_text(*worker)),
    };
    format!("  {text}")
}
