//! The replicated state of all leases. It has no clock: the expiry of a lease is a command.

use crate::operation::{
    Command, ExpiredLease, FencingToken, LeaseClaim, LeaseOwner, MAX_NAME_BYTES, MAX_VALUE_BYTES,
    Operation, Rejection, RenewedLease, Response,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of leases in the table, which bounds its memory and the size of a snapshot.
pub const MAX_LEASES: usize = 4096;

/// Maximum number of clients whose latest response is kept; the client that has called least
/// recently is evicted first.
const MAX_CLIENTS: usize = 1024;

/// A lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease {
    /// The owner, if there is one.
    pub owner: Option<LeaseOwner>,
    /// The number of grants and renewals so far. An expiry names the number that the leader has
    /// seen, so that it does not end a lease that has been renewed since.
    pub renewals: u64,
    /// The node to which the lease is to be transferred.
    pub next_owner: Option<String>,
    /// The value stored with the lease.
    pub value: Vec<u8>,
    /// The token under which the value was stored.
    pub value_token: FencingToken,
}

/// A client of the table: a node in one incarnation of its process. The response to its latest
/// command makes retries idempotent.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct ClientRecord {
    sequence: u64,
    response: Response,
    /// The value of `applied_commands` at the latest command of the client.
    last_used: u64,
}

/// All leases.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseTable {
    leases: BTreeMap<String, Lease>,
    latest_token: FencingToken,
    /// By the name of the node and its incarnation.
    clients: BTreeMap<(String, u64), ClientRecord>,
    applied_commands: u64,
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

impl LeaseTable {
    /// Applies the next command of the log and returns its response, which is the same at every
    /// voter. A retry of a client's latest command is not applied again and has the same response.
    pub fn apply(&mut self, command: &Command) -> Response {
        self.applied_commands += 1;
        let client_id = (command.node.clone(), command.incarnation);
        if let Some(client) = self.clients.get_mut(&client_id) {
            if command.sequence == client.sequence {
                client.last_used = self.applied_commands;
                return client.response.clone();
            }
            if command.sequence < client.sequence {
                return Response::Rejected(Rejection::SupersededCommand);
            }
        }
        let response = self
            .execute(&command.node, &command.operation)
            .unwrap_or_else(Response::Rejected);
        let client = ClientRecord {
            sequence: command.sequence,
            response: response.clone(),
            last_used: self.applied_commands,
        };
        self.clients.insert(client_id, client);
        self.evict_least_recent_client();
        response
    }

    fn evict_least_recent_client(&mut self) {
        if self.clients.len() <= MAX_CLIENTS {
            return;
        }
        let oldest = self
            .clients
            .iter()
            .min_by_key(|(_, client)| client.last_used)
            .map(|(id, _)| id.clone());
        if let Some(id) = oldest {
            self.clients.remove(&id);
        }
    }

    /// Returns the response to this command of this client, as long as it is the client's latest.
    pub fn response_to(&self, node: &str, incarnation: u64, sequence: u64) -> Option<&Response> {
        let client = self.clients.get(&(node.to_owned(), incarnation))?;
        (client.sequence == sequence).then_some(&client.response)
    }

    /// Returns the lease of this name.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// Returns all leases with their names.
    pub fn leases(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.leases
            .iter()
            .map(|(name, lease)| (name.as_str(), lease))
    }

    /// Returns the latest token granted.
    pub fn latest_token(&self) -> FencingToken {
        self.latest_token
    }

    fn grant(&mut self, name: &str, node: &str) -> FencingToken {
        self.latest_token += 1;
        let lease = self.leases.entry(name.to_owned()).or_default();
        lease.owner = Some(LeaseOwner {
            node: node.to_owned(),
            token: self.latest_token,
        });
        lease.renewals += 1;
        if lease.next_owner.as_deref() == Some(node) {
            lease.next_owner = None;
        }
        self.latest_token
    }

    /// Returns the lease if this token is its owner's.
    fn lease_owned_under(
        &mut self,
        name: &str,
        token: FencingToken,
    ) -> Result<&mut Lease, Rejection> {
        let lease = self.leases.get_mut(name).ok_or(Rejection::UnknownLease)?;
        let owner_token = lease.owner.as_ref().map(|owner| owner.token);
        if owner_token == Some(token) {
            Ok(lease)
        } else {
            Err(Rejection::StaleToken(owner_token))
        }
    }

    /// Ends the ownership of a lease and, if it is to be transferred, grants it to that node.
    fn end_ownership(&mut self, name: &str) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        lease.owner = None;
        if let Some(next_owner) = lease.next_owner.take() {
            self.grant(name, &next_owner);
        }
    }

    fn execute(&mut self, node: &str, operation: &Operation) -> Result<Response, Rejection> {
        if !is_valid_name(node) {
            return Err(Rejection::Malformed);
        }
        match operation {
            Operation::Acquire { lease } => self.acquire(node, lease),
            Operation::Renew { claims } => Ok(self.renew(node, claims)),
            Operation::Release { lease, token } => self.release(lease, *token),
            Operation::Transfer { lease, token, to } => self.transfer(lease, *token, to),
            Operation::Save {
                lease,
                token,
                value,
            } => self.save(lease, *token, value),
            Operation::Expire { leases } => Ok(self.expire(leases)),
        }
    }

    fn acquire(&mut self, node: &str, name: &str) -> Result<Response, Rejection> {
        if !is_valid_name(name) {
            return Err(Rejection::Malformed);
        }
        let lease = self.leases.get(name);
        if lease.is_none() && self.leases.len() >= MAX_LEASES {
            return Err(Rejection::TooManyLeases);
        }
        if let Some(owner) = lease.and_then(|lease| lease.owner.as_ref())
            && owner.node != node
        {
            return Err(Rejection::OwnedByOther {
                owner: owner.node.clone(),
                token: owner.token,
            });
        }
        let value = lease.map(|lease| lease.value.clone()).unwrap_or_default();
        // A node that already owns the lease, for example from an earlier incarnation, gets a new
        // token, so that effects of that incarnation are rejected.
        let token = self.grant(name, node);
        Ok(Response::Granted { token, value })
    }

    fn renew(&mut self, node: &str, claims: &[LeaseClaim]) -> Response {
        let mut renewed = Vec::new();
        let mut lost = Vec::new();
        for claim in claims {
            let lease = self.lease_owned_under(&claim.lease, claim.token).ok();
            let owned =
                lease.filter(|lease| lease.owner.as_ref().is_some_and(|owner| owner.node == node));
            match owned {
                Some(lease) => {
                    lease.renewals += 1;
                    renewed.push(RenewedLease {
                        lease: claim.lease.clone(),
                        next_owner: lease.next_owner.clone(),
                    });
                }
                None => lost.push(claim.lease.clone()),
            }
        }
        Response::Renewed { renewed, lost }
    }

    fn release(&mut self, name: &str, token: FencingToken) -> Result<Response, Rejection> {
        self.lease_owned_under(name, token)?;
        self.end_ownership(name);
        Ok(Response::Completed)
    }

    fn transfer(
        &mut self,
        name: &str,
        token: Option<FencingToken>,
        to: &str,
    ) -> Result<Response, Rejection> {
        if !is_valid_name(to) {
            return Err(Rejection::Malformed);
        }
        if let Some(token) = token {
            self.lease_owned_under(name, token)?;
        }
        let lease = self.leases.get_mut(name).ok_or(Rejection::UnknownLease)?;
        let at_once = token.is_some() || lease.owner.is_none();
        if lease.owner.as_ref().is_some_and(|owner| owner.node == to) {
            lease.next_owner = None;
        } else {
            lease.next_owner = Some(to.to_owned());
            if at_once {
                self.end_ownership(name);
            }
        }
        Ok(Response::Completed)
    }

    fn save(
        &mut self,
        name: &str,
        token: FencingToken,
        value: &[u8],
    ) -> Result<Response, Rejection> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Rejection::Malformed);
        }
        let lease = self.lease_owned_under(name, token)?;
        lease.value = value.to_vec();
        lease.value_token = token;
        Ok(Response::Completed)
    }

    /// Ends the ownership of those leases whose token and number of renewals are still those that
    /// the leader has seen.
    fn expire(&mut self, leases: &[ExpiredLease]) -> Response {
        for expired in leases {
            let unrenewed = self
                .lease_owned_under(&expired.lease, expired.token)
                .is_ok_and(|lease| lease.renewals == expired.renewals);
            if unrenewed {
                self.end_ownership(&expired.lease);
            }
        }
        Response::Completed
    }
}
