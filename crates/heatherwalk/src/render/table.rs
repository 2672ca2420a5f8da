//! Tables of text with aligned columns.

use compact_str::CompactString;

const GAP: &str = "  ";

/// On which side a column's cells are aligned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Align {
    /// For text.
    Left,
    /// For numbers.
    Right,
}

/// Rows of cells under a heading.
#[derive(Clone, Debug)]
pub struct Table {
    columns: Vec<(CompactString, Align)>,
    rows: Vec<Vec<CompactString>>,
}

impl Table {
    /// A table without rows.
    pub fn new(columns: &[(&str, Align)]) -> Table {
        let columns = columns.iter().map(|&(name, align)| (name.into(), align)).collect();
        Table { columns, rows: Vec::new() }
    }

    /// Adds a row. An empty cell is shown as `-`. Control characters are shown as `?`, since a
    /// cell may hold text that others have sent and a terminal acts on such characters.
    pub fn push(&mut self, cells: impl IntoIterator<Item = CompactString>) {
        let row: Vec<_> = cells.into_iter().map(|it| clean(&it)).collect();
        debug_assert_eq!(row.len(), self.columns.len(), "one cell for each column");
        self.rows.push(row);
    }

    /// The table as lines of text, without blanks at their ends.
    pub fn render(&self) -> String {
        let heading: Vec<_> = self.columns.iter().map(|it| it.0.clone()).collect();
        let widths = self.widths(&heading);
        let mut text = self.line(&heading, &widths);
        for row in &self.rows {
            text += &self.line(row, &widths);
        }
        text
    }

    fn widths(&self, heading: &[CompactString]) -> Vec<usize> {
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|it| it.get(column));
            cells.chain(heading.get(column)).map(|it| it.chars().count()).max().unwrap_or(0)
        };
        (0..self.columns.len()).map(width).collect()
    }

    fn line(&self, cells: &[CompactString], widths: &[usize]) -> String {
        let mut line = String::new();
        for ((cell, width), (_, align)) in cells.iter().zip(widths).zip(&self.columns) {
            if !line.is_empty() {
                line += GAP;
            }
            line += &match align {
                Align::Left => format!("{cell:<width$}"),
                Align::Right => format!("{cell:>width$}"),
            };
        }
        line.truncate(line.trim_end().len());
        line.push('\n');
        line
    }
}

fn clean(cell: &str) -> CompactString {
    match cell {
        "" => "-".into(),
        _ => cell.chars().map(|it| if it.is_control() { '?' } else { it }).collect(),
    }
}
