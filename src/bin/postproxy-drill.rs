//! Runs dispatchers for a simulator: reads batches of events from standard input and, for each
//! batch, writes a reply with the dispatchers' actions to standard output.
#![forbid(unsafe_code)]

use postproxy::simulator_protocol::{InstanceId, InstanceRecord, Record, Reply, read_batch};
use postproxy::{Action, Dispatcher, Settings};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

/// Size of the input buffer.
const INPUT_BUFFER_BYTES: usize = 256 * 1024;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("postproxy-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut simulation = Simulation::default();
    while let Some(batch) = read_batch(&mut input)? {
        let mut reply = Reply::new(batch.number);
        for record in &batch.records {
            simulation.apply(batch.now, record, &mut reply)?;
        }
        output.write_all(&reply.into_bytes())?;
        output.flush()?;
    }
    Ok(())
}

/// The running dispatchers of a simulation.
#[derive(Default)]
struct Simulation {
    dispatchers: BTreeMap<InstanceId, Dispatcher>,
    /// Actions of the current event; a field so that events share one allocation.
    actions: Vec<Action>,
}

impl Simulation {
    /// Applies a record and appends the resulting actions to the reply. Events for dispatchers that
    /// aren't running are ignored.
    fn apply(
        &mut self,
        now: f64,
        record: &InstanceRecord,
        reply: &mut Reply,
    ) -> Result<(), Box<dyn Error>> {
        let instance = record.instance;
        match &record.record {
            Record::Start { seed, settings } => {
                let settings = Settings::from_json(std::str::from_utf8(settings)?)?;
                let dispatcher = Dispatcher::new(settings, *seed)?;
                self.dispatchers.insert(instance, dispatcher);
            }
            Record::Stop => {
                self.dispatchers.remove(&instance);
            }
            Record::Event(event) => {
                let Some(dispatcher) = self.dispatchers.get_mut(&instance) else {
                    return Ok(());
                };
                dispatcher.handle(now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    reply.push(instance, &action);
                }
            }
        }
        Ok(())
    }
}
