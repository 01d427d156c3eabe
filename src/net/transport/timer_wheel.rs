//! A timer wheel with coarse ticks. It has no clock: callers pass the time, in seconds.

/// Number of slots, one per tick; a timer that is further ahead stays in its slot for more than one
/// turn of the wheel.
const SLOTS: usize = 4096;
/// Number of slots that one word of the bitmap covers.
const SLOTS_PER_WORD: usize = 64;
/// Number of words in the bitmap.
const WORDS: usize = SLOTS / SLOTS_PER_WORD;

/// A timer in its slot.
struct Entry<T> {
    /// The tick at which it expires.
    due: u64,
    timer: T,
}

/// Timers that expire in the order of their ticks, never early and at most a tick late.
pub struct TimerWheel<T> {
    /// Length of a tick, in seconds.
    tick: f64,
    /// The last tick whose timers have expired.
    last_tick: u64,
    slots: Vec<Vec<Entry<T>>>,
    /// A bit for each slot that holds timers.
    occupied: [u64; WORDS],
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel that starts at `now`, with ticks of `tick` seconds.
    pub fn new(tick: f64, now: f64) -> Self {
        Self {
            tick,
            last_tick: (now / tick) as u64,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            occupied: [0; WORDS],
        }
    }

    /// Sets a timer that expires at `at`, in seconds. A timer that is already due, or whose time is
    /// not a number, expires with the next tick; a time beyond the range of ticks counts as the
    /// last tick.
    pub fn insert(&mut self, at: f64, timer: T) {
        let due = ((at / self.tick).ceil() as u64).max(self.last_tick + 1);
        let slot = due as usize % SLOTS;
        self.slots[slot].push(Entry { due, timer });
        self.occupied[slot / SLOTS_PER_WORD] |= 1 << (slot % SLOTS_PER_WORD);
    }

    /// Removes and returns the timers that are due by `now`, in the order of their ticks; those of
    /// one tick in the order in which they were set.
    pub fn advance(&mut self, now: f64) -> Vec<T> {
        let last = (now / self.tick) as u64;
        let mut expired = Vec::new();
        // If a whole turn of the wheel or more has passed, each slot is visited once.
        let first = (self.last_tick + 1).max((last + 1).saturating_sub(SLOTS as u64));
        for tick in first..=last {
            let slot = tick as usize % SLOTS;
            let bit = 1 << (slot % SLOTS_PER_WORD);
            let word = &mut self.occupied[slot / SLOTS_PER_WORD];
            if *word & bit == 0 {
                continue;
            }
            let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.slots[slot])
                .into_iter()
                .partition(|entry| entry.due <= last);
            if later.is_empty() {
                *word &= !bit;
            }
            self.slots[slot] = later;
            expired.extend(due);
        }
        self.last_tick = self.last_tick.max(last);
        expired.sort_by_key(|entry| entry.due);
        expired.into_iter().map(|entry| entry.timer).collect()
    }

    /// Returns when to call [`Self::advance`] next: no later than the next timer expires, and
    /// earlier if the next occupied slot holds only timers of a later turn. `None` without timers.
    pub fn next(&self) -> Option<f64> {
        let start = (self.last_tick + 1) as usize % SLOTS;
        let start_word = start / SLOTS_PER_WORD;
        // The first word is visited twice: first for its slots from `start` on, and at the end for
        // those before it.
        (0..=WORDS).find_map(|offset| {
            let word = (start_word + offset) % WORDS;
            let mut bits = self.occupied[word];
            if offset == 0 {
                bits &= u64::MAX << (start % SLOTS_PER_WORD);
            }
            if bits == 0 {
                return None;
            }
            let slot = word * SLOTS_PER_WORD + bits.trailing_zeros() as usize;
            let ahead = (slot + SLOTS - start) % SLOTS;
            Some((self.last_tick + 1 + ahead as u64) as f64 * self.tick)
        })
    }
}
