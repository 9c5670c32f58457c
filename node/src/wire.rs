//! The parsers and writers of the three wires: MessagePack-RPC from clients, RESP to caches, server-sent events
//! of the bulletin. It owns the bytes and nothing else: pure functions from a buffer to a value and the bytes
//! used. It must never do I/O, keep state between calls, or judge what a well-formed message means.
use atoi::FromRadix10Checked;
use httparse::Error::{HeaderName, HeaderValue, TooManyHeaders};
use httparse::{ParserConfig, Request, Response, Status};
use rmp::decode::{self, NumValueReadError, ValueReadError};
use rmp::encode::{self, ByteBuf};
use rmp::Marker;
use sseer::parser::{parse_line, RawEventLine};
use std::mem::MaybeUninit;

/// What is wrong with a frame. The connection it came on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// The longest frame of a client: a body of 48,000 bytes and its fields.
pub const MAX_CLIENT_FRAME_BYTES: usize = 64 * 1024;
/// The longest body of a cache's answer, an object of 240,000 bytes, and the longest of the parts before it.
pub const MAX_BULK_BYTES: usize = 256 * 1024;
pub const MAX_LEADING_PART_BYTES: usize = 4 * 1024;
/// The most digits in a length of RESP.
const DIGITS: usize = 10;

// ---- MessagePack ----

#[derive(Clone, Debug, PartialEq)]
pub enum MsgpackValue<'a> {
    Nil,
    Bool(bool),
    Int(i64),
    Str(&'a [u8]),
    Bin(&'a [u8]),
    List(Vec<MsgpackValue<'a>>),
    Map(Vec<(MsgpackValue<'a>, MsgpackValue<'a>)>),
    /// A kind that no message here uses.
    Other,
}

struct Cursor<'a> {
    rest: &'a [u8],
    /// Length of what has come of the frame.
    whole: usize,
    /// Values that it may still have.
    left: usize,
}

enum Stop {
    Short,
    Bad(&'static str),
}

/// The kind was looked at before the read, so all that can fail is that bytes are missing.
impl From<ValueReadError> for Stop {
    fn from(_: ValueReadError) -> Stop {
        Stop::Short
    }
}

/// Room made at once for a list or map: what the short forms hold. A longer one grows as its values come.
const FEW: u32 = 16;

impl<'a> Cursor<'a> {
    fn take(&mut self, n: u32) -> Result<&'a [u8], Stop> {
        let n = n as usize;
        if n > MAX_CLIENT_FRAME_BYTES - (self.whole - self.rest.len()) {
            return Err(Stop::Bad("frame too long"));
        }
        let (got, rest) = self.rest.split_at_checked(n).ok_or(Stop::Short)?;
        self.rest = rest;
        Ok(got)
    }
    fn list(&mut self, n: u32, depth: u8) -> Result<MsgpackValue<'a>, Stop> {
        let mut list = Vec::with_capacity(n.min(FEW) as usize);
        for _ in 0..n {
            list.push(self.val(depth)?);
        }
        Ok(MsgpackValue::List(list))
    }
    fn map(&mut self, n: u32, depth: u8) -> Result<MsgpackValue<'a>, Stop> {
        let mut map = Vec::with_capacity(n.min(FEW) as usize);
        for _ in 0..n {
            map.push((self.val(depth)?, self.val(depth)?));
        }
        Ok(MsgpackValue::Map(map))
    }
    /// One value. Guards the stack and the heap against hostile nesting and counts.
    fn val(&mut self, depth: u8) -> Result<MsgpackValue<'a>, Stop> {
        use Marker::*;
        if depth > 6 || self.left == 0 {
            return Err(Stop::Bad("too many values"));
        }
        self.left -= 1;
        let kind = Marker::from_u8(*self.rest.first().ok_or(Stop::Short)?);
        let rest = &mut self.rest;
        Ok(match kind {
            Null => (decode::read_nil(rest)?, MsgpackValue::Nil).1,
            True | False => MsgpackValue::Bool(decode::read_bool(rest)?),
            FixPos(_) | FixNeg(_) | U8 | U16 | U32 | U64 | I8 | I16 | I32 | I64 => {
                match decode::read_int(rest) {
                    Ok(n) => MsgpackValue::Int(n),
                    Err(NumValueReadError::OutOfRange) => MsgpackValue::Other,
                    Err(_) => return Err(Stop::Short),
                }
            }
            FixStr(_) | Str8 | Str16 | Str32 => {
                let n = decode::read_str_len(rest)?;
                MsgpackValue::Str(self.take(n)?)
            }
            Bin8 | Bin16 | Bin32 => {
                let n = decode::read_bin_len(rest)?;
                MsgpackValue::Bin(self.take(n)?)
            }
            FixArray(_) | Array16 | Array32 => {
                let n = decode::read_array_len(rest)?;
                self.list(n, depth + 1)?
            }
            FixMap(_) | Map16 | Map32 => {
                let n = decode::read_map_len(rest)?;
                self.map(n, depth + 1)?
            }
            F32 => (decode::read_f32(rest)?, MsgpackValue::Other).1,
            F64 => (decode::read_f64(rest)?, MsgpackValue::Other).1,
            FixExt1 | FixExt2 | FixExt4 | FixExt8 | FixExt16 | Ext8 | Ext16 | Ext32 => {
                let n = decode::read_ext_meta(rest)?.size;
                (self.take(n)?, MsgpackValue::Other).1
            }
            Reserved => return Err(Stop::Bad("unused type")),
        })
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Rpc<'a> {
    Request { id: u32, method: &'a [u8], params: Vec<MsgpackValue<'a>> },
    Notification { method: &'a [u8], params: Vec<MsgpackValue<'a>> },
}

/// One value, within the bounds of a client's frame.
pub fn parse_msgpack(buf: &[u8]) -> Parsed<MsgpackValue<'_>> {
    let frame = &buf[..buf.len().min(MAX_CLIENT_FRAME_BYTES)];
    let mut c = Cursor { rest: frame, whole: frame.len(), left: 256 };
    match c.val(0) {
        Ok(v) => Ok(Some((v, frame.len() - c.rest.len()))),
        Err(Stop::Short) if frame.len() == MAX_CLIENT_FRAME_BYTES => Err(Malformed("frame too long")),
        Err(Stop::Short) => Ok(None),
        Err(Stop::Bad(why)) => Err(Malformed(why)),
    }
}

/// One message of a client.
pub fn parse_rpc(buf: &[u8]) -> Parsed<Rpc<'_>> {
    let (list, used) = match parse_msgpack(buf)? {
        Some((MsgpackValue::List(list), used)) => (list, used),
        Some(_) => return Err(Malformed("not a list")),
        None => return Ok(None),
    };
    let mut it = list.into_iter();
    let message = match (it.next(), it.next(), it.next(), it.next(), it.next()) {
        (
            Some(MsgpackValue::Int(0)),
            Some(MsgpackValue::Int(id)),
            Some(MsgpackValue::Str(method)),
            Some(MsgpackValue::List(params)),
            None,
        ) => {
            let id = u32::try_from(id).map_err(|_| Malformed("message id"))?;
            Rpc::Request { id, method, params }
        }
        (
            Some(MsgpackValue::Int(2)),
            Some(MsgpackValue::Str(method)),
            Some(MsgpackValue::List(params)),
            None,
            None,
        ) => Rpc::Notification { method, params },
        _ => return Err(Malformed("not a request")),
    };
    Ok(Some((message, used)))
}

/// Bytes in memory take all that is written: the errors below have no values.
fn put_str(out: &mut ByteBuf, s: &str) {
    let Ok(()) = encode::write_str(out, s);
}

fn put_list(out: &mut ByteBuf, n: u32) {
    let Ok(_) = encode::write_array_len(out, n);
}

fn put_nil(out: &mut ByteBuf) {
    let Ok(()) = encode::write_nil(out);
}

fn put_fields(out: &mut ByteBuf, fields: &[(&str, &str)]) {
    let Ok(_) = encode::write_map_len(out, fields.len() as u32);
    for (name, value) in fields {
        put_str(out, name);
        put_str(out, value);
    }
}

/// `[1, id, ...`: the id takes four bytes whatever it is.
fn answer_head(id: u32) -> ByteBuf {
    let mut out = ByteBuf::new();
    put_list(&mut out, 4);
    let Ok(()) = encode::write_pfix(&mut out, 1);
    let Ok(()) = encode::write_u32(&mut out, id);
    out
}

/// `[1, id, nil, [BODY, FIELDS]]` as far as the bytes of a body of so many; they and the fields follow.
pub fn encode_served_head(id: u32, body: usize) -> Vec<u8> {
    let mut out = answer_head(id);
    put_nil(&mut out);
    put_list(&mut out, 2);
    let Ok(_) = encode::write_bin_len(&mut out, body as u32);
    out.into_vec()
}

pub fn encode_fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = ByteBuf::new();
    put_fields(&mut out, fields);
    out.into_vec()
}

/// `[1, id, [WORD, FIELDS], nil]`
pub fn encode_error(id: u32, word: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = answer_head(id);
    put_list(&mut out, 2);
    put_str(&mut out, word);
    put_fields(&mut out, fields);
    put_nil(&mut out);
    out.into_vec()
}

/// `[1, id, nil, [yes, FIELDS]]`
pub fn encode_alive(id: u32, yes: bool) -> Vec<u8> {
    let mut out = answer_head(id);
    put_nil(&mut out);
    put_list(&mut out, 2);
    let Ok(()) = encode::write_bool(&mut out, yes);
    put_fields(&mut out, &[]);
    out.into_vec()
}

// ---- RESP ----

/// A mark, a number and CRLF: the number, and where the next line starts.
fn sized(buf: &[u8], at: usize, mark: u8, most: usize) -> Parsed<usize> {
    let digits = match buf.get(at..).unwrap_or_default() {
        [] => return Ok(None),
        [first, rest @ ..] if *first == mark => rest,
        _ => return Err(Malformed("wrong mark")),
    };
    let (n, used) = usize::from_radix_10_checked(&digits[..digits.len().min(DIGITS)]);
    let n = n.filter(|n| *n <= most).ok_or(Malformed("length too large"))?;
    match &digits[used..] {
        [b'\r', b'\n', ..] if used > 0 => Ok(Some((n, at + used + 3))),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed("not a length")),
    }
}

/// An array of bulk strings.
pub fn parse_resp(buf: &[u8]) -> Parsed<Vec<&[u8]>> {
    let Some((count, mut at)) = sized(buf, 0, b'*', 8)? else { return Ok(None) };
    let mut parts = Vec::new();
    for i in 0..count {
        let most = if i < 3 { MAX_LEADING_PART_BYTES } else { MAX_BULK_BYTES };
        let Some((n, from)) = sized(buf, at, b'$', most)? else { return Ok(None) };
        let Some(rest) = buf.get(from..from + n + 2) else { return Ok(None) };
        if !rest.ends_with(b"\r\n") {
            return Err(Malformed("a bulk string without its end"));
        }
        parts.push(&rest[..n]);
        at = from + n + 2;
    }
    Ok(Some((parts, at)))
}

/// The first bulk string of an array of which the rest may still be coming in.
pub fn first_resp_part(buf: &[u8]) -> Option<&[u8]> {
    let (_, at) = sized(buf, 0, b'*', 8).ok()??;
    let (n, from) = sized(buf, at, b'$', MAX_LEADING_PART_BYTES).ok()??;
    buf.get(from..from + n)
}

/// How long an answer whose last bulk string is still coming in will be: so much memory it takes, and no more.
pub fn resp_array_bytes(buf: &[u8]) -> Option<usize> {
    let (count, mut at) = sized(buf, 0, b'*', 8).ok()??;
    for _ in 0..count {
        let (n, from) = sized(buf, at, b'$', MAX_BULK_BYTES).ok()??;
        at = from + n + 2;
    }
    Some(at)
}

pub fn encode_resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(parts.iter().map(|p| p.len() + 16).sum());
    let mut text = itoa::Buffer::new();
    let mut size = |out: &mut Vec<u8>, mark, n| {
        out.push(mark);
        out.extend_from_slice(text.format(n).as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    size(&mut out, b'*', parts.len());
    for p in parts {
        size(&mut out, b'$', p.len());
        out.extend_from_slice(p);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The value of a name in `name=value,name=value`.
pub fn find_field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// Whether a text may stand in such a list, and on a line.
pub fn is_plain_text(s: &str, most: usize) -> bool {
    !s.is_empty() && s.len() <= most && s.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
}

// ---- HTTP and server-sent events ----

#[derive(Clone, Debug, PartialEq)]
pub struct HttpHead {
    /// Words of the first line.
    pub start_line: [String; 3],
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl HttpHead {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The value of a header that may stand only once.
    pub fn single_header(&self, name: &str) -> Result<Option<&str>, Malformed> {
        let mut all = self.headers.iter().filter(|(n, _)| n == name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(Malformed("a header that stands twice")),
            (one, None) => Ok(one.map(|(_, v)| v.as_str())),
        }
    }
}

/// The longest head, and the most headers in one.
const HEAD: usize = 16 * 1024;
const HEADERS: usize = 100;
/// The longest line that tells the size of a chunk.
const SIZE: usize = 65;

/// How long a head is, once all of it has come.
fn whole(read: httparse::Result<usize>, come: usize) -> Result<Option<usize>, Malformed> {
    match read {
        Ok(Status::Complete(used)) => Ok(Some(used)),
        Ok(Status::Partial) if come > HEAD => Err(Malformed("head too long")),
        Ok(Status::Partial) => Ok(None),
        Err(HeaderName | HeaderValue | TooManyHeaders) => Err(Malformed("header")),
        Err(_) => Err(Malformed("first line")),
    }
}

/// The head of an HTTP/1.1 message, to its empty line.
pub fn parse_http_head(buf: &[u8]) -> Parsed<HttpHead> {
    // Empty lines before the first are passed over by the library, and lines that end in LF alone are taken.
    if buf.starts_with(b"\r") || buf.starts_with(b"\n") {
        return Err(Malformed("first line"));
    }
    let seen = &buf[..buf.len().min(HEAD)];
    let mut room = [const { MaybeUninit::uninit() }; HEADERS];
    let text = |t: Option<&str>| t.unwrap_or_default().to_owned();
    let version = |v: Option<u8>| format!("HTTP/1.{}", v.unwrap_or_default());
    let (used, start, headers) = if seen.starts_with(b"HTTP/") {
        let mut m = Response::new(&mut []);
        let read = ParserConfig::default().parse_response_with_uninit_headers(&mut m, seen, &mut room);
        let Some(used) = whole(read, buf.len())? else { return Ok(None) };
        let code = format!("{:03}", m.code.unwrap_or_default());
        (used, [version(m.version), code, text(m.reason)], m.headers)
    } else {
        let mut m = Request::new(&mut []);
        let read = m.parse_with_uninit_headers(seen, &mut room);
        let Some(used) = whole(read, buf.len())? else { return Ok(None) };
        (used, [text(m.method), text(m.path), version(m.version)], m.headers)
    };
    let ends = |mark| seen[..used].iter().filter(|b| **b == mark).count();
    if ends(b'\r') != ends(b'\n') {
        return Err(Malformed("end of a line"));
    }
    let own = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| Malformed("head is not text"))?;
        Ok((h.name.to_ascii_lowercase(), value.to_owned()))
    };
    let headers = headers.iter().map(own).collect::<Result<_, _>>()?;
    Ok(Some((HttpHead { start_line: start, headers }, used)))
}

/// One chunk of a chunked body; an empty one is the last.
pub fn parse_http_chunk(buf: &[u8]) -> Parsed<&[u8]> {
    const BAD: Malformed = Malformed("size of a chunk");
    // The library takes a line with no digits for the last chunk.
    if buf.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
        return Err(BAD);
    }
    let (from, n) = match httparse::parse_chunk_size(&buf[..buf.len().min(SIZE)]) {
        Ok(Status::Complete((from, n))) if n <= MAX_EVENT_BYTES as u64 => (from, n as usize),
        Ok(Status::Partial) if buf.len() <= SIZE => return Ok(None),
        Ok(Status::Partial) => return Err(Malformed("line too long")),
        _ => return Err(BAD),
    };
    let Some(rest) = buf.get(from..from + n + 2) else { return Ok(None) };
    if !rest.ends_with(b"\r\n") {
        return Err(Malformed("a chunk without its end"));
    }
    Ok(Some((&rest[..n], from + n + 2)))
}

/// The longest event.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// One block of an event stream, to its empty line: the data, if there are any.
pub fn parse_sse_event(buf: &[u8]) -> Parsed<Option<String>> {
    let mut rest = buf;
    let mut data: Option<String> = None;
    while let Some((line, next)) = parse_line(rest) {
        rest = next;
        match line {
            RawEventLine::Empty => return Ok(Some((data, buf.len() - rest.len()))),
            RawEventLine::Field { field_name: b"data", field_value } => {
                let text = std::str::from_utf8(field_value.unwrap_or_default());
                let text = text.map_err(|_| Malformed("event is not text"))?;
                match &mut data {
                    Some(all) => {
                        all.push('\n');
                        all.push_str(text);
                    }
                    None => data = Some(text.to_owned()),
                }
            }
            _ => {}
        }
    }
    if buf.len() > MAX_EVENT_BYTES {
        return Err(Malformed("event too long"));
    }
    Ok(None)
}
