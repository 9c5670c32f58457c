//! A cache server, parent or origin: reads commands and answers as a closure says.
use crate::record::Record;
use crate::wire;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request as the server read it.
#[derive(Clone, Debug)]
pub struct Serve {
    pub at: Duration,
    pub server: String,
    #[allow(dead_code)]
    pub connection: u64,
    pub id: String,
    pub fields: BTreeMap<String, String>,
    #[allow(dead_code)]
    pub body: Vec<u8>,
}

impl Serve {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
    /// The oldest copy that will do, if the request says.
    #[allow(dead_code)]
    pub fn newer_ms(&self) -> Option<u64> {
        self.field("newer").parse().ok().filter(|n| *n > 0)
    }
}

/// What a server does with a request.
#[allow(dead_code)]
pub enum Reply {
    /// Answers with a word, fields and a body, after a while.
    Answer(Duration, &'static str, String, Vec<u8>),
    Silent,
    /// Writes these bytes after each pause; `None` closes the connection.
    Script(Vec<(Duration, Option<Vec<u8>>)>),
}

pub type Behaviour = Arc<dyn Fn(&Serve) -> Reply + Send + Sync>;

pub struct Cache {
    pub addr: SocketAddr,
    /// Every request, in the order in which they were read.
    pub served: Arc<Mutex<Vec<Serve>>>,
    #[allow(dead_code)]
    pub cancelled: Arc<Mutex<Vec<(Duration, String)>>>,
    #[allow(dead_code)]
    connections: Arc<Mutex<Vec<TcpStream>>>,
    #[allow(dead_code)]
    refusing: Arc<AtomicBool>,
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);
#[allow(dead_code)]
pub static ENDED: Mutex<BTreeMap<u64, Duration>> = Mutex::new(BTreeMap::new());
pub static PARTIAL: Mutex<BTreeMap<u64, Duration>> = Mutex::new(BTreeMap::new());

impl Cache {
    pub fn start(id: &str, record: &Arc<Record>, behaviour: Behaviour) -> Cache {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (served, cancelled): (Arc<Mutex<Vec<Serve>>>, Arc<Mutex<Vec<(Duration, String)>>>) = Default::default();
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let refusing = Arc::new(AtomicBool::new(false));
        let (id, record) = (id.to_owned(), record.clone());
        let (s, c, all, no) = (served.clone(), cancelled.clone(), connections.clone(), refusing.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if no.load(Ordering::Relaxed) {
                    continue;
                }
                stream.set_nodelay(true).ok();
                all.lock().unwrap().push(stream.try_clone().unwrap());
                let (id, record, behaviour, s, c) =
                    (id.clone(), record.clone(), behaviour.clone(), s.clone(), c.clone());
                std::thread::spawn(move || serve(stream, &id, &record, &behaviour, &s, &c));
            }
        });
        Cache { addr, served, cancelled, connections, refusing }
    }
    /// Resets or closes all connections, and closes new ones at once if `refuse`.
    #[allow(dead_code)]
    pub fn cut(&self, refuse: bool) {
        self.refusing.store(refuse, Ordering::Relaxed);
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

fn serve(
    stream: TcpStream,
    server: &str,
    record: &Arc<Record>,
    behaviour: &Behaviour,
    served: &Mutex<Vec<Serve>>,
    cancelled: &Mutex<Vec<(Duration, String)>>,
) {
    let connection = CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut stream, mut buf, mut part) = (stream, Vec::new(), vec![0; 64 * 1024]);
    loop {
        let n = stream.read(&mut part).unwrap_or(0);
        if n == 0 {
            ENDED.lock().unwrap().insert(connection, record.now());
            return;
        }
        buf.extend_from_slice(&part[..n]);
        while let Some((parts, length)) = wire::resp(&buf) {
            buf.drain(..length);
            let text = |i: usize| String::from_utf8_lossy(&parts[i]).into_owned();
            match text(0).as_str() {
                "serve" => {
                    let (at, server) = (record.now(), server.to_owned());
                    let fields = wire::fields(&text(2));
                    record.say(format!("server {server} got {} ({})", text(1), text(2)));
                    let serve = Serve { at, server, connection, id: text(1), fields, body: parts[3].clone() };
                    served.lock().unwrap().push(serve.clone());
                    let reply = behaviour(&serve);
                    if let Reply::Script(steps) = reply {
                        let writer = writer.clone();
                        std::thread::spawn(move || {
                            for (after, bytes) in steps {
                                std::thread::sleep(after);
                                let mut stream = writer.lock().unwrap();
                                if ENDED.lock().unwrap().contains_key(&connection) {
                                    return;
                                }
                                match bytes {
                                    Some(_) if PARTIAL.lock().unwrap().contains_key(&connection) => Some(()),
                                    Some(bytes) => {
                                        if bytes.last() != Some(&b'\n') {
                                            PARTIAL.lock().unwrap().insert(connection, Duration::ZERO);
                                        }
                                        stream.write_all(&bytes).ok()
                                    }
                                    None => stream.shutdown(std::net::Shutdown::Both).ok(),
                                };
                            }
                        });
                    } else if let Reply::Answer(after, word, fields, body) = reply {
                        let (writer, record) = (writer.clone(), record.clone());
                        let write = move || {
                            std::thread::sleep(after);
                            record.say(format!("server {} answers {}: {word} {fields}", serve.server, serve.id));
                            let bytes =
                                wire::encode_resp(&[serve.id.as_bytes(), word.as_bytes(), fields.as_bytes(), &body]);
                            let mut w = writer.lock().unwrap();
                            if !PARTIAL.lock().unwrap().contains_key(&connection) {
                                w.write_all(&bytes).ok();
                            }
                        };
                        if after.is_zero() {
                            write();
                        } else {
                            std::thread::spawn(write);
                        }
                    }
                }
                "cancel" => {
                    record.say(format!("server {server} got cancel {}", text(1)));
                    cancelled.lock().unwrap().push((record.now(), text(1)));
                }
                "health" | "gauges" => {
                    let bytes = wire::encode_resp(&[&parts[1], b"green", b"-"]);
                    writer.lock().unwrap().write_all(&bytes).ok();
                }
                other => record.say(format!("server {server}: unknown command {other}")),
            }
        }
    }
}
