//! Executes the commands of the request manager.

use super::Node;
use crate::net::messages::Command;
use crate::net::transport::reactor::Timer;
use postproxy_handover::Message;

impl Node {
    /// Passes the queued inputs to the request manager in order, and executes the commands that
    /// each produces before it passes the next.
    pub(super) fn process_queue(&mut self) {
        let mut commands = Vec::new();
        while let Some(input) = self.reactor.queue.pop_front() {
            self.requests.handle(self.reactor.now, input, &mut commands);
            for command in commands.drain(..) {
                self.execute(command);
            }
        }
    }

    /// Executes one command. Each arm only forwards to the component concerned, so that the
    /// function is not split although it is long.
    fn execute(&mut self, command: Command) {
        let reactor = &mut self.reactor;
        match command {
            Command::StartAttempt {
                attempt,
                worker,
                payload,
                deadline,
            } => {
                self.attempts_on_version += 1;
                self.attempts
                    .start_attempt(reactor, attempt, worker, &payload, deadline);
            }
            Command::CancelAttempt {
                attempt,
                worker,
                payload,
                accepted,
            } => {
                self.attempts
                    .cancel_attempt(reactor, attempt, worker, &payload.id, accepted);
            }
            Command::ProbeWorker {
                attempt,
                worker,
                timeout,
            } => self.attempts.start_probe(reactor, attempt, worker, timeout),
            Command::WithdrawAttempt { attempt } => {
                self.attempts.withdraw_attempt(reactor, attempt);
            }
            Command::CloseIdleConnections { worker } => {
                self.attempts.close_idle_connections(reactor, worker);
            }
            Command::ReplyToManagement { caller, reply } => {
                self.complete_suspension(caller, reply);
            }
            Command::AnswerClient { client, answer } => {
                self.clients.send_answer(reactor, client, &answer);
            }
            Command::AcknowledgeCallback { client, known } => {
                self.acknowledge_callback(client, known);
            }
            Command::ForwardCallback { client, callback } => {
                self.forward_callback(client, callback);
            }
            Command::UpdateSiblings { except, update } => {
                self.broadcast_to_siblings(except, &Message::StateUpdate(update));
            }
            Command::WriteRecords { writes, waiter } => {
                if let Some(store) = &mut self.store {
                    store.write(reactor, writes, waiter);
                }
            }
            Command::ReadResult { client, id } => {
                if let Some(store) = &mut self.store {
                    store.read_result(client, &id);
                }
            }
            Command::SetTimer { at, timer } => reactor.set_timer(at, Timer::Requests(timer)),
        }
    }
}
