//! The state machine of the replicated log: the lease table.

use postproxy_leases::{Command, LeaseTable};
use postproxy_replicated_log::StateMachine;
use serde::{Deserialize, Serialize};

/// The lease table as the state machine of the log, whose entries are commands on it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseStateMachine(pub LeaseTable);

impl StateMachine for LeaseStateMachine {
    fn apply(&mut self, entry: &[u8]) {
        // An entry that cannot be decoded is ignored by every voter, so that their states stay
        // equal.
        if let Ok(command) = postcard::from_bytes::<Command>(entry) {
            self.0.apply(&command);
        }
    }
}
