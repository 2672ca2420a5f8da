//! Plain-text tables with aligned columns.

use compact_str::CompactString;

/// The gap between two columns.
const GAP: &str = "  ";

/// The alignment of a column's cells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Align {
    /// Left-aligned, for text.
    Left,
    /// Right-aligned, for numbers.
    Right,
}

/// Rows of cells under a heading.
#[derive(Clone, Debug)]
pub struct Table {
    columns: Vec<(CompactString, Align)>,
    rows: Vec<Vec<CompactString>>,
}

impl Table {
    /// A table without rows. Each column has a heading and an alignment.
    pub fn new(columns: &[(&str, Align)]) -> Table {
        let columns = columns.iter().map(|&(name, align)| (name.into(), align)).collect();
        Table { columns, rows: Vec::new() }
    }

    /// Adds a row with one cell for each column. An empty cell is shown as `-`. A control character
    /// is shown as `?`, because a cell may hold text from other processes and a terminal would
    /// interpret such characters.
    pub fn push(&mut self, cells: impl IntoIterator<Item = CompactString>) {
        let row: Vec<_> = cells.into_iter().map(|it| sanitize(&it)).collect();
        debug_assert_eq!(row.len(), self.columns.len(), "one cell for each column");
        self.rows.push(row);
    }

    /// The table as lines of text without trailing blanks, the headings first.
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

fn sanitize(cell: &str) -> CompactString {
    match cell {
        "" => "-".into(),
        _ => cell.chars().map(|it| if it.is_control() { '?' } else { it }).collect(),
    }
}
