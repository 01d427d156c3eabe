//! The committed state that voters send to followers, and announcements of the voters. A follower
//! is a node that does not vote, unlike a follower in Raft.

use crate::calls::MAX_FORWARDED_CALLS;
use crate::coordinator::{Coordinator, Output};
use crate::error::NotVotingReason;
use crate::message::{FollowerSnapshot, Message};
use crate::replica::ReplicaOutput;
use crate::timing::{FOLLOWER_SNAPSHOT_INTERVAL_MS, REMINDER_INTERVAL_MS};

impl Coordinator {
    /// Sends the periodic messages that are due: the request of a follower for the committed state,
    /// and reminders.
    pub(crate) fn send_periodic_messages(&mut self, now: u64, out: &mut Vec<Output>) {
        if !self.is_voter() && self.next_snapshot_request_at <= now {
            self.next_snapshot_request_at = now + FOLLOWER_SNAPSHOT_INTERVAL_MS;
            if let Some(to) = self.next_voter_to_ask() {
                let applied_index = self.follower_snapshot.applied_index;
                self.send(
                    &to,
                    &Message::FollowerSnapshotRequested { applied_index },
                    out,
                );
            }
        }
        if self.next_reminder_at <= now {
            self.next_reminder_at = now + REMINDER_INTERVAL_MS;
            self.send_reminders(now, out);
        }
    }

    fn send_reminders(&mut self, now: u64, out: &mut Vec<Output>) {
        // Calls that were never committed stay in the set, so it is cleared at half its limit. A
        // node whose call is dropped here sends it again or has given it up.
        if self.forwarded_calls.len() >= MAX_FORWARDED_CALLS / 2 {
            self.forwarded_calls.clear();
        }
        let others = self
            .voters()
            .iter()
            .filter(|(_, name)| **name != self.settings.node);
        let has_lost_promises = matches!(
            self.replica.not_voting_reason(),
            Some(NotVotingReason::PromisesLost | NotVotingReason::LogDamaged(_))
        );
        for (id, name) in others {
            if has_lost_promises {
                let voter = self.replica.id();
                self.send(name, &Message::PromisesLost { voter }, out);
            }
            let is_silent = !self.is_recently_heard(now, *id) || self.promises_lost.contains(id);
            if self.replica.is_leader() && is_silent {
                self.send_voters(name, out);
            }
        }
    }

    /// Returns the other voter to ask next, in round-robin order.
    pub(crate) fn next_voter_to_ask(&mut self) -> Option<String> {
        let others: Vec<String> = self
            .voters()
            .values()
            .filter(|name| **name != self.settings.node)
            .cloned()
            .collect();
        self.next_voter += 1;
        others.get(self.next_voter % others.len().max(1)).cloned()
    }

    /// Announces the voters to a node, if this node votes.
    pub(crate) fn send_voters(&self, to: &str, out: &mut Vec<Output>) {
        if let Some(voter) = self.replica.voter() {
            let message = Message::VotersAnnounced {
                applied_index: voter.applied_index(),
                voters: voter.voters().clone(),
            };
            self.send(to, &message, out);
        }
    }

    /// Sends the committed state to a node that has the state of `known_index`, unless this node
    /// does not vote or its state is older.
    pub(crate) fn send_follower_snapshot(&self, to: &str, known_index: u64, out: &mut Vec<Output>) {
        let Some(voter) = self.replica.voter() else {
            return;
        };
        if voter.applied_index() < known_index {
            return;
        }
        let snapshot = FollowerSnapshot {
            applied_index: voter.applied_index(),
            leader: self.leader().cloned(),
            voters: voter.voters().clone(),
            leases: voter.state().0.clone(),
        };
        self.send(to, &Message::FollowerSnapshot(Box::new(snapshot)), out);
    }

    /// Installs the committed state received from a voter, unless this node votes or has a later
    /// one.
    pub(crate) fn install_follower_snapshot(
        &mut self,
        snapshot: FollowerSnapshot,
        replica_outputs: &mut Vec<ReplicaOutput>,
    ) {
        if self.is_voter() || snapshot.applied_index < self.follower_snapshot.applied_index {
            return;
        }
        let applied_index = snapshot.applied_index;
        let voters = snapshot.voters.clone();
        self.follower_snapshot = snapshot;
        self.replica
            .voters_announced(applied_index, voters, replica_outputs);
        replica_outputs.push(ReplicaOutput::StateChanged);
    }
}
