//! The bulletin: numbered events as server-sent events, a comment each second. Its troubles are those of the
//! pages: it breaks off, it stalls, and it is crowded.
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct State {
    /// Number and data of every event so far.
    events: Vec<(u64, String)>,
    /// Calls are accepted and not answered until then.
    stalled_until: Duration,
    /// Watches that began before this break off.
    broken_at: Duration,
    /// When each event was written to each watch: event, number of the call.
    told: Vec<(Duration, u64, u64)>,
    calls: u64,
}

pub struct Bulletin {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
}

impl Bulletin {
    /// Starts it. Events up to `known` are those that the configuration names.
    pub fn start(record: &Arc<Record>) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state: Arc<Mutex<State>> = Arc::default();
        let (s, r) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (s, r) = (s.clone(), r.clone());
                std::thread::spawn(move || watch(stream, &s, &r));
            }
        });
        Bulletin { addr, state, record: record.clone() }
    }
    /// Starts one that is crowded: it takes up its calls one by one, in the order in which they came, and spends
    /// `per_call` on each. Like any server that works through its queue, it learns only then that a caller has left.
    pub fn start_crowded(record: &Arc<Record>, per_call: Duration) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let state: Arc<Mutex<State>> = Arc::default();
        let (queue, calls) = mpsc::channel::<TcpStream>();
        std::thread::spawn(move || listener.incoming().flatten().all(|stream| queue.send(stream).is_ok()));
        let (s, r) = (state.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in calls {
                while r.now() < s.lock().unwrap().stalled_until {
                    std::thread::sleep(PAUSE);
                }
                std::thread::sleep(per_call);
                let (s, r) = (s.clone(), r.clone());
                std::thread::spawn(move || watch(stream, &s, &r));
            }
        });
        Bulletin { addr, state, record: record.clone() }
    }
    /// Publishes an event, to all watches that are open.
    pub fn publish(&self, no: u64, what: &str) {
        let data = format!("{{\"no\":{no},{what}}}");
        self.record.say(format!("bulletin publishes {data}"));
        self.state.lock().unwrap().events.push((no, data));
    }
    /// Breaks off all open watches.
    pub fn break_off(&self) {
        self.record.say("bulletin breaks off its open watches");
        self.state.lock().unwrap().broken_at = self.record.now();
    }
    /// From now on for so long, calls are accepted and not answered.
    pub fn stall_for(&self, span: Duration) {
        self.record.say(format!("bulletin answers no new call for {span:?}"));
        self.state.lock().unwrap().stalled_until = self.record.now() + span;
    }
    /// When an event was first written to a watch.
    pub fn told_at(&self, no: u64) -> Option<Duration> {
        self.state.lock().unwrap().told.iter().filter(|t| t.1 == no).map(|t| t.0).min()
    }
}

const PAUSE: Duration = Duration::from_millis(10);

fn watch(mut stream: TcpStream, state: &Mutex<State>, record: &Record) {
    stream.set_nodelay(true).ok();
    let call = {
        let mut state = state.lock().unwrap();
        state.calls += 1;
        state.calls
    };
    let (mut head, mut part) = (Vec::new(), [0; 1024]);
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(n @ 1..) => head.extend_from_slice(&part[..n]),
            _ => return,
        }
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let last = text.split("last-event-id:").nth(1).and_then(|t| t.split_whitespace().next()?.parse::<u64>().ok());
    let mut last = last.unwrap_or(0);
    record.say(format!("bulletin got call {call}, last event {last}"));
    stream.set_read_timeout(Some(Duration::from_millis(1))).ok();
    while record.now() < state.lock().unwrap().stalled_until {
        std::thread::sleep(PAUSE);
        if matches!(stream.read(&mut part), Ok(0)) {
            record.say(format!("bulletin: call {call} was given up by its caller"));
            return;
        }
    }
    if matches!(stream.read(&mut part), Ok(0)) {
        record.say(format!("bulletin: the caller of call {call} has left"));
        return;
    }
    record.say(format!("bulletin answers call {call}"));
    let (began, mut comment_at) = (record.now(), record.now());
    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: watch\n\n").is_err() {
        return;
    }
    loop {
        let (new, broken_at): (Vec<(u64, String)>, Duration) = {
            let state = state.lock().unwrap();
            (state.events.iter().filter(|e| e.0 > last).cloned().collect(), state.broken_at)
        };
        if began <= broken_at {
            return;
        }
        for (no, data) in new {
            if stream.write_all(format!("id: {no}\ndata: {data}\n\n").as_bytes()).is_err() {
                return;
            }
            last = no;
            record.say(format!("bulletin told event {no} on call {call}"));
            state.lock().unwrap().told.push((record.now(), no, call));
        }
        if record.now() >= comment_at + Duration::from_secs(1) {
            comment_at = record.now();
            if stream.write_all(b": still here\n\n").is_err() {
                return;
            }
        }
        std::thread::sleep(PAUSE);
        if matches!(stream.read(&mut part), Ok(0)) {
            return;
        }
    }
}
