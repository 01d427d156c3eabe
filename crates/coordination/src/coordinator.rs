//! The coordinator: its inputs and outputs, and what it does with the outputs of its replica.

use crate::calls::{CallId, PendingCall, QueuedCall};
use crate::error::{Error, NotVotingReason};
use crate::membership_changes::{MembershipChangeInProgress, RequestedChange};
use crate::message::{FollowerSnapshot, Message, cluster_id, decode, encode};
use crate::replica::{Replica, ReplicaOutput};
use crate::timing::{LIVENESS_TIMEOUT_MS, TICK_INTERVAL_MS};
use crate::voters::voter_id_of;
use postproxy_leases::{
    FencingToken, LeaseGranter, LeaseHolder, LeaseOwner, LeasePermit, LeaseTable, LeaseTiming,
    Response,
};
use postproxy_replicated_log::{StorageChange, Voter, message_promise};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The settings of a coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this node.
    pub node: String,
    /// The name of the cluster.
    pub cluster: String,
    /// The names of the nodes that vote initially, until the log records a change of the voters.
    pub initial_voters: BTreeSet<String>,
    /// The timing of leases.
    pub lease_timing: LeaseTiming,
    /// The leases that this node acquires whenever they have no owner.
    pub wanted_leases: BTreeSet<String>,
}

/// What the caller is to do, or what has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a node. If it may have been lost, this must be reported by
    /// [`Coordinator::peer_reconnected`].
    Send {
        /// The name of the node.
        to: String,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Write these changes atomically, in the order of the write numbers. Once they are durable,
    /// report that by [`Coordinator::record_durable`].
    Write {
        /// The number of the write.
        number: u64,
        /// The changes.
        changes: Vec<StorageChange>,
    },
    /// Something has happened.
    Event(Event),
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call has been completed or has failed.
    CallCompleted {
        /// The ticket that the caller has given the call.
        ticket: u64,
        /// The result.
        result: Result<Response, Error>,
    },
    /// A membership change has been completed or has failed.
    MembershipChangeCompleted {
        /// The ticket that the caller has given the change.
        ticket: u64,
        /// The result.
        result: Result<(), Error>,
    },
    /// This node has acquired a lease.
    LeaseAcquired {
        /// The name of the lease.
        lease: String,
        /// The token under which this node owns it.
        token: FencingToken,
        /// The value stored with it.
        value: Vec<u8>,
    },
    /// This node has lost a lease, or given it up.
    LeaseLost {
        /// The name of the lease.
        lease: String,
        /// The token under which this node owned it.
        token: FencingToken,
    },
    /// A lease has another owner, or none.
    OwnerChanged {
        /// The name of the lease.
        lease: String,
        /// The owner.
        owner: Option<LeaseOwner>,
    },
    /// The leader of the log, as far as this node knows, has changed.
    LeaderChanged {
        /// The name of the leader; `None` if no leader is known.
        leader: Option<String>,
    },
    /// This node has started or stopped voting, or the reason why it does not vote has changed.
    VotingChanged {
        /// Why it does not vote; `None` if it votes.
        not_voting_reason: Option<NotVotingReason>,
    },
    /// The committed state has changed.
    StateChanged,
    /// The process was paused: this node must renew each of its leases before it may act for it
    /// again.
    PauseDetected,
}

/// A node's part in the coordination service.
pub struct Coordinator {
    pub(crate) settings: Settings,
    pub(crate) cluster_id: u64,
    pub(crate) incarnation: u64,
    pub(crate) random: Pcg64Mcg,
    pub(crate) replica: Replica,
    pub(crate) granter: LeaseGranter,
    /// The sequence number of the latest expiry that this voter has proposed.
    pub(crate) expiry_sequence: u64,
    pub(crate) holder: LeaseHolder,
    /// The sequence number of the latest call of this node.
    pub(crate) call_sequence: u64,
    /// The call that waits for its result.
    pub(crate) pending_call: Option<PendingCall>,
    pub(crate) queued_calls: VecDeque<QueuedCall>,
    /// Calls of other nodes that this voter has proposed and not seen committed.
    pub(crate) forwarded_calls: BTreeSet<CallId>,
    /// The latest committed state that a voter has sent to this node, which is used while this node
    /// does not vote.
    pub(crate) follower_snapshot: FollowerSnapshot,
    /// When the latest message of each voter arrived, in milliseconds, by voter ID.
    pub(crate) last_heard: BTreeMap<u64, u64>,
    /// Voters that have reported that they lost their promises.
    pub(crate) promises_lost: BTreeSet<u64>,
    /// Membership changes that this node carries out as the leader.
    pub(crate) changes_in_progress: Vec<MembershipChangeInProgress>,
    /// Membership changes that were requested at this node, by ticket.
    pub(crate) requested_changes: BTreeMap<u64, RequestedChange>,
    /// When this node is to request each lease that it wants, in milliseconds.
    pub(crate) acquire_at: BTreeMap<String, u64>,
    /// The owners that events have reported last; the next two fields are the leader and the reason
    /// for not voting that they have reported last.
    pub(crate) reported_owners: BTreeMap<String, LeaseOwner>,
    reported_leader: Option<String>,
    reported_not_voting_reason: Option<NotVotingReason>,
    next_tick_at: u64,
    pub(crate) next_snapshot_request_at: u64,
    pub(crate) next_reminder_at: u64,
    /// Counter that selects the voter to ask next, in round-robin order.
    pub(crate) next_voter: usize,
}

impl Coordinator {
    /// Creates the coordinator of a new process from its stored keys (those that begin with `a/`,
    /// `c/` or `s/`) and values. No two processes of a node may have the same incarnation. Times
    /// are in milliseconds.
    pub fn new(
        settings: Settings,
        now: u64,
        incarnation: u64,
        stored: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
        out: &mut Vec<Output>,
    ) -> Self {
        let initial_voters = (1..).zip(settings.initial_voters.iter().cloned()).collect();
        let mut replica_outputs = Vec::new();
        let replica = Replica::new(
            &settings.node,
            incarnation,
            initial_voters,
            stored.into_iter().collect(),
            &mut replica_outputs,
        );
        let mut coordinator = Self {
            cluster_id: cluster_id(&settings.cluster, &settings.initial_voters),
            incarnation,
            random: Pcg64Mcg::seed_from_u64(incarnation),
            replica,
            granter: LeaseGranter::new(settings.lease_timing),
            expiry_sequence: 0,
            holder: LeaseHolder::new(settings.lease_timing),
            call_sequence: 0,
            pending_call: None,
            queued_calls: VecDeque::new(),
            forwarded_calls: BTreeSet::new(),
            follower_snapshot: FollowerSnapshot::default(),
            last_heard: BTreeMap::new(),
            promises_lost: BTreeSet::new(),
            changes_in_progress: Vec::new(),
            requested_changes: BTreeMap::new(),
            acquire_at: BTreeMap::new(),
            reported_owners: BTreeMap::new(),
            reported_leader: None,
            reported_not_voting_reason: Some(NotVotingReason::NotAVoter),
            next_tick_at: now,
            next_snapshot_request_at: now,
            next_reminder_at: now,
            next_voter: 0,
            settings,
        };
        coordinator.carry_out(now, replica_outputs, out);
        coordinator
    }

    /// Returns the committed leases, as far as this node knows.
    pub fn lease_table(&self) -> &LeaseTable {
        self.replica
            .voter()
            .map_or(&self.follower_snapshot.leases, |voter| &voter.state().0)
    }

    /// Returns the index of the log that this node has applied.
    pub fn applied_index(&self) -> u64 {
        self.replica
            .voter()
            .map_or(self.follower_snapshot.applied_index, Voter::applied_index)
    }

    /// Returns a permit if this node may act as the owner of a lease now; to be called before each
    /// effect.
    pub fn permit(&self, now: u64, lease: &str) -> Option<LeasePermit> {
        self.holder.permit(now, lease)
    }

    /// Returns whether this node votes.
    pub fn is_voter(&self) -> bool {
        self.replica.voter().is_some()
    }

    /// Returns the name of each voter's node, by voter ID.
    pub fn voters(&self) -> &BTreeMap<u64, String> {
        let known = self.replica.voters();
        if !self.is_voter() && self.follower_snapshot.applied_index > known.applied_index {
            &self.follower_snapshot.voters
        } else {
            known.voters
        }
    }

    /// Returns the leader of the log, as far as this node knows.
    pub fn leader(&self) -> Option<&String> {
        match self.replica.voter() {
            Some(voter) => voter.leader().and_then(|id| voter.voters().get(&id)),
            None => self.follower_snapshot.leader.as_ref(),
        }
    }

    /// Returns when [`Coordinator::run_turn`] is to be called next, in milliseconds.
    pub fn next_turn_at(&self) -> u64 {
        self.next_tick_at
    }

    /// Runs the periodic work that is due. To be called in each turn of the event loop, at least
    /// every 250 ms while this node owns a lease.
    pub fn run_turn(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.holder.detect_pause(now) {
            out.push(Output::Event(Event::PauseDetected));
        }
        if now < self.next_tick_at {
            return;
        }
        // After a pause one tick is counted, not all that were missed; otherwise this node would
        // consider all other voters silent at once.
        self.next_tick_at = now + TICK_INTERVAL_MS;
        let mut replica_outputs = Vec::new();
        self.replica.tick(&mut replica_outputs);
        self.carry_out(now, replica_outputs, out);
        self.expire_leases(now, out);
        self.advance_membership_changes(now, out);
        self.send_periodic_messages(now, out);
        self.acquire_wanted_leases(now, out);
        self.advance_calls(now, out);
    }

    /// Records that all writes up to this number are durable.
    pub fn record_durable(&mut self, now: u64, number: u64, out: &mut Vec<Output>) {
        let mut replica_outputs = Vec::new();
        self.replica.record_durable(number, &mut replica_outputs);
        self.carry_out(now, replica_outputs, out);
    }

    /// Records that messages to and from a node may have been lost.
    pub fn peer_reconnected(&mut self, now: u64, node: &str, out: &mut Vec<Output>) {
        let mut replica_outputs = Vec::new();
        self.replica.peer_reconnected(node, &mut replica_outputs);
        self.carry_out(now, replica_outputs, out);
    }

    /// Handles a message of another node. Returns `false` if it is invalid or of another cluster.
    pub fn receive(&mut self, now: u64, from: &str, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(message) = decode(self.cluster_id, bytes) else {
            return false;
        };
        let sender_id = voter_id_of(self.voters(), from);
        if let Some(sender_id) = sender_id {
            self.last_heard.insert(sender_id, now);
        }
        let mut replica_outputs = Vec::new();
        self.handle_message(now, from, sender_id, message, &mut replica_outputs, out);
        self.carry_out(now, replica_outputs, out);
        true
    }

    /// Dispatches a message from a node, whose voter ID is `sender_id` if it is a voter.
    fn handle_message(
        &mut self,
        now: u64,
        from: &str,
        sender_id: Option<u64>,
        message: Message,
        replica_outputs: &mut Vec<ReplicaOutput>,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Admission {
                from: id,
                to,
                message,
            } if sender_id == Some(id) => {
                self.replica
                    .receive_admission(id, to, message, replica_outputs);
            }
            // The sender no longer votes, or votes under another ID; the announcement tells it
            // that.
            Message::Admission { .. } => self.send_voters(from, out),
            Message::Log {
                incarnation,
                message,
            } => match sender_id.filter(|id| may_be_from(&message, *id)) {
                Some(id) => self
                    .replica
                    .receive_log(id, incarnation, &message, replica_outputs),
                None => self.send_voters(from, out),
            },
            Message::VotersAnnounced {
                applied_index,
                voters,
            } => self
                .replica
                .voters_announced(applied_index, voters, replica_outputs),
            Message::PromisesLost { voter } => {
                if sender_id == Some(voter) {
                    self.promises_lost.insert(voter);
                }
            }
            Message::Call(command) => self.forward_call(now, from, command, out),
            Message::CallCompleted {
                incarnation,
                sequence,
                response,
            } => {
                if incarnation == self.incarnation {
                    self.complete_call(now, sequence, response, out);
                }
            }
            Message::MembershipChangeRequested { ticket, add, node } => {
                self.handle_change_request(now, from, ticket, add, node, out);
            }
            Message::MembershipChangeCompleted { ticket, result } => {
                self.complete_requested_change(ticket, result, out);
            }
            Message::FollowerSnapshotRequested { applied_index } => {
                self.send_follower_snapshot(from, applied_index, out);
            }
            Message::FollowerSnapshot(snapshot) => {
                self.install_follower_snapshot(*snapshot, replica_outputs);
            }
        }
    }

    /// Returns whether a message from a voter has arrived within the liveness timeout.
    pub(crate) fn is_recently_heard(&self, now: u64, voter_id: u64) -> bool {
        self.last_heard
            .get(&voter_id)
            .is_some_and(|at| at + LIVENESS_TIMEOUT_MS > now)
    }

    pub(crate) fn send(&self, to: &str, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send {
            to: to.to_owned(),
            message: encode(self.cluster_id, message),
        });
    }

    /// Returns a random number below this one, 0 if that is 0.
    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    /// Carries out the outputs of the replica.
    pub(crate) fn carry_out(
        &mut self,
        now: u64,
        replica_outputs: Vec<ReplicaOutput>,
        out: &mut Vec<Output>,
    ) {
        let mut state_changed = false;
        for output in replica_outputs {
            match output {
                ReplicaOutput::Send { to, message } => self.send(&to, &message, out),
                ReplicaOutput::Write { number, changes } => {
                    out.push(Output::Write { number, changes });
                }
                ReplicaOutput::StateChanged => state_changed = true,
            }
        }
        if state_changed {
            self.handle_state_change(now, out);
        }
        self.report_leader_and_voting(out);
    }

    /// Reports a change of the leader, or of whether this node votes and why not.
    fn report_leader_and_voting(&mut self, out: &mut Vec<Output>) {
        let leader = self.leader().cloned();
        if leader != self.reported_leader {
            self.reported_leader.clone_from(&leader);
            out.push(Output::Event(Event::LeaderChanged { leader }));
        }
        let not_voting_reason = self.replica.not_voting_reason().cloned();
        if not_voting_reason != self.reported_not_voting_reason {
            self.reported_not_voting_reason
                .clone_from(&not_voting_reason);
            out.push(Output::Event(Event::VotingChanged { not_voting_reason }));
        }
    }

    /// Handles a change of the committed state.
    fn handle_state_change(&mut self, now: u64, out: &mut Vec<Output>) {
        if let Some(voter) = self.replica.voter() {
            self.granter.record_applied(now, &voter.state().0);
        }
        self.report_owners(out);
        self.drop_leases_of_others(now, out);
        self.complete_committed_call(now, out);
        self.answer_forwarded_calls(out);
        out.push(Output::Event(Event::StateChanged));
    }

    /// Reports the owners that have changed.
    fn report_owners(&mut self, out: &mut Vec<Output>) {
        let owners: BTreeMap<String, LeaseOwner> = self
            .lease_table()
            .leases()
            .filter_map(|(name, lease)| Some((name.to_owned(), lease.owner.clone()?)))
            .collect();
        for (lease, owner) in &owners {
            if self.reported_owners.get(lease) != Some(owner) {
                out.push(Output::Event(Event::OwnerChanged {
                    lease: lease.clone(),
                    owner: Some(owner.clone()),
                }));
            }
        }
        for lease in self.reported_owners.keys() {
            if !owners.contains_key(lease) {
                out.push(Output::Event(Event::OwnerChanged {
                    lease: lease.clone(),
                    owner: None,
                }));
            }
        }
        self.reported_owners = owners;
    }
}

/// Returns whether a message of the log may come from this voter: it names this voter as its
/// sender, or makes no promise.
fn may_be_from(message: &[u8], voter_id: u64) -> bool {
    let promising_id = message_promise(message).voter;
    promising_id == voter_id || promising_id == 0
}

impl std::fmt::Debug for Coordinator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "coordinator of {} at index {}: voter {}, leader {:?}",
            self.settings.node,
            self.applied_index(),
            self.is_voter(),
            self.leader()
        )
    }
}
