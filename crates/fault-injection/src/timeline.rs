//! Timelines: events drawn as text. Time runs downwards, each node or worker has a column, and
//! messages are arrows from one column to another.

use std::fmt::Write;

/// Maximum width of a drawing, in characters.
pub const MAX_WIDTH: usize = 160;
/// Minimum width of a column, in characters.
const MIN_COLUMN_WIDTH: usize = 8;
/// Maximum width of a column, in characters.
const MAX_COLUMN_WIDTH: usize = 24;
/// Width of the time column, in characters.
const TIME_WIDTH: usize = 9;
/// A gap between marks of at least this many rounding units is drawn as a line without a time.
const MIN_GAP_UNITS: u64 = 10;
/// Minimum rounding unit for the length of such a gap, in milliseconds.
const MIN_ROUNDING_UNIT_MS: u64 = 50;

/// Something that is drawn at a point in time.
#[derive(Clone, Debug, PartialEq)]
enum Mark {
    /// A column's state from then on; empty for the normal state.
    State { column: usize, state: String },
    /// An event in a column.
    Event { column: usize, text: String },
    /// A message from one column to another.
    Message {
        from: usize,
        to: usize,
        text: String,
    },
    /// An event that concerns all columns.
    GlobalEvent { text: String },
}

/// A mark with its time.
#[derive(Clone, Debug)]
struct TimedMark {
    at_ms: u64,
    mark: Mark,
}

/// A sequence of marks to be drawn.
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

    /// Sets the state of a column from this time on, in milliseconds. Has no effect if the column
    /// has this state already.
    pub fn set_state(&mut self, at_ms: u64, column: usize, state: impl Into<String>) {
        let state = state.into();
        if last_state(&self.marks, column) != state {
            self.add(at_ms, Mark::State { column, state });
        }
    }

    /// Adds an event in a column.
    pub fn add_event(&mut self, at_ms: u64, column: usize, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::Event { column, text });
    }

    /// Adds a message from one column to another.
    pub fn add_message(&mut self, at_ms: u64, from: usize, to: usize, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::Message { from, to, text });
    }

    /// Adds an event that concerns all columns.
    pub fn add_global_event(&mut self, at_ms: u64, text: impl Into<String>) {
        let text = text.into();
        self.add(at_ms, Mark::GlobalEvent { text });
    }

    fn add(&mut self, at_ms: u64, mark: Mark) {
        self.marks.push(TimedMark { at_ms, mark });
    }

    /// Returns the part of the timeline from this time on, which begins with the states of the
    /// columns at this time.
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
    /// multiple of `round_ms`; a long gap between marks is drawn as one line without a time.
    pub fn draw(&self, round_ms: u64) -> String {
        let round_ms = round_ms.max(1);
        let mut marks = self.marks.clone();
        // The sort is stable: marks with the same rounded time keep the order in which they were
        // added.
        marks.sort_by_key(|mark| mark.at_ms / round_ms);
        let first_ms = marks.first().map_or(0, |mark| mark.at_ms);
        let mut drawing = Drawing::new(&self.columns);
        let mut last_ms: Option<u64> = None;
        for TimedMark { at_ms, mark } in marks {
            let time_ms = (at_ms - first_ms) / round_ms * round_ms;
            let min_gap_ms = MIN_GAP_UNITS * round_ms.max(MIN_ROUNDING_UNIT_MS);
            if last_ms.is_some_and(|last_ms| time_ms >= last_ms + min_gap_ms) {
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

/// A drawing under construction.
struct Drawing {
    text: String,
    /// The width of a column, in characters.
    width: usize,
    /// The state of each column.
    states: Vec<String>,
}

impl Drawing {
    /// Returns a drawing that consists of the header line with the names of the columns.
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
        let cells = self.idle_cells();
        self.draw_line(None, &cells);
    }

    fn draw_mark(&mut self, time_ms: Option<u64>, mark: Mark) {
        let mut cells = self.idle_cells();
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
                let text = truncate(&format!("== {text} =="), MAX_WIDTH - TIME_WIDTH);
                self.text += &(time_cell(time_ms) + &text + "\n");
            }
        }
    }

    /// Returns the cells of a line without marks: a symbol for the state of each column.
    fn idle_cells(&self) -> Vec<String> {
        let symbol = |state: &String| match state.split(' ').next().unwrap_or_default() {
            "" => "|",
            "gone" | "dead" => "",
            "stopped" => ":",
            _ => "#",
        };
        self.states
            .iter()
            .map(|state| symbol(state).to_owned())
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
        let label = truncate(text, arrow_width.saturating_sub(4));
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

/// Returns the cell of the time column.
fn time_cell(time_ms: Option<u64>) -> String {
    let time = time_ms.map_or(String::new(), |time_ms| time_ms.to_string());
    format!("{time:>7}  ")
}

/// Writes cells of this width, in characters.
fn write_cells(line: &mut String, cells: &[String], width: usize) {
    for cell in cells {
        // Writing to a string can't fail.
        let _ = write!(line, "{:<width$}", truncate(cell, width - 1));
    }
}

/// Truncates a text to at most this many characters.
fn truncate(text: &str, max_chars: usize) -> String {
    if text.chars().count() <= max_chars {
        return text.to_owned();
    }
    text.chars()
        .take(max_chars.saturating_sub(1))
        .chain(['~'])
        .collect()
}
