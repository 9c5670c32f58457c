//! A cache server, parent or origin: reads commands and answers as a closure says.
use crate::record::Record;
use crate::wire;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request as the server read it.
#[derive(Clone, Debug)]
pub struct Serve {
    pub at: Duration,
    pub server: String,
    pub id: String,
    pub fields: BTreeMap<String, String>,
}

impl Serve {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
    /// The oldest copy that will do, if the request says.
    pub fn newer_ms(&self) -> Option<u64> {
        self.field("newer").parse().ok().filter(|n| *n > 0)
    }
}

/// An answer: how long it takes, its word, its fields and its body.
pub struct Reply(pub Duration, pub &'static str, pub String, pub Vec<u8>);

pub type Behaviour = Arc<dyn Fn(&Serve) -> Reply + Send + Sync>;

pub struct Cache {
    pub addr: SocketAddr,
    /// Every request, in the order in which they were read.
    pub served: Arc<Mutex<Vec<Serve>>>,
}

impl Cache {
    pub fn start(id: &str, record: &Arc<Record>, behaviour: Behaviour) -> Cache {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let served: Arc<Mutex<Vec<Serve>>> = Arc::default();
        let (id, record, s) = (id.to_owned(), record.clone(), served.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream.set_nodelay(true).ok();
                let (id, record, behaviour, s) = (id.clone(), record.clone(), behaviour.clone(), s.clone());
                std::thread::spawn(move || serve(stream, &id, &record, &behaviour, &s));
            }
        });
        Cache { addr, served }
    }
}

fn serve(mut stream: TcpStream, server: &str, record: &Arc<Record>, behaviour: &Behaviour, served: &Mutex<Vec<Serve>>) {
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut buf, mut part) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let n = stream.read(&mut part).unwrap_or(0);
        if n == 0 {
            return;
        }
        buf.extend_from_slice(&part[..n]);
        while let Some((parts, length)) = wire::resp(&buf) {
            buf.drain(..length);
            let text = |i: usize| String::from_utf8_lossy(&parts[i]).into_owned();
            match text(0).as_str() {
                "serve" => {
                    record.say(format!("server {server} got {} ({})", text(1), text(2)));
                    let (at, server) = (record.now(), server.to_owned());
                    let serve = Serve { at, server, id: text(1), fields: wire::fields(&text(2)) };
                    served.lock().unwrap().push(serve.clone());
                    let Reply(after, word, fields, body) = behaviour(&serve);
                    let (writer, record) = (writer.clone(), record.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(after);
                        record.say(format!("server {} answers {}: {word} {fields}", serve.server, serve.id));
                        let parts: [&[u8]; 4] = [serve.id.as_bytes(), word.as_bytes(), fields.as_bytes(), &body];
                        writer.lock().unwrap().write_all(&wire::encode_resp(&parts)).ok();
                    });
                }
                "cancel" => record.say(format!("server {server} got cancel {}", text(1))),
                other => record.say(format!("server {server}: unknown command {other}")),
            }
        }
    }
}
