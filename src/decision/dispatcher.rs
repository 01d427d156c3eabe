//! Every decision of a dispatcher. What goes in and comes out is in `src/decision/interface.rs`.
//! The ordinary path is the lottery of SNS: a job goes to a worker drawn at random, with tickets
//! 1 / (load + correction + 1), the correction counting this dispatcher's own jobs, which are taken off what
//! a report tells of the load.

use crate::decision::interface::*;
use crate::decision::random::Random;
use crate::decision::state::{
    Attempt, Known, MigratedRequest, Own, Report, Request, State, Worker,
};
use std::collections::BTreeMap;

// Times are in usual jobs (the smoothed running time of a job here) where no other unit is named.
const POOL: usize = 32; // workers that a draw is over, and those heard of last: more cost time, gain little
const SAMPLE: usize = 3; // workers asked for their load at a time: a fourth adds less than it costs
const SAMPLE_HELD: usize = 8; // the same where a subject is held: room that is not known of costs a fetch
const ROUNDS: u32 = 2; // rounds of asking, before a job makes do with what is known
const PROBE_BUDGET: f64 = 5.0; // probes a request may cost on average, held ones too
const PROBE_SPEND: f64 = 0.0075; // of all points: dearer probes are made as much less often
const PROBE_WAIT: f64 = 0.1; // of the aim: a longer wait for probes costs more than a better place gains
const REPORT_LAG: f64 = 0.2; // a report is that old when it arrives; own sends since are not in it
const MEMORY: f64 = 4.0; // without any news the mean load is forgotten by e in this time
const OTHERS: f64 = 0.3; // weight of a new report in what others hold there: it is old and noisy
const OLD: f64 = 4.0; // by e in this time what others hold there is taken for the mean
const HEARD: f64 = 4.0; // a worker not heard of for longer is not known to have room
const BLIND: f64 = 0.05; // of the jobs that others are known to have room for go to a worker not heard of
const FRESH: f64 = 0.5; // up to this age a worker counts as just heard of, where others could be asked
const SMOOTH: f64 = 0.1; // weight of a new figure in the smoothed ones: some ten make a mean
const RUN_MOST: f64 = 2.0; // of its own work: what a job takes beyond that it has waited
const TRUST: f64 = 0.5; // with fewer of its promises kept, what reports say of room is not believed
const HOLD: f64 = 0.4; // of the aim: a held job looks for room again after this time
const LATE_HOLD: f64 = 3.0; // times longer for a job that is late already: the others go first
const ZONE_EXCESS: f64 = 1.0; // own zone first, up to so many jobs a worker above the fleet's mean
const HEDGE: f64 = 0.1; // of the time to wait: a job that tells no start by then gets a copy where that helps
const SILENCE: f64 = 1.15; // progress intervals: a job silent for longer waits, or hangs
const RETRY_BUDGET: f64 = 0.05; // copies of silent jobs a request may cost on average
const RETRY_SPEND: f64 = 0.0025; // of all points: where waste is dearer, there are as many fewer
const SAVED: f64 = 10.0; // requests' worth of those budgets that may be saved for a bad moment
const EJECT: f64 = 8.0; // first ejection: with few jobs a worker is drawn seldom, so a short one is none
const EJECT_MOST: f64 = 32.0; // longest; each failure in a row doubles it
const TAKEN: i32 = 3; // power of the share taken in the tickets: answers known are few, so they must weigh
const AWAY: f64 = 0.005; // of its tickets a worker keeps for each one that a subject prefers to it
const AWAY_MOST: i32 = 2; // preferred ones, up to which a cold worker is near enough to a subject
const TURNED_AWAY: f64 = 0.1; // of its tickets a worker keeps that turned a class away: it may be over
const EJECT_SHARE: f64 = 0.5; // with more ejected the cause is not the workers: none is left out
const COLD_SHARE: f64 = 0.7; // of the multiple that tips a worker over: overload multiplies what arrives
const BACK: f64 = 1.0; // jobs that all dispatchers together owe a worker back in use, beside what is drawn
const BACK_SPREAD: f64 = 3.0; // seconds in which they are given: an operator looks whether it is used again
const COLD_BUDGET: f64 = 0.8; // of a cold worker's budget for a window: more is not for one dispatcher
const UNEVEN: f64 = 4.0; // times the mean part: some dispatchers have several times the mean traffic
const BURST: f64 = 1.5; // times the usual traffic, up to which passes to cold workers grow with it
const LOOK_BACK: f64 = 10.0; // windows of that budget over which a dispatcher's usual traffic is taken
const SHORT: f64 = 0.1; // with more first tries of so much less time, a later one's says nothing of its age
const WINDOW_SHARE: f64 = 0.9; // of a keyed job's window: sending again takes time
const SWIFT: f64 = 0.25; // of its hint: no job ends sooner, on a quick worker and with a high hint
const ANSWER_TICKS: f64 = 2.0; // the final answer is given so many ticks before the client's deadline

// A timer's purpose stands above the request id, which is below 2^52.
const ANSWER: u64 = 0;
const REVIEW: u64 = 1 << 52;
const ASK: u64 = 2 << 52;

/// One dispatcher: what it knows, its open requests, its random numbers.
pub struct Dispatcher {
    set: Settings,
    rng: Random,
    now: f64,
    out: Vec<Action>,
    known: Known,
    requests: BTreeMap<RequestId, Request>,
}

impl Dispatcher {
    /// A dispatcher that knows nothing yet; its random numbers follow from the seed. An error if the
    /// settings hold a figure out of range, see [`Settings::validate`].
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        let usual_of: Vec<f64> = set.classes.iter().map(|c| c.aim.max(set.tick)).collect();
        let known = Known {
            probes: SAVED,
            ..Known::new(usual_of)
        };
        Ok(Self {
            set,
            rng: Random::new(seed),
            now: 0.0,
            out: Vec::new(),
            known,
            requests: BTreeMap::new(),
        })
    }

    /// Takes one event that happens at `now` and adds what is to be done at that time to `out`.
    /// Unknown requests, workers and timers are ignored; a clock that steps back is taken as it comes.
    pub fn handle(&mut self, now: f64, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, entries } => self.list(*kind, entries),
            Event::Request(new) => self.arrive(new),
            Event::Streaming { request, attempt } => {
                self.requests
                    .entry(*request)
                    .and_modify(|r| r.stream(*attempt));
            }
            Event::Note {
                request,
                attempt,
                note,
            } => self.note(*request, *attempt, *note),
            Event::Outcome {
                request,
                attempt,
                worker,
                outcome,
                closed,
                report,
                ..
            } => {
                self.settle((*request, *attempt), *worker, *outcome, report);
                self.outcome(*request, *attempt, *outcome, *closed);
            }
            Event::ClientGone { request } => self.close(*request),
            Event::Timer { token } => match (token / REVIEW * REVIEW, token % REVIEW) {
                (ANSWER, id) => self.finish(id, false),
                (REVIEW, id) => self.review(id),
                (ASK, 0) if self.now + self.set.tick >= self.known.ask_at => self.ask(),
                _ => {}
            },
            Event::Probed {
                worker,
                outcome,
                report,
                elapsed,
            } => self.probed(*worker, *outcome, report, *elapsed),
            Event::Use { worker, again } => self.employ(*worker, *again),
            Event::Balancers(count) => self.set.balancers = *count,
            Event::SiblingEvent(news) => self.known.elsewhere(news),
            Event::MigratedRequest { request, carried } => self.carry_on(*request, carried),
            Event::Peer => {}
        }
        out.append(&mut self.out);
    }

    /// A time between once and one and a half times `after` from now: dispatchers must not act in step.
    fn jitter(&mut self, after: f64) -> f64 {
        self.now + after.max(self.set.tick) * (1.0 + 0.5 * self.rng.uniform())
    }

    /// Looks at a request again after a while; an earlier look that is still due comes first.
    fn look(&mut self, after: f64, id: RequestId) {
        let at = self.jitter(after);
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let at = if r.out() == 0 {
            at.min(self.hope(r)).max(self.now + self.set.tick)
        } else {
            at
        };
        let sooner = |r: &&mut Request| r.look <= self.now || at < r.look;
        let Some(r) = self.requests.get_mut(&id).filter(sooner) else {
            return;
        };
        r.look = at;
        self.out.push(Action::Timer {
            at,
            token: REVIEW | id,
        });
    }

    // ---- What is known of each worker ----

    /// Takes in a load report; `ended` slots of an own job that just ended there are in it still.
    fn learn(&mut self, w: usize, figures: &[f32], ended: f64) {
        let Some(load) = self.known.load_told(&self.set, w, figures) else {
            return;
        };
        let memory = self
            .set
            .figure(figures, Field::FreeMemory)
            .unwrap_or(f64::INFINITY);
        self.report(
            w,
            Report {
                load: (load - ended).max(0.0),
                memory,
                at: self.now,
            },
        );
    }

    fn report(&mut self, w: usize, report: Report) {
        let known = &mut self.known;
        known.hear(w, POOL / 2);
        let (worker, seen) = (&mut known.workers[w], self.now - REPORT_LAG * known.usual);
        let others = (report.load - worker.own_before(seen)).max(0.0);
        worker.others = worker.report.map_or(others, |_| {
            worker.others + OTHERS * (others - worker.others)
        });
        (worker.report, known.news_at) = (Some(report), self.now);
        let zone = known
            .zone_load
            .entry(worker.entry.zone)
            .or_insert(report.load);
        for mean in [&mut known.mean_load, zone] {
            *mean += SMOOTH * (report.load - *mean);
        }
        let kind = known.kind_others.entry(worker.entry.kind).or_insert(others);
        *kind += SMOOTH * (others - *kind);
    }

    /// Reported load plus the correction, in jobs. Reports are old when they come, at times by seconds, but
    /// how many own jobs are out there is known. So of what is reported only what others hold is kept,
    /// smoothed, fading towards the mean of its kind; the correction is all own jobs that have not ended.
    /// Danger: by the last report alone, all jobs go to the workers that have just answered.
    fn load(&self, w: &Worker) -> f64 {
        // Danger: a dispatcher that holds its jobs hears nothing more, and would hold them for ever.
        let old = (self.now - self.known.news_at).max(0.0) / (MEMORY * self.known.usual);
        let known = &self.known.kind_others;
        let mean = known
            .get(&w.entry.kind)
            .copied()
            .unwrap_or(self.known.mean_load)
            * (-old).exp();
        let age = |r: Report| (self.now - r.at).max(0.0) / (OLD * self.known.usual);
        let known = w
            .report
            .map_or(0.0, |r| (-age(r)).exp() * (w.others - mean));
        // Without reports own jobs alone show no queue: the others are taken to hold as much there.
        let alike = if self.set.reports == Reports::None {
            self.set.balancers.max(1).into()
        } else {
            1.0
        };
        (mean + known).max(0.0) + w.own_before(f64::INFINITY) * alike
    }

    /// Whether own jobs are so many that their answers tell of all workers while reports count.
    fn hears_all(&self, class: usize) -> bool {
        let jobs = self.known.taken.since(self.now - HEARD * self.known.usual);
        jobs >= self.known.ready_of[class].len()
    }

    fn slots(&self, w: &Worker) -> f64 {
        self.known
            .slots_of
            .get(&w.entry.kind)
            .copied()
            .unwrap_or(0.0) // not known
    }

    /// Expected wait for a slot.
    fn wait(&self, w: &Worker) -> f64 {
        let known =
            self.set.reports == Reports::None || self.known.kind_others.contains_key(&w.entry.kind);
        let slots = self.slots(w).max(1.0);
        if known {
            (self.load(w) - slots).max(0.0) / slots * self.known.usual
        } else {
            0.0
        }
    }

    /// Share of a class's jobs that a worker takes: its last answer, fading into what all workers do.
    /// Exception: a factor of the tickets, 1 until a promise of room ends in 'full'. Danger: a worker that
    /// turns one class away, or all work, looks idle and wins draws. Harm: it may have been full for once.
    fn accepts(&self, w: &Worker, class: usize) -> f64 {
        let all = self.known.accepts[class];
        let fades = |at: f64| (-(self.now - at) / (EJECT_MOST * self.known.usual)).exp();
        w.answered
            .get(&class)
            .map_or(all, |&(last, at)| all + (last - all) * fades(at))
    }

    /// Whether the job should find a free slot, by what is known of a worker that was heard of lately.
    fn room(&self, w: &Worker, job: &Request) -> bool {
        let free = self.slots(w) - self.load(w);
        w.told_since(self.now - HEARD * self.known.usual)
            && w.report
                .is_some_and(|r| free >= job.need && r.memory >= job.memory)
    }

    /// Share of its capacity that a worker has at least: it rises evenly from its start.
    fn warmth(&self, w: &Worker) -> f64 {
        let share = (self.now - w.started()).max(0.0) / self.set.cold.max(self.set.tick);
        let cold = w.started() > 0.0 && share < 1.0;
        if cold {
            self.set.cold_from + (1.0 - self.set.cold_from) * share
        } else {
            1.0
        }
    }

    /// Takes a worker out of the draw for a while, or until it is heard of: silence is not death.
    fn eject(&mut self, w: usize) {
        let until = self.jitter(
            self.known.usual * (EJECT * 2f64.powi(self.known.workers[w].failures)).min(EJECT_MOST),
        );
        let worker = &mut self.known.workers[w];
        if worker.ejected_until <= self.now {
            (worker.ejected_until, worker.failures) = (until, (worker.failures + 1).min(16));
        }
    }

    /// Books the end of an attempt on its worker, also when its request has ended before.
    fn settle(&mut self, key: (RequestId, u16), id: WorkerId, outcome: Outcome, report: &[f32]) {
        let Some(&w) = self.known.index.get(&id) else {
            return;
        };
        let (now, usual, slots) = (
            self.now,
            self.known.usual,
            self.slots(&self.known.workers[w]),
        );
        let pushed_out = self
            .requests
            .get(&key.0)
            .is_some_and(|r| self.set.pushes_out(r.class));
        let worker = &mut self.known.workers[w];
        let Some(own) = worker.take_own(key, now) else {
            return;
        };
        match outcome {
            Outcome::Ok => (worker.failures, worker.ejected_until) = (0, 0.0),
            Outcome::Error => {
                // A worker that fails fast empties its queue; the failed job weighs on as if it ran.
                worker.own.push(Own {
                    until: Some(own.sent + own.work.max(usual)),
                    ..own
                });
                self.eject(w);
            }
            Outcome::Reset if pushed_out => {}
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => self.eject(w),
            Outcome::Full => {
                let load = worker
                    .report
                    .map_or(0.0, |r| r.load)
                    .max(2.0 * slots.max(1.0));
                self.report(
                    w,
                    Report {
                        load,
                        memory: 0.0,
                        at: now,
                    },
                );
            }
            Outcome::Cancelled | Outcome::Moot | Outcome::Unknown(_) => {}
        }
        self.learn(
            w,
            report,
            if outcome == Outcome::Ok {
                own.need
            } else {
                0.0
            },
        );
    }

    /// Takes the answer to a probe sent so long ago. Danger: one that is older than the last, or than the
    /// worker's start, would put old figures in the place of new ones.
    fn probed(&mut self, id: WorkerId, outcome: Outcome, report: &[f32], elapsed: f64) {
        let Some(&w) = self.known.index.get(&id) else {
            return;
        };
        let (sent, worker) = (self.now - elapsed, &mut self.known.workers[w]);
        if sent < worker.answered_probe.max(worker.started()) {
            return;
        }
        (worker.probed, worker.answered_probe) = (None, sent);
        match outcome {
            Outcome::Ok => self.learn(w, report, 0.0),
            Outcome::Full | Outcome::Moot => {}
            _ => self.eject(w),
        }
        let asked = |(&id, r): (&RequestId, &Request)| r.sample.contains(&w).then_some(id);
        for id in self.requests.iter().filter_map(asked).collect::<Vec<_>>() {
            let Some(r) = self.requests.get_mut(&id) else {
                continue;
            };
            r.sample.retain(|&s| s != w);
            if r.sample.is_empty() {
                self.place(id);
            }
        }
    }

    // ---- The draw ----

    /// Draws workers among `from`, tickets 1 / (load + correction + 1), all counted per unit of size.
    /// Exception: a factor of the tickets, by how many workers the request's subject prefers to each.
    fn draw(&mut self, id: RequestId, from: &[usize], count: usize) -> Vec<usize> {
        let Some(r) = self.requests.get(&id) else {
            return Vec::new();
        };
        let (class, workers) = (r.class, &self.known.workers);
        let ticket = |w: &Worker| {
            self.accepts(w, class).powi(TAKEN) * w.size(self.set.sized) / (self.load(w) + 1.0)
        };
        let away = self.away(r, from);
        let tickets = from
            .iter()
            .zip(away)
            .map(|(&w, away)| AWAY.powi(away) * ticket(&workers[w]));
        let mut tickets: Vec<f64> = tickets.collect();
        let mut one = |_| {
            self.rng
                .lottery(&tickets)
                .inspect(|&i| tickets[i] = 0.0)
                .map(|i| from[i])
        };
        (0..count.min(from.len())).filter_map(&mut one).collect()
    }

    /// How many of these workers the request's subject prefers to each, the same at all dispatchers.
    /// Danger: drawn by load alone, each subject is fetched by every worker, and each keeps it but briefly.
    fn away(&self, r: &Request, from: &[usize]) -> Vec<i32> {
        r.subject.map_or_else(
            || vec![0; from.len()],
            |subject| self.known.preferred(subject, from),
        )
    }

    /// Whether a send of this request to this worker keeps every rule. Each send passes here.
    fn may_send(&self, r: &Request, w: usize) -> bool {
        let (now, worker, class) = (self.now, &self.known.workers[w], &self.set.classes[r.class]);
        // Answer: never after the end, never so late that no answer can come.
        let answer =
            now < r.deadline && r.attempts.len() < self.set.max_attempts as usize && !r.streaming;
        // Drain: nothing new once told, by the list or an operator, without using up the grace.
        let drain = self.known.usable(&worker.entry);
        // Effect: what may have run goes again only as its class allows, and never to the same worker.
        let effect = (self.set.second_copies || r.out() == 0)
            && !r.may_have_run_at(w)
            && match class.effect_of(r.keyless) {
                Effect::Safe => true,
                Effect::Unsafe => !r.ran(),
                Effect::Keyed => r
                    .attempts
                    .iter()
                    .filter(|a| a.state != State::NeverRan)
                    .all(|a| {
                        let to = (worker.entry.zone, worker.entry.cell);
                        class.drops_repeats(a.home, to) && now < self.window_ends(class, a)
                    }),
            };
        // Placement: only the kinds and zones that the class is bound to, whatever their state.
        let placed = class.admits(&worker.entry);
        // Budget: further attempts in the window, this one counted, against the requests taken in it.
        let (known, since, tick) = (
            &self.known,
            |b: RetryBudget| now - b.look_back,
            self.set.tick,
        );
        let most = |b: RetryBudget| b.spare + b.ratio * known.taken.since(since(b) + tick) as f64;
        let within = |b: RetryBudget| (known.further.since(since(b) - tick) + 1) as f64 <= most(b);
        let budget = r.attempts.is_empty() || self.set.retry_budget.is_none_or(within);
        // Cold: only with a pass, and only what fits this dispatcher's part of its budget for one window.
        let sent = worker.sent_since(now - self.set.tip_after) + r.work;
        let cold =
            self.warmth(worker) >= 1.0 || r.pass == Some(w) && sent <= self.cold_part(worker);
        answer && drain && effect && placed && budget && cold
    }

    /// Work that all dispatchers together may send to a cold worker in one window.
    fn cold_budget(&self, w: &Worker) -> f64 {
        self.set.fall_multiple * self.warmth(w) * self.slots(w).max(1.0) * self.set.tip_after
    }

    /// One dispatcher's part of it, with what chance may add to a part of a few jobs.
    fn cold_part(&self, w: &Worker) -> f64 {
        let part =
            COLD_BUDGET * self.cold_budget(w) * UNEVEN / f64::from(self.set.balancers.max(1));
        let most = part + 2.0 * (part * self.known.usual).sqrt() + self.known.usual;
        most.min(COLD_BUDGET * self.cold_budget(w))
    }

    /// Danger: all dispatchers together push over a cold worker, whose empty queue wins every draw. Jobs go
    /// there only with a pass; summed over all, passes stay under its share of the fleet's capacity now. In a
    /// burst they grow by half at most.
    fn roll_pass(&mut self) -> Option<usize> {
        if let Some(w) = self.known.owed_a_job(self.now) {
            return Some(w);
        }
        let (known, window) = (&mut self.known, self.set.tip_after);
        known.rolls.push(self.now);
        let (usual, rolls) = (
            known.taken.mean(self.now, window, LOOK_BACK),
            known.rolls.since(self.now - window),
        );
        let burst = (rolls as f64 / (BURST * (usual + 2.0 * usual.sqrt() + 1.0))).max(1.0);
        let mut at = self.rng.uniform() * burst * self.known.all_size
            / (COLD_SHARE * self.set.fall_multiple);
        self.known.started.iter().copied().find(|&w| {
            let (worker, warmth) = (&self.known.workers[w], self.warmth(&self.known.workers[w]));
            at -= if warmth < 1.0 {
                warmth * worker.size(self.set.sized)
            } else {
                0.0
            };
            at < 0.0
        })
    }

    /// The workers that a draw is over: on a large fleet some at random, or those that a subject prefers;
    /// those heard of last; a pass's.
    fn pool(&mut self, class: usize, subject: Option<u64>, pass: Option<usize>) -> Vec<usize> {
        let ready = &self.known.ready_of[class];
        if ready.len() <= 2 * POOL {
            return ready.clone();
        }
        let mut pick = |_| ready[(self.rng.uniform() * ready.len() as f64) as usize];
        let mut pool: Vec<usize> = match subject {
            Some(subject) => self.known.most_preferred(subject, ready, POOL),
            None => (0..POOL).map(&mut pick).collect(),
        };
        pool.extend(self.known.heard.iter().copied().chain(pass));
        pool.sort_unstable();
        pool.dedup();
        pool
    }

    /// Exception: where probes are allowed, a few workers drawn at random are asked before the lottery.
    /// Danger: a dispatcher with few jobs hears so little that its figures are older than the jobs.
    fn sound_out(&mut self, id: RequestId, from: &[usize], most: usize) {
        let sample = self.draw(id, from, most);
        for &w in &sample {
            let worker = &mut self.known.workers[w];
            if worker
                .probed
                .is_none_or(|at| self.now - at > 4.0 * self.set.dial_timeout)
            {
                (worker.probed, self.known.probes) = (Some(self.now), self.known.probes - 1.0);
                self.out.push(Action::Probe {
                    worker: worker.entry.worker,
                });
            }
        }
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let wait = PROBE_WAIT * self.set.classes[r.class].aim;
        (r.sample, r.sample_until, r.rounds) = (sample, self.now + wait, r.rounds + 1);
        self.look(wait, id);
    }

    // ---- The life of a request ----

    fn arrive(&mut self, new: &NewRequest) {
        let (id, now, class) = (new.request, self.now, new.class as usize);
        if self.requests.contains_key(&id) || id >= REVIEW {
            return;
        }
        let fail = Action::Fail { request: id };
        let Some(set) = self.set.classes.get(class) else {
            return self.out.push(fail);
        };
        let positive = |x: f64| sound(x).filter(|x| *x > 0.0);
        let budget = positive(new.budget).unwrap_or(0.0).min(set.deadline);
        // A later try of a client has less time left than a first one; so has a client of less patience.
        // Danger: taken for the former, it is given up as late at once. Marks tell them apart.
        self.known.budget_of[class] = self.known.budget_of[class].max(budget);
        let (spent, short) = (
            self.known.budget_of[class] - budget,
            &mut self.known.short_of[class],
        );
        let marked_first = self.set.marks_retry && !new.repeat;
        if marked_first {
            *short += SMOOTH * (f64::from(u8::from(spent > SHORT * budget)) - *short);
        }
        let first = if marked_first || *short > SHORT {
            now
        } else {
            now - spent
        };
        let (need, memory) = (
            positive(new.slots).unwrap_or(1.0),
            sound(new.memory).unwrap_or(0.0),
        );
        let hint = new.hint.and_then(positive);
        let (work, least) = (
            hint.unwrap_or(self.known.usual_of[class]),
            SWIFT * hint.unwrap_or(0.0),
        );
        let deadline = now + budget - (ANSWER_TICKS * self.set.tick).min(budget / 2.0);
        let subject = Some(new.key).filter(|key| *key != 0 && self.set.fetch_price > 0.0);
        let request = Request {
            class,
            subject,
            keyless: new.keyless,
            need,
            memory,
            ..Request::default()
        };
        self.requests.insert(
            id,
            Request {
                work,
                least,
                first,
                deadline,
                ..request
            },
        );
        self.known.taken.push(now);
        let probes = affordable(PROBE_BUDGET, PROBE_SPEND, self.set.probe_price);
        let retries = affordable(RETRY_BUDGET, RETRY_SPEND, self.set.waste_price);
        self.known.retries = (self.known.retries + retries).min(SAVED);
        self.known.probes = (self.known.probes + probes).min(SAVED * probes.max(1.0));
        self.out.push(Action::Timer {
            at: deadline,
            token: ANSWER | id,
        });
        self.place(id);
    }

    /// Sends a request's next attempt by lottery, after asking a few workers where that helps; or holds it.
    fn place(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        if self.now >= self.hope(r) || self.all_out(r.class) {
            return self.finish(id, true);
        }
        let (of, subject, rounds, ran, copy) = (r.class, r.subject, r.rounds, r.ran(), r.out() > 0);
        let keyed = matches!(
            self.set.classes[of],
            Class {
                effect: Effect::Keyed,
                group: Group::Cell,
                ..
            }
        );
        let home = r
            .attempts
            .iter()
            .find(|a| keyed && a.state != State::NeverRan)
            .map(|a| a.home);
        let pass = if r.rolled <= r.attempts.len() {
            self.roll_pass()
        } else {
            r.pass
        };
        let fresh = (rounds == 0 && home.is_none()).then(|| self.pool(of, subject, pass));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        (r.pass, r.rolled) = (pass, r.attempts.len() + 1);
        r.pool = fresh.unwrap_or(std::mem::take(&mut r.pool));
        let (r, workers) = (&self.requests[&id], &self.known.workers);
        let pool = home
            .map_or(Some(&r.pool), |home| self.known.cells.get(&home))
            .map_or(&[][..], |p| p);
        let mut wide: Vec<usize> = pool
            .iter()
            .copied()
            .filter(|&w| self.may_send(r, w))
            .collect();
        narrow(&mut wide, |&w| !r.attempts.iter().any(|a| a.worker == w));
        narrow(&mut wide, |&w| {
            self.slots(&workers[w]) == 0.0 || self.slots(&workers[w]) >= r.need
        });
        // A pass is worth its draw: a cold worker that had to be drawn as well would stay idle.
        let (held, away) = (subject.is_some(), self.away(r, &wide));
        let at = |pass: &usize| {
            wide.iter()
                .position(|w| w == pass)
                .filter(|&at| away[at] <= AWAY_MOST)
        };
        let idle = |w: &Worker| w.owed.is_some() || self.wait(w) <= 0.0;
        if let Some(w) = r.pass.filter(|w| at(w).is_some() && idle(&workers[*w])) {
            return self.send(id, w);
        }
        let well = |&w: &usize| workers[w].ejected_until <= self.now;
        if ran || wide.iter().filter(|w| well(w)).count() as f64 >= EJECT_SHARE * wide.len() as f64
        {
            narrow(&mut wide, well);
        }
        // Exception: the draw is limited to workers known to have room, if any are. Danger: many
        // dispatchers with old figures queue jobs behind full workers while others idle.
        let trust = self.known.trust >= TRUST;
        let takes = |w: usize| trust && self.accepts(&workers[w], of) >= TRUST;
        let roomy = |w: &&usize| takes(**w) && self.room(&workers[**w], r);
        let mut best: Vec<usize> = wide.iter().filter(roomy).copied().collect();
        // Danger: one that nothing was ever sent to is not heard of, so it would never be drawn.
        let since = self.now - HEARD * self.known.usual;
        let unheard = |w: &usize| workers[*w].own.is_empty() && !workers[*w].told_since(since);
        if !best.is_empty() && wide.iter().any(unheard) && self.rng.uniform() < BLIND {
            best = wide.iter().copied().filter(unheard).collect();
        }
        // Exception: own zone first where crossing has a price, while it isn't much more loaded. Danger: a
        // dispatcher with few jobs never hears of the other zones, and all that hold a zone full stay in it.
        let zone = self
            .known
            .zone_load
            .get(&self.set.zone)
            .copied()
            .unwrap_or(0.0);
        let near = self.set.cross_zone_price > 0.0
            && !held
            && rounds == 0
            && zone <= self.known.mean_load + ZONE_EXCESS
            && self.hears_all(of);
        let local = |&w: &usize| !near || workers[w].entry.zone == self.set.zone;
        let sample = if held { SAMPLE_HELD } else { SAMPLE };
        let wanted = if rounds == 0 {
            sample
        } else {
            usize::from(trust && rounds < ROUNDS)
        };
        let mut from = wide.clone();
        narrow(&mut from, local);
        if self.set.may_probe && self.known.probes >= 1.0 && best.len() < wanted && !from.is_empty()
        {
            return self.sound_out(id, &from, sample);
        }
        // Danger: a subject whose worker is not heard of would move to any that is.
        let idle = |w: &usize| !workers[*w].told_since(since) && self.wait(&workers[*w]) <= 0.0;
        best.extend(wide.iter().copied().filter(|w| held && idle(w)));
        narrow(&mut best, local);
        match self.draw(id, &best, 1)[..] {
            [w] => return self.send(id, w),
            _ if copy && self.set.may_probe => return, // not behind another queue
            _ => {}
        }
        // Exception: no job joins a queue in which it would be late; the less its worth for the work, the
        // shorter the queue; one late already, by late worth twice: what it earns, and whom it delays.
        // Danger: under overload all wait, and all of them are late. `once`: a full queue is the job's end.
        let (r, class) = (&self.requests[&id], &self.set.classes[of]);
        let (slack, hold) = (self.slack(r), HOLD * class.aim);
        let once = self.set.full_proves_nothing && class.effect_of(r.keyless) == Effect::Unsafe;
        let late = if once {
            0.0
        } else {
            class.late_worth.powi(2) * (r.deadline - self.now)
        };
        let limit = slack.max(late) * self.rank(r);
        wide.retain(|&w| self.wait(&self.known.workers[w]) <= limit);
        let young =
            |w: &usize| self.known.workers[*w].told_since(self.now - FRESH * self.known.usual);
        narrow(&mut wide, |w| !trust || !self.set.may_probe || young(w));
        narrow(&mut wide, |w| from.contains(w));
        if let [w] = self.draw(id, &wide, 1)[..] {
            return self.send(id, w);
        }
        self.requests.entry(id).and_modify(|r| r.rounds = 0);
        self.look(
            if slack > 0.0 && !copy {
                hold
            } else {
                LATE_HOLD * hold
            },
            id,
        );
    }

    /// Time left to wait; half of what its work adds to the aim is kept for slow workers and rough hints.
    fn slack(&self, r: &Request) -> f64 {
        let class = &self.set.classes[r.class];
        r.first + class.aim + 0.5 * (class.stretch - 1.0).max(0.0) * r.work - self.now
    }

    /// Until when a send may and can still help; a job that waits for none then has its final answer at once.
    /// Danger: held to its deadline, a job given up keeps its client from asking again.
    fn hope(&self, r: &Request) -> f64 {
        let class = &self.set.classes[r.class];
        let useful = r.first + class.aim + class.stretch * r.work;
        let end = if class.late_worth > 0.0 {
            r.deadline
        } else {
            useful.min(r.deadline)
        } - r.least;
        let mut ran = r.attempts.iter().filter(|a| a.state != State::NeverRan);
        match class.effect_of(r.keyless) {
            _ if r.attempts.len() >= self.set.max_attempts as usize => f64::NEG_INFINITY,
            Effect::Safe => end,
            Effect::Unsafe => ran.next().map_or(end, |_| f64::NEG_INFINITY),
            Effect::Keyed => ran.map(|a| self.window_ends(class, a)).fold(end, f64::min),
        }
    }

    /// Until when a keyed job may be sent again. Danger: what counts is when it arrives, a connection later.
    fn window_ends(&self, class: &Class, first: &Attempt) -> f64 {
        first.sent + WINDOW_SHARE * class.window - self.set.dial_timeout
    }

    /// Worth for a unit of work, against the best class.
    fn rank(&self, r: &Request) -> f64 {
        let work = |i: usize| {
            if self.set.worth_by_work {
                1.0
            } else {
                self.known.usual_of[i]
            }
        };
        let worth = |i: usize| self.set.classes[i].worth / work(i);
        let best = (0..self.set.classes.len()).map(worth).fold(0.0, f64::max);
        if best > 0.0 {
            worth(r.class) / best
        } else {
            1.0
        }
    }

    fn send(&mut self, id: RequestId, w: usize) {
        let Some(r) = self.requests.get(&id).filter(|r| self.may_send(r, w)) else {
            return;
        };
        let promised = self.room(&self.known.workers[w], r);
        let (number, wait) = (r.attempts.len() as u16, self.patience(r, false));
        self.known.retries -= f64::from(u8::from(r.out() > 0));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let worker = &mut self.known.workers[w];
        worker.owed = None;
        worker.own.push(Own {
            key: (id, number),
            need: r.need,
            work: r.work,
            sent: self.now,
            until: None,
        });
        worker.note_sent(self.now, r.work, self.set.tip_after);
        if number > 0 {
            self.known.further.push(self.now);
        }
        r.attempts
            .push(Attempt::new(w, &worker.entry, self.now, promised));
        r.rounds = 0;
        self.out.push(Action::Send {
            request: id,
            worker: worker.entry.worker,
            timeout: 0.0,
        });
        self.look(wait, id);
    }

    /// Where workers tell of starts, a job that waits can be copied, and what still waits be called back.
    fn waits(&self, started: bool) -> bool {
        self.set.tells_start && self.set.may_cancel && !started
    }

    /// How long a job may be silent before it gets a copy, or once started its worker is in doubt.
    fn patience(&self, r: &Request, started: bool) -> f64 {
        let class = &self.set.classes[r.class];
        let whole = 2.0 * (class.aim + (class.stretch + 1.0) * r.work);
        let heard = if self.set.progress > 0.0 {
            SILENCE * self.set.progress
        } else {
            whole
        };
        if self.waits(started) {
            HEDGE * (self.slack(r) + self.now - r.first)
        } else {
            heard
        }
    }

    fn note(&mut self, id: RequestId, attempt: u16, note: Note) {
        let attempts = self.requests.get_mut(&id).map(|r| &mut r.attempts);
        let Some(a) = attempts.and_then(|a| a.get_mut(attempt as usize)) else {
            return;
        };
        a.heard = self.now;
        let worker = &mut self.known.workers[a.worker];
        worker.ejected_until = worker.ejected_until.min(self.now);
        if a.started.is_none() && note != Note::Other {
            a.started = Some(self.now);
            self.call_back(id, |a| a.started.is_none()); // one copy runs now: the others still wait
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: u16, outcome: Outcome, closed: bool) {
        let (now, known) = (self.now, &mut self.known);
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let (class, usual) = (&self.set.classes[r.class], &mut known.usual_of[r.class]);
        if let Some(a) = r
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.state == State::Out)
        {
            let never_ran = outcome.proves_never_ran(self.set.full_proves_nothing);
            a.state = if never_ran {
                State::NeverRan
            } else {
                State::MayHaveRun
            };
            if outcome == Outcome::Ok {
                let took = now
                    - if self.set.tells_start {
                        a.started.unwrap_or(a.sent)
                    } else {
                        a.sent
                    };
                let most = RUN_MOST * r.work; // else waits count as work, and each makes the next look longer
                for usual in [usual, &mut known.usual] {
                    *usual += SMOOTH * (took.max(self.set.tick).min(most) - *usual);
                }
            }
            // Danger: reports that come late promise room that is long gone, and all crowd there. A promise
            // is kept by a job in time; the fewer are kept, the less reports count.
            if outcome == Outcome::Ok || a.promised && outcome == Outcome::Full {
                let ok = if outcome == Outcome::Ok {
                    1.0
                } else {
                    TURNED_AWAY
                };
                known.accepts[r.class] += SMOOTH * (ok - known.accepts[r.class]);
                known.workers[a.worker].answered.insert(r.class, (ok, now));
            }
            if a.promised && outcome == Outcome::Ok {
                let kept = now - a.sent <= class.aim + class.stretch * r.work;
                known.trust += SMOOTH * (f64::from(u8::from(kept)) - known.trust);
            }
        }
        if closed {
            self.close(id);
        } else if r.out() == 0 && r.sample.is_empty() {
            self.place(id);
        }
    }

    /// Looks again at a request that waits for probes, for a worker, or for an attempt gone silent.
    fn review(&mut self, id: RequestId) {
        let (now, soon) = (self.now, self.now + self.set.tick / 2.0);
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| soon >= r.look && !r.streaming)
        else {
            return;
        };
        r.look = 0.0;
        if !r.sample.is_empty() && soon < r.sample_until {
            let wait = r.sample_until - now;
            return self.look(wait, id);
        }
        r.sample.clear();
        let last = r
            .attempts
            .iter()
            .enumerate()
            .rfind(|(_, a)| a.state == State::Out);
        let Some((last, a)) = last else {
            return self.place(id);
        };
        let (silent, w, started) = (now - a.heard, a.worker, a.started.is_some());
        let r = &self.requests[&id];
        let (wait, hung) = (self.patience(r, started), silent >= self.patience(r, true));
        if silent < wait {
            return self.look(wait - silent, id);
        }
        if hung {
            self.eject(w);
        }
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let broken = hung && std::mem::take(&mut r.attempts[last].promised);
        self.known.trust -= if broken {
            SMOOTH * self.known.trust
        } else {
            0.0
        };
        // Exception: a copy of a job that waits or is silent, where its class allows. Danger: a hung or full
        // worker holds it. Harm: waste; so a budget binds, unless one is stated or only copies find room.
        let allowed =
            self.set.classes[r.class].effect_of(r.keyless) != Effect::Unsafe && r.out() < 2;
        let only = self.waits(false) && !self.set.may_probe && self.set.reports != Reports::None;
        let free = self.set.retry_budget.is_some() || only;
        if allowed && (free || self.known.retries >= 1.0) {
            self.place(id);
        }
        self.look(wait, id);
    }

    /// Gives the final answer, `early` or at the deadline: a refusal only where trying again is harmless.
    fn finish(&mut self, id: RequestId, early: bool) {
        let due = |r: &&Request| {
            !r.streaming && (early && r.out() == 0 || self.now + self.set.tick >= r.deadline)
        };
        let Some(r) = self.requests.get(&id).filter(due) else {
            return;
        };
        let class = &self.set.classes[r.class];
        let harmless = !r.ran() || class.repeats_anywhere(r.keyless);
        let refuse = Action::Refuse {
            request: id,
            retry_after: self.set.max_retry_after.min(class.aim),
        };
        self.out.push(if harmless {
            refuse
        } else {
            Action::Fail { request: id }
        });
        self.close(id);
    }

    /// Forgets a request that has its final answer; copies still out are called back.
    fn close(&mut self, id: RequestId) {
        self.call_back(id, |_| true);
        self.requests.remove(&id);
    }

    fn call_back(&mut self, id: RequestId, which: impl Fn(&Attempt) -> bool) {
        let Some(r) = self.requests.get_mut(&id).filter(|_| self.set.may_cancel) else {
            return;
        };
        let cancel = |attempt: u16| Action::Cancel {
            request: id,
            attempt,
        };
        self.out.extend(r.call_back(which).into_iter().map(cancel));
    }

    // ---- Membership ----

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            (self.known.asks_failed, self.known.watching) =
                ((self.known.asks_failed + 1).min(3), false);
            return self.ask_in(self.set.must_ask_in * 0.05 * 2f64.powi(self.known.asks_failed));
        }
        if kind == ListKind::Cached {
            let spread = self.rng.uniform(); // all may start at once: calls spread over the time allowed
            self.ask_in(spread * 0.4 * self.set.must_ask_in);
        } else if kind != ListKind::Passed {
            (self.known.asks_failed, self.known.watching) = (0, true);
        }
        self.known.take_in(kind, entries);
        self.known.sort(&self.set);
    }

    /// An operator's ban, or its end. A worker back in use was most likely restarted: it is cold and nothing
    /// known of it holds, yet it is owed a job soon. Danger: all dispatchers owe it one at the same moment.
    fn employ(&mut self, id: WorkerId, again: bool) {
        let at = self.known.index.get(&id).copied();
        let started = at.map_or(0.0, |w| self.known.workers[w].entry.started);
        if !again {
            self.known.banned.entry(id).or_insert(started);
        } else if let Some(before) = self.known.banned.remove(&id) {
            let owes = self.rng.uniform() * f64::from(self.set.balancers.max(1)) < BACK;
            let owed = owes.then_some(self.now + self.rng.uniform() * BACK_SPREAD);
            let back = if started > before { 0.0 } else { self.now };
            at.into_iter()
                .for_each(|w| self.known.back_in_use(w, back, owed));
        }
        self.known.sort(&self.set);
        let waits = |(&id, r): (&RequestId, &Request)| {
            (r.out() == 0 && self.all_out(r.class)).then_some(id)
        };
        for id in self.requests.iter().filter_map(waits).collect::<Vec<_>>() {
            self.finish(id, true);
        }
    }

    /// Lets a request go to another process of this node, with what is noted of it; nothing is called back.
    pub fn release(&mut self, id: RequestId) -> Option<MigratedRequest> {
        self.requests.remove(&id).map(|r| self.known.release(id, r))
    }

    /// Goes on with a request of another process, as if its attempts had been sent from here.
    fn carry_on(&mut self, id: RequestId, carried: &MigratedRequest) {
        let Some(r) = self.known.carry_on(id, carried, self.set.classes.len()) else {
            return;
        };
        self.out.push(Action::Timer {
            at: r.deadline,
            token: ANSWER | id,
        });
        self.requests.insert(id, r);
        self.review(id);
    }

    /// When requests were taken and further attempts made of late: what another process has to count, too.
    pub fn past(&self, most: usize) -> (Vec<f64>, Vec<f64>) {
        let since = self.now
            - self
                .set
                .retry_budget
                .map_or(0.0, |b| b.look_back + self.set.tick);
        (
            self.known.taken.latest(most, since),
            self.known.further.latest(most, since),
        )
    }

    /// Whether operators have taken all workers out that a class could go to.
    fn all_out(&self, class: usize) -> bool {
        self.known
            .all_out(&self.set.classes[class], &self.known.ready_of[class])
    }

    fn ask_in(&mut self, after: f64) {
        // Danger: were each timer to count, a dead discovery would double them with every call that fails.
        self.known.ask_at = self.jitter(after);
        self.out.push(Action::Timer {
            at: self.known.ask_at,
            token: ASK,
        });
    }

    fn ask(&mut self) {
        if !self.known.watching && self.set.list_on_request {
            self.out.push(Action::Watch);
            self.ask_in(0.5 * self.set.must_ask_in); // if nothing at all comes back
        }
    }
}

/// How many of something a request may cost: `most`, or what the share of all points buys at its price.
fn affordable(most: f64, spend: f64, price: f64) -> f64 {
    if price > 0.0 {
        most.min(spend / price)
    } else {
        most
    }
}

/// Keeps the workers that pass, if any do.
fn narrow(from: &mut Vec<usize>, keep: impl Fn(&usize) -> bool) {
    if from.iter().any(&keep) {
        from.retain(keep);
    }
}
