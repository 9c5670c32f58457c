//! Reads the operators' file (`--fronts`, `check`): what each part of it turns on. It owns the list of parts and how
//! an error names its line; each part has a file of its own here. It must never hold a secret in that file itself, nor
//! act on what it reads: a bad file is one clear line.
mod part;

use part::{Part, Wrong};
use std::fs::File;
use std::io::Read;
use std::path::Path;
use toml::de::DeTable;

/// Bytes that the operators' file may have: the most peers that gossip takes, with room.
const MOST: u64 = 4 << 20;
/// Bytes of a file with a secret.
const MOST_SECRET: u64 = 4096;
/// Characters of an error, the file's own name aside: what stands in the file may be of any length.
const LONGEST: usize = 300;

/// What a part's reader is told besides the part.
struct Own<'a> {
    /// The own name among the fronts, peers and proxies.
    name: &'a str,
    /// Where files of secrets are looked for.
    folder: &'a Path,
}

/// The parts: each is a file here with `KEYS`, what may stand in it, and `read`.
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
            fn read(file: &Part, own: &Own) -> Result<OperatorConfig, Wrong> {
                Ok(OperatorConfig {
                    $($part: file
                        .table(stringify!($part), $part::KEYS)?
                        .map(|p| $part::read(&p, own).map_err(|w| w.within(stringify!($part))))
                        .transpose()?,)*
                })
            }

            /// The names of the parts that are on.
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

/// Reads the operators' file at `path`; `name` is the own one among the fronts.
///
/// # Errors
/// One line that names the file, the line in it, and what is wrong there.
pub fn read(path: &Path, name: &str) -> Result<OperatorConfig, String> {
    let at = path.display();
    let bytes = bounded(path, MOST).map_err(|e| line(&format!("{at}: {e}"), usize::MAX))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    let text = std::str::from_utf8(&bytes).map_err(|e| Wrong::at(e.valid_up_to(), "not UTF-8"));
    text.and_then(|t| parse(t, &Own { name, folder })).map_err(|wrong| {
        let before = &bytes[..wrong.at.min(bytes.len())];
        let number = before.iter().filter(|b| **b == b'\n').count() + 1;
        format!("{}:{number}: {}", line(&at.to_string(), usize::MAX), line(&wrong.what, LONGEST))
    })
}

/// Reads such a file's text; files are looked for from `folder`.
///
/// # Errors
/// One line that says what is wrong with it, without its place.
pub fn parse_text(text: &str, name: &str, folder: &Path) -> Result<OperatorConfig, String> {
    parse(text, &Own { name, folder }).map_err(|wrong| line(&wrong.what, LONGEST))
}

fn parse(text: &str, own: &Own) -> Result<OperatorConfig, Wrong> {
    let (table, errors) = DeTable::parse_recoverable(text);
    let place = |e: &toml::de::Error| e.span().map_or(0, |s| s.start);
    if let Some(first) = errors.iter().min_by_key(|e| place(e)) {
        return Err(Wrong::at(place(first), format!("not TOML: {}", first.message())));
    }
    let mut fronts = OperatorConfig::read(&Part::new(table.get_ref(), 0, PARTS)?, own)?;
    if let Some(z) = &mut fronts.zones {
        zones::tie(z, fronts.gossip.as_ref(), fronts.budgets.as_ref())?;
    }
    Ok(fronts)
}

/// A file of at most so many bytes.
fn bounded(path: &Path, most: u64) -> Result<Vec<u8>, String> {
    let say = |e: std::io::Error| e.to_string();
    let file = File::open(path).map_err(say)?;
    if file.metadata().map_err(say)?.is_dir() {
        return Err("a folder, not a file".into());
    }
    let mut bytes = Vec::new();
    file.take(most + 1).read_to_end(&mut bytes).map_err(say)?;
    if bytes.len() as u64 > most {
        return Err(format!("longer than {most} bytes"));
    }
    Ok(bytes)
}

/// One line of a text that may hold anything.
fn line(text: &str, longest: usize) -> String {
    let mut line = String::new();
    for (i, c) in text.chars().enumerate() {
        if i == longest {
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
