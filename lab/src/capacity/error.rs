//! What can go wrong while the page is made: one line that names the file.
use std::fmt;
use std::path::Path;

/// A file that will not do, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError {
    /// The file.
    pub file: String,
    /// What is wrong with it, in one line.
    pub what: String,
}

impl CapacityError {
    /// An error about a file; line breaks of what a library says become spaces.
    pub fn new(file: &Path, what: impl fmt::Display) -> CapacityError {
        let words = what.to_string();
        let what = words.split_whitespace().collect::<Vec<_>>().join(" ");
        CapacityError { file: file.display().to_string(), what }
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.file, self.what)
    }
}

impl std::error::Error for CapacityError {}
