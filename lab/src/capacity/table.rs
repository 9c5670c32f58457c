//! Formats tables in Markdown.

/// A table with a heading and rows of as many cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(heading: &[&str]) -> Table {
        Table { heading: heading.iter().map(|cell| (*cell).to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row, truncated or padded to the heading's length. Escapes the characters that separate cells.
    pub fn row<Cell: Into<String>>(&mut self, cells: impl IntoIterator<Item = Cell>) {
        let mut row: Vec<String> = cells.into_iter().map(|cell| cell.into().replace('|', "\\|")).collect();
        row.resize(self.heading.len(), String::new());
        self.rows.push(row);
    }

    /// Returns the table's text, which ends with a line break.
    pub fn text(&self) -> String {
        let separator = vec!["---".to_owned(); self.heading.len()];
        let lines = [&self.heading, &separator].into_iter().chain(&self.rows);
        lines.map(|cells| format!("| {} |\n", cells.join(" | "))).collect()
    }
}
