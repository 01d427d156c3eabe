//! What all voters hold the same: a fold over the agreed log. It has no time; that a lease is over comes as a command.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Grows with each change of owner, over all duties and owners, for ever.
pub type FencingToken = u64;

/// The longest name of a duty or a node, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// The longest value that a duty may keep.
pub const MAX_VALUE_BYTES: usize = 64 << 10;
/// So many duties are known at most.
pub const MAX_LEASES: usize = 4096;
/// Of so many clients the latest answer is remembered; the longest unused is forgotten first.
const MAX_CLIENTS: usize = 1024;

/// What a node asks for.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Operation {
    /// To own this duty, if nobody does.
    Acquire(String),
    /// To go on owning these, under these tokens.
    Renew(Vec<(String, FencingToken)>),
    /// To own it no more.
    Release(String, FencingToken),
    /// That this node owns it: at once if the token is the owner's, else as soon as the owner has given it up or lost it.
    Hand(String, Option<FencingToken>, String),
    /// To keep this value with the duty.
    Save(String, FencingToken, Vec<u8>),
    /// From who leads the log: these leases are over, unless they were renewed since it last saw them renewed.
    Expire(Vec<(String, FencingToken, u64)>),
}

/// A call and who makes it. A client numbers its calls from 1 and makes one at a time; what it repeats has its number.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Command {
    /// The node.
    pub node: String,
    /// Its life: numbers begin anew with each.
    pub life: u64,
    /// The number of the call.
    pub number: u64,
    /// What it asks for.
    pub call: Operation,
}

/// Why a call is refused.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Rejection {
    /// Another node owns it, under this token.
    Owned(String, FencingToken),
    /// The token is not the owner's; this one is, if any.
    StaleToken(Option<FencingToken>),
    /// Nobody knows this duty.
    Unknown,
    /// A name is empty, too long, or the value is.
    Malformed,
    /// No more can be remembered.
    Full,
    /// The call is older than one that this client has made since.
    Old,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Owned(node, token) => write!(f, "{node} owns it under token {token}"),
            Self::StaleToken(Some(token)) => write!(f, "the token is over: it is {token} now"),
            Self::StaleToken(None) => write!(f, "the token is over: nobody owns it now"),
            Self::Unknown => write!(f, "nobody knows this duty"),
            Self::Malformed => {
                write!(
                    f,
                    "a name must have 1 to {MAX_NAME_BYTES} bytes, a value at most {MAX_VALUE_BYTES}"
                )
            }
            Self::Full => write!(f, "no more duties can be remembered"),
            Self::Old => write!(f, "a later call of this client has been answered"),
        }
    }
}

impl std::error::Error for Rejection {}

/// What a call comes to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Response {
    /// It owns the duty, under this token, and this is its value.
    Owns(FencingToken, Vec<u8>),
    /// Of the duties that were to be renewed: those that were, each with the node that is to have it next, if one is wanted;
    /// and those that were not.
    Renewed(Vec<(String, Option<String>)>, Vec<String>),
    /// Done.
    Done,
    /// Not done.
    Refused(Rejection),
}

/// A duty.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Lease {
    /// Who owns it, and under which token.
    pub owner: Option<(String, FencingToken)>,
    /// Grants and renewals of this owner so far: it tells one lease from its renewal.
    pub renewals: u64,
    /// Who is to own it next.
    pub next: Option<String>,
    /// What it keeps, and the token under which that was saved.
    pub value: Vec<u8>,
    /// See above.
    pub saved: FencingToken,
}

#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct Client {
    number: u64,
    answer: Response,
    used: u64,
}

/// All duties.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseTable {
    duties: BTreeMap<String, Lease>,
    /// The latest token granted.
    token: FencingToken,
    clients: BTreeMap<(String, u64), Client>,
    commands: u64,
}

fn named(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

impl LeaseTable {
    /// The next command of the log; what it comes to, at every voter the same. One that a client repeats
    /// comes to what it came to.
    pub fn apply(&mut self, command: &Command) -> Response {
        self.commands += 1;
        let id = (command.node.clone(), command.life);
        if let Some(client) = self.clients.get_mut(&id) {
            if command.number == client.number {
                client.used = self.commands;
                return client.answer.clone();
            }
            if command.number < client.number {
                return Response::Refused(Rejection::Old);
            }
        }
        let answer = self
            .take(&command.node, &command.call)
            .unwrap_or_else(Response::Refused);
        let client = Client {
            number: command.number,
            answer: answer.clone(),
            used: self.commands,
        };
        self.clients.insert(id, client);
        if self.clients.len() > MAX_CLIENTS {
            let oldest = self
                .clients
                .iter()
                .min_by_key(|(_, client)| client.used)
                .map(|(id, _)| id.clone());
            oldest.and_then(|id| self.clients.remove(&id));
        }
        answer
    }

    /// What this call of this client came to, while it is its latest.
    pub fn answer(&self, node: &str, life: u64, number: u64) -> Option<&Response> {
        let client = self.clients.get(&(node.to_owned(), life))?;
        (client.number == number).then_some(&client.answer)
    }

    /// A duty of this name.
    pub fn duty(&self, name: &str) -> Option<&Lease> {
        self.duties.get(name)
    }

    /// All duties.
    pub fn duties(&self) -> impl Iterator<Item = (&str, &Lease)> {
        self.duties.iter().map(|(name, duty)| (name.as_str(), duty))
    }

    /// The latest token granted.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    fn grant(&mut self, name: &str, node: &str) -> FencingToken {
        self.token += 1;
        let duty = self.duties.entry(name.to_owned()).or_default();
        duty.owner = Some((node.to_owned(), self.token));
        duty.renewals += 1;
        if duty.next.as_deref() == Some(node) {
            duty.next = None;
        }
        self.token
    }

    /// The duty, if this token is its owner's.
    fn owned(&mut self, name: &str, token: FencingToken) -> Result<&mut Lease, Rejection> {
        let duty = self.duties.get_mut(name).ok_or(Rejection::Unknown)?;
        match &duty.owner {
            Some((_, own)) if *own == token => Ok(duty),
            owner => Err(Rejection::StaleToken(owner.as_ref().map(|(_, own)| *own))),
        }
    }

    /// The owner is none any more; who was wanted next is it now.
    fn end(&mut self, name: &str) {
        let Some(duty) = self.duties.get_mut(name) else {
            return;
        };
        duty.owner = None;
        if let Some(next) = duty.next.take() {
            self.grant(name, &next);
        }
    }

    fn take(&mut self, node: &str, call: &Operation) -> Result<Response, Rejection> {
        if !named(node) {
            return Err(Rejection::Malformed);
        }
        match call {
            Operation::Acquire(name) => {
                if !named(name) {
                    return Err(Rejection::Malformed);
                }
                let duty = self.duties.get(name);
                if duty.is_none() && self.duties.len() >= MAX_LEASES {
                    return Err(Rejection::Full);
                }
                match duty.and_then(|duty| duty.owner.clone()) {
                    Some((owner, token)) if owner != node => Err(Rejection::Owned(owner, token)),
                    // Its own from an earlier life, too: with a new token, so that what that one still does is refused.
                    _ => {
                        let token = self.grant(name, node);
                        let value = self
                            .duties
                            .get(name)
                            .map(|duty| duty.value.clone())
                            .unwrap_or_default();
                        Ok(Response::Owns(token, value))
                    }
                }
            }
            Operation::Renew(all) => {
                let (mut renewed, mut lost) = (Vec::new(), Vec::new());
                for (name, token) in all {
                    match self.owned(name, *token) {
                        Ok(duty) if duty.owner.as_ref().is_some_and(|(owner, _)| owner == node) => {
                            duty.renewals += 1;
                            renewed.push((name.clone(), duty.next.clone()));
                        }
                        _ => lost.push(name.clone()),
                    }
                }
                Ok(Response::Renewed(renewed, lost))
            }
            Operation::Release(name, token) => {
                self.owned(name, *token)?;
                self.end(name);
                Ok(Response::Done)
            }
            Operation::Hand(name, token, to) => {
                if !named(to) {
                    return Err(Rejection::Malformed);
                }
                if let Some(token) = token {
                    self.owned(name, *token)?;
                }
                let duty = self.duties.get_mut(name).ok_or(Rejection::Unknown)?;
                let at_once = token.is_some() || duty.owner.is_none();
                match &duty.owner {
                    Some((owner, _)) if owner == to => duty.next = None,
                    _ if at_once => {
                        duty.next = Some(to.clone());
                        self.end(name);
                    }
                    _ => duty.next = Some(to.clone()),
                }
                Ok(Response::Done)
            }
            Operation::Save(name, token, value) => {
                if value.len() > MAX_VALUE_BYTES {
                    return Err(Rejection::Malformed);
                }
                let duty = self.owned(name, *token)?;
                (duty.value, duty.saved) = (value.clone(), *token);
                Ok(Response::Done)
            }
            Operation::Expire(all) => {
                for (name, token, renewals) in all {
                    if self
                        .owned(name, *token)
                        .is_ok_and(|duty| duty.renewals == *renewals)
                    {
                        self.end(name);
                    }
                }
                Ok(Response::Done)
            }
        }
    }
}
