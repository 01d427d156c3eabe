//! The faults that a simulation injects, and their repair.

use super::{Simulation, Store};
use postproxy_coordination::VoterAction;

impl Simulation {
    /// Injects a random fault.
    pub fn inject_fault(&mut self) {
        let count = self.nodes.len() as u64;
        let n = self.draw(count) as usize;
        let other = self.draw(count) as usize;
        match self.draw(10) {
            0 => self.kill(n),
            1 if self.nodes[n].coordinator.is_none() => self.start(n),
            2 => self.nodes[n].paused_until = self.now + self.draw(9000),
            3 | 4 if n != other => {
                self.cut_links.insert((n, other));
                if self.draw(2) == 0 {
                    self.cut_links.insert((other, n));
                }
            }
            5 => self.restore_links(),
            6 => self.nodes[n].slow_disk = !self.nodes[n].slow_disk,
            7 => self.lose_store(n),
            8 => {
                let action = if self.draw(2) == 0 {
                    VoterAction::Add
                } else {
                    VoterAction::Remove
                };
                self.change_membership(action, &format!("n{n}"));
            }
            _ => self.nodes[n].backup = Some(self.nodes[n].store.clone()),
        }
    }

    /// Restarts a node with an empty or an older store, while all other voters are running and can
    /// detect that.
    fn lose_store(&mut self, n: usize) {
        self.repair();
        (0..800).for_each(|_| self.step());
        if self.all_vote() {
            self.kill(n);
            let backup = self.nodes[n].backup.clone().unwrap_or_default();
            self.nodes[n].store = if self.draw(2) == 0 {
                Store::new()
            } else {
                backup
            };
            self.start(n);
            (0..800).for_each(|_| self.step());
        }
        self.without_pauses = false;
    }

    fn restore_links(&mut self) {
        for (a, b) in std::mem::take(&mut self.cut_links) {
            self.reconnect(a, b);
        }
    }

    /// Returns whether all nodes are running and connected and all voters vote, so that at most one
    /// store at a time is lost.
    fn all_vote(&self) -> bool {
        let all_running = self
            .nodes
            .iter()
            .all(|node| node.coordinator.is_some() && node.paused_until <= self.now);
        let voting = self.nodes.iter().filter(|node| node.is_voter());
        let expected_voters = voting
            .clone()
            .filter_map(|node| node.coordinator.as_ref())
            .map(|coordinator| coordinator.voters().len())
            .max();
        let voting = voting.count();
        // With two voters, the loss of one store would leave no majority.
        all_running && self.cut_links.is_empty() && voting >= 3 && expected_voters == Some(voting)
    }

    /// Ends all faults.
    pub fn repair(&mut self) {
        self.without_pauses = true;
        let now = self.now;
        for n in 0..self.nodes.len() {
            self.nodes[n].slow_disk = false;
            self.nodes[n].paused_until = self.nodes[n].paused_until.min(now);
            if self.nodes[n].coordinator.is_none() {
                self.start(n);
            }
        }
        self.restore_links();
    }
}
