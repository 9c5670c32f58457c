//! A stand-in client: MessagePack-RPC on one connection, with a limit on how fast it reads.
use crate::platform::{new_id, pause, Record};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

fn put_text(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n => out.extend([0xd9, n as u8]),
    }
    out.extend(text.as_bytes());
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.push(0xc6);
    out.extend((bytes.len() as u32).to_be_bytes());
    out.extend(bytes);
}

fn put_id(out: &mut Vec<u8>, id: u32) {
    out.push(0xce);
    out.extend(id.to_be_bytes());
}

/// A value as far as answers need it.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Text(String),
    Bytes(usize),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// Parses one value; returns it and its end, or nothing while it is incomplete.
fn parse(buf: &[u8], at: usize) -> Option<(Value, usize)> {
    let number = |at: usize, n: usize| -> Option<u64> {
        Some(buf.get(at..at + n)?.iter().fold(0, |sum, b| sum << 8 | u64::from(*b)))
    };
    let text = |at: usize, n: usize| -> Option<(Value, usize)> {
        Some((Value::Text(String::from_utf8_lossy(buf.get(at..at + n)?).into_owned()), at + n))
    };
    let bytes = |at: usize, n: usize| buf.get(at..at + n).map(|b| (Value::Bytes(b.len()), at + n));
    let list = |mut at: usize, n: usize| -> Option<(Value, usize)> {
        let mut items = Vec::new();
        for _ in 0..n {
            let (v, end) = parse(buf, at)?;
            items.push(v);
            at = end;
        }
        Some((Value::List(items), at))
    };
    let map = |mut at: usize, n: usize| -> Option<(Value, usize)> {
        let mut items = Vec::new();
        for _ in 0..n {
            let (k, end) = parse(buf, at)?;
            let (v, end) = parse(buf, end)?;
            items.push((k, v));
            at = end;
        }
        Some((Value::Map(items), at))
    };
    let at1 = at + 1;
    match *buf.get(at)? {
        b @ 0x00..=0x7f => Some((Value::Int(u64::from(b)), at1)),
        b @ 0x80..=0x8f => map(at1, usize::from(b & 15)),
        b @ 0x90..=0x9f => list(at1, usize::from(b & 15)),
        b @ 0xa0..=0xbf => text(at1, usize::from(b & 31)),
        0xc0 => Some((Value::Nil, at1)),
        b @ (0xc2 | 0xc3) => Some((Value::Bool(b == 0xc3), at1)),
        b @ 0xc4..=0xc6 => {
            let w = 1 << (b - 0xc4);
            bytes(at1 + w, number(at1, w)? as usize)
        }
        b @ 0xcc..=0xcf => {
            let w = 1 << (b - 0xcc);
            Some((Value::Int(number(at1, w)?), at1 + w))
        }
        b @ 0xd9..=0xdb => {
            let w = 1 << (b - 0xd9);
            text(at1 + w, number(at1, w)? as usize)
        }
        b @ (0xdc | 0xdd) => {
            let w = 2 << (b - 0xdc);
            list(at1 + w, number(at1, w)? as usize)
        }
        b @ (0xde | 0xdf) => {
            let w = 2 << (b - 0xde);
            map(at1 + w, number(at1, w)? as usize)
        }
        b => Some((Value::Text(format!("unreadable {b:02x}")), at1)),
    }
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Open,
    /// `served`, or the error's word, and the bytes of the body.
    Answered(String, usize),
    Cancelled,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub call: String,
    pub ttl: f64,
    /// When its last byte had been written.
    pub sent_at: f64,
    pub ended_at: f64,
    pub outcome: Outcome,
}

#[derive(Default)]
pub struct State {
    pub requests: BTreeMap<u32, Request>,
    pub bytes_read: usize,
    /// When and how the connection ended, as this client sees it.
    pub ended: Option<(f64, String)>,
    /// Answers to nothing that was open.
    pub surplus: usize,
    /// As in [`Client`].
    pub quiet: bool,
    /// Answers to `alive`.
    pub alive: BTreeMap<u32, bool>,
}

/// One connection of a client.
pub struct Client {
    pub name: String,
    record: Record,
    stream: TcpStream,
    pub state: Arc<Mutex<State>>,
    next: u32,
}

impl Client {
    /// Connects. The client reads at most `rate` bytes a second; without one as fast as it can.
    pub fn connect(record: &Record, name: &str, address: &str, rate: Option<f64>) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_nodelay(true).ok();
        let state: Arc<Mutex<State>> = Arc::default();
        let (reader, s, r, n) = (stream.try_clone().ok()?, state.clone(), record.clone(), name.to_owned());
        record.line(&format!("{name} connects, reads at most {}", rate.map_or("as fast as it can".to_owned(), |r| format!("{r} bytes a second"))));
        thread::spawn(move || read(&r, &n, reader, &s, rate));
        Some(Client { name: name.to_owned(), record: record.clone(), stream, state, next: 1 })
    }

    /// How many requests are open on the connection, as the protocol page counts them.
    pub fn open(&self) -> usize {
        self.state.lock().unwrap().requests.values().filter(|r| r.outcome == Outcome::Open).count()
    }

    pub fn ended(&self) -> bool {
        self.state.lock().unwrap().ended.is_some()
    }

    /// Sends a request for an object of its own. Returns its message id, or nothing if it could not be
    /// written.
    pub fn send(&mut self, class: &str, ttl_ms: u64, body: &[u8]) -> Option<u32> {
        let (id, call) = (self.next, new_id());
        self.next += 1;
        let ttl = ttl_ms.to_string();
        let key = format!("{call}{call}");
        let mut fields = vec![("call", &*call), ("ttl", &ttl), ("row", &call), ("seg", "0"), ("bucket", "17")];
        if class == "booking" {
            fields.push(("dedupe", &key));
        }
        let mut out = vec![0x94, 0x00];
        put_id(&mut out, id);
        put_text(&mut out, class);
        out.extend([0x92, 0x80 | fields.len() as u8]);
        for (name, value) in fields {
            put_text(&mut out, name);
            put_text(&mut out, value);
        }
        put_bytes(&mut out, body);
        let request = Request {
            call: call.clone(),
            ttl: ttl_ms as f64 / 1000.0,
            sent_at: f64::MAX,
            ended_at: f64::MAX,
            outcome: Outcome::Open,
        };
        self.state.lock().unwrap().requests.insert(id, request);
        if self.stream.write_all(&out).is_err() {
            self.state.lock().unwrap().requests.remove(&id);
            self.record.line(&format!("{} could not write request {id}", self.name));
            return None;
        }
        let at = self.record.time();
        self.state.lock().unwrap().requests.entry(id).and_modify(|r| r.sent_at = at);
        if self.state.lock().unwrap().quiet {
            return Some(id);
        }
        self.record.line(&format!("{} sent request {id} call={call} class={class} ttl={ttl_ms}", self.name));
        Some(id)
    }

    /// Stops waiting for a request.
    pub fn cancel(&mut self, id: u32) {
        let at = self.record.time();
        let mut state = self.state.lock().unwrap();
        match state.requests.get_mut(&id) {
            Some(r) if r.outcome == Outcome::Open => (r.outcome, r.ended_at) = (Outcome::Cancelled, at),
            _ => return,
        }
        drop(state);
        let mut out = vec![0x93, 0x02];
        put_text(&mut out, "cancelRequest");
        out.push(0x91);
        put_id(&mut out, id);
        let _ = self.stream.write_all(&out);
        if self.state.lock().unwrap().quiet {
            return;
        }
        self.record.line(&format!("{} cancels request {id}", self.name));
    }

    /// Cancels what has waited for its whole `ttl`.
    pub fn cancel_expired(&mut self) {
        let now = self.record.time();
        let state = self.state.lock().unwrap();
        let due = |r: &Request| r.outcome == Outcome::Open && now >= r.sent_at + r.ttl;
        let expired: Vec<u32> = state.requests.iter().filter(|(_, r)| due(r)).map(|(id, _)| *id).collect();
        drop(state);
        expired.into_iter().for_each(|id| self.cancel(id));
    }

    /// Writes no line for each request from here on.
    pub fn set_quiet(&self) {
        self.state.lock().unwrap().quiet = true;
    }

    /// Forgets the requests that have ended; returns how many of them were answered.
    pub fn forget_ended(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        let answered = state.requests.values().filter(|r| matches!(r.outcome, Outcome::Answered(..))).count();
        state.requests.retain(|_, r| r.outcome == Outcome::Open);
        answered
    }

    /// Asks whether the proxy is ready and waits for the answer.
    pub fn alive(&mut self) -> bool {
        let id = self.next;
        self.next += 1;
        let mut out = vec![0x94, 0x00];
        put_id(&mut out, id);
        put_text(&mut out, "alive");
        out.extend([0x91, 0x80]);
        let until = Instant::now() + Duration::from_secs(2);
        if self.stream.write_all(&out).is_err() {
            return false;
        }
        while Instant::now() < until && !self.ended() {
            if let Some(answer) = self.state.lock().unwrap().alive.get(&id) {
                return *answer;
            }
            pause(0.005);
        }
        false
    }

    pub fn close(&self) {
        self.record.line(&format!("{} closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Reads answers until the connection ends.
fn read(record: &Record, name: &str, mut stream: TcpStream, state: &Mutex<State>, rate: Option<f64>) {
    let (mut buf, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
    let (started, mut total) = (Instant::now(), 0.0);
    let why = loop {
        let n = match stream.read(&mut piece) {
            Ok(0) => break "the end of the stream".to_owned(),
            Ok(n) => n,
            Err(e) => break e.to_string(),
        };
        let at = record.time();
        buf.extend(&piece[..n]);
        let mut state = state.lock().unwrap();
        state.bytes_read += n;
        let mut taken = 0;
        while let Some((value, end)) = parse(&buf, taken) {
            taken = end;
            take_answer(record, name, &mut state, at, value);
        }
        drop(state);
        buf.drain(..taken);
        if let Some(rate) = rate {
            // It never reads ahead of its rate: what it did not use is not saved up.
            total = f64::max(total, started.elapsed().as_secs_f64() * rate - piece.len() as f64) + n as f64;
            pause(total / rate - started.elapsed().as_secs_f64());
        }
    };
    let at = record.time();
    state.lock().unwrap().ended = Some((at, why.clone()));
    record.line(&format!("{name} sees its connection end: {why}"));
}

fn take_answer(record: &Record, name: &str, state: &mut State, at: f64, value: Value) {
    let Value::List(parts) = value else {
        return record.line(&format!("{name} got something unreadable"));
    };
    let [Value::Int(1), Value::Int(id), error, result] = &parts[..] else {
        return record.line(&format!("{name} got something that is no answer"));
    };
    let id = *id as u32;
    if let Value::List(result) = result {
        if let [Value::Bool(alive), _] = result[..] {
            state.alive.insert(id, alive);
            return;
        }
    }
    let outcome = match (error, result) {
        (Value::Nil, Value::List(r)) => match r.first() {
            Some(Value::Bytes(n)) => Outcome::Answered("served".into(), *n),
            _ => Outcome::Answered("unreadable".into(), 0),
        },
        (Value::List(e), _) => match e.first() {
            Some(Value::Text(word)) => Outcome::Answered(word.clone(), 0),
            _ => Outcome::Answered("unreadable".into(), 0),
        },
        _ => Outcome::Answered("unreadable".into(), 0),
    };
    let quiet = state.quiet;
    match state.requests.get_mut(&id) {
        Some(r) if r.outcome == Outcome::Open => {
            if !quiet {
                record.line(&format!("{name} got the whole answer to request {id}: {outcome:?}"));
            }
            (r.outcome, r.ended_at) = (outcome, at);
        }
        // An answer to what was cancelled: none was owed, and one that crossed the cancel is no fault.
        Some(r) if r.outcome == Outcome::Cancelled => {}
        _ => state.surplus += 1,
    }
}
