//! Parsers and encoders of the three protocols: MessagePack-RPC with clients, RESP with caches, and
//! server-sent events from discovery.
//!
//! All of them are pure functions without I/O or state. A parser takes a buffer and returns a value and the
//! number of bytes it took, or nothing as long as the value is incomplete. What a well-formed message means
//! is up to the caller.
use atoi::FromRadix10Checked;
use httparse::Error::{HeaderName, HeaderValue, TooManyHeaders};
use httparse::{ParserConfig, Request, Response, Status};
use rmp::decode::{self, NumValueReadError, ValueReadError};
use rmp::encode::{self, ByteBuf};
use rmp::Marker;
use sseer::parser::{parse_line, RawEventLine};
use std::mem::MaybeUninit;

/// What is wrong with a malformed message. The connection it came on is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A value and the bytes it took, or nothing if it is incomplete.
type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// Limit on the size of a client's message: a body of 48,000 bytes and its fields.
pub const MAX_CLIENT_FRAME_BYTES: usize = 64 * 1024;
/// Limit on the body of a cache's answer: an object of 240,000 bytes.
pub const MAX_BULK_BYTES: usize = 256 * 1024;
/// Limit on each part of a cache's answer before its body.
pub const MAX_LEADING_PART_BYTES: usize = 4 * 1024;
/// Limit on the digits of a length in RESP.
const MAX_LENGTH_DIGITS: usize = 10;

// ---- MessagePack ----

/// A MessagePack value, with strings and binary data borrowed from the buffer.
#[derive(Clone, Debug, PartialEq)]
pub enum MsgpackValue<'a> {
    Nil,
    Bool(bool),
    Int(i64),
    Str(&'a [u8]),
    Bin(&'a [u8]),
    List(Vec<MsgpackValue<'a>>),
    Map(Vec<(MsgpackValue<'a>, MsgpackValue<'a>)>),
    /// A value of a type that no message uses.
    Other,
}

/// The position of the parser in a message.
struct Cursor<'a> {
    remaining: &'a [u8],
    /// How many bytes of the message have arrived.
    frame_bytes: usize,
    /// Limit on the bytes of a message.
    max_frame_bytes: usize,
    /// How many values the message may still have.
    values_left: usize,
}

/// Why parsing stopped.
enum ParseStop {
    /// Bytes are missing.
    Incomplete,
    /// The message is malformed.
    Invalid(&'static str),
}

/// The value's type is checked before it is read, so the only possible failure is that bytes are missing.
impl From<ValueReadError> for ParseStop {
    fn from(_: ValueReadError) -> ParseStop {
        ParseStop::Incomplete
    }
}

/// Capacity reserved in advance for a list or map: as many items as the short encodings hold. A longer one
/// grows as its items are parsed.
const MAX_PREALLOCATED_ITEMS: u32 = 16;

impl<'a> Cursor<'a> {
    fn read_bytes(&mut self, n: u32) -> Result<&'a [u8], ParseStop> {
        let n = n as usize;
        if n > self.max_frame_bytes - (self.frame_bytes - self.remaining.len()) {
            return Err(ParseStop::Invalid("frame too long"));
        }
        let (got, remaining) = self.remaining.split_at_checked(n).ok_or(ParseStop::Incomplete)?;
        self.remaining = remaining;
        Ok(got)
    }
    fn read_list(&mut self, n: u32, depth: u8) -> Result<MsgpackValue<'a>, ParseStop> {
        let mut items = Vec::with_capacity(n.min(MAX_PREALLOCATED_ITEMS) as usize);
        for _ in 0..n {
            items.push(self.read_value(depth)?);
        }
        Ok(MsgpackValue::List(items))
    }
    fn read_map(&mut self, n: u32, depth: u8) -> Result<MsgpackValue<'a>, ParseStop> {
        let mut entries = Vec::with_capacity(n.min(MAX_PREALLOCATED_ITEMS) as usize);
        for _ in 0..n {
            entries.push((self.read_value(depth)?, self.read_value(depth)?));
        }
        Ok(MsgpackValue::Map(entries))
    }
    /// Reads a value. Limits on depth and on the number of values protect the stack and the heap from hostile
    /// input.
    fn read_value(&mut self, depth: u8) -> Result<MsgpackValue<'a>, ParseStop> {
        use Marker::*;
        if depth > 6 || self.values_left == 0 {
            return Err(ParseStop::Invalid("too many values"));
        }
        self.values_left -= 1;
        let marker = Marker::from_u8(*self.remaining.first().ok_or(ParseStop::Incomplete)?);
        let remaining = &mut self.remaining;
        Ok(match marker {
            Null => (decode::read_nil(remaining)?, MsgpackValue::Nil).1,
            True | False => MsgpackValue::Bool(decode::read_bool(remaining)?),
            FixPos(_) | FixNeg(_) | U8 | U16 | U32 | U64 | I8 | I16 | I32 | I64 => {
                match decode::read_int(remaining) {
                    Ok(n) => MsgpackValue::Int(n),
                    Err(NumValueReadError::OutOfRange) => MsgpackValue::Other,
                    Err(_) => return Err(ParseStop::Incomplete),
                }
            }
            FixStr(_) | Str8 | Str16 | Str32 => {
                let n = decode::read_str_len(remaining)?;
                MsgpackValue::Str(self.read_bytes(n)?)
            }
            Bin8 | Bin16 | Bin32 => {
                let n = decode::read_bin_len(remaining)?;
                MsgpackValue::Bin(self.read_bytes(n)?)
            }
            FixArray(_) | Array16 | Array32 => {
                let n = decode::read_array_len(remaining)?;
                self.read_list(n, depth + 1)?
            }
            FixMap(_) | Map16 | Map32 => {
                let n = decode::read_map_len(remaining)?;
                self.read_map(n, depth + 1)?
            }
            F32 => (decode::read_f32(remaining)?, MsgpackValue::Other).1,
            F64 => (decode::read_f64(remaining)?, MsgpackValue::Other).1,
            FixExt1 | FixExt2 | FixExt4 | FixExt8 | FixExt16 | Ext8 | Ext16 | Ext32 => {
                let n = decode::read_ext_meta(remaining)?.size;
                (self.read_bytes(n)?, MsgpackValue::Other).1
            }
            Reserved => return Err(ParseStop::Invalid("unused type")),
        })
    }
}

/// A MessagePack-RPC message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Rpc<'a> {
    Request { id: u32, method: &'a [u8], params: Vec<MsgpackValue<'a>> },
    Notification { method: &'a [u8], params: Vec<MsgpackValue<'a>> },
}

/// Parses a MessagePack value of at most [`MAX_CLIENT_FRAME_BYTES`].
pub fn parse_msgpack(buf: &[u8]) -> Parsed<MsgpackValue<'_>> {
    parse_msgpack_within(buf, MAX_CLIENT_FRAME_BYTES)
}

/// Parses a MessagePack value of at most `max_frame_bytes`.
pub fn parse_msgpack_within(buf: &[u8], max_frame_bytes: usize) -> Parsed<MsgpackValue<'_>> {
    let frame = &buf[..buf.len().min(max_frame_bytes)];
    let mut cursor = Cursor { remaining: frame, frame_bytes: frame.len(), max_frame_bytes, values_left: 256 };
    match cursor.read_value(0) {
        Ok(v) => Ok(Some((v, frame.len() - cursor.remaining.len()))),
        Err(ParseStop::Incomplete) if frame.len() == max_frame_bytes => Err(Malformed("frame too long")),
        Err(ParseStop::Incomplete) => Ok(None),
        Err(ParseStop::Invalid(why)) => Err(Malformed(why)),
    }
}

/// Parses a message from a client.
pub fn parse_rpc(buf: &[u8]) -> Parsed<Rpc<'_>> {
    let (items, length) = match parse_msgpack(buf)? {
        Some((MsgpackValue::List(items), length)) => (items, length),
        Some(_) => return Err(Malformed("not a list")),
        None => return Ok(None),
    };
    let mut it = items.into_iter();
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
    Ok(Some((message, length)))
}

/// Appends a string. Writing to memory cannot fail: the error types of the writes below have no values.
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

/// Encodes `[1, id, ...`, with the id in four bytes whatever its value.
fn answer_head(id: u32) -> ByteBuf {
    let mut out = ByteBuf::new();
    put_list(&mut out, 4);
    let Ok(()) = encode::write_pfix(&mut out, 1);
    let Ok(()) = encode::write_u32(&mut out, id);
    out
}

/// Encodes `[1, id, nil, [BODY, FIELDS]]` up to the header of a body of `body_bytes`. The body itself and the
/// fields follow.
pub fn encode_served_head(id: u32, body_bytes: usize) -> Vec<u8> {
    let mut out = answer_head(id);
    put_nil(&mut out);
    put_list(&mut out, 2);
    let Ok(_) = encode::write_bin_len(&mut out, body_bytes as u32);
    out.into_vec()
}

/// Encodes fields as a map of strings.
pub fn encode_fields(fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = ByteBuf::new();
    put_fields(&mut out, fields);
    out.into_vec()
}

/// Encodes the error answer `[1, id, [WORD, FIELDS], nil]`.
pub fn encode_error(id: u32, word: &str, fields: &[(&str, &str)]) -> Vec<u8> {
    let mut out = answer_head(id);
    put_list(&mut out, 2);
    put_str(&mut out, word);
    put_fields(&mut out, fields);
    put_nil(&mut out);
    out.into_vec()
}

/// Encodes the answer to a health check, `[1, id, nil, [alive, FIELDS]]`.
pub fn encode_alive(id: u32, alive: bool) -> Vec<u8> {
    let mut out = answer_head(id);
    put_nil(&mut out);
    put_list(&mut out, 2);
    let Ok(()) = encode::write_bool(&mut out, alive);
    put_fields(&mut out, &[]);
    out.into_vec()
}

// ---- RESP ----

/// Parses a type mark, a number of at most `max` and CRLF. Returns the number, and where the next line
/// starts.
fn parse_length(buf: &[u8], start: usize, mark: u8, max: usize) -> Parsed<usize> {
    let digits = match buf.get(start..).unwrap_or_default() {
        [] => return Ok(None),
        [first, rest @ ..] if *first == mark => rest,
        _ => return Err(Malformed("wrong mark")),
    };
    let (length, digit_count) = usize::from_radix_10_checked(&digits[..digits.len().min(MAX_LENGTH_DIGITS)]);
    let length = length.filter(|length| *length <= max).ok_or(Malformed("length too large"))?;
    match &digits[digit_count..] {
        [b'\r', b'\n', ..] if digit_count > 0 => Ok(Some((length, start + digit_count + 3))),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed("not a length")),
    }
}

/// Parses an array of bulk strings.
pub fn parse_resp(buf: &[u8]) -> Parsed<Vec<&[u8]>> {
    let Some((count, mut position)) = parse_length(buf, 0, b'*', 8)? else { return Ok(None) };
    let mut parts = Vec::new();
    for i in 0..count {
        let max = if i < 3 { MAX_LEADING_PART_BYTES } else { MAX_BULK_BYTES };
        let Some((length, start)) = parse_length(buf, position, b'$', max)? else { return Ok(None) };
        let Some(rest) = buf.get(start..start + length + 2) else { return Ok(None) };
        if !rest.ends_with(b"\r\n") {
            return Err(Malformed("a bulk string without its end"));
        }
        parts.push(&rest[..length]);
        position = start + length + 2;
    }
    Ok(Some((parts, position)))
}

/// Returns the first bulk string of an array that may still be incomplete.
pub fn first_resp_part(buf: &[u8]) -> Option<&[u8]> {
    let (_, position) = parse_length(buf, 0, b'*', 8).ok()??;
    let (length, start) = parse_length(buf, position, b'$', MAX_LEADING_PART_BYTES).ok()??;
    buf.get(start..start + length)
}

/// Returns the full length in bytes of an array whose last bulk string is still arriving, so that exactly
/// this much memory can be reserved.
pub fn resp_array_bytes(buf: &[u8]) -> Option<usize> {
    let (count, mut position) = parse_length(buf, 0, b'*', 8).ok()??;
    for _ in 0..count {
        let (length, start) = parse_length(buf, position, b'$', MAX_BULK_BYTES).ok()??;
        position = start + length + 2;
    }
    Some(position)
}

/// Encodes an array of bulk strings.
pub fn encode_resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(parts.iter().map(|p| p.len() + 16).sum());
    let mut digits = itoa::Buffer::new();
    let mut write_length = |out: &mut Vec<u8>, mark, n| {
        out.push(mark);
        out.extend_from_slice(digits.format(n).as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    write_length(&mut out, b'*', parts.len());
    for p in parts {
        write_length(&mut out, b'$', p.len());
        out.extend_from_slice(p);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Returns the value of a name in `name=value,name=value`.
pub fn find_field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
}

/// Returns whether a text may be a value in such a list and may stand in a line: it is neither empty nor
/// longer than `max_bytes`, and has only printable ASCII characters without spaces, commas and equals signs.
pub fn is_plain_text(text: &str, max_bytes: usize) -> bool {
    !text.is_empty()
        && text.len() <= max_bytes
        && text.bytes().all(|b| b.is_ascii_graphic() && b != b',' && b != b'=')
}

// ---- HTTP and server-sent events ----

/// The start line and the headers of an HTTP/1.1 message.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpHead {
    /// The three parts of the start line.
    pub start_line: [String; 3],
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl HttpHead {
    /// Returns the value of the first header with this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// Returns the value of a header that may occur only once.
    ///
    /// # Errors
    /// Returns an error if it occurs more than once.
    pub fn single_header(&self, name: &str) -> Result<Option<&str>, Malformed> {
        let mut all = self.headers.iter().filter(|(n, _)| n == name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(Malformed("a header occurs twice")),
            (one, None) => Ok(one.map(|(_, v)| v.as_str())),
        }
    }
}

/// Limit on the size of a head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit on the number of headers in a head.
const MAX_HEADERS: usize = 100;
/// Limit on the line with the size of a chunk.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 65;

/// Returns the length of a head, or nothing if it is incomplete.
fn head_length(read: httparse::Result<usize>, received: usize) -> Result<Option<usize>, Malformed> {
    match read {
        Ok(Status::Complete(length)) => Ok(Some(length)),
        Ok(Status::Partial) if received > MAX_HEAD_BYTES => Err(Malformed("head too long")),
        Ok(Status::Partial) => Ok(None),
        Err(HeaderName | HeaderValue | TooManyHeaders) => Err(Malformed("header")),
        Err(_) => Err(Malformed("first line")),
    }
}

/// Parses the head of an HTTP/1.1 message up to the empty line that ends it.
pub fn parse_http_head(buf: &[u8]) -> Parsed<HttpHead> {
    // The library skips empty lines before the first and accepts lines that end in LF alone. Both are refused
    // here and below.
    if buf.starts_with(b"\r") || buf.starts_with(b"\n") {
        return Err(Malformed("first line"));
    }
    let head = &buf[..buf.len().min(MAX_HEAD_BYTES)];
    let mut header_slots = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let text = |t: Option<&str>| t.unwrap_or_default().to_owned();
    let version = |v: Option<u8>| format!("HTTP/1.{}", v.unwrap_or_default());
    let (length, start, headers) = if head.starts_with(b"HTTP/") {
        let mut message = Response::new(&mut []);
        let read =
            ParserConfig::default().parse_response_with_uninit_headers(&mut message, head, &mut header_slots);
        let Some(length) = head_length(read, buf.len())? else { return Ok(None) };
        let code = format!("{:03}", message.code.unwrap_or_default());
        (length, [version(message.version), code, text(message.reason)], message.headers)
    } else {
        let mut message = Request::new(&mut []);
        let read = message.parse_with_uninit_headers(head, &mut header_slots);
        let Some(length) = head_length(read, buf.len())? else { return Ok(None) };
        (length, [text(message.method), text(message.path), version(message.version)], message.headers)
    };
    let count_of = |mark| head[..length].iter().filter(|b| **b == mark).count();
    if count_of(b'\r') != count_of(b'\n') {
        return Err(Malformed("end of a line"));
    }
    let to_owned_header = |h: &httparse::Header<'_>| {
        let value = std::str::from_utf8(h.value).map_err(|_| Malformed("head is not text"))?;
        Ok((h.name.to_ascii_lowercase(), value.to_owned()))
    };
    let headers = headers.iter().map(to_owned_header).collect::<Result<_, _>>()?;
    Ok(Some((HttpHead { start_line: start, headers }, length)))
}

/// Parses a chunk of a chunked body. An empty chunk is the last one.
pub fn parse_http_chunk(buf: &[u8]) -> Parsed<&[u8]> {
    const BAD_SIZE: Malformed = Malformed("size of a chunk");
    // The library takes a line without digits for the last chunk.
    if buf.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
        return Err(BAD_SIZE);
    }
    let (start, length) = match httparse::parse_chunk_size(&buf[..buf.len().min(MAX_CHUNK_SIZE_LINE_BYTES)]) {
        Ok(Status::Complete((start, length))) if length <= MAX_EVENT_BYTES as u64 => (start, length as usize),
        Ok(Status::Partial) if buf.len() <= MAX_CHUNK_SIZE_LINE_BYTES => return Ok(None),
        Ok(Status::Partial) => return Err(Malformed("line too long")),
        _ => return Err(BAD_SIZE),
    };
    let Some(rest) = buf.get(start..start + length + 2) else { return Ok(None) };
    if !rest.ends_with(b"\r\n") {
        return Err(Malformed("a chunk without its end"));
    }
    Ok(Some((&rest[..length], start + length + 2)))
}

/// Limit on the size of an event, and of a chunk.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Parses a block of an event stream up to the empty line that ends it. Returns its data, if it has any.
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
