//! The wires of the protocol page as its clients, cache servers and discovery speak them.
use std::collections::BTreeMap;

/// A MessagePack value, as far as answers to clients need them.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Str(String),
    Bin(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn put_str(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n => out.extend([0xd9, n as u8]),
    }
    out.extend(text.as_bytes());
}

fn put_id(out: &mut Vec<u8>, id: u32) {
    out.push(0xce);
    out.extend(id.to_be_bytes());
}

fn put_fields(out: &mut Vec<u8>, fields: &[(String, String)]) {
    out.extend([0xde, 0, fields.len() as u8]);
    for (name, value) in fields {
        put_str(out, name);
        put_str(out, value);
    }
}

/// `[0, id, class, [FIELDS, BODY]]`
pub fn request(id: u32, class: &str, fields: &[(String, String)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0];
    put_id(&mut out, id);
    put_str(&mut out, class);
    out.push(0x92);
    put_fields(&mut out, fields);
    out.push(0xc6);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, n: usize) -> Option<&[u8]> {
        let got = self.bytes.get(self.at..self.at + n)?;
        self.at += n;
        Some(got)
    }
    fn number(&mut self, n: usize) -> Option<u64> {
        Some(self.take(n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
    }
    fn text(&mut self, n: usize) -> Option<Value> {
        Some(Value::Str(String::from_utf8_lossy(self.take(n)?).into_owned()))
    }
    fn list(&mut self, n: usize) -> Option<Value> {
        (0..n).map(|_| self.value()).collect::<Option<_>>().map(Value::List)
    }
    fn map(&mut self, n: usize) -> Option<Value> {
        (0..n).map(|_| Some((self.value()?, self.value()?))).collect::<Option<_>>().map(Value::Map)
    }
    /// Returns `None` where bytes are missing. A type that no answer has is a panic: the answer is unreadable.
    fn value(&mut self) -> Option<Value> {
        let mark = self.number(1)? as u8;
        Some(match mark {
            0..=0x7f => Value::Int(i64::from(mark)),
            0x80..=0x8f => self.map(usize::from(mark & 15))?,
            0x90..=0x9f => self.list(usize::from(mark & 15))?,
            0xa0..=0xbf => self.text(usize::from(mark & 31))?,
            0xc0 => Value::Nil,
            0xc2 | 0xc3 => Value::Bool(mark == 0xc3),
            0xc4..=0xc6 => {
                let n = self.number(1 << (mark - 0xc4))? as usize;
                Value::Bin(self.take(n)?.to_vec())
            }
            0xcc..=0xcf => Value::Int(self.number(1 << (mark - 0xcc))? as i64),
            0xd9..=0xdb => {
                let n = self.number(1 << (mark - 0xd9))? as usize;
                self.text(n)?
            }
            0xdc | 0xdd => {
                let n = self.number(2 << (mark - 0xdc))? as usize;
                self.list(n)?
            }
            0xde | 0xdf => {
                let n = self.number(2 << (mark - 0xde))? as usize;
                self.map(n)?
            }
            _ => panic!("an answer with an unknown type {mark:#x}"),
        })
    }
}

/// Reads one value, and says how many bytes it took.
pub fn value(bytes: &[u8]) -> Option<(Value, usize)> {
    let mut reader = Reader { bytes, at: 0 };
    let value = reader.value()?;
    Some((value, reader.at))
}

/// Reads a RESP array of bulk strings, and says how many bytes it took.
pub fn resp(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let line = |at: usize| {
        let end = bytes.get(at..)?.windows(2).position(|w| w == b"\r\n")? + at;
        let number = std::str::from_utf8(&bytes[at + 1..end]).ok()?.parse::<usize>().ok()?;
        Some((number, end + 2))
    };
    let (count, mut at) = line(0)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let (length, start) = line(at)?;
        parts.push(bytes.get(start..start + length)?.to_vec());
        at = start + length + 2;
        if at > bytes.len() {
            return None;
        }
    }
    Some((parts, at))
}

/// Encodes a RESP array of bulk strings.
pub fn encode_resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

/// Splits `name=value,name=value`.
pub fn fields(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split(',').filter_map(|f| f.split_once('='));
    pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect()
}
