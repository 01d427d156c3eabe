//! Adapter between the bench's wire and the decision module: a map of dispatchers, batch in, reply out.
#![forbid(unsafe_code)]

use postproxy::simulator_protocol::{Record, Reply, read_batch};
use postproxy::{Dispatcher, Settings};
use std::collections::BTreeMap;
use std::error::Error;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

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
    let mut input = BufReader::with_capacity(1 << 18, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut dispatchers: BTreeMap<u32, Dispatcher> = BTreeMap::new();
    let mut actions = Vec::new();
    while let Some(batch) = read_batch(&mut input)? {
        let mut reply = Reply::new(batch.number);
        for (instance, record) in &batch.records {
            match record {
                Record::Start { seed, settings } => {
                    let settings = Settings::from_json(std::str::from_utf8(settings)?)?;
                    dispatchers.insert(*instance, Dispatcher::new(settings, *seed)?);
                }
                Record::Stop => {
                    dispatchers.remove(instance);
                }
                Record::Event(event) => {
                    let Some(dispatcher) = dispatchers.get_mut(instance) else {
                        continue;
                    };
                    dispatcher.handle(batch.now, event, &mut actions);
                    for action in actions.drain(..) {
                        reply.push(*instance, &action);
                    }
                }
            }
        }
        output.write_all(&reply.into_bytes())?;
        output.flush()?;
    }
    Ok(())
}
