//! Reads the operators' file (`--fronts`, `check`). Each of its parts is a TOML table that turns something
//! on, and has a module of its own here.
//!
//! Secrets are never in that file itself, but in files that it names. An invalid file gives an error of one
//! line, which names the line of the file.
mod part;

use part::{FileError, Part};
use std::fs::File;
use std::io::Read;
use std::path::Path;
use toml::de::DeTable;

/// Maximum size of the operators' file in bytes: enough for the maximum number of gossip peers, with room to
/// spare.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// Maximum size of a file with a secret, in bytes.
const MAX_SECRET_BYTES: u64 = 4096;
/// Maximum number of characters of an error, without the file's name: a text quoted from the file may be of
/// any length.
const MAX_ERROR_CHARS: usize = 300;

/// What the function that reads a part needs besides the part.
struct ReadContext<'a> {
    /// The name of this proxy among the fronts, peers and proxies.
    name: &'a str,
    /// The folder that paths of secret files are relative to.
    folder: &'a Path,
}

/// Declares the parts. Each is a module here with `KEYS`, the keys that its table may have, and `read`.
macro_rules! parts {
    ($($part:ident: $type:ident,)*) => {
        $(
            mod $part;
            pub use $part::$type;
        )*

        const PARTS: &[&str] = &[$(stringify!($part)),*];

        /// What the operators' file turns on.
        #[derive(Clone, Default)]
        pub struct OperatorConfig {
            $(pub $part: Option<$type>,)*
        }

        impl OperatorConfig {
            fn read(file: &Part, context: &ReadContext) -> Result<OperatorConfig, FileError> {
                Ok(OperatorConfig {
                    $($part: file
                        .table(stringify!($part), $part::KEYS)?
                        .map(|p| $part::read(&p, context).map_err(|w| w.within(stringify!($part))))
                        .transpose()?,)*
                })
            }

            /// Returns the names of the parts that are on.
            pub fn enabled_parts(&self) -> Vec<&'static str> {
                [$(self.$part.as_ref().map(|_| stringify!($part))),*].into_iter().flatten().collect()
            }
        }
    };
}

parts! {
    signed: SignedLinks,
    snmp: SnmpAgent,
    gossip: GossipSettings,
    budgets: BudgetSettings,
    zones: ZoneSettings,
}
pub use budgets::{Division, TreeSettings, COLD_UNITS, PROBE_UNITS};

/// Reads the operators' file at `path` for the proxy `name`.
///
/// # Errors
/// One line that names the file, the line in it, and what is wrong there.
pub fn read(path: &Path, name: &str) -> Result<OperatorConfig, String> {
    let at = path.display();
    let bytes = read_bounded(path, MAX_FILE_BYTES).map_err(|e| to_line(&format!("{at}: {e}"), usize::MAX))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let text = std::str::from_utf8(&bytes).map_err(|e| FileError::at(e.valid_up_to(), "not UTF-8"));
    text.and_then(|t| parse(t, &ReadContext { name, folder })).map_err(|error| {
        let before = &bytes[..error.at.min(bytes.len())];
        let number = before.iter().filter(|b| **b == b'\n').count() + 1;
        format!(
            "{}:{number}: {}",
            to_line(&at.to_string(), usize::MAX),
            to_line(&error.what, MAX_ERROR_CHARS)
        )
    })
}

/// Parses the text of an operators' file for the proxy `name`. Paths in it are relative to `folder`.
///
/// # Errors
/// One line that says what is wrong with it, without the line's number.
pub fn parse_text(text: &str, name: &str, folder: &Path) -> Result<OperatorConfig, String> {
    parse(text, &ReadContext { name, folder }).map_err(|error| to_line(&error.what, MAX_ERROR_CHARS))
}

fn parse(text: &str, context: &ReadContext) -> Result<OperatorConfig, FileError> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let offset = |e: &toml::de::Error| e.span().map_or(0, |s| s.start);
    if let Some(first) = errors.iter().min_by_key(|e| offset(e)) {
        return Err(FileError::at(offset(first), format!("not TOML: {}", first.message())));
    }
    let mut config = OperatorConfig::read(&Part::new(table.get_ref(), 0, PARTS)?, context)?;
    if let Some(z) = &mut config.zones {
        zones::resolve(z, config.gossip.as_ref(), config.budgets.as_ref())?;
    }
    Ok(config)
}

/// Reads a file of at most so many bytes.
fn read_bounded(path: &Path, max_bytes: u64) -> Result<Vec<u8>, String> {
    let to_text = |e: std::io::Error| e.to_string();
    let file = File::open(path).map_err(to_text)?;
    if file.metadata().map_err(to_text)?.is_dir() {
        return Err("a folder, not a file".into());
    }
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(to_text)?;
    if bytes.len() as u64 > max_bytes {
        return Err(format!("longer than {max_bytes} bytes"));
    }
    Ok(bytes)
}

/// Returns a text as one line of limited length, with control characters escaped.
fn to_line(text: &str, max_chars: usize) -> String {
    let mut line = String::new();
    for (i, c) in text.chars().enumerate() {
        if i == max_chars {
            line.push_str("...");
            break;
        }
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}
