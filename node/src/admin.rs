//! The admin socket for operators: each connection sends one command in a line and gets one answer.
//!
//! The number of callers is limited, and a caller that sends nothing can't keep others out. The commands are
//! carried out by [`crate::shift`].
use crate::net::{log, now, read_some, sleep_until, OutgoingAnswer, Signal};
use crate::node::Node;
use crate::shift::ProcessGroup;
use async_io::Async;
use futures_lite::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use threadward_core::{Counter, Micros};

/// Maximum number of callers at a time. Beyond that, the one that has been connected longest without a
/// complete line is disconnected.
pub const MAX_CALLERS: usize = 12;
/// Maximum length of a line in bytes: the longest id and a word fit.
const MAX_LINE_BYTES: usize = 256;
/// A caller that hasn't completed its line, or hasn't read its answer, after so long is disconnected.
const CALLER_TIMEOUT: Micros = 10_000_000;
/// How long further bytes from a caller are read and discarded after its answer: closing with unread bytes
/// could destroy the answer on its way.
const LINGER_TIMEOUT: Micros = 500_000;

/// A command, as its line states it.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    Ready,
    Disable(&'a str),
    Enable(&'a str),
}

/// Parses a line, which is given without its end.
///
/// # Errors
/// What is wrong with it, in words for operators.
pub fn parse_command(line: &[u8]) -> Result<AdminCommand<'_>, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "not text")?;
    let words: Vec<&str> = text.split_ascii_whitespace().collect();
    match words[..] {
        [] => Err("empty call"),
        ["READY"] => Ok(AdminCommand::Ready),
        ["DISABLE" | "ENABLE"] => Err("the id is missing"),
        ["DISABLE" | "ENABLE", id] if !crate::wire::is_plain_text(id, 128) => Err("unknown cache server"),
        ["DISABLE", id] => Ok(AdminCommand::Disable(id)),
        ["ENABLE", id] => Ok(AdminCommand::Enable(id)),
        ["READY" | "DISABLE" | "ENABLE", ..] => Err("too many words"),
        _ => Err("unknown call: READY, DISABLE ID or ENABLE ID"),
    }
}

/// A connected caller.
#[derive(Default)]
struct Caller {
    line_complete: Cell<bool>,
    slot_freed: Cell<bool>,
    evict: Signal,
}

/// Frees the caller's slot when dropped, also after a panic.
struct SlotGuard(Rc<Caller>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.slot_freed.set(true);
    }
}

/// Answers commands for as long as the program runs.
pub async fn serve(node: Rc<Node>, shift: Rc<ProcessGroup>, listener: Rc<Async<TcpListener>>) {
    let callers: Rc<RefCell<VecDeque<Rc<Caller>>>> = Rc::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => {
                stream.get_ref().set_nodelay(true).ok();
                stream
            }
            Err(e) => {
                log(&format!("door: {e}"));
                sleep_until(now() + 10_000).await;
                continue;
            }
        };
        let mut all = callers.borrow_mut();
        all.retain(|w| !w.slot_freed.get());
        if all.len() >= MAX_CALLERS {
            // A caller with a complete line is answered within moments, so one without is disconnected.
            match all.iter().position(|w| !w.line_complete.get()).and_then(|at| all.remove(at)) {
                Some(w) => w.evict.notify(),
                None if all.len() < MAX_CALLERS * 2 => {}
                None => continue,
            }
        }
        let own = Rc::new(Caller::default());
        all.push_back(own.clone());
        drop(all);
        let (n, s) = (node.clone(), shift.clone());
        node.spawn("door", async move {
            let until = now() + CALLER_TIMEOUT;
            let timeout = async {
                sleep_until(until).await;
            };
            let evicted = own.clone();
            let _guard = SlotGuard(own.clone());
            serve_one(&n, &s, &own, &stream).or(async move { evicted.evict.wait().await }).or(timeout).await;
        });
    }
}

/// Reads a caller's line, carries out its command and writes the answer.
async fn serve_one(node: &Rc<Node>, shift: &Rc<ProcessGroup>, own: &Caller, stream: &Async<TcpStream>) {
    let mut buf = Vec::new();
    let line = loop {
        let end = buf.iter().position(|b| *b == b'\n');
        match end {
            Some(n) => break Some(&buf[..n]),
            None if buf.len() > MAX_LINE_BYTES => break None,
            None => {}
        }
        if read_some(stream, &mut buf, MAX_LINE_BYTES).await == 0 {
            // The end of the stream also ends a line; without any bytes there was no command.
            if buf.is_empty() {
                return;
            }
            break Some(&buf[..]);
        }
    };
    own.line_complete.set(true);
    node.count(Counter::AdminCommands);
    let command = match line {
        Some(line) if line.len() <= MAX_LINE_BYTES => parse_command(line),
        _ => Err("a line too long"),
    };
    let answer = match command {
        Ok(AdminCommand::Ready) => shift.ready().map(|()| "ready".to_owned()).map_err(str::to_owned),
        Ok(AdminCommand::Disable(id)) => shift.set_ban(true, id).await,
        Ok(AdminCommand::Enable(id)) => shift.set_ban(false, id).await,
        Err(why) => Err(why.to_owned()),
    };
    let text = match &answer {
        Ok(done) => format!("done {done}\n"),
        Err(why) => {
            node.count(Counter::AdminRefused);
            format!("error {why}\n")
        }
    };
    // The caller's slot is free from here on.
    own.slot_freed.set(true);
    let until = now() + LINGER_TIMEOUT;
    if OutgoingAnswer::from(text.into_bytes()).write(stream, |_| ()).await {
        stream.get_ref().shutdown(Shutdown::Write).ok();
        let rest = async {
            let mut rest = Vec::new();
            while read_some(stream, &mut rest, MAX_LINE_BYTES).await > 0 {
                rest.clear();
            }
        };
        rest.or(sleep_until(until)).await;
    }
}
