//! The error of making the page: one line that names the file.
use std::fmt;
use std::path::Path;

/// A file that cannot be used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityError {
    /// Path of the file.
    pub file: String,
    /// What is wrong with the file, in one line.
    pub what: String,
}

impl CapacityError {
    /// Creates an error about a file. Line breaks in a library's message become spaces.
    pub fn new(file: &Path, what: impl fmt::Display) -> CapacityError {
        let message = what.to_string();
        let what = message.split_whitespace().collect::<Vec<_>>().join(" ");
        CapacityError { file: file.display().to_string(), what }
    }
}

impl fmt::Display for CapacityError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.file, self.what)
    }
}

impl std::error::Error for CapacityError {}
