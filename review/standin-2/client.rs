//! A client: sends requests on one connection and keeps what is answered to each, and when.
use crate::record::Record;
use crate::wire::{self, Value};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served { body: Vec<u8>, unchanged: bool },
    Refused,
    Failed,
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Served { body, unchanged } => {
                format!("served {} bytes{}", body.len(), if *unchanged { ", unchanged" } else { "" })
            }
            other => format!("{other:?}"),
        }
    }
}

#[derive(Default)]
struct State {
    answers: BTreeMap<u32, Vec<(Duration, Answer)>>,
    ended: Option<Duration>,
}

pub struct Client {
    stream: Mutex<TcpStream>,
    state: Arc<(Mutex<State>, Condvar)>,
    next_id: Mutex<u32>,
    record: Arc<Record>,
}

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A call id that no other request of the run has.
pub fn call_id() -> String {
    format!("{:016x}", CALLS.fetch_add(1, Ordering::Relaxed) * 0x0001_0000_0001)
}

impl Client {
    pub fn connect(at: SocketAddr, record: &Arc<Record>) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let (reader, s, r) = (stream.try_clone()?, state.clone(), record.clone());
        std::thread::spawn(move || read(reader, &s, &r));
        Ok(Client { stream: Mutex::new(stream), state, next_id: Mutex::new(1), record: record.clone() })
    }
    /// Sends a request. Returns its message id and when its last byte was written.
    pub fn send(&self, class: &str, fields: &[(String, String)], body: &[u8]) -> std::io::Result<(u32, Duration)> {
        let mut stream = self.stream.lock().unwrap();
        let mut next = self.next_id.lock().unwrap();
        let id = *next;
        *next += 1;
        stream.write_all(&wire::request(id, class, fields, body))?;
        Ok((id, self.record.now()))
    }
    /// Waits for the answer to a request; `None` if it does not come in time or the connection ends first.
    pub fn wait(&self, id: u32, longest: Duration) -> Option<(Duration, Answer)> {
        let until = self.record.now() + longest;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if let Some(answer) = state.answers.get(&id).and_then(|a| a.first()) {
                return Some(answer.clone());
            }
            let left = until.saturating_sub(self.record.now());
            if left.is_zero() || state.ended.is_some() {
                return None;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.stream.lock().unwrap().shutdown(std::net::Shutdown::Both).ok();
    }
}

fn read(mut stream: TcpStream, state: &(Mutex<State>, Condvar), record: &Record) {
    let (mut buf, mut part) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let n = stream.read(&mut part).unwrap_or(0);
        if n == 0 {
            break;
        }
        buf.extend_from_slice(&part[..n]);
        while let Some((message, length)) = wire::value(&buf) {
            buf.drain(..length);
            let (id, answer) = parse(message);
            let mut state_now = state.0.lock().unwrap();
            state_now.answers.entry(id).or_default().push((record.now(), answer));
            state.1.notify_all();
        }
    }
    state.0.lock().unwrap().ended = Some(record.now());
    state.1.notify_all();
}

fn parse(message: Value) -> (u32, Answer) {
    let Value::List(items) = message else { panic!("an answer that is no list") };
    let [Value::Int(1), Value::Int(id), error, result] = &items[..] else { panic!("not an answer: {items:?}") };
    let answer = match (error, result) {
        (Value::Nil, Value::List(result)) => match &result[..] {
            [Value::Bin(body), Value::Map(fields)] => {
                let unchanged = fields.iter().any(|(n, _)| *n == Value::Str("notmod".into()));
                Answer::Served { body: body.clone(), unchanged }
            }
            _ => panic!("not an answer: {result:?}"),
        },
        (Value::List(error), Value::Nil) if error.first() == Some(&Value::Str("Full".into())) => Answer::Refused,
        (Value::List(_), Value::Nil) => Answer::Failed,
        _ => panic!("not an answer: {error:?}"),
    };
    (*id as u32, answer)
}
