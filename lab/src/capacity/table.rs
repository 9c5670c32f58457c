//! A table in Markdown.

/// A heading and rows of as many cells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(heading: &[&str]) -> Table {
        Table { heading: heading.iter().map(|cell| (*cell).to_owned()).collect(), rows: Vec::new() }
    }

    /// Adds a row, cut or filled up to the heading's length.
    pub fn row<Cell: Into<String>>(&mut self, cells: impl IntoIterator<Item = Cell>) {
        let mut row: Vec<String> = cells.into_iter().map(|cell| cell.into().replace('|', "\\|")).collect();
        row.resize(self.heading.len(), String::new());
        self.rows.push(row);
    }

    /// The table's text, with a line break at its end.
    pub fn text(&self) -> String {
        let rule = vec!["---".to_owned(); self.heading.len()];
        let lines = [&self.heading, &rule].into_iter().chain(&self.rows);
        lines.map(|cells| format!("| {} |\n", cells.join(" | "))).collect()
    }
}
