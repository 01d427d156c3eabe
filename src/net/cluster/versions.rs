//! Which node acts on which version: it carries words and the time to and from the machine in `postproxy-version-tracking`, and words what the
//! operators' door is asked of it.

use super::coordination::ms;
use postproxy_version_tracking::{
    AuditEntry, Event, Kind, Message, Output, Settings, Source, VersionRecord, VersionTracker,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a list that is passed on begins with, over a stream; the last byte is the version.
pub const PREFIX: [u8; 3] = *b"PA\x01";

/// What is to be done.
#[derive(Debug)]
pub enum Do {
    /// Say this to that node, in a datagram.
    Say(String, Vec<u8>),
    /// Have that node get what this one holds of a kind.
    Give(String, Kind),
}

/// A version as the door shows it.
#[derive(Debug, Serialize)]
struct Shown {
    kind: &'static str,
    generation: String,
    number: u64,
    digest: String,
    /// Behind the highest that this node knows of.
    behind_by: u64,
}

#[derive(Debug, Serialize)]
struct Node<'a> {
    node: &'a str,
    /// `current`, or `behind` where another holds a newer version of the same generation.
    state: &'static str,
    /// How long ago it was heard, in milliseconds; 0 for the node that tells.
    heard_ms: u64,
    /// For how long this node has been behind, by its own word.
    behind_ms: u64,
    versions: Vec<Shown>,
}

#[derive(Debug, Serialize)]
struct Told<'a> {
    node: &'a str,
    view: u64,
    head: String,
    acts: u64,
    records: Vec<&'a AuditEntry>,
}

/// A node's part in the audit.
pub struct Audit {
    desk: VersionTracker,
    name: String,
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The number of a generation by its name.
pub fn generation(name: &str) -> u64 {
    postproxy_version_tracking::digest([name.as_bytes()])
}

impl Audit {
    /// One that holds the program's version alone.
    pub fn new(set: Settings, name: &str, now: f64, seed: u64) -> Self {
        let mut desk = VersionTracker::new(set, ms(now), seed);
        let (package, protocol) = (
            env!("CARGO_PKG_VERSION"),
            postproxy_membership::packet::VERSION,
        );
        let number = package
            .split('.')
            .filter_map(|part| part.parse::<u64>().ok())
            .fold(0, |all, n| all * 1000 + n);
        let digest = postproxy_version_tracking::digest([package.as_bytes(), &[protocol]]);
        let stand = VersionRecord {
            generation: 0,
            number,
            digest,
        };
        desk.adopt(ms(now), Kind::Program, stand, Source::Own, &mut Vec::new());
        Self {
            desk,
            name: name.to_owned(),
        }
    }

    /// When it is to be called next.
    pub fn next(&self) -> f64 {
        self.desk.next() as f64 / 1000.0
    }

    /// A turn of the loop.
    pub fn due(&mut self, now: f64) -> Vec<Do> {
        let mut out = Vec::new();
        self.desk.due(ms(now), &mut out);
        self.carry(out)
    }

    /// Who is there.
    pub fn peers(&mut self, peers: BTreeSet<String>) {
        self.desk.peers(peers);
    }

    /// A datagram of a node; one that can't be read is passed over.
    pub fn heard(&mut self, now: f64, from: &str, bytes: &[u8]) -> Vec<Do> {
        let mut out = Vec::new();
        if let Ok((word, [])) = postcard::take_from_bytes::<Message>(bytes) {
            self.desk.heard(ms(now), from, word, &mut out);
        }
        self.carry(out)
    }

    /// The node acts on this version, after so many acts on the one before.
    pub fn adopt(
        &mut self,
        now: f64,
        kind: Kind,
        stand: VersionRecord,
        source: Source,
        acts: u64,
    ) -> Vec<Do> {
        let mut out = Vec::new();
        self.desk.act(acts);
        self.desk.adopt(ms(now), kind, stand, source, &mut out);
        self.carry(out)
    }

    /// What is known of versions, at this node and others.
    pub fn versions(&self, now: f64) -> String {
        let (known, behind) = self.desk.known();
        let mut newest: BTreeMap<(Kind, u64), u64> = BTreeMap::new();
        let all = known
            .values()
            .map(|known| &known.heads)
            .chain([self.desk.heads()]);
        for (kind, stand) in all.flatten() {
            let at = newest.entry((*kind, stand.generation)).or_default();
            *at = stand.number.max(*at);
        }
        let node = |name, heard_ms, behind_ms, heads: &BTreeMap<Kind, VersionRecord>| {
            let shown = |(kind, stand): (&Kind, &VersionRecord)| Shown {
                kind: kind.word(),
                generation: format!("{:016x}", stand.generation),
                number: stand.number,
                digest: format!("{:016x}", stand.digest),
                behind_by: newest
                    .get(&(*kind, stand.generation))
                    .map_or(0, |newest| newest - stand.number),
            };
            let versions: Vec<Shown> = heads.iter().map(shown).collect();
            let state = if versions.iter().any(|v| v.behind_by > 0) {
                "behind"
            } else {
                "current"
            };
            Node {
                node: name,
                state,
                heard_ms,
                behind_ms,
                versions,
            }
        };
        let since = behind
            .map(|(_, since, _)| ms(now).saturating_sub(since))
            .max()
            .unwrap_or(0);
        let own = node(self.name.as_str(), 0, since, self.desk.heads());
        let others = known
            .iter()
            .map(|(name, known)| node(name, ms(now).saturating_sub(known.at), 0, &known.heads));
        let nodes: Vec<Node> = std::iter::once(own).chain(others).collect();
        serde_json::to_string(&nodes).unwrap_or_default() + "\n"
    }

    /// This node's trail.
    pub fn trail(&self, acts: u64) -> String {
        let trail = self.desk.trail();
        let (records, open) = trail.records();
        let (view, head) = (trail.view(), hex(&trail.head()));
        let told = Told {
            node: &self.name,
            view,
            head,
            acts: open + acts,
            records: records.collect(),
        };
        serde_json::to_string(&told).unwrap_or_default() + "\n"
    }

    fn carry(&self, out: Vec<Output>) -> Vec<Do> {
        let carry = |one| match one {
            Output::Say(to, word) => {
                Some(Do::Say(to, postcard::to_stdvec(&word).unwrap_or_default()))
            }
            Output::Give(to, kind) => Some(Do::Give(to, kind)),
            Output::Event(event) => {
                log(&event);
                None
            }
        };
        out.into_iter().filter_map(carry).collect()
    }
}

fn log(event: &Event) {
    match event {
        Event::Behind(kind, from, stand) => {
            tracing::info!(
                kind = kind.word(),
                from,
                number = stand.number,
                "this node is behind: asked for what is newer"
            );
        }
        Event::BroughtUp(kind, source, stand) => {
            tracing::info!(
                kind = kind.word(),
                ?source,
                number = stand.number,
                "this node is brought up"
            );
        }
        Event::Fork(kind, from, own, other) => tracing::error!(
            kind = kind.word(),
            from,
            number = own.number,
            digest = format!("{:016x}", own.digest),
            theirs = format!("{:016x}", other.digest),
            code = postproxy_version_tracking::REMEDIES[0].0,
            remedy = postproxy_version_tracking::REMEDIES[0].1,
            "one number means two things"
        ),
    }
}
