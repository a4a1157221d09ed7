//! Aligned columns of plain text.

/// Rows of cells under their headings.
pub(super) struct Grid {
    rows: Vec<Vec<String>>,
    /// How many columns, from the left, hold names; the rest hold numbers.
    names: usize,
}

impl Grid {
    /// A grid whose first columns hold names.
    pub(super) fn new(names: usize, headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| (*heading).to_owned());
        Self {
            rows: vec![headings.collect()],
            names,
        }
    }

    /// Adds a row; it may be shorter than the headings.
    pub(super) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// The text, each column padded to its widest cell.
    pub(super) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        self.rows
            .iter()
            .map(|row| self.line(row, &widths))
            .collect()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        let widths = cells.map(|cell| cell.chars().count());
        widths.max().unwrap_or_default()
    }

    fn line(&self, row: &[String], widths: &[usize]) -> String {
        let cells = row.iter().zip(widths).enumerate();
        let cells: Vec<String> = cells
            .map(|(column, (cell, width))| {
                if column < self.names {
                    format!("{cell:<width$}")
                } else {
                    format!("{cell:>width$}")
                }
            })
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    }
}
