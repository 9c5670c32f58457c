//! The stand-ins of the platform: cache servers, discovery, the configuration, and starting the program.
use std::collections::{HashMap, HashSet};
use std::io::{BufWriter, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// The programs that this case has started and that have not been waited for.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends the case at once, with all programs that it started.
fn exit(code: i32) -> ! {
    if let Ok(running) = RUNNING.lock() {
        running.iter().for_each(|pid| {
            unsafe { kill(*pid, SIGKILL) };
        });
    }
    std::process::exit(code);
}

/// The case's record, `record.txt`: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<BufWriter<std::fs::File>>)>);

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = std::fs::File::create(path).unwrap_or_else(|e| not_run(&format!("{}: {e}", path.display())));
        Record(Arc::new((Instant::now(), Mutex::new(BufWriter::new(file)))))
    }
    /// Seconds since the start of the case.
    pub fn time(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.time());
        let _ = file.flush();
    }
}

/// Ends the case as one that could not run.
pub fn not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2);
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Parses one array of bulk strings; returns its parts and length, or nothing while it is incomplete.
pub fn parse_resp(buf: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    fn number(buf: &[u8], at: usize) -> Option<(usize, usize)> {
        let end = at + buf.get(at..)?.windows(2).position(|w| w == b"\r\n")?;
        let digits = std::str::from_utf8(&buf[at + 1..end]).ok()?;
        Some((digits.parse().ok()?, end + 2))
    }
    let (count, mut at) = number(buf, 0)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        let (length, start) = number(buf, at)?;
        parts.push(buf.get(start..start + length)?.to_vec());
        at = start + length + 2;
        buf.get(..at)?;
    }
    Some((parts, at))
}

pub fn encode_resp(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for p in parts {
        out.extend(format!("${}\r\n", p.len()).as_bytes());
        out.extend(*p);
        out.extend(b"\r\n");
    }
    out
}

/// One field of a request to a cache server.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields.split(',').filter_map(|f| f.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

/// A command that a cache server received whole.
#[derive(Clone, Debug)]
pub struct Received {
    pub word: String,
    pub call: String,
}

/// What all cache servers share.
pub struct Caches {
    pub record: Record,
    pub received: Mutex<Vec<Received>>,
    /// Bytes of each answer's body.
    pub body_bytes: usize,
    /// Seconds that each answer takes, by server; 0 where nothing is set.
    pub delay: Mutex<HashMap<String, f64>>,
    /// Whether each single command is written to the record.
    pub verbose: bool,
}

/// Starts a sound cache server: each request is answered with a hit, after the delay set for the server and
/// unless it was cancelled before. Returns its address.
pub fn start_cache(caches: &Arc<Caches>, id: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| not_run(&e.to_string()));
    let address = listener.local_addr().unwrap().to_string();
    let (caches, id) = (caches.clone(), id.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (caches, id) = (caches.clone(), id.clone());
            thread::spawn(move || serve_cache(&caches, &id, stream));
        }
    });
    address
}

fn serve_cache(caches: &Arc<Caches>, id: &str, mut stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let cancelled: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (mut buf, mut piece) = (Vec::new(), vec![0; 65536]);
    loop {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => buf.extend(&piece[..n]),
            _ => return,
        }
        while let Some((parts, length)) = parse_resp(&buf) {
            buf.drain(..length);
            let text = |i: usize| String::from_utf8_lossy(parts.get(i).map_or(&[][..], |p| p)).into_owned();
            let (word, call, fields) = (text(0), text(1), text(2));
            if caches.verbose {
                caches.record.line(&format!("{id} got {word} {call} {fields}"));
            }
            caches.received.lock().unwrap().push(Received {
                word: word.clone(),
                call: call.clone(),
            });
            match word.as_str() {
                "serve" => {
                    let wait = caches.delay.lock().unwrap().get(id).copied().unwrap_or(0.0);
                    let (caches, writer, cancelled) = (caches.clone(), writer.clone(), cancelled.clone());
                    let answer = move || {
                        pause(wait);
                        if cancelled.lock().unwrap().remove(&call) {
                            return;
                        }
                        let body = vec![b'x'; caches.body_bytes];
                        let fields = format!(
                            "version=4be0c1927d55a6f3,stamp={},detail=HIT,took=0,use=util:0.1;x1:0.1;x0:0.9",
                            unix_ms().saturating_sub(1000)
                        );
                        let bytes = encode_resp(&[call.as_bytes(), b"served", fields.as_bytes(), &body]);
                        let _ = writer.lock().unwrap().write_all(&bytes);
                    };
                    if wait > 0.0 {
                        thread::spawn(answer);
                    } else {
                        answer();
                    }
                }
                "cancel" => drop(cancelled.lock().unwrap().insert(call)),
                "health" | "gauges" => {
                    let bytes =
                        encode_resp(&[call.as_bytes(), b"green", b"use=util:0.1;x1:0.1;x0:0.9", b""]);
                    let _ = writer.lock().unwrap().write_all(&bytes);
                }
                _ => return,
            }
        }
    }
}

/// A stand-in discovery service with the events told so far.
pub struct Discovery {
    events: Mutex<Vec<(u64, String)>>,
    changed: Condvar,
    record: Record,
}

/// Starts discovery; returns it and its address.
pub fn start_discovery(record: &Record) -> (Arc<Discovery>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| not_run(&e.to_string()));
    let address = listener.local_addr().unwrap().to_string();
    let discovery = Arc::new(Discovery {
        events: Mutex::default(),
        changed: Condvar::new(),
        record: record.clone(),
    });
    let d = discovery.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let d = d.clone();
            thread::spawn(move || drop(d.serve(stream)));
        }
    });
    (discovery, address)
}

impl Discovery {
    /// Adds an event; `text` is its JSON.
    pub fn tell(&self, number: u64, text: String) {
        self.record.line(&format!("discovery tells {text}"));
        self.events.lock().unwrap().push((number, text));
        self.changed.notify_all();
    }
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return Ok(());
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id:")).unwrap_or("0").trim().to_owned();
        let mut last: u64 = last.parse().unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")?;
        let mut events = self.events.lock().unwrap();
        loop {
            let new: Vec<_> = events.iter().filter(|(n, _)| *n > last).cloned().collect();
            drop(events);
            for (n, text) in &new {
                stream.write_all(format!("id: {n}\ndata: {text}\n\n").as_bytes())?;
                last = *n;
            }
            if new.is_empty() {
                stream.write_all(b": here\n\n")?;
            }
            events = self.events.lock().unwrap();
            if events.iter().all(|(n, _)| *n <= last) {
                events = self.changed.wait_timeout(events, Duration::from_secs(1)).unwrap().0;
            }
        }
    }
}

/// A server as a list names it.
pub fn listed(id: &str, addr: &str, zone: &str, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"{zone}","kind":"{kind}","cell":1,"state":"{state}","weight":4,"started_ms":0}}"#
    )
}

/// The settings of a small deployment: one depot with one steering proxy, two hub caches, one origin. The
/// figures are those of the example of the protocol note.
pub fn settings() -> String {
    r#"{"balancers": 1,
 "blend": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
 "classes": [
  {"aim": 600000, "aim_stretch": 1.6, "dedup_window": 5000000, "effect": "retryable", "group": "all", "hard_limit": 6000000, "importance": 2.0, "late_value": 0.15, "name": "media", "streaming": false},
  {"aim": 400000, "aim_stretch": 2.0, "dedup_window": 5000000, "effect": "retryable", "group": "all", "hard_limit": 2500000, "importance": 1.0, "late_value": 0.2, "name": "pages", "streaming": false},
  {"aim": 800000, "dedup_window": 3000000, "effect": "dedup", "group": "all", "hard_limit": 3000000, "importance": 3.0, "late_value": 0.0, "name": "booking", "streaming": false}],
 "clients": {"marks_retry": true}, "customers": [], "discovery": "pushed",
 "family_info": {"class_fresh": [0, 8000000, 0], "cleared_within": 6000000, "collapses": false, "count_by_zone": [0, 0, 1], "direct": false, "grace_for": [0, 0, 0], "in_parts": [false, false, false], "inlet_cost": 0.06, "inlet_kb_per_s": [0.0, 0.0, 66244.0], "mid_kind": 1, "one_flow_kb_per_s": 7800.0, "origin_fall_multiple": 2.5, "origin_over_for": 3000000, "parent_ramp": 21000000, "parent_starts_at": 0.061, "pass_on": [false, false, true], "purge_slack": 300000, "sideways": "any", "stale_earns": [0.7, 0.7, 0.7], "store_kind": 2, "tells": "all", "upper_fall_multiple": 2.0, "zone_hub": [0, 1, 1]},
 "kinds": ["small-box", "parent", "origin"], "layer": 0,
 "limits": {"cancel": true, "connect_timeout": 400000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 543963, "keepalive": 30000000, "max_open": 21758, "max_retry_after": 1000000, "most_tries": 8, "parallel_tries": true, "peer_messages": true, "probes": false, "retry_after": true, "streams_per_conn": 32},
 "me": 0, "over_share_worth": 0.1,
 "prices": {"connection": 0.0, "cross_zone": 0.013, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.08, "moves": 0.0, "origin": 0.11, "peer": 0.01, "probe": 0.0, "waste": 0.041},
 "report": {"columns": ["cpu", "x1", "x0"], "how": "inline"},
 "rules": {"answer_slack": 8000, "ask_every": 10000000, "cold": 17000000, "cold_from": 0.21, "drain_grace": 1000000, "fall": 2000000, "fall_multiple": 2.5},
 "service_type": "edge", "tick": 2000, "tiers": ["depot-cache"], "weight_source": "rough", "worth_by": "request",
 "zone": 2, "zones": ["north", "south", "edge-1"]}"#
        .to_owned()
}

/// A free port of the loopback interface. It is not held, so another program may take it meanwhile.
pub fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| not_run(&e.to_string()));
    listener.local_addr().unwrap().to_string()
}

/// A running steering proxy; it is killed when dropped.
pub struct Proxy {
    child: Child,
    pub log: PathBuf,
    pub name: String,
}

impl Proxy {
    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }
    pub fn signal(&self, record: &Record, signal: i32) {
        record.line(&format!("{}: signal {signal} to the program", self.name));
        unsafe { kill(self.pid(), signal) };
    }
    /// Writes the program's log to the record.
    pub fn write_log(&self, record: &Record) {
        for line in std::fs::read_to_string(&self.log).unwrap_or_default().lines() {
            record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let pid = self.pid();
        RUNNING.lock().unwrap().retain(|p| *p != pid);
        let _ = self.child.wait();
    }
}

/// The folder of a case and what every case needs.
pub struct Platform {
    pub record: Record,
    pub folder: PathBuf,
    pub trouble: bool,
    pub seed: u64,
    root: PathBuf,
    run: String,
}

static CASE_OVER: AtomicBool = AtomicBool::new(false);

impl Platform {
    /// Reads the environment that `run.sh` sets: CASE_DIR, ROOT, RUN, WORK, TROUBLE, SEED.
    pub fn from_env() -> Platform {
        let get = |name: &str| std::env::var(name).unwrap_or_else(|_| not_run(&format!("{name} is not set")));
        let record = Record::create(&Path::new(&get("CASE_DIR")).join("record.txt"));
        let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
        let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
        record.line(&format!("trouble {}, seed {seed}", u8::from(trouble)));
        let (r, started) = (record.clone(), Instant::now());
        thread::spawn(move || {
            while started.elapsed() < Duration::from_secs(105) {
                pause(0.2);
            }
            if !CASE_OVER.load(Ordering::SeqCst) {
                r.line("the case took too long");
                exit(2);
            }
        });
        let (root, run, folder) = (get("ROOT").into(), get("RUN"), get("WORK").into());
        Platform { record, folder, trouble, seed, root, run }
    }

    /// Starts the program with the command of the deploy file, as the platform does. `more` are further
    /// keys of the configuration, `env` further variables.
    pub fn start(&self, name: &str, listen: &str, discovery: &str, known: &str, more: &str, tmpdir: &str) -> Proxy {
        let seed = 0x8c1f_30d2_7a5b_e964u64 ^ self.seed;
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"bulletin":"{discovery}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{known},{more}"settings":{}}}"#,
            settings()
        );
        let (path, log) = (self.folder.join(format!("{name}.json")), self.folder.join(format!("{name}.log")));
        let tmpdir = self.folder.join(tmpdir);
        std::fs::create_dir_all(&tmpdir).unwrap_or_else(|e| not_run(&e.to_string()));
        std::fs::write(&path, config).unwrap_or_else(|e| not_run(&e.to_string()));
        let out = std::fs::File::create(&log).unwrap_or_else(|e| not_run(&e.to_string()));
        self.record.line(&format!("run: {name}: {}", self.run));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.run)
            .current_dir(&self.root)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", listen)
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &tmpdir)
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap_or_else(|e| not_run(&e.to_string()));
        RUNNING.lock().unwrap().push(child.id() as i32);
        Proxy { child, log, name: name.to_owned() }
    }

    /// Ends the case with its verdict: the number of broken rules' instances.
    pub fn end(&self, proxies: Vec<Proxy>, broken: usize) -> ! {
        for p in &proxies {
            p.write_log(&self.record);
        }
        drop(proxies);
        self.record.line(&format!("verdict: {}", if broken > 0 { "the rule was broken" } else { "the rule held" }));
        CASE_OVER.store(true, Ordering::SeqCst);
        exit(i32::from(broken > 0));
    }
}

/// The usual servers: six caches of the depot, two hub caches, the origin. Returns the items of a list.
pub fn start_servers(caches: &Arc<Caches>) -> Vec<String> {
    let mut list = Vec::new();
    for i in 0..6 {
        let id = format!("s-{i}");
        list.push(listed(&id, &start_cache(caches, &id), "edge-1", "small-box", "active"));
    }
    for (id, zone, kind) in [("p-0", "north", "parent"), ("p-1", "south", "parent"), ("o-0", "north", "origin")] {
        list.push(listed(id, &start_cache(caches, id), zone, kind, "active"));
    }
    list
}

/// The whole list as the `known` part of a configuration.
pub fn known(list: &[String]) -> String {
    format!(
        r#"{{"no":1,"items":[{{"no":1,"roster":{{"version":1,"full":true,"servers":[{}]}}}}]}}"#,
        list.join(",")
    )
}

/// One call at the operators' door; returns the answer's line.
pub fn door_call(address: &str, call: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("{call}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let _ = stream.shutdown(Shutdown::Both);
    Some(answer.trim().to_owned())
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A 16-digit id that was not used before in this case.
pub fn new_id() -> String {
    let n = NUMBER.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", n.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// Waits until the proxy answers `alive` with true, as the front does.
pub fn wait_until_ready(proxy: &Proxy, record: &Record, listen: &str) {
    for _ in 0..300 {
        if let Some(mut client) = crate::client::Client::connect(record, "front", listen, None) {
            if client.alive() {
                return client.close();
            }
        }
        pause(0.1);
    }
    proxy.write_log(record);
    not_run("the proxy was not ready within 30 s");
}
