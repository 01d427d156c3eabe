//! Timers on a wheel of coarse ticks. It owns no clock: it is told the time.

/// Ticks of one turn; a timer further off stays in its slot for more turns.
const SLOTS: usize = 4096;

/// Timers that come due in the order of their ticks, never early and at most a tick late.
pub struct TimerWheel<T> {
    tick: f64,
    /// The last tick that has been played.
    played: u64,
    slots: Vec<Vec<(u64, T)>>,
    /// A bit for each slot that holds timers.
    taken: [u64; SLOTS / 64],
}

impl<T> TimerWheel<T> {
    /// An empty wheel of ticks of so many seconds that starts at `now`.
    pub fn new(tick: f64, now: f64) -> Self {
        let slots = (0..SLOTS).map(|_| Vec::new()).collect();
        Self {
            tick,
            played: (now / tick) as u64,
            slots,
            taken: [0; SLOTS / 64],
        }
    }

    /// Sets a timer; one that is due already comes with the next tick.
    pub fn insert(&mut self, at: f64, what: T) {
        // A time that is no number comes at once, one out of range in the furthest tick.
        let due = ((at / self.tick).ceil() as u64).max(self.played + 1);
        let slot = due as usize % SLOTS;
        self.slots[slot].push((due, what));
        self.taken[slot / 64] |= 1 << (slot % 64);
    }

    /// The timers due by `now`, in the order of their ticks; those of a tick in the order they were set.
    pub fn advance(&mut self, now: f64) -> Vec<T> {
        let last = (now / self.tick) as u64;
        let mut due = Vec::new();
        // After a turn or more, each slot is looked at once.
        let from = (self.played + 1).max((last + 1).saturating_sub(SLOTS as u64));
        for tick in from..=last {
            let slot = tick as usize % SLOTS;
            if self.taken[slot / 64] & (1 << (slot % 64)) == 0 {
                continue;
            }
            let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.slots[slot])
                .into_iter()
                .partition(|(at, _)| *at <= last);
            if later.is_empty() {
                self.taken[slot / 64] &= !(1 << (slot % 64));
            }
            self.slots[slot] = later;
            due.extend(ready);
        }
        self.played = self.played.max(last);
        due.sort_by_key(|(at, _)| *at);
        due.into_iter().map(|(_, what)| what).collect()
    }

    /// When to look again: no later than the next timer, at times earlier; `None` without timers.
    pub fn next(&self) -> Option<f64> {
        let start = (self.played + 1) as usize % SLOTS;
        let word = |i: usize| (start / 64 + i) % (SLOTS / 64);
        (0..=SLOTS / 64).find_map(|i| {
            let mut bits = self.taken[word(i)];
            if i == 0 {
                bits &= u64::MAX << (start % 64);
            }
            let slot = word(i) * 64 + bits.trailing_zeros() as usize;
            (bits != 0).then(|| {
                let ahead = (slot + SLOTS - start) % SLOTS;
                (self.played + 1 + ahead as u64) as f64 * self.tick
            })
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    /// Guards against a timer that comes early, late, twice, never, or out of its order, far ones included.
    #[test]
    fn timers_come_once_in_order_and_on_time() {
        fn holds(steps: Vec<(u16, u8)>) -> bool {
            let (mut wheel, mut now) = (TimerWheel::new(0.002, 1000.0), 1000.0);
            let mut open: Vec<(f64, usize)> = Vec::new();
            for (n, (ahead, pass)) in steps.into_iter().enumerate() {
                let at = now + f64::from(ahead) * 0.001;
                wheel.insert(at, (at, n));
                open.push((at, n));
                let next = wheel.next();
                if !next.is_some_and(|next| open.iter().all(|(at, _)| next <= at.max(now) + 0.0041))
                {
                    return false;
                }
                now += f64::from(pass) * 0.03;
                let mut last = 0.0;
                for (at, n) in wheel.advance(now) {
                    let held = open
                        .iter()
                        .position(|&(_, m)| m == n)
                        .map(|i| open.remove(i))
                        .is_some();
                    if !held || at > now + 1e-9 || at + 0.004 < last {
                        return false;
                    }
                    last = at;
                }
                if open.iter().any(|(at, _)| at + 0.0041 < now) {
                    return false;
                }
            }
            wheel.advance(now + 100.0).len() == open.len() && wheel.next().is_none()
        }
        let mut check = QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, 7))
            .tests(400);
        check.quickcheck(holds as fn(Vec<(u16, u8)>) -> bool);
    }

    /// Guards against a timer of no sensible time stopping the wheel or the program.
    #[test]
    fn odd_times_do_no_harm() {
        let mut wheel = TimerWheel::new(0.002, 5.0);
        for at in [f64::NAN, f64::NEG_INFINITY, -1.0, f64::INFINITY, 1e300] {
            wheel.insert(at, ());
        }
        assert_eq!(wheel.advance(5.01).len(), 3);
        assert_eq!(wheel.advance(500.0).len(), 0);
    }
}
