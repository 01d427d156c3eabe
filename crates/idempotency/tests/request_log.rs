//! The ledger against a model: random steps, a death after any of them with any part of the last writes lost.

use postproxy_idempotency::{
    Completion, Limits, Lookup, RequestIdentity, RequestLog, Resolution, Write, result_key,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};

const DIGEST: [u8; 32] = [7; 32];

fn asked<'a>(id: &'a str, key: Option<&'a str>) -> RequestIdentity<'a> {
    RequestIdentity {
        id,
        key,
        class: "day-plan",
        digest: DIGEST,
    }
}

/// What is on the disk.
#[derive(Clone, Debug, Default)]
struct Disk(BTreeMap<Vec<u8>, Vec<u8>>);

impl Disk {
    fn write(&mut self, writes: Vec<Write>) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => _ = self.0.insert(key, value),
                Write::Delete { key } => _ = self.0.remove(&key),
            }
        }
    }

    fn start(&mut self, limits: Limits) -> RequestLog {
        let mut ledger = RequestLog::new(limits);
        for (key, value) in &self.0 {
            ledger.load(key, value);
        }
        let writes = ledger.loaded();
        self.write(writes);
        ledger
    }
}

/// Guards against a returning client's getting anything but what its job has come to.
#[test]
fn a_returning_client_gets_what_its_job_came_to() {
    let (mut disk, mut ledger) = (Disk::default(), RequestLog::new(Limits::default()));
    let look = |ledger: &RequestLog, id, key| ledger.standing(&asked(id, key));
    assert_eq!(look(&ledger, "a", Some("k")), Lookup::New);
    disk.write(ledger.intend(100.0, &asked("a", Some("k")), "w-1", 112.0));
    assert_eq!(look(&ledger, "b", Some("k")), Lookup::Running("a".into()));
    let mut other = asked("b", Some("k"));
    other.digest = [8; 32];
    assert_eq!(ledger.standing(&other), Lookup::Conflict);
    let mut ledger = disk.start(Limits::default());
    assert_eq!(ledger.in_doubt(), 1);
    assert_eq!(look(&ledger, "b", Some("k")), Lookup::InDoubt("a".into()));
    assert_eq!(look(&ledger, "a", None), Lookup::InDoubt("a".into()));
    // Another worker's word is not this one's.
    assert_eq!(
        ledger.word(101.0, "a", "w-2", Completion::Done(b"x")).0,
        Resolution::Nothing
    );
    let (settled, writes) = ledger.word(101.0, "a", "w-1", Completion::Done(b"result"));
    assert_eq!((settled, ledger.in_doubt()), (Resolution::Served, 0));
    disk.write(writes);
    assert_eq!(
        ledger.word(102.0, "a", "w-1", Completion::Failed).0,
        Resolution::Nothing,
        "it is settled"
    );
    let ledger = disk.start(Limits::default());
    assert_eq!(look(&ledger, "c", Some("k")), Lookup::Served("a".into()));
    assert_eq!(
        disk.0.get(&result_key("a")).map(Vec::as_slice),
        Some(&b"result"[..])
    );
}

/// Guards against a second run because a word proves less than it seems to, and against none though nothing ran.
#[test]
fn only_a_job_that_never_ran_runs_afresh() {
    let (mut disk, mut ledger) = (Disk::default(), RequestLog::new(Limits::default()));
    disk.write(ledger.intend(100.0, &asked("a", None), "w-1", 112.0));
    disk.write(ledger.ended(100.1, "a", 0, false));
    let fresh = disk.start(Limits::default());
    assert_eq!(
        fresh.standing(&asked("a", None)),
        Lookup::New,
        "it was handed back before the end"
    );
    assert!(disk.0.is_empty());
    disk.write(ledger.intend(100.2, &asked("a", None), "w-2", 112.0));
    let mut ledger = disk.start(Limits::default());
    assert_eq!(
        ledger.word(101.0, "a", "w-1", Completion::Returned).0,
        Resolution::Nothing,
        "of an earlier attempt"
    );
    let (settled, writes) = ledger.word(101.0, "a", "w-2", Completion::Returned);
    disk.write(writes);
    assert_eq!(settled, Resolution::NeverRan);
    assert_eq!(ledger.standing(&asked("a", None)), Lookup::New);
    disk.write(ledger.intend(102.0, &asked("a", None), "w-1", 112.0));
    disk.write(ledger.ended(103.0, "a", 0, true));
    disk.write(ledger.over(103.0, "a"));
    assert_eq!(ledger.standing(&asked("a", None)), Lookup::Failed);
    assert_eq!(
        disk.start(Limits::default()).standing(&asked("a", None)),
        Lookup::Failed
    );
}

/// Guards against results beyond the limit, a full ledger that drops a job in doubt, and one that is full for
/// ever.
#[test]
fn a_full_ledger_drops_only_what_is_settled() {
    let limits = Limits {
        jobs: 2,
        result: 4,
        retention_of: HashMap::from([("day-plan".into(), 50.0)]),
        retention: 9.0,
    };
    let (mut disk, mut ledger) = (Disk::default(), RequestLog::new(limits.clone()));
    disk.write(ledger.intend(100.0, &asked("a", None), "w", 112.0));
    disk.write(ledger.intend(100.0, &asked("b", None), "w", 112.0));
    assert_eq!(ledger.make_room(), None, "both may still run");
    let mut doubts = disk.start(limits.clone());
    assert_eq!((doubts.make_room(), doubts.in_doubt()), (None, 2));
    disk.write(ledger.served(101.0, "b", b"far too long"));
    assert_eq!(
        ledger.standing(&asked("b", None)),
        Lookup::Failed,
        "its result is not kept"
    );
    assert!(!disk.0.contains_key(&result_key("b")));
    disk.write(ledger.make_room().expect("one is settled"));
    assert_eq!(
        (ledger.len(), ledger.standing(&asked("b", None))),
        (1, Lookup::New)
    );
    let mut ledger = disk.start(limits);
    ledger.expire(149.9);
    assert_eq!(ledger.len(), 1);
    ledger.expire(150.1);
    assert!(ledger.is_empty() && ledger.in_doubt() == 0);
}

/// Guards against forgetting what could not be written while the disk was full.
#[test]
fn what_was_refused_is_written_when_the_disk_is_back() {
    let (mut disk, mut ledger) = (Disk::default(), RequestLog::new(Limits::default()));
    disk.write(ledger.intend(100.0, &asked("a", None), "w", 112.0));
    drop(ledger.served(101.0, "a", b"lost"));
    ledger.unwritten("a");
    disk.write(ledger.rewrite());
    assert_eq!(ledger.rewrite(), []);
    assert_eq!(
        disk.start(Limits::default()).standing(&asked("a", None)),
        Lookup::Failed
    );
}

#[derive(Clone, Debug)]
enum Step {
    Ask(u8),
    NeverRan(u8),
    MayHaveRun(u8),
    Done(u8),
    Die(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..5u8, 0..4u8).prop_map(|(kind, n)| match kind {
        0 => Step::Ask(n),
        1 => Step::NeverRan(n),
        2 => Step::MayHaveRun(n),
        3 => Step::Done(n),
        _ => Step::Die(n),
    });
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a second run of a job that may have run, whatever order of ends, answers and deaths. A
    /// worker runs each attempt that is sent; it is sent only behind its durable intent. All other writes may be
    /// lost at a death.
    #[test]
    fn a_job_that_may_have_run_never_runs_again(steps in steps()) {
        let (mut disk, mut ledger) = (Disk::default(), RequestLog::new(Limits::default()));
        let mut unsynced: Vec<Vec<Write>> = Vec::new();
        // Of each job: how often it may have run; whether its attempt is out in this life, and its number.
        let (mut runs, mut out, mut tries) = ([0u32; 4], [None::<usize>; 4], [0usize; 4]);
        let mut served = [false; 4];
        let mut now = 100.0;
        for step in steps {
            now += 0.1;
            match step {
                Step::Ask(n) => {
                    let id = format!("job-{n}");
                    let standing = ledger.standing(&asked(&id, None));
                    let at = n as usize;
                    match standing {
                        Lookup::New => {
                            prop_assert_eq!(runs[at], 0, "{} would run again", id);
                            // Group commit: what was written before is durable with it.
                            unsynced.drain(..).for_each(|writes| disk.write(writes));
                            disk.write(ledger.intend(now, &asked(&id, None), "w", now + 10.0));
                            (runs[at], out[at], tries[at]) = (1, Some(0), 1);
                        }
                        Lookup::Running(_) => prop_assert!(out[at].is_some()),
                        // It may be that nothing ran, if the word of that was lost: no harm but a failure.
                        Lookup::InDoubt(_) | Lookup::Failed => prop_assert!(out[at].is_none()),
                        Lookup::Served(_) => prop_assert!(served[at]),
                        Lookup::Conflict => prop_assert!(false, "no other request has this id"),
                    }
                }
                Step::NeverRan(n) => {
                    let (id, at) = (format!("job-{n}"), n as usize);
                    if let Some(attempt) = out[at].take() {
                        runs[at] = 0;
                        unsynced.push(ledger.ended(now, &id, attempt, false));
                        unsynced.push(ledger.over(now, &id));
                    }
                }
                Step::MayHaveRun(n) => {
                    let (id, at) = (format!("job-{n}"), n as usize);
                    if let Some(attempt) = out[at].take() {
                        unsynced.push(ledger.ended(now, &id, attempt, true));
                        unsynced.push(ledger.over(now, &id));
                    }
                }
                Step::Done(n) => {
                    let (id, at) = (format!("job-{n}"), n as usize);
                    if out[at].take().is_some() {
                        unsynced.push(ledger.served(now, &id, b"result"));
                        served[at] = true;
                    } else if runs[at] > 0 && !served[at] {
                        let (settled, writes) = ledger.word(now, &id, "w", Completion::Done(b"result"));
                        served[at] = settled == Resolution::Served;
                        unsynced.push(writes);
                    }
                }
                Step::Die(keep) => {
                    let keep = unsynced.len() * keep as usize / 3;
                    unsynced.drain(..).take(keep).for_each(|writes| disk.write(writes));
                    ledger = disk.start(Limits::default());
                    out = [None; 4];
                    // What was served and is not known to be is in doubt, or failed: never new.
                    for n in 0..4 {
                        let standing = ledger.standing(&asked(&format!("job-{n}"), None));
                        prop_assert!(runs[n] == 0 || standing != Lookup::New, "job-{} is forgotten", n);
                        served[n] &= matches!(standing, Lookup::Served(_));
                    }
                }
            }
        }
        prop_assert!(tries.iter().all(|t| *t <= 1));
    }
}
