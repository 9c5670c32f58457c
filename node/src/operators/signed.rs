//! The part `[signed]`: the front for signed links. It owns what that is told. It must never take a key from the
//! operators' file itself, nor one for another algorithm than HS256.
use super::{Own, Part, Wrong};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use std::collections::HashMap;
use std::net::SocketAddr;
use threadward_core::Micros;

pub const KEYS: &[&str] = &["base", "skew_ms", "register", "audience", "front", "key"];
const FRONT: &[&str] = &["name", "listen", "url"];
const KEY: &[&str] = &["kid", "alg", "secret_file"];

/// What the file says of the front for signed links.
#[derive(Clone)]
pub struct SignedLinks {
    pub name: String,
    pub listen: SocketAddr,
    /// Scheme and authority of the links as their signer wrote them.
    pub base: String,
    pub skew: Micros,
    pub register: usize,
    /// Keys by `kid`; each is for HS256 alone.
    pub keys: HashMap<String, Vec<u8>>,
    /// The tier's fronts: name, and the address that clients are sent to.
    pub fronts: Vec<(String, String)>,
    pub audience: Option<String>,
}

pub fn read(part: &Part, own: &Own) -> Result<SignedLinks, Wrong> {
    let number = |key: &str, least: i64, most: i64| {
        let n = part.whole(key)?.filter(|n| (least..=most).contains(n));
        n.ok_or_else(|| part.wrong_at(key, format!("'{key}' is missing or not from {least} to {most}")))
    };
    let mut keys = HashMap::new();
    for k in part.tables("key", KEY)? {
        let kid = k.word("kid")?;
        if k.word("alg")? != "HS256" {
            return Err(k.wrong_at("alg", format!("key '{kid}': only HS256 is known")));
        }
        let text = k.secret("secret_file", own.folder)?;
        let wrong = |what: &str| k.wrong_at("secret_file", format!("key '{kid}': {what}"));
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| wrong("not base64url"))?;
        // RFC 7518, section 3.2: a key at least as long as the hash.
        if bytes.len() < 32 {
            return Err(wrong("shorter than 32 bytes"));
        }
        if keys.insert(kid.to_owned(), bytes).is_some() {
            return Err(k.wrong(format!("key '{kid}' stands twice")));
        }
    }
    if keys.is_empty() {
        return Err(part.wrong("no key"));
    }
    let mut fronts: Vec<(String, String)> = Vec::new();
    let mut listen = None;
    for f in part.tables("front", FRONT)? {
        let (name, url) = (f.word("name")?, f.word("url")?);
        if fronts.iter().any(|(n, _)| *n == name) {
            return Err(f.wrong(format!("front '{name}' stands twice")));
        }
        // Another's address may be a name: it is for that proxy to read.
        if name == own.name {
            listen = Some(f.address("listen")?);
        } else {
            f.text("listen")?;
        }
        fronts.push((name.to_owned(), url.trim_end_matches('/').to_owned()));
    }
    let name = own.name;
    Ok(SignedLinks {
        name: name.to_owned(),
        listen: listen.ok_or_else(|| part.wrong(format!("no front has this proxy's name, '{name}'")))?,
        base: part.word("base")?.trim_end_matches('/').to_owned(),
        skew: number("skew_ms", 0, 60_000)? as Micros * 1000,
        register: number("register", 1, 1_000_000)? as usize,
        keys,
        fronts,
        audience: part.text("audience")?.map(str::to_owned),
    })
}
