//! A history drawn as text: time runs down, each node or worker has a column, what is so is a line, what crosses is a message.

use std::fmt::Write;

/// The widest drawing, in characters.
pub const WIDEST: usize = 160;
/// The least width of a column.
const LEAST: usize = 8;
/// The width of the column of times.
const TIMES: usize = 9;

/// What is drawn at a time.
#[derive(Clone, Debug, PartialEq)]
enum Mark {
    /// What holds in this column from now on: empty for nothing in particular.
    State(usize, String),
    /// What happens there.
    Event(usize, String),
    /// What goes from one column to another, and arrives.
    Message(usize, usize, String),
    /// What happens to all.
    All(String),
}

/// A drawing in the making.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    columns: Vec<String>,
    marks: Vec<(u64, Mark)>,
}

impl Timeline {
    /// One with these columns.
    pub fn new(columns: impl IntoIterator<Item = impl Into<String>>) -> Self {
        Self {
            columns: columns.into_iter().map(Into::into).collect(),
            marks: Vec::new(),
        }
    }

    /// What holds in a column from this millisecond on; said again it is no news.
    pub fn state(&mut self, at: u64, column: usize, state: impl Into<String>) {
        let state = state.into();
        let last = self.marks.iter().rev().find_map(|(_, mark)| match mark {
            Mark::State(of, state) if *of == column => Some(state.clone()),
            _ => None,
        });
        if last.unwrap_or_default() != state {
            self.marks.push((at, Mark::State(column, state)));
        }
    }

    /// What happens in a column.
    pub fn event(&mut self, at: u64, column: usize, what: impl Into<String>) {
        self.marks.push((at, Mark::Event(column, what.into())));
    }

    /// What goes from one column to another.
    pub fn message(&mut self, at: u64, from: usize, to: usize, what: impl Into<String>) {
        self.marks.push((at, Mark::Message(from, to, what.into())));
    }

    /// What happens to all.
    pub fn all(&mut self, at: u64, what: impl Into<String>) {
        self.marks.push((at, Mark::All(what.into())));
    }

    /// What came from this millisecond on, with what held then.
    pub fn since(&self, at: u64) -> Self {
        let mut cut = Self::new(self.columns.clone());
        let (before, after): (Vec<_>, Vec<_>) =
            self.marks.iter().cloned().partition(|(of, _)| *of < at);
        for column in 0..self.columns.len() {
            let last = before.iter().rev().find_map(|(_, mark)| match mark {
                Mark::State(of, state) if *of == column => Some(state.clone()),
                _ => None,
            });
            cut.state(at, column, last.unwrap_or_default());
        }
        cut.marks.extend(after);
        cut
    }

    /// The drawing. Times are in milliseconds from the first mark, rounded down to so many; a stretch in which nothing is new is left
    /// out, and told by its length.
    pub fn draw(&self, round: u64) -> String {
        let round = round.max(1);
        let width = ((WIDEST - TIMES) / self.columns.len().max(1)).clamp(LEAST, 24);
        let mut marks = self.marks.clone();
        // Of one time in the order in which they came.
        marks.sort_by_key(|(at, _)| at / round);
        let first = marks.first().map_or(0, |(at, _)| *at);
        let mut states = vec![String::new(); self.columns.len()];
        let mut text = " ".repeat(TIMES);
        for column in &self.columns {
            let _ = write!(text, "{:<width$}", fit(column, width - 1));
        }
        text = text.trim_end().to_owned() + "\n";
        let mut last: Option<u64> = None;
        for (at, mark) in marks {
            let time = (at - first) / round * round;
            if let Some(before) = last
                && time >= before + 10 * round.max(50)
            {
                text += &line(None, &cells(&states, width), width);
            }
            let label = (last != Some(time)).then_some(time);
            last = Some(time);
            let mut row = cells(&states, width);
            match mark {
                Mark::State(column, state) => {
                    if let Some(cell) = row.get_mut(column) {
                        *cell = if state.is_empty() {
                            "|".to_owned()
                        } else {
                            format!("[{state}]")
                        };
                        states[column] = state;
                    }
                    text += &line(label, &row, width);
                }
                Mark::Event(column, what) => {
                    if let Some(cell) = row.get_mut(column) {
                        *cell = format!("*{what}");
                    }
                    text += &line(label, &row, width);
                }
                Mark::Message(from, to, what) => {
                    text += &crossing(label, &row, width, from, to, &what)
                }
                Mark::All(what) => {
                    let time = label.map_or(String::new(), |time| time.to_string());
                    let _ = writeln!(
                        text,
                        "{time:>7}  {}",
                        fit(&format!("== {what} =="), WIDEST - TIMES)
                    );
                }
            }
        }
        text
    }
}

/// What stands in each column while nothing happens there: a line, or a sign for the state that holds.
fn cells(states: &[String], width: usize) -> Vec<String> {
    let sign = |state: &String| match state.split(' ').next().unwrap_or_default() {
        "" => "|".to_owned(),
        "gone" | "dead" => String::new(),
        "stopped" => ":".to_owned(),
        _ => "#".to_owned(),
    };
    states
        .iter()
        .map(|state| fit(&sign(state), width - 1))
        .collect()
}

fn fit(text: &str, width: usize) -> String {
    if text.chars().count() <= width {
        return text.to_owned();
    }
    text.chars()
        .take(width.saturating_sub(1))
        .chain(['~'])
        .collect()
}

fn line(time: Option<u64>, cells: &[String], width: usize) -> String {
    let time = time.map_or(String::new(), |time| time.to_string());
    let mut text = format!("{time:>7}  ");
    for cell in cells {
        let _ = write!(text, "{:<width$}", fit(cell, width - 1));
    }
    text.trim_end().to_owned() + "\n"
}

/// A message from one column to another: `o---what--->`.
fn crossing(
    time: Option<u64>,
    cells: &[String],
    width: usize,
    from: usize,
    to: usize,
    what: &str,
) -> String {
    let (left, right) = (from.min(to), from.max(to));
    if left == right || right >= cells.len() {
        return line(time, cells, width);
    }
    let room = (right - left) * width - 1;
    let label = fit(what, room.saturating_sub(4));
    let dashes = room.saturating_sub(label.chars().count() + 2);
    let (before, after) = ("-".repeat(dashes / 2), "-".repeat(dashes - dashes / 2));
    let arrow = if from < to {
        format!("o{before}{label}{after}->")
    } else {
        format!("<-{before}{label}{after}o")
    };
    let time = time.map_or(String::new(), |time| time.to_string());
    let mut text = format!("{time:>7}  ");
    for cell in &cells[..left] {
        let _ = write!(text, "{:<width$}", fit(cell, width - 1));
    }
    let arrow = format!("{:<width$}", arrow, width = (right - left + 1) * width);
    text += &arrow;
    for cell in &cells[right + 1..] {
        let _ = write!(text, "{:<width$}", fit(cell, width - 1));
    }
    text.trim_end().to_owned() + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known() -> Timeline {
        let mut timeline = Timeline::new(["n0", "n1", "worker"]);
        timeline.state(1000, 0, "owner 7");
        timeline.message(1200, 0, 2, "do 7");
        timeline.state(1250, 0, "stopped");
        timeline.state(4300, 1, "owner 8");
        timeline.message(4400, 1, 2, "do 8");
        timeline.state(5000, 0, "");
        timeline.message(5010, 0, 2, "do 7");
        timeline.event(5010, 2, "refused 7");
        timeline
    }

    /// Guards against a drawing in which the fault that is known to be in it can't be seen: the old owner's effect comes after the
    /// newer one's.
    #[test]
    fn a_history_with_a_known_fault_shows_it() {
        let drawn = known().draw(10);
        let wanted = "         \
         n0                      n1                      worker
      0  [owner 7]               |                       |
    200  o--------------------do 7---------------------->
    250  [stopped]               |                       |
         :                       |                       |
   3300  :                       [owner 8]               |
   3400  :                       o--------do 8---------->
         :                       #                       |
   4000  |                       #                       |
   4010  o--------------------do 7---------------------->
         |                       #                       *refused 7
";
        assert_eq!(drawn, wanted, "\n{drawn}\n{wanted}");
        let order = |what: &str| drawn.find(what).unwrap_or(usize::MAX);
        assert!(
            order("do 8") < drawn.rfind("do 7").unwrap_or(0),
            "the late effect is below the newer owner's"
        );
    }

    /// Guards against a drawing that is wider than a page, that loses what held before it was cut, and that tells a state twice.
    #[test]
    fn a_drawing_is_bounded_cut_and_says_a_state_once() {
        let cut = known().since(4350).draw(10);
        assert!(
            cut.lines()
                .nth(1)
                .is_some_and(|line| line.contains("[stopped]")),
            "{cut}"
        );
        assert!(
            !cut.contains("[owner 7]") && cut.contains("[owner 8]"),
            "{cut}"
        );
        let mut wide = Timeline::new((0..18).map(|n| format!("a-node-with-a-long-name-{n}")));
        wide.message(
            5,
            17,
            0,
            "a message with a name that is longer than all there is room for, by far",
        );
        wide.all(6, "x".repeat(400));
        wide.state(7, 3, "a state that says a good deal");
        wide.state(8, 3, "a state that says a good deal");
        let drawn = wide.draw(1);
        assert!(
            drawn.lines().all(|line| line.chars().count() <= WIDEST),
            "{drawn}"
        );
        assert_eq!(drawn.lines().count(), 4, "{drawn}");
    }
}
