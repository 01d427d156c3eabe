//! Timelines: a history drawn as text. Time runs down, each node or worker has a column, and
//! messages cross from one column to another.

use std::fmt::Write;

/// The widest drawing, in characters.
pub const MAX_WIDTH: usize = 160;
/// The least width of a column, in characters.
const MIN_COLUMN_WIDTH: usize = 8;
/// The greatest width of a column, in characters.
const MAX_COLUMN_WIDTH: usize = 24;
/// The width of the column with the times, in characters.
const TIME_WIDTH: usize = 9;
/// A stretch without marks that is longer than this many rounding units is drawn as one line.
const MAX_GAP_UNITS: u64 = 10;
/// The least rounding unit that counts for the length of such a stretch, in milliseconds.
const MIN_GAP_UNIT_MS: u64 = 50;

/// What is drawn at a time.
#[derive(Clone, Debug, PartialEq)]
enum Mark {
    /// The state of a column from now on; empty for none in particular.
    State { column: usize, state: String },
    /// Something that happens in a column.
    Event { column: usize, text: String },
    /// A message from one column to another.
    Message {
        from: usize,
        to: usize,
        text: String,
    },
    /// Something that happens to all columns.
    GlobalEvent { text: String },
}

/// A mark with its time.
#[derive(Clone, Debug)]
struct TimedMark {
    at_ms: u64,
    mark: Mark,
}

/// A history to be drawn.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    columns: Vec<String>,
    marks: Vec<TimedMark>,
}

impl Timeline {
    /// Returns a timeline with columns of these names.
    pub fn new(columns: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self {
            columns: columns.into_iter().map(Into::into).collect(),
            marks: Vec::new(),
        }
    }

    /// Sets the state of a column from this time on, in milliseconds. The state that it has already
    /// is drawn once.
    pub fn set_state(&mut self, at_ms: u64, column: usize, state: impl Into<String>) {
        let state = state.into();
        if last_state(&self.marks, column) != state {
            self.add(at_ms, Mark::State { column, state });
        }
    }

    /// Adds something that happens in a column.
    pub fn add_event(&mut self, at_ms: u64, column: usize, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::Event { column, text });
    }

    /// Adds a message from one column to another.
    pub fn add_message(&mut self, at_ms: u64, from: usize, to: usize, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::Message { from, to, text });
    }

    /// Adds something that happens to all columns.
    pub fn add_global_event(&mut self, at_ms: u64, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::GlobalEvent { text });
    }

    fn add(&mut self, at_ms: u64, mark: Mark) {
        self.marks.push(TimedMark { at_ms, mark });
    }

    /// Returns the part of the timeline from this time on; it begins with the states that the
    /// columns had then.
    pub fn since(&self, at_ms: u64) -> Self {
        let (before, after): (Vec<TimedMark>, Vec<TimedMark>) = self
            .marks
            .iter()
            .cloned()
            .partition(|mark| mark.at_ms < at_ms);
        let mut part = Self::new(self.columns.clone());
        for column in 0..self.columns.len() {
            part.set_state(at_ms, column, last_state(&before, column));
        }
        part.marks.extend(after);
        part
    }

    /// Returns the drawing. Times are in milliseconds from the first mark, rounded down to a
    /// multiple of `round_ms`; a long stretch without marks is drawn as one line without a time.
    pub fn draw(&self, round_ms: u64) -> String {
        let round_ms = round_ms.max(1);
        let mut marks = self.marks.clone();
        // The sort is stable: marks of one time stay in the order in which they were added.
        marks.sort_by_key(|mark| mark.at_ms / round_ms);
        let first_ms = marks.first().map_or(0, |mark| mark.at_ms);
        let mut drawing = Drawing::new(&self.columns);
        let mut last_ms: Option<u64> = None;
        for TimedMark { at_ms, mark } in marks {
            let time_ms = (at_ms - first_ms) / round_ms * round_ms;
            let max_gap_ms = MAX_GAP_UNITS * round_ms.max(MIN_GAP_UNIT_MS);
            if last_ms.is_some_and(|last_ms| time_ms >= last_ms + max_gap_ms) {
                drawing.draw_gap();
            }
            let label = (last_ms != Some(time_ms)).then_some(time_ms);
            drawing.draw_mark(label, mark);
            last_ms = Some(time_ms);
        }
        drawing.text
    }
}

/// Returns the latest state of a column; empty if it has none.
fn last_state(marks: &[TimedMark], column: usize) -> String {
    let last = marks.iter().rev().find_map(|timed| match &timed.mark {
        Mark::State { column: of, state } if *of == column => Some(state.clone()),
        _ => None,
    });
    last.unwrap_or_default()
}

/// A drawing in the making.
struct Drawing {
    text: String,
    /// The width of a column, in characters.
    width: usize,
    /// The state of each column.
    states: Vec<String>,
}

impl Drawing {
    /// Returns a drawing with the names of the columns.
    fn new(columns: &[String]) -> Self {
        let width = (MAX_WIDTH - TIME_WIDTH) / columns.len().max(1);
        let width = width.clamp(MIN_COLUMN_WIDTH, MAX_COLUMN_WIDTH);
        let mut text = " ".repeat(TIME_WIDTH);
        write_cells(&mut text, columns, width);
        Self {
            text: text.trim_end().to_owned() + "\n",
            width,
            states: vec![String::new(); columns.len()],
        }
    }

    fn draw_gap(&mut self) {
        let cells = self.resting_cells();
        self.draw_line(None, &cells);
    }

    fn draw_mark(&mut self, time_ms: Option<u64>, mark: Mark) {
        let mut cells = self.resting_cells();
        match mark {
            Mark::State { column, state } => {
                if let Some(cell) = cells.get_mut(column) {
                    *cell = if state.is_empty() {
                        "|".to_owned()
                    } else {
                        format!("[{state}]")
                    };
                    self.states[column] = state;
                }
                self.draw_line(time_ms, &cells);
            }
            Mark::Event { column, text } => {
                if let Some(cell) = cells.get_mut(column) {
                    *cell = format!("*{text}");
                }
                self.draw_line(time_ms, &cells);
            }
            Mark::Message { from, to, text } => {
                self.draw_message(time_ms, &cells, from, to, &text);
            }
            Mark::GlobalEvent { text } => {
                let text = fit(&format!("== {text} =="), MAX_WIDTH - TIME_WIDTH);
                self.text += &(time_cell(time_ms) + &text + "\n");
            }
        }
    }

    /// Returns what stands in each column while nothing happens there: a sign for its state.
    fn resting_cells(&self) -> Vec<String> {
        let sign = |state: &String| match state.split(' ').next().unwrap_or_default() {
            "" => "|",
            "gone" | "dead" => "",
            "stopped" => ":",
            _ => "#",
        };
        self.states
            .iter()
            .map(|state| sign(state).to_owned())
            .collect()
    }

    fn draw_line(&mut self, time_ms: Option<u64>, cells: &[String]) {
        let mut line = time_cell(time_ms);
        write_cells(&mut line, cells, self.width);
        self.text += line.trim_end();
        self.text.push('\n');
    }

    /// Draws a message from one column to another: `o---text--->`.
    fn draw_message(
        &mut self,
        time_ms: Option<u64>,
        cells: &[String],
        from: usize,
        to: usize,
        text: &str,
    ) {
        let left = from.min(to);
        let right = from.max(to);
        if left == right || right >= cells.len() {
            return self.draw_line(time_ms, cells);
        }
        let arrow_width = (right - left) * self.width - 1;
        let label = fit(text, arrow_width.saturating_sub(4));
        let dash_count = arrow_width.saturating_sub(label.chars().count() + 2);
        let before = "-".repeat(dash_count / 2);
        let after = "-".repeat(dash_count - dash_count / 2);
        let arrow = if from < to {
            format!("o{before}{label}{after}->")
        } else {
            format!("<-{before}{label}{after}o")
        };
        let mut line = time_cell(time_ms);
        write_cells(&mut line, &cells[..left], self.width);
        let crossed_width = (right - left + 1) * self.width;
        let _ = write!(line, "{arrow:<crossed_width$}");
        write_cells(&mut line, &cells[right + 1..], self.width);
        self.text += line.trim_end();
        self.text.push('\n');
    }
}

/// Returns the column with the time.
fn time_cell(time_ms: Option<u64>) -> String {
    let time = time_ms.map_or(String::new(), |time_ms| time_ms.to_string());
    format!("{time:>7}  ")
}

/// Writes cells of this width, in characters.
fn write_cells(line: &mut String, cells: &[String], width: usize) {
    for cell in cells {
        // Writing to a string can't fail.
        let _ = write!(line, "{:<width$}", fit(cell, width - 1));
    }
}

/// Cuts a text off so that it has at most this many characters.
fn fit(text: &str, max_chars: usize) -> String {
    if text.chars().count() <= max_chars {
        return text.to_owned();
    }
    text.chars()
        .take(max_chars.saturating_sub(1))
        .chain(['~'])
        .collect()
}
