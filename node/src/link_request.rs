//! Parses requests for signed links from their HTTP heads.
use crate::wire::{self, HttpHead, Malformed};

/// The attribute that carries the token (RFC 9246, section 3.3).
pub const TOKEN_PARAMETER: &str = "URISigningPackage";
/// Limit on the body of a write.
const MAX_BODY_BYTES: usize = 48_000;

/// A request as parsed from a request line and headers.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkRequest {
    pub path: String,
    pub token: Option<String>,
    pub class: String,
    pub group: u16,
    pub object: u64,
    pub object_name: String,
    pub part: u32,
    pub is_write: bool,
    /// Length of the body.
    pub body_bytes: usize,
    /// The client asks to close the connection after the answer.
    pub close_connection: bool,
    pub idempotency_key: Option<String>,
    /// The entity tag of the copy that the client has.
    pub held_tag: Option<String>,
}

/// Parses the head of a request.
///
/// # Errors
/// Returns the HTTP status to answer with if the head is malformed or the request is not allowed.
pub fn parse_link_request(head: &HttpHead) -> Result<LinkRequest, u16> {
    let malformed = |_: Malformed| 400u16;
    let [method, target, version] = &head.start_line;
    if version != "HTTP/1.1" || head.single_header("host").map_err(malformed)?.is_none() {
        return Err(400);
    }
    let is_write = match method.as_str() {
        "GET" => false,
        "POST" => true,
        _ => return Err(405),
    };
    let (path, query) = target.split_once('?').map_or((target.as_str(), None), |(p, q)| (p, Some(q)));
    let token = match query {
        None => None,
        Some(q) => match q.split_once('=') {
            Some((TOKEN_PARAMETER, token)) if !token.contains('&') => Some(token.to_owned()),
            _ => return Err(400),
        },
    };
    let mut parts = path.strip_prefix('/').ok_or(400u16)?.split('/');
    let (Some(class), Some(group), Some(object_name), Some(part), None) =
        (parts.next(), parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(400);
    };
    let parse_number = |text: &str, max: u64| {
        let digits = text.len() <= 10
            && text.bytes().all(|b| b.is_ascii_digit())
            && (text.len() == 1 || !text.starts_with('0'));
        text.parse::<u64>().ok().filter(|number| digits && *number <= max).ok_or(400u16)
    };
    let is_hex_name =
        object_name.len() == 16 && object_name.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !is_hex_name || !wire::is_plain_text(class, 64) {
        return Err(400);
    }
    let body_bytes = match head.single_header("content-length").map_err(malformed)? {
        Some(number) => parse_number(number, u64::from(u32::MAX))? as usize,
        None if is_write => return Err(411),
        None => 0,
    };
    // A second, contradicting length of the body would allow request smuggling.
    if head.header("transfer-encoding").is_some() || !is_write && body_bytes > 0 {
        return Err(400);
    }
    if body_bytes > MAX_BODY_BYTES {
        return Err(413);
    }
    let idempotency_key = head.single_header("idempotency-key").map_err(malformed)?;
    let idempotency_key = idempotency_key.map(|key| key.trim_matches('"').to_owned());
    if idempotency_key.as_ref().is_some_and(|key| !wire::is_plain_text(key, 128))
        || is_write && idempotency_key.is_none()
    {
        return Err(400);
    }
    // A single strong or weak tag is passed on. A list or `*` is ignored, and the answer has the whole body.
    let held_tag = head.header("if-none-match").map(|text| text.trim().trim_start_matches("W/"));
    let held_tag = held_tag
        .and_then(|text| text.strip_prefix('"')?.strip_suffix('"'))
        .filter(|text| wire::is_plain_text(text, 128));
    Ok(LinkRequest {
        token,
        class: class.to_owned(),
        group: parse_number(group, 255)? as u16,
        object: u64::from_str_radix(object_name, 16).map_err(|_| 400u16)?,
        object_name: object_name.to_owned(),
        part: parse_number(part, u64::from(u32::MAX))? as u32,
        path: path.to_owned(),
        is_write,
        body_bytes,
        close_connection: head.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")),
        idempotency_key,
        held_tag: held_tag.map(str::to_owned),
    })
}
