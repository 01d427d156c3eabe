//! Who hears whom directly: whom this node should hear, whom it does not, and what others say of themselves.

use crate::suspended_workers::Fnv;
use std::collections::{BTreeMap, BTreeSet};

/// Up to so many nodes each hears every other.
pub const ALL: usize = 16;
/// Beyond, each hears so many on either side in the order of hashed names.
const SIDE: usize = 2;
/// So many complaints of one node are spread.
pub const MOST_COMPLAINTS: usize = 32;

/// The names in the order of their hashes.
pub fn order(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut order: Vec<String> = names.collect();
    order.sort_by_cached_key(|name| (Fnv::of(name), name.clone()));
    order.dedup();
    order
}

/// Those that a node should hear, and that should hear it, in a list in the order of [`order`].
pub fn pairs<'a>(order: &'a [String], voters: &BTreeSet<String>, me: &str) -> Vec<&'a String> {
    let key = (Fnv::of(me), me);
    let Ok(at) = order.binary_search_by_key(&key, |name| (Fnv::of(name), name)) else {
        return Vec::new();
    };
    let count = order.len();
    if count <= ALL {
        return order.iter().filter(|name| *name != me).collect();
    }
    let beside =
        (1..=SIDE).flat_map(|n| [&order[(at + n) % count], &order[(at + count - n) % count]]);
    let mut found: BTreeSet<&String> = beside.collect();
    if voters.contains(me) {
        found.extend(order.iter().filter(|name| voters.contains(*name)));
    }
    found.into_iter().filter(|name| *name != me).collect()
}

#[derive(Debug)]
struct Heard {
    /// Its life, and the highest number heard of it.
    life: u64,
    number: u64,
    /// When it was heard last, or first should have been.
    at: f64,
}

/// What this node hears.
#[derive(Debug, Default)]
pub struct Reachability {
    heard: BTreeMap<String, Heard>,
    /// Whom it should hear and does not.
    deaf: BTreeSet<String>,
}

impl Reachability {
    /// It should hear these now; who is new among them has from now on to be heard.
    pub fn should(&mut self, now: f64, names: &[String]) {
        self.heard.retain(|name, _| names.contains(name));
        self.deaf.retain(|name| names.contains(name));
        for name in names {
            self.heard.entry(name.clone()).or_insert(Heard {
                life: 0,
                number: 0,
                at: now,
            });
        }
    }

    /// It has heard a node directly; an old word counts for nothing.
    pub fn hear(&mut self, now: f64, name: &str, life: u64, number: u64) {
        if let Some(heard) = self.heard.get_mut(name)
            && (heard.life != life || number > heard.number)
        {
            *heard = Heard {
                life,
                number,
                at: now,
            };
        }
    }

    /// Looks whom it does not hear any more.
    pub fn look(&mut self, now: f64, patience: f64) {
        let deaf = self
            .heard
            .iter()
            .filter(|(_, h)| now - h.at > patience)
            .map(|(name, _)| name.clone());
        self.deaf = deaf.collect();
    }

    /// Whom it should hear and does not.
    pub fn deaf(&self) -> impl Iterator<Item = &String> {
        self.deaf.iter()
    }
}
