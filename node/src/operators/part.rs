//! One table of the operators' file, read key by key. It owns what counts as known there and the words of an error
//! about a key. It must never pass over a key that it does not know, nor over a value of another type.
use super::{bounded, MOST_SECRET};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::net::SocketAddr;
use std::path::Path;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// A word this long is no misspelling of a key.
const LONG: usize = 40;

/// What is wrong, and the byte of the file where.
pub struct Wrong {
    pub at: usize,
    pub what: String,
}

impl Wrong {
    pub fn at(at: usize, what: impl Into<String>) -> Wrong {
        Wrong { at, what: what.into() }
    }
    pub fn within(self, part: &str) -> Wrong {
        Wrong { what: format!("[{part}]: {}", self.what), ..self }
    }
    /// Puts a word on whose fault it is before it.
    pub fn of(self, whose: &str) -> Wrong {
        Wrong { what: format!("{whose}: {}", self.what), ..self }
    }
}

/// A table and where it stands.
pub struct Part<'a> {
    table: &'a DeTable<'a>,
    at: usize,
}

type Value<'a> = &'a Spanned<DeValue<'a>>;

impl<'a> Part<'a> {
    /// # Errors
    /// The first key in it that is not among the known ones, and which of those it may be meant for.
    pub fn new(table: &'a DeTable<'a>, at: usize, known: &[&str]) -> Result<Part<'a>, Wrong> {
        let other = table.keys().filter(|k| !known.contains(&&**k.get_ref())).min_by_key(|k| k.span().start);
        match other {
            None => Ok(Part { table, at }),
            Some(key) => Err(Wrong::at(key.span().start, unknown(key.get_ref(), known))),
        }
    }

    /// The byte of the file where it stands.
    pub fn at(&self) -> usize {
        self.at
    }

    /// An error of the whole table, at its head.
    pub fn wrong(&self, what: impl Into<String>) -> Wrong {
        Wrong::at(self.at, what)
    }

    /// An error at a key, or at the head if the key is missing.
    pub fn wrong_at(&self, key: &str, what: impl Into<String>) -> Wrong {
        Wrong::at(self.table.get_key_value(key).map_or(self.at, |(k, _)| k.span().start), what)
    }

    /// Whether a key stands there.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// What stands at a key, if it is of the type that `f` takes.
    fn get<T>(
        &self,
        key: &str,
        what: &str,
        f: impl FnOnce(Value<'a>) -> Option<T>,
    ) -> Result<Option<T>, Wrong> {
        let found =
            self.table.get(key).map(|v| f(v).ok_or_else(|| self.wrong_at(key, format!("'{key}' is {what}"))));
        found.transpose()
    }

    pub fn text(&self, key: &str) -> Result<Option<&'a str>, Wrong> {
        self.get(key, "no text", |v| v.get_ref().as_str())
    }

    /// A text that has to be there.
    pub fn word(&self, key: &str) -> Result<&'a str, Wrong> {
        let found = self.text(key)?.filter(|t| !t.is_empty());
        found.ok_or_else(|| self.wrong_at(key, format!("'{key}' is missing")))
    }

    pub fn address(&self, key: &str) -> Result<SocketAddr, Wrong> {
        let found = self.text(key)?.and_then(|t| t.parse().ok());
        found.ok_or_else(|| self.wrong_at(key, format!("'{key}' is missing or no address")))
    }

    pub fn flag(&self, key: &str) -> Result<bool, Wrong> {
        Ok(self.get(key, "neither true nor false", |v| v.get_ref().as_bool())?.unwrap_or(false))
    }

    /// A number, whole or not.
    pub fn number(&self, key: &str) -> Result<Option<f64>, Wrong> {
        self.get(key, "no number", |v| match v.get_ref() {
            DeValue::Float(f) => f.as_str().parse().ok(),
            v => whole(v).map(|n| n as f64),
        })
    }

    pub fn whole(&self, key: &str) -> Result<Option<i64>, Wrong> {
        self.get(key, "no whole number", |v| whole(v.get_ref()))
    }

    /// A list of texts.
    pub fn texts(&self, key: &str) -> Result<Option<Vec<&'a str>>, Wrong> {
        let all = |v: Value<'a>| v.get_ref().as_array()?.iter().map(|t| t.get_ref().as_str()).collect();
        self.get(key, "no list of texts", all)
    }

    pub fn table(&self, key: &str, known: &[&str]) -> Result<Option<Part<'a>>, Wrong> {
        let table = self.get(key, &format!("no table: it is written [{key}]"), |v| v.get_ref().as_table())?;
        let part = |t| Part::new(t, self.wrong_at(key, "").at, known).map_err(|w| w.within(key));
        table.map(part).transpose()
    }

    /// The tables of a list, none if it is missing.
    pub fn tables(&self, key: &str, known: &[&str]) -> Result<Vec<Part<'a>>, Wrong> {
        let all = |v: Value<'a>| -> Option<Vec<_>> {
            v.get_ref().as_array()?.iter().map(|t| Some((t.get_ref().as_table()?, t.span().start))).collect()
        };
        let what = "no list of tables: each is written in two pairs of brackets";
        let tables = self.get(key, what, all)?.unwrap_or_default();
        tables.into_iter().map(|(t, at)| Part::new(t, at, known)).collect()
    }

    /// A key or community is kept in a file of its own, never in the operators' file.
    pub fn secret(&self, key: &str, folder: &Path) -> Result<String, Wrong> {
        let path = folder.join(self.text(key)?.ok_or_else(|| self.wrong(format!("'{key}' is missing")))?);
        let wrong = |e: String| self.wrong_at(key, format!("{}: {e}", path.display()));
        let text = String::from_utf8(bounded(&path, MOST_SECRET).map_err(wrong)?);
        Ok(text.map_err(|_| wrong("not UTF-8".into()))?.trim().to_owned())
    }

    /// A secret of 32 bytes.
    pub fn secret_key(&self, key: &str, folder: &Path) -> Result<[u8; 32], Wrong> {
        let bytes = bytes32(&self.secret(key, folder)?);
        bytes.ok_or_else(|| self.wrong_at(key, "the secret is not 32 bytes as base64url"))
    }
}

fn whole(v: &DeValue) -> Option<i64> {
    v.as_integer().and_then(|n| i64::from_str_radix(n.as_str(), n.radix()).ok())
}

/// 32 bytes, as base64url.
pub fn bytes32(text: &str) -> Option<[u8; 32]> {
    URL_SAFE_NO_PAD.decode(text).ok()?.try_into().ok()
}

fn unknown(key: &str, known: &[&str]) -> String {
    let lower = key.chars().take(LONG).collect::<String>().to_lowercase();
    let distance = |k: &&&str| strsim::damerau_levenshtein(&lower, k);
    // A slip or two; in a short word, one.
    let near = known.iter().min_by_key(distance).filter(|k| distance(k) <= (k.len() / 3).clamp(1, 3));
    match near {
        Some(near) => format!("'{key}' is not known; did you mean '{near}'?"),
        None if known.is_empty() => format!("'{key}' is not known; no key is known here"),
        None => format!("'{key}' is not known; known here: {}", known.join(", ")),
    }
}
