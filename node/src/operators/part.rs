//! A table of the operators' file, which is read key by key. An unknown key or a value of the wrong type is
//! an error and is never ignored.
use super::{read_bounded, MAX_SECRET_BYTES};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::net::SocketAddr;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Only so many characters of an unknown key are compared with the known keys: a longer word is no
/// misspelling of a key.
const MAX_KEY_CHARS: usize = 40;

/// An error in the operators' file: what is wrong, and the byte offset where.
pub struct FileError {
    pub at: usize,
    pub what: String,
}

impl FileError {
    /// Creates an error at a byte offset.
    pub fn at(at: usize, what: impl Into<String>) -> FileError {
        FileError { at, what: what.into() }
    }
    /// Puts the name of the part before the error.
    pub fn within(self, part: &str) -> FileError {
        FileError { what: format!("[{part}]: {}", self.what), ..self }
    }
    /// Puts the entry that the error is about before it.
    pub fn about(self, subject: &str) -> FileError {
        FileError { what: format!("{subject}: {}", self.what), ..self }
    }
}

/// A table and its byte offset in the file.
pub struct Part<'a> {
    table: &'a DeTable<'a>,
    at: usize,
}

type Value<'a> = &'a Spanned<DeValue<'a>>;

impl<'a> Part<'a> {
    /// Creates the part, after checking that all keys of its table are known.
    ///
    /// # Errors
    /// The first unknown key, and which known key may be meant by it.
    pub fn new(table: &'a DeTable<'a>, at: usize, known: &[&str]) -> Result<Part<'a>, FileError> {
        let other = table.keys().filter(|k| !known.contains(&&**k.get_ref())).min_by_key(|k| k.span().start);
        match other {
            None => Ok(Part { table, at }),
            Some(key) => Err(FileError::at(key.span().start, unknown_key(key.get_ref(), known))),
        }
    }

    /// Returns the byte offset of the table in the file.
    pub fn at(&self) -> usize {
        self.at
    }

    /// Returns an error about the whole table, at its head.
    pub fn head_error(&self, what: impl Into<String>) -> FileError {
        FileError::at(self.at, what)
    }

    /// Returns an error at a key, or at the head if the key is missing.
    pub fn key_error(&self, key: &str, what: impl Into<String>) -> FileError {
        FileError::at(self.table.get_key_value(key).map_or(self.at, |(k, _)| k.span().start), what)
    }

    /// Returns whether the table has a key.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Returns the value of a key, converted by `f`, or `None` if the key is missing. It is an error, which
    /// says that the value is `what`, if `f` can't convert it.
    fn get<T>(
        &self,
        key: &str,
        what: &str,
        f: impl FnOnce(Value<'a>) -> Option<T>,
    ) -> Result<Option<T>, FileError> {
        let found = self
            .table
            .get(key)
            .map(|v| f(v).ok_or_else(|| self.key_error(key, format!("'{key}' is {what}"))));
        found.transpose()
    }

    /// Returns a string.
    pub fn text(&self, key: &str) -> Result<Option<&'a str>, FileError> {
        self.get(key, "no text", |v| v.get_ref().as_str())
    }

    /// Returns a string that must be there and must not be empty.
    pub fn required_text(&self, key: &str) -> Result<&'a str, FileError> {
        let found = self.text(key)?.filter(|t| !t.is_empty());
        found.ok_or_else(|| self.key_error(key, format!("'{key}' is missing")))
    }

    /// Returns a socket address that must be there.
    pub fn address(&self, key: &str) -> Result<SocketAddr, FileError> {
        let found = self.text(key)?.and_then(|t| t.parse().ok());
        found.ok_or_else(|| self.key_error(key, format!("'{key}' is missing or no address")))
    }

    /// Returns a boolean, false if it is missing.
    pub fn flag(&self, key: &str) -> Result<bool, FileError> {
        Ok(self.get(key, "neither true nor false", |v| v.get_ref().as_bool())?.unwrap_or(false))
    }

    /// Returns a number, which may be an integer.
    pub fn number(&self, key: &str) -> Result<Option<f64>, FileError> {
        self.get(key, "no number", |v| match v.get_ref() {
            DeValue::Float(f) => f.as_str().parse().ok(),
            v => integer(v).map(|n| n as f64),
        })
    }

    /// Returns an integer.
    pub fn integer(&self, key: &str) -> Result<Option<i64>, FileError> {
        self.get(key, "no whole number", |v| integer(v.get_ref()))
    }

    /// Returns a list of strings.
    pub fn texts(&self, key: &str) -> Result<Option<Vec<&'a str>>, FileError> {
        let all = |v: Value<'a>| v.get_ref().as_array()?.iter().map(|t| t.get_ref().as_str()).collect();
        self.get(key, "no list of texts", all)
    }

    /// Returns a table in this one, whose keys must be among the known ones.
    pub fn table(&self, key: &str, known: &[&str]) -> Result<Option<Part<'a>>, FileError> {
        let table = self.get(key, &format!("no table: it is written [{key}]"), |v| v.get_ref().as_table())?;
        let part = |t| Part::new(t, self.key_error(key, "").at, known).map_err(|w| w.within(key));
        table.map(part).transpose()
    }

    /// Returns the tables of a list, none if it is missing.
    pub fn tables(&self, key: &str, known: &[&str]) -> Result<Vec<Part<'a>>, FileError> {
        let all = |v: Value<'a>| -> Option<Vec<_>> {
            v.get_ref().as_array()?.iter().map(|t| Some((t.get_ref().as_table()?, t.span().start))).collect()
        };
        let what = "no list of tables: each is written in two pairs of brackets";
        let tables = self.get(key, what, all)?.unwrap_or_default();
        tables.into_iter().map(|(t, at)| Part::new(t, at, known)).collect()
    }

    /// Reads the secret file that a key names: a cryptographic key or a community is never in the operators'
    /// file itself.
    pub fn secret(&self, key: &str, folder: &Path) -> Result<String, FileError> {
        let path =
            folder.join(self.text(key)?.ok_or_else(|| self.head_error(format!("'{key}' is missing")))?);
        let error = |e: String| self.key_error(key, format!("{}: {e}", path.display()));
        let text = String::from_utf8(read_bounded(&path, MAX_SECRET_BYTES).map_err(error)?);
        Ok(text.map_err(|_| error("not UTF-8".into()))?.trim().to_owned())
    }

    /// Reads a secret file with 32 bytes as base64url.
    pub fn secret_key(&self, key: &str, folder: &Path) -> Result<[u8; 32], FileError> {
        let bytes = bytes32(&self.secret(key, folder)?);
        bytes.ok_or_else(|| self.key_error(key, "the secret is not 32 bytes as base64url"))
    }
}

fn integer(v: &DeValue) -> Option<i64> {
    v.as_integer().and_then(|n| i64::from_str_radix(n.as_str(), n.radix()).ok())
}

/// Decodes 32 bytes from base64url.
pub fn bytes32(text: &str) -> Option<[u8; 32]> {
    URL_SAFE_NO_PAD.decode(text).ok()?.try_into().ok()
}

/// Returns the text of the error about an unknown key, with the known key that may be meant.
fn unknown_key(key: &str, known: &[&str]) -> String {
    let lower = key.chars().take(MAX_KEY_CHARS).collect::<String>().to_lowercase();
    let distance = |k: &&&str| strsim::damerau_levenshtein(&lower, k);
    // Up to three typing errors, fewer in a short word.
    let nearest = known.iter().min_by_key(distance).filter(|k| distance(k) <= (k.len() / 3).clamp(1, 3));
    match nearest {
        Some(nearest) => format!("'{key}' is not known; did you mean '{nearest}'?"),
        None if known.is_empty() => format!("'{key}' is not known; no key is known here"),
        None => format!("'{key}' is not known; known here: {}", known.join(", ")),
    }
}
