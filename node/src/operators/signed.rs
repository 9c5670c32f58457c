//! The part `[signed]`: the front end for signed links. A key is never in the operators' file itself, and
//! only keys for HS256 are accepted.
use super::{FileError, Part, ReadContext};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::collections::HashMap;
use std::net::SocketAddr;
use threadward_core::Micros;

pub const KEYS: &[&str] = &["base", "skew_ms", "register", "audience", "front", "key"];
const FRONT_KEYS: &[&str] = &["name", "listen", "url"];
const KEY_KEYS: &[&str] = &["kid", "alg", "secret_file"];

/// The settings of the front end for signed links.
#[derive(Clone)]
pub struct SignedLinks {
    pub name: String,
    pub listen: SocketAddr,
    /// Scheme and authority of the links as their signer wrote them.
    pub base: String,
    /// By how much the clocks of signer and proxy may differ.
    pub skew: Micros,
    /// Number of used links that are remembered.
    pub register: usize,
    /// Keys by `kid`, all for HS256.
    pub keys: HashMap<String, Vec<u8>>,
    /// The fronts of the tier: the name, and the URL that clients are redirected to.
    pub fronts: Vec<(String, String)>,
    pub audience: Option<String>,
}

/// Reads the part.
pub fn read(part: &Part, context: &ReadContext) -> Result<SignedLinks, FileError> {
    let number = |key: &str, lowest: i64, highest: i64| {
        let n = part.integer(key)?.filter(|n| (lowest..=highest).contains(n));
        n.ok_or_else(|| part.key_error(key, format!("'{key}' is missing or not from {lowest} to {highest}")))
    };
    let mut keys = HashMap::new();
    for k in part.tables("key", KEY_KEYS)? {
        let kid = k.required_text("kid")?;
        if k.required_text("alg")? != "HS256" {
            return Err(k.key_error("alg", format!("key '{kid}': only HS256 is known")));
        }
        let text = k.secret("secret_file", context.folder)?;
        let error = |what: &str| k.key_error("secret_file", format!("key '{kid}': {what}"));
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| error("not base64url"))?;
        // RFC 7518, section 3.2: a key at least as long as the hash.
        if bytes.len() < 32 {
            return Err(error("shorter than 32 bytes"));
        }
        if keys.insert(kid.to_owned(), bytes).is_some() {
            return Err(k.head_error(format!("key '{kid}' stands twice")));
        }
    }
    if keys.is_empty() {
        return Err(part.head_error("no key"));
    }
    let mut fronts: Vec<(String, String)> = Vec::new();
    let mut listen = None;
    for f in part.tables("front", FRONT_KEYS)? {
        let (name, url) = (f.required_text("name")?, f.required_text("url")?);
        if fronts.iter().any(|(n, _)| *n == name) {
            return Err(f.head_error(format!("front '{name}' stands twice")));
        }
        // The address of another front may be a host name: only that proxy reads it.
        if name == context.name {
            listen = Some(f.address("listen")?);
        } else {
            f.text("listen")?;
        }
        fronts.push((name.to_owned(), url.trim_end_matches('/').to_owned()));
    }
    let name = context.name;
    Ok(SignedLinks {
        name: name.to_owned(),
        listen: listen.ok_or_else(|| part.head_error(format!("no front has this proxy's name, '{name}'")))?,
        base: part.required_text("base")?.trim_end_matches('/').to_owned(),
        skew: number("skew_ms", 0, 60_000)? as Micros * 1000,
        register: number("register", 1, 1_000_000)? as usize,
        keys,
        fronts,
        audience: part.text("audience")?.map(str::to_owned),
    })
}
