//! The protocol of the program `postproxy-drill`: encodes events as records, and decodes the
//! actions in replies. It shares no code with the program, so that changes of the protocol are
//! detected.

use postproxy::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, WorkerId,
};

/// Number that identifies the dispatcher in the program.
const INSTANCE: u32 = 1;

fn record(code: u8, fields: &[u8]) -> Vec<u8> {
    let size = fields.len() as u32 + 4;
    [
        &[code][..],
        &size.to_le_bytes(),
        &INSTANCE.to_le_bytes(),
        fields,
    ]
    .concat()
}

/// Returns a batch with one record.
pub fn batch(number: u32, now: f64, record: &[u8]) -> Vec<u8> {
    let size = record.len() as u32 + 4;
    [
        &number.to_le_bytes()[..],
        &now.to_le_bytes(),
        &size.to_le_bytes(),
        &1u32.to_le_bytes(),
        record,
    ]
    .concat()
}

/// Returns the record that starts a dispatcher.
pub fn start_record(seed: u64, settings: &str) -> Vec<u8> {
    let length = settings.len() as u32;
    record(
        16,
        &[
            &seed.to_le_bytes()[..],
            &length.to_le_bytes(),
            settings.as_bytes(),
        ]
        .concat(),
    )
}

fn worker_bytes(worker: WorkerId) -> Vec<u8> {
    [&worker.address[..], &worker.port.to_le_bytes()].concat()
}

fn attempt_bytes(request: u64, attempt: u16) -> Vec<u8> {
    [&request.to_le_bytes()[..], &attempt.to_le_bytes()].concat()
}

fn report_bytes(report: &[f32]) -> Vec<u8> {
    let values = report.iter().flat_map(|value| value.to_le_bytes());
    std::iter::once(report.len() as u8).chain(values).collect()
}

fn outcome_code(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Succeeded => 200,
        Outcome::Error => 502,
        Outcome::Rejected => 429,
        Outcome::Timeout => 408,
        Outcome::ConnectFailed => 521,
        Outcome::Reset => 520,
        Outcome::Cancelled => 444,
        Outcome::CancelledLocally => 409,
        Outcome::Unknown(code) => code,
    }
}

fn entry_bytes(entry: &Entry) -> Vec<u8> {
    let health = match entry.health {
        Health::Removed => 0,
        Health::Ready => 1,
        Health::Draining => 2,
    };
    let mut bytes = worker_bytes(entry.worker);
    bytes.push(entry.zone);
    bytes.extend(entry.kind.to_le_bytes());
    bytes.extend(entry.cell.to_le_bytes());
    bytes.push(health);
    bytes.extend((entry.size as f32).to_le_bytes());
    bytes.extend(entry.started.to_le_bytes());
    bytes
}

fn list_record(kind: ListKind, entries: &[Entry]) -> Vec<u8> {
    let code = match kind {
        ListKind::Delta => 0,
        ListKind::Full => 1,
        ListKind::Cached => 2,
        ListKind::Failed => 3,
        ListKind::FromPeer => unreachable!("the protocol does not encode it"),
    };
    let count = entries.len() as u32;
    let mut bytes = [&[0, 0, 0, 0, code][..], &count.to_le_bytes()].concat();
    bytes.extend(entries.iter().flat_map(entry_bytes));
    record(17, &bytes)
}

fn request_record(new: &NewRequest) -> Vec<u8> {
    let flags = u8::from(new.expected_work.is_some()) | u8::from(new.is_marked_retry) << 1;
    let mut bytes = new.id.to_le_bytes().to_vec();
    bytes.push(new.class);
    bytes.extend(new.tenant.to_le_bytes());
    bytes.extend(new.affinity_key.to_le_bytes());
    bytes.extend(new.time_limit.to_le_bytes());
    bytes.extend(new.expected_work.unwrap_or(0.0).to_le_bytes());
    bytes.extend((new.slots as f32).to_le_bytes());
    bytes.extend((new.memory as f32).to_le_bytes());
    bytes.push(flags);
    record(18, &bytes)
}

fn note_record(request: u64, attempt: u16, note: ProgressNote) -> Vec<u8> {
    let (topic, value) = match note {
        ProgressNote::Started => (1, 0.0),
        ProgressNote::Progress(share) => (2, share as f32),
        ProgressNote::Unknown => (9, 0.0),
    };
    let mut bytes = attempt_bytes(request, attempt);
    bytes.extend(worker_bytes(WorkerId::default()));
    bytes.push(topic);
    bytes.extend(value.to_le_bytes());
    record(26, &bytes)
}

/// Returns the record of an event.
pub fn event_record(event: &Event) -> Vec<u8> {
    match event {
        Event::WorkerListReceived { kind, entries } => list_record(*kind, entries),
        Event::RequestReceived(new) => request_record(new),
        Event::AttemptStreaming { request, attempt } => {
            let rest = [worker_bytes(WorkerId::default()), vec![0; 8]].concat();
            record(19, &[attempt_bytes(*request, *attempt), rest].concat())
        }
        Event::AttemptProgress {
            request,
            attempt,
            note,
        } => note_record(*request, *attempt, *note),
        Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed,
            answered,
            report,
        } => {
            let mut bytes = attempt_bytes(*request, *attempt);
            bytes.extend(worker_bytes(*worker));
            bytes.extend(outcome_code(*outcome).to_le_bytes());
            bytes.extend(elapsed.to_le_bytes());
            bytes.extend([u8::from(*answered), 0]);
            bytes.extend(report_bytes(report));
            record(20, &bytes)
        }
        Event::ClientDisconnected { request } => record(21, &request.to_le_bytes()),
        Event::TimerExpired { token } => record(22, &token.to_le_bytes()),
        Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        } => {
            let mut bytes = worker_bytes(*worker);
            bytes.extend(outcome_code(*outcome).to_le_bytes());
            bytes.extend(elapsed.to_le_bytes());
            bytes.extend(report_bytes(report));
            record(23, &bytes)
        }
        Event::PeerMessage => record(24, &[0, 0, 2, 0, 7, 7]),
        Event::SuspensionChanged { .. }
        | Event::DispatcherCountChanged(_)
        | Event::SiblingEvent(_)
        | Event::RequestMigrated { .. } => {
            unreachable!("the protocol does not encode it")
        }
    }
}

fn take<const N: usize>(bytes: &mut &[u8]) -> [u8; N] {
    let (head, rest) = bytes.split_first_chunk().expect("the action is complete");
    *bytes = rest;
    *head
}

fn take_worker(bytes: &mut &[u8]) -> WorkerId {
    WorkerId {
        address: take(bytes),
        port: u16::from_le_bytes(take(bytes)),
    }
}

fn action(code: u8, bytes: &mut &[u8]) -> Action {
    match code {
        16 => {
            take::<1>(bytes);
            Action::WatchDiscovery
        }
        19 => Action::Probe {
            worker: take_worker(bytes),
        },
        20 => Action::Fail {
            request: u64::from_le_bytes(take(bytes)),
        },
        21 => Action::Timer {
            at: f64::from_le_bytes(take(bytes)),
            token: u64::from_le_bytes(take(bytes)),
        },
        22 => Action::Reject {
            request: u64::from_le_bytes(take(bytes)),
            retry_after: f64::from_le_bytes(take(bytes)),
        },
        24 => Action::Send {
            request: u64::from_le_bytes(take(bytes)),
            worker: take_worker(bytes),
            timeout: f64::from_le_bytes(take(bytes)),
        },
        26 => Action::Cancel {
            request: u64::from_le_bytes(take(bytes)),
            attempt: u16::from_le_bytes(take(bytes)),
        },
        other => panic!("unknown action code {other}"),
    }
}

/// Returns the actions in the body of a reply.
pub fn actions(mut bytes: &[u8]) -> Vec<Action> {
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let [code] = take(&mut bytes);
        let size = u32::from_le_bytes(take(&mut bytes)) as usize;
        let (mut fields, rest) = bytes.split_at(size);
        assert_eq!(u32::from_le_bytes(take(&mut fields)), INSTANCE);
        all.push(action(code, &mut fields));
        assert!(
            fields.is_empty(),
            "the action with code {code} has excess bytes"
        );
        bytes = rest;
    }
    all
}
