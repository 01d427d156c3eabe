//! Dispatches expired timers to their owners.

use super::Node;
use crate::net::messages::Input;
use crate::net::transport::reactor::Timer;

/// Interval at which the worker list and the suspensions are saved if they have changed, in
/// seconds.
pub(super) const SAVE_INTERVAL_SECONDS: f64 = 1.0;

impl Node {
    /// Dispatches an expired timer to its owner.
    pub(super) fn dispatch_timer(&mut self, timer: Timer) {
        let reactor = &mut self.reactor;
        match timer {
            Timer::Requests(timer) => reactor.queue.push_back(Input::TimerExpired { timer }),
            Timer::Handover => self.handle_handover_timer(),
            Timer::Peers { number } => self.handle_peers_timer(number),
            Timer::ManagementConnection { key } => {
                if let Some(management) = &mut self.management {
                    management.handle_timer(reactor, key);
                }
            }
            Timer::ManagementAccept => self.resume_accepting_management(),
            Timer::Drain => self.check_drain(),
            Timer::Client { key, round } => self.clients.handle_timer(reactor, key, round),
            Timer::ClientAccept => self.clients.resume_accepting(reactor),
            Timer::Attempt { key, round } => {
                self.attempts.handle_attempt_timer(reactor, key, round);
            }
            Timer::AttemptConnect { key } => self.attempts.handle_dial_timer(reactor, key),
            Timer::Discovery => self.worker_list.handle_timer(reactor),
            Timer::DiscoveryConnect { call } => self.worker_list.handle_dial_timer(reactor, call),
            Timer::SaveSnapshots => self.save_snapshots(),
            Timer::Shutdown => self.check_shutdown(),
        }
    }

    /// Saves the worker list and the suspensions if they have changed, or if an earlier save has
    /// failed.
    fn save_snapshots(&mut self) {
        let Some(store) = &mut self.store else {
            return;
        };
        let retry = store.take_snapshot_write_failure();
        let list = self
            .worker_list
            .take_changed_snapshot()
            .or_else(|| self.worker_list.snapshot().filter(|_| retry));
        if let Some(list) = list {
            store.save_worker_list(&list);
        }
        let suspensions = self
            .cluster
            .as_mut()
            .and_then(|cluster| cluster.take_changed_suspensions(retry));
        if let Some(suspensions) = suspensions {
            store.save_suspensions(&suspensions);
        }
        self.reactor.set_timer(
            self.reactor.now + SAVE_INTERVAL_SECONDS,
            Timer::SaveSnapshots,
        );
    }
}
