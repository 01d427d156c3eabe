//! A clock that counts only the time in which this process runs. A pause of the process hardly
//! advances it, and after a pause it runs slower for a while, so that a paused or starved node
//! doesn't declare others failed (as the local health of Lifeguard does).

/// A call that is late by no more than this, in seconds, counts as on time.
const LATENESS_TOLERANCE_SECONDS: f64 = 0.05;
/// Maximum slowdown. At this value the clock runs at one ninth of the wall clock's speed.
const MAX_SLOWDOWN: f64 = 8.0;
/// Lateness in seconds that raises the slowdown by 1.
const LATENESS_PER_SLOWDOWN_SECONDS: f64 = 0.25;
/// Counted time in seconds in which the slowdown falls by 1.
const RECOVERY_SECONDS: f64 = 2.0;

/// Local time of this process. It starts at 0.
#[derive(Debug)]
pub struct LocalClock {
    /// Latest reading of the wall clock, in seconds.
    last_reading: f64,
    /// Local time in seconds.
    local_time: f64,
    /// The clock runs at `1 / (1 + slowdown)` of the wall clock's speed.
    slowdown: f64,
    /// Seconds of the wall clock that were not counted, as calls were late.
    skipped_seconds: f64,
}

impl LocalClock {
    /// Starts the clock at this reading of the wall clock, in seconds.
    pub fn new(now: f64) -> Self {
        Self {
            last_reading: now,
            local_time: 0.0,
            slowdown: 0.0,
            skipped_seconds: 0.0,
        }
    }

    /// Advances the clock to the wall clock's reading `now`. `deadline` is the local time at which
    /// this call was due: the time by which the call is late isn't counted. Returns the local time
    /// in seconds.
    pub fn advance(&mut self, now: f64, deadline: Option<f64>) -> f64 {
        let elapsed = (now - self.last_reading).max(0.0);
        let expected = deadline.map_or(f64::INFINITY, |deadline| {
            (deadline - self.local_time).max(0.0) * (1.0 + self.slowdown)
        });
        let lateness = (elapsed - expected - LATENESS_TOLERANCE_SECONDS).max(0.0);
        // Of a pause only the tolerance is counted: while the process was stopped it received
        // nothing, so the pause says nothing about the other nodes.
        let counted = elapsed - lateness;
        self.local_time += counted / (1.0 + self.slowdown);
        self.skipped_seconds += lateness;
        let recovered = (self.slowdown - counted / RECOVERY_SECONDS).max(0.0);
        self.slowdown = (recovered + lateness / LATENESS_PER_SLOWDOWN_SECONDS).min(MAX_SLOWDOWN);
        self.last_reading = self.last_reading.max(now);
        self.local_time
    }

    /// Returns the wall clock's reading at which the local time will be `local_time`, in seconds.
    pub fn wall_time_at(&self, local_time: f64) -> f64 {
        self.last_reading + (local_time - self.local_time).max(0.0) * (1.0 + self.slowdown)
    }

    /// Returns the local time at the latest call of [`Self::advance`], in seconds.
    pub fn local_time(&self) -> f64 {
        self.local_time
    }

    /// Returns the slowdown: 0 for a process that runs on time, at most 8.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the seconds of the wall clock that were not counted so far, as calls were late.
    pub fn skipped_seconds(&self) -> f64 {
        self.skipped_seconds
    }
}
