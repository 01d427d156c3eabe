//! The state machine of a member. This module owns its state, its timers and the dispatch of what
//! it receives; each concern has a submodule.

mod departures;
mod dissemination;
mod failure_detection;
mod heartbeats;
mod join;
mod status;
mod suspensions;
mod swim;
mod synchronisation;

#[cfg(test)]
mod tests;

pub use status::{LocalHealth, MemberRank};
pub use suspensions::SuspensionChange;

use crate::cluster_health::ClusterHealth;
use crate::events::{MemberState, MembershipEvent, Output};
use crate::identity::Identity;
use crate::local_clock::LocalClock;
use crate::packet::{self, DecodeError, Message};
use crate::reachability::Reachability;
use crate::settings::Settings;
use dissemination::{GossipHandler, GossipState};
use foca::{AccumulatingRuntime, Foca, PostcardCodec};
use join::JoinState;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use suspensions::Ticket;

/// Time between a change and the update of the cluster's health, in seconds, so that changes that
/// come together cause one update.
const HEALTH_UPDATE_DELAY_SECONDS: f64 = 0.05;
/// Timers that are due up to this much later than the local time are handled as well, in
/// microseconds. This covers the rounding of times to microseconds.
const TIMER_TOLERANCE_MICROS: u64 = 2;
/// Number of nodes that the SWIM library is configured for at the start, before any other is known.
const INITIAL_CLUSTER_SIZE: usize = 3;

/// A timer of the state machine.
#[derive(Clone, Debug, PartialEq)]
enum Timer {
    /// A timer of the SWIM library.
    Swim(foca::Timer<Identity>),
    /// Send heartbeats to the monitored peers.
    Heartbeat,
    /// Take the next step of joining, and contact the seeds while no other member is known.
    Join,
    /// Compare digests with a random member.
    CompareDigests,
    /// Repeat the reachability report, and expire those of other nodes.
    RepeatReport,
    /// The time for acknowledgements of this ticket is over.
    TicketExpired(u64),
    /// Ask members for their lists of members.
    RequestMemberLists {
        /// Further requests, at most.
        remaining: u32,
        /// Number of members known at the previous request.
        known_before: usize,
    },
    /// Notify suspects of the suspicion.
    NotifySuspects,
    /// Update the cluster's health.
    UpdateHealth,
    /// Decide whether a node that is down has failed or left.
    DecideFailedOrLeft { name: String, process_nonce: u64 },
}

/// A timer's local time in microseconds, then its sequence number.
type TimerKey = (u64, u64);

/// What this node knows of another one.
struct KnownNode {
    identity: Identity,
    state: MemberState,
}

/// The membership of one node in a cluster.
///
/// The methods that take `now`, the wall clock's reading in seconds, append to `out` what the
/// caller has to carry out.
pub struct Membership {
    settings: Settings,
    cluster_number: u32,
    local_identity: Identity,
    swim: Foca<Identity, PostcardCodec, Pcg64Mcg, GossipHandler>,
    swim_runtime: AccumulatingRuntime<Identity>,
    /// Shared with the [`GossipHandler`] that the SWIM library owns.
    gossip: Rc<RefCell<GossipState>>,
    clock: LocalClock,
    timers: BTreeMap<TimerKey, Timer>,
    /// Sequence number of the latest timer.
    timer_sequence: u64,
    join_state: JoinState,
    /// All other nodes that are or were members, by name. They are never removed.
    nodes: BTreeMap<String, KnownNode>,
    reachability: Reachability,
    /// Sequence number of the latest heartbeat.
    heartbeat_sequence: u64,
    /// Sequence number of the latest reachability report.
    report_sequence: u32,
    /// The unreachable peers of the latest report.
    reported_unreachable: BTreeSet<String>,
    health: ClusterHealth,
    /// Whether [`Timer::UpdateHealth`] is set.
    health_update_pending: bool,
    tickets: BTreeMap<u64, Ticket>,
    next_ticket: u64,
    /// Numbers of datagrams and stream messages dropped, by reason.
    dropped: BTreeMap<DecodeError, u64>,
    rng: Pcg64Mcg,
    /// Local time of the latest synchronisation with a node over a stream, by name.
    last_stream_sync: BTreeMap<String, f64>,
}

fn to_micros(local_time: f64) -> u64 {
    (local_time * 1e6).ceil() as u64
}

impl Membership {
    /// Creates a node that joins the cluster: its first timer asks the seeds which identity holds
    /// the node's name.
    ///
    /// `started_ms` is the time of the start in Unix milliseconds, which is the node's first
    /// incarnation. `seed` is the seed of all random numbers, the process's nonce among them. `now`
    /// is the wall clock's reading in seconds.
    pub fn new(
        settings: Settings,
        name: &str,
        address: SocketAddr,
        started_ms: u64,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let local_identity = Identity {
            name: name.into(),
            address,
            incarnation: started_ms,
            process_nonce: rand::Rng::next_u64(&mut rng),
        };
        let gossip = Rc::new(RefCell::new(GossipState::default()));
        let swim = Foca::with_custom_broadcast(
            local_identity.clone(),
            swim::config(&settings, INITIAL_CLUSTER_SIZE),
            Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_6d62_6572_7321),
            PostcardCodec,
            GossipHandler::new(gossip.clone()),
        );
        let mut membership = Self {
            cluster_number: packet::cluster_number(&settings.cluster),
            settings,
            local_identity,
            swim,
            swim_runtime: AccumulatingRuntime::new(),
            gossip,
            clock: LocalClock::new(now),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            join_state: JoinState::initial(),
            nodes: BTreeMap::new(),
            reachability: Reachability::default(),
            heartbeat_sequence: 0,
            report_sequence: 0,
            reported_unreachable: BTreeSet::new(),
            health: ClusterHealth::Alone,
            health_update_pending: false,
            tickets: BTreeMap::new(),
            next_ticket: 1,
            dropped: BTreeMap::new(),
            rng,
            last_stream_sync: BTreeMap::new(),
        };
        membership.set_timer(0.0, Timer::Join);
        membership.set_timer(membership.settings.heartbeat_interval, Timer::Heartbeat);
        membership.set_timer(membership.settings.gossip_interval, Timer::NotifySuspects);
        membership.set_timer(
            synchronisation::COMPARE_INTERVAL_SECONDS,
            Timer::CompareDigests,
        );
        membership.set_timer(heartbeats::REPORT_INTERVAL_SECONDS, Timer::RepeatReport);
        membership
    }

    /// Returns the wall clock's reading at which to call [`Self::handle_timeout`] next, in seconds.
    pub fn next_timeout(&self) -> Option<f64> {
        let deadline = self.first_deadline()?;
        Some(self.clock.wall_time_at(deadline))
    }

    /// Handles the timers that are due. It may be called at any time.
    pub fn handle_timeout(&mut self, now: f64, out: &mut Vec<Output>) {
        let local_time = self.advance_clock(now);
        let due_until = to_micros(local_time) + TIMER_TOLERANCE_MICROS;
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= due_until)
        {
            let timer = entry.remove();
            self.handle_timer(local_time, timer, out);
        }
        self.complete_call(out);
    }

    /// Handles a datagram. One that can't be decoded is dropped and counted.
    pub fn handle_datagram(&mut self, now: f64, datagram: &[u8], out: &mut Vec<Output>) {
        let local_time = self.advance_clock(now);
        match packet::decode(self.cluster_number, datagram) {
            Ok((from, message)) => self.handle_message(local_time, from, message, out),
            Err(error) => self.count_dropped(error),
        }
        self.complete_call(out);
    }

    /// Handles a message that came over a stream, see [`Output::SendOverStream`]. One that can't be
    /// decoded is dropped and counted.
    pub fn handle_stream_message(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Output>) {
        let local_time = self.advance_clock(now);
        match packet::decode_stream_message(self.cluster_number, bytes) {
            // Only these kinds are sent over streams. The others are accepted as datagrams only: a
            // heartbeat, for one, shows that the sender's datagrams arrive.
            Ok((from, message @ (Message::Suspensions { .. } | Message::Forgotten(_)))) => {
                self.handle_message(local_time, from, message, out);
            }
            Ok(_) => self.count_dropped(DecodeError::Malformed),
            Err(error) => self.count_dropped(error),
        }
        self.complete_call(out);
    }

    /// Sends a message of another part of the program to a member by datagram; it may get lost.
    /// Returns whether it was sent: it isn't if it is too long, no such member is known or this
    /// node isn't a member.
    pub fn send_application_message(
        &mut self,
        name: &str,
        message: &[u8],
        out: &mut Vec<Output>,
    ) -> bool {
        let receiver = self
            .live_peers()
            .find(|peer| &*peer.name == name)
            .map(|peer| peer.address);
        let can_send = message.len() <= packet::MAX_CONTENT_BYTES && self.is_member();
        let Some(to) = receiver.filter(|_| can_send) else {
            return false;
        };
        self.send(to, &Message::Application(message.to_vec()), out);
        true
    }

    fn handle_timer(&mut self, local_time: f64, timer: Timer, out: &mut Vec<Output>) {
        match timer {
            Timer::Swim(timer) => {
                // The library rejects timers of an earlier incarnation, which need no handling.
                let _ = self.swim.handle_timer(timer, &mut self.swim_runtime);
            }
            Timer::Heartbeat => self.send_heartbeats(local_time, out),
            Timer::Join => self.continue_joining(local_time, out),
            Timer::CompareDigests => {
                self.compare_digests(out);
                let next = local_time + synchronisation::COMPARE_INTERVAL_SECONDS;
                self.set_timer(next, Timer::CompareDigests);
            }
            Timer::RepeatReport => self.repeat_report(local_time),
            Timer::TicketExpired(ticket) => self.finish_ticket(ticket, out),
            Timer::RequestMemberLists {
                remaining,
                known_before,
            } => self.request_member_lists(local_time, remaining, known_before),
            Timer::NotifySuspects => {
                self.notify_suspects(out);
                let next = local_time + self.settings.gossip_interval;
                self.set_timer(next, Timer::NotifySuspects);
            }
            Timer::UpdateHealth => self.update_health(out),
            Timer::DecideFailedOrLeft {
                name,
                process_nonce,
            } => self.decide_failed_or_left(&name, process_nonce, out),
        }
    }

    fn handle_message(
        &mut self,
        local_time: f64,
        from: Identity,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if self.join_state == JoinState::Left {
            return;
        }
        if from.name == self.local_identity.name {
            if from.process_nonce != self.local_identity.process_nonce {
                self.handle_message_of_same_name(local_time, &from, &message, out);
            }
            return;
        }
        // From a process that a later one has replaced, only messages about names and liveness are
        // handled. Any other is answered with the identity that replaced it.
        let known = self
            .nodes
            .get(&*from.name)
            .map(|node| node.identity.clone());
        let replaced = known.as_ref().is_some_and(|known| {
            known.process_nonce != from.process_nonce && known.supersedes(&from)
        });
        match message {
            Message::NameQuery => {
                let holder = known.filter(|known| known.process_nonce != from.process_nonce);
                self.send(from.address, &Message::NameHolder(holder), out);
                if !replaced && self.is_member() {
                    let _ = self.swim.announce(from, &mut self.swim_runtime);
                }
            }
            Message::NameHolder(holder) => {
                self.handle_name_holder(local_time, &from, holder, out);
            }
            Message::LivenessChallenge(number) => {
                self.send(from.address, &Message::LivenessResponse(number), out);
            }
            Message::LivenessResponse(_) => {}
            _ if replaced => self.send(from.address, &Message::NameHolder(known), out),
            message => self.handle_member_message(local_time, from, message, out),
        }
    }

    /// Handles a message of a process that no later one has replaced.
    fn handle_member_message(
        &mut self,
        local_time: f64,
        from: Identity,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Swim(packet) => self.handle_swim_packet(&packet),
            Message::Heartbeat { sequence, digest } => {
                self.reachability.record_heartbeat(
                    local_time,
                    &from.name,
                    from.process_nonce,
                    sequence,
                );
                if digest != self.sync_digest() {
                    let reply = synchronisation::Reply::Wanted;
                    self.send_all_records(local_time, &from, reply, out);
                }
            }
            Message::Suspicion {
                process_nonce,
                swim_incarnation,
            } => self.handle_suspicion(process_nonce, swim_incarnation),
            Message::Leaving => self.handle_leaving(&from),
            Message::Suspensions {
                suspensions,
                reply_wanted,
            } => {
                self.merge_suspensions(suspensions);
                if reply_wanted {
                    let reply = synchronisation::Reply::NotWanted;
                    self.send_all_records(local_time, &from, reply, out);
                }
            }
            Message::Forgotten(nodes) => self.merge_forgotten(nodes, out),
            Message::Application(message) => {
                out.push(Output::Event(MembershipEvent::ApplicationMessage {
                    from,
                    message,
                }));
            }
            Message::RecordSuspensions {
                ticket,
                suspensions,
            } => {
                self.merge_suspensions(suspensions);
                self.send(from.address, &Message::SuspensionAcknowledged(ticket), out);
            }
            Message::SuspensionAcknowledged(ticket) => {
                self.record_acknowledgement(ticket, &from, out);
            }
            // Handled by the caller, also if the sender has been replaced.
            Message::NameQuery
            | Message::NameHolder(_)
            | Message::LivenessChallenge(_)
            | Message::LivenessResponse(_) => {}
        }
    }

    /// Returns the peers that are members, suspects among them.
    fn live_peers(&self) -> impl Iterator<Item = &Identity> {
        self.nodes
            .values()
            .filter(|node| matches!(node.state, MemberState::Alive | MemberState::Suspect))
            .map(|node| &node.identity)
    }

    /// Returns the addresses of the peers that are members.
    fn live_addresses(&self) -> Vec<SocketAddr> {
        self.live_peers().map(|peer| peer.address).collect()
    }

    /// Returns the local time of the first timer in seconds.
    fn first_deadline(&self) -> Option<f64> {
        let ((micros, _), _) = self.timers.first_key_value()?;
        Some(*micros as f64 / 1e6)
    }

    /// Advances the local clock and returns its time in seconds.
    fn advance_clock(&mut self, now: f64) -> f64 {
        let local_time = self.clock.advance(now, self.first_deadline());
        self.gossip.borrow_mut().local_time = local_time;
        local_time
    }

    fn set_timer(&mut self, local_time: f64, timer: Timer) {
        self.timer_sequence += 1;
        self.timers
            .insert((to_micros(local_time), self.timer_sequence), timer);
    }

    fn random_number(&mut self) -> u64 {
        rand::Rng::next_u64(&mut self.rng)
    }

    fn send(&self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        let datagram = packet::encode(self.cluster_number, &self.local_identity, message);
        out.push(Output::SendDatagram { to, datagram });
    }

    fn count_dropped(&mut self, error: DecodeError) {
        *self.dropped.entry(error).or_default() += 1;
    }

    /// Sets the identity and state of a node, which may change the cluster's health.
    fn set_node(&mut self, identity: Identity, state: MemberState) {
        let name = identity.name.to_string();
        self.nodes.insert(name, KnownNode { identity, state });
        self.gossip.borrow_mut().health_may_have_changed = true;
    }

    /// Ends a call: processes the output of the SWIM library, reports the workers that were
    /// suspended or resumed, and schedules an update of the cluster's health if it may have
    /// changed.
    fn complete_call(&mut self, out: &mut Vec<Output>) {
        self.process_swim_output(out);
        let mut gossip = self.gossip.borrow_mut();
        for worker in std::mem::take(&mut gossip.changed_workers) {
            let is_suspended = gossip.suspended_workers.is_suspended(&worker);
            out.push(Output::Event(MembershipEvent::WorkerChanged {
                worker,
                is_suspended,
            }));
        }
        let changed = std::mem::take(&mut gossip.health_may_have_changed);
        drop(gossip);
        if changed && !std::mem::replace(&mut self.health_update_pending, true) {
            let at = self.clock.local_time() + HEALTH_UPDATE_DELAY_SECONDS;
            self.set_timer(at, Timer::UpdateHealth);
        }
    }
}
