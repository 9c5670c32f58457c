//! A stand-in client, which may read at a limited speed.
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::net::{SocketAddr, TcpStream};
use threadward::net::{now, sleep_until};
use threadward::wire::{self, MsgpackValue};
use threadward_core::Micros;

/// Limit on an answer to a client: the largest object, and the fields around it.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// A client of the proxy.
pub struct Client {
    pub stream: Async<TcpStream>,
    buf: Vec<u8>,
    /// How fast it reads; `None`: as fast as it can.
    pub bytes_per_second: Option<u64>,
    /// Until when it must not read, as it has read as much as it may.
    next_read_at: Micros,
}

/// A client whose speed is limited reads for at most so long at its speed without a pause.
const SLOW_READ_PERIOD: Micros = 20_000;

impl Client {
    pub async fn connect(front: SocketAddr) -> Client {
        Client::from_stream(Async::<TcpStream>::connect(front).await.unwrap())
    }

    /// Uses a connection that is already established.
    pub fn from_stream(stream: Async<TcpStream>) -> Client {
        Client { stream, buf: Vec::new(), bytes_per_second: None, next_read_at: 0 }
    }

    pub async fn send(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).await.unwrap();
    }

    /// Reads some more bytes; returns false at the end of the stream.
    async fn read_more(&mut self) -> bool {
        let mut chunk = [0u8; 16 * 1024];
        let mut max_bytes = chunk.len();
        if let Some(speed) = self.bytes_per_second {
            sleep_until(self.next_read_at).await;
            max_bytes = max_bytes.min((speed * SLOW_READ_PERIOD / 1_000_000) as usize);
        }
        let n = (&self.stream).read(&mut chunk[..max_bytes]).await.unwrap_or(0);
        self.buf.extend_from_slice(&chunk[..n]);
        if let Some(speed) = self.bytes_per_second {
            self.next_read_at = now() + n as u64 * 1_000_000 / speed;
        }
        n > 0
    }

    /// Returns the next answer: its id, the error word if it is an error, and the body. `None` at the end of
    /// the stream.
    pub async fn answer(&mut self) -> Option<(u32, Option<String>, Vec<u8>)> {
        loop {
            let found = match wire::parse_msgpack_within(&self.buf, MAX_ANSWER_BYTES).unwrap() {
                Some((MsgpackValue::List(l), used)) => {
                    let word = match &l[2] {
                        MsgpackValue::List(e) => match &e[0] {
                            MsgpackValue::Str(w) => Some(String::from_utf8_lossy(w).into_owned()),
                            other => panic!("{other:?}"),
                        },
                        _ => None,
                    };
                    let body = match &l[3] {
                        MsgpackValue::List(r) => match &r[0] {
                            MsgpackValue::Bin(b) => b.to_vec(),
                            _ => Vec::new(),
                        },
                        _ => Vec::new(),
                    };
                    let MsgpackValue::Int(id) = l[1] else { panic!("an answer without an id") };
                    Some(((id as u32, word, body), used))
                }
                Some(other) => panic!("{other:?}"),
                None => None,
            };
            if let Some((answer, used)) = found {
                self.buf.drain(..used);
                return Some(answer);
            }
            if !self.read_more().await {
                return None;
            }
        }
    }

    /// Returns the next HTTP answer: status, head as text, and body. `None` at the end of the stream.
    pub async fn http(&mut self) -> Option<(u16, String, Vec<u8>)> {
        loop {
            if let Some((head, used)) = wire::parse_http_head(&self.buf).unwrap() {
                let length: usize = head.header("content-length").map_or(0, |n| n.parse().unwrap());
                if self.buf.len() >= used + length {
                    let text = String::from_utf8_lossy(&self.buf[..used]).into_owned();
                    let body = self.buf[used..used + length].to_vec();
                    self.buf.drain(..used + length);
                    return Some((head.start_line[1].parse().unwrap(), text, body));
                }
            }
            if !self.read_more().await {
                return None;
            }
        }
    }
}
