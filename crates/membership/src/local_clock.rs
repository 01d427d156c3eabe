//! The time that this process had: what it missed in a pause is none, and after one it goes slower for a while.

/// So much later than asked for is no trouble, in seconds.
const SLACK: f64 = 0.05;
/// The slowest that own time goes is one part in so many and one.
const MOST: f64 = 8.0;
/// Being late by so many seconds slows by one part.
const STEP: f64 = 0.25;
/// Seconds in which one such part passes again.
const RECOVERY: f64 = 2.0;

/// Own time, beside the clock that is told.
#[derive(Debug)]
pub struct LocalClock {
    /// The latest time told.
    told: f64,
    own: f64,
    /// How far from well this process is: 0 well.
    ill: f64,
    /// What has been left out so far.
    missed: f64,
}

impl LocalClock {
    /// Begins now.
    pub fn new(now: f64) -> Self {
        Self {
            told: now,
            own: 0.0,
            ill: 0.0,
            missed: 0.0,
        }
    }

    /// It is `now`; what comes next was to come at `due` of own time. Gives own time.
    pub fn at(&mut self, now: f64, due: Option<f64>) -> f64 {
        let passed = (now - self.told).max(0.0);
        let wake = due.map_or(f64::INFINITY, |due| {
            (due - self.own).max(0.0) * (1.0 + self.ill)
        });
        let late = (passed - wake - SLACK).max(0.0);
        // What is left out counts as one slack: a pause is not measured by who slept through it.
        self.own += (passed - late) / (1.0 + self.ill);
        self.missed += late;
        let well = (self.ill - (passed - late) / RECOVERY).max(0.0);
        self.ill = (well + late / STEP).min(MOST);
        self.told = self.told.max(now);
        self.own
    }

    /// When it will be `due` of own time, by the clock that is told.
    pub fn when(&self, due: f64) -> f64 {
        self.told + (due - self.own).max(0.0) * (1.0 + self.ill)
    }

    /// Own time at the latest call.
    pub fn own(&self) -> f64 {
        self.own
    }

    /// How far from well: 0 well, at most 8.
    pub fn ill(&self) -> f64 {
        self.ill
    }

    /// Seconds that have been left out.
    pub fn missed(&self) -> f64 {
        self.missed
    }
}
