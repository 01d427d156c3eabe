//! The source of decisions in a simulation: a dispatcher in this process, or one in the program
//! `postproxy-drill`.

use super::text::{action_line, event_line};
use super::wire;
use postproxy::{Action, Dispatcher, Event, MigratedRequest, RequestId, Settings, SiblingEvent};
use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// Handles events and writes them and the resulting actions into a log.
pub trait Decider {
    /// Handles an event and returns the resulting actions.
    fn handle(&mut self, now: f64, event: &Event, log: &mut Vec<String>) -> Vec<Action>;

    /// Replaces the dispatcher by that of a new process. Returns the events with which these
    /// requests continue there.
    fn hand_over(&mut self, _now: f64, _requests: &[RequestId]) -> Vec<Event> {
        Vec::new()
    }
}

/// A dispatcher in this process.
pub struct Direct {
    settings: Settings,
    seed: u64,
    dispatcher: Dispatcher,
}

impl Direct {
    pub fn new(settings: &str, seed: u64) -> Self {
        let settings = Settings::from_json(settings).expect("valid settings");
        let dispatcher = Dispatcher::new(settings.clone(), seed).expect("a dispatcher");
        Self {
            settings,
            seed,
            dispatcher,
        }
    }

    fn release(&mut self, request: RequestId, shift: f64) -> Option<Event> {
        let record: Option<MigratedRequest> = self.dispatcher.release(request);
        record.map(|mut record| {
            record.shift(shift);
            record.set_without_key(request.is_multiple_of(7));
            Event::RequestMigrated {
                request,
                record: Box::new(record),
            }
        })
    }
}

impl Decider for Direct {
    fn handle(&mut self, now: f64, event: &Event, log: &mut Vec<String>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        log.push(event_line(now, event));
        log.extend(actions.iter().map(action_line));
        actions
    }

    fn hand_over(&mut self, now: f64, requests: &[RequestId]) -> Vec<Event> {
        let history = self.dispatcher.budget_history(64);
        let history = Event::SiblingEvent(SiblingEvent::BudgetHistory {
            admitted: history.admitted,
            retries: history.retries,
        });
        let shift = if now > 1010.0 { 0.0625 } else { 0.0 };
        let migrated: Vec<Event> = requests
            .iter()
            .filter_map(|id| self.release(*id, shift))
            .collect();
        self.seed += 1;
        self.dispatcher = Dispatcher::new(self.settings.clone(), self.seed).expect("a dispatcher");
        std::iter::once(history).chain(migrated).collect()
    }
}

/// A dispatcher in the program `postproxy-drill`, which receives encoded events.
pub struct Drill {
    child: Child,
    input: Option<ChildStdin>,
    output: ChildStdout,
    batches: u32,
}

impl Drill {
    pub fn start(settings: &str, seed: u64) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_postproxy-drill"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let (input, output) = (child.stdin.take(), child.stdout.take().expect("a pipe"));
        let mut drill = Self {
            child,
            input,
            output,
            batches: 0,
        };
        drill.exchange(1000.0, &wire::start_record(seed, settings));
        drill
    }

    /// Sends a batch with one record and reads the reply. Returns the batch and the reply.
    fn exchange(&mut self, now: f64, record: &[u8]) -> (Vec<u8>, Vec<u8>) {
        self.batches += 1;
        let batch = wire::batch(self.batches, now, record);
        self.input
            .as_mut()
            .expect("a pipe")
            .write_all(&batch)
            .expect("the program reads its input");
        let mut reply = vec![0; 8];
        self.output
            .read_exact(&mut reply)
            .expect("the program replies");
        let size = u32::from_le_bytes([reply[4], reply[5], reply[6], reply[7]]);
        reply.resize(8 + size as usize, 0);
        self.output
            .read_exact(&mut reply[8..])
            .expect("the reply is complete");
        (batch, reply)
    }
}

impl Decider for Drill {
    fn handle(&mut self, now: f64, event: &Event, log: &mut Vec<String>) -> Vec<Action> {
        let (batch, reply) = self.exchange(now, &wire::event_record(event));
        log.push(format!("batch {}", hex::encode(&batch)));
        log.push(format!("reply {}", hex::encode(&reply)));
        wire::actions(&reply[8..])
    }
}

impl Drop for Drill {
    fn drop(&mut self) {
        self.input = None;
        let _ = self.child.wait();
    }
}
