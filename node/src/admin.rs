//! The door for operators: one line a connection, one answer. It owns its few places and the form of a call. It must
//! never judge a call, hold up a client's work, or let callers that say nothing keep others out.
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

/// Callers at a time. Beyond that the one that has waited longest with its call unfinished goes.
pub const MAX_CALLERS: usize = 12;
/// A line is no longer than this: the longest id and a word.
const LINE: usize = 256;
/// A caller that has not finished its line by then, or not taken its answer, is closed.
const PATIENCE: Micros = 10_000_000;
/// How long the rest of what a caller sent is thrown away: a close before that could take the answer with it.
const LINGER: Micros = 500_000;

/// A call, as its line words it.
#[derive(Debug, PartialEq, Eq)]
pub enum AdminCommand<'a> {
    Ready,
    Disable(&'a str),
    Enable(&'a str),
}

/// Reads a line without its end.
///
/// # Errors
/// What is wrong with it, in words for staff.
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

/// A caller whose line is not finished.
#[derive(Default)]
struct Waiting {
    finished: Cell<bool>,
    gone: Cell<bool>,
    go: Signal,
}

/// Gives the place back, also after a panic.
struct Left(Rc<Waiting>);

impl Drop for Left {
    fn drop(&mut self) {
        self.0.gone.set(true);
    }
}

/// Answers calls for as long as the program runs.
pub async fn serve(node: Rc<Node>, shift: Rc<ProcessGroup>, listener: Rc<Async<TcpListener>>) {
    let callers: Rc<RefCell<VecDeque<Rc<Waiting>>>> = Rc::default();
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
        all.retain(|w| !w.gone.get());
        if all.len() >= MAX_CALLERS {
            // One whose call is whole is answered within moments, so one that says nothing makes way.
            match all.iter().position(|w| !w.finished.get()).and_then(|at| all.remove(at)) {
                Some(w) => w.go.notify(),
                None if all.len() < MAX_CALLERS * 2 => {}
                None => continue,
            }
        }
        let own = Rc::new(Waiting::default());
        all.push_back(own.clone());
        drop(all);
        let (n, s) = (node.clone(), shift.clone());
        node.spawn("door", async move {
            let until = now() + PATIENCE;
            let late = async {
                sleep_until(until).await;
            };
            let told = own.clone();
            let _left = Left(own.clone());
            serve_one(&n, &s, &own, &stream).or(async move { told.go.wait().await }).or(late).await;
        });
    }
}

async fn serve_one(node: &Rc<Node>, shift: &Rc<ProcessGroup>, own: &Waiting, stream: &Async<TcpStream>) {
    let mut buf = Vec::new();
    let line = loop {
        let end = buf.iter().position(|b| *b == b'\n');
        match end {
            Some(n) => break Some(&buf[..n]),
            None if buf.len() > LINE => break None,
            None => {}
        }
        if read_some(stream, &mut buf, LINE).await == 0 {
            // The end of the stream ends a line as well; without one there was no call.
            if buf.is_empty() {
                return;
            }
            break Some(&buf[..]);
        }
    };
    own.finished.set(true);
    node.count(Counter::AdminCommands);
    let asked = match line {
        Some(line) if line.len() <= LINE => parse_command(line),
        _ => Err("a line too long"),
    };
    let answer = match asked {
        Ok(AdminCommand::Ready) => shift.ready().map(|()| "ready".to_owned()).map_err(str::to_owned),
        Ok(AdminCommand::Disable(id)) => shift.set_ban(true, id).await,
        Ok(AdminCommand::Enable(id)) => shift.set_ban(false, id).await,
        Err(why) => Err(why.to_owned()),
    };
    let text = match &answer {
        Ok(said) => format!("done {said}\n"),
        Err(why) => {
            node.count(Counter::AdminRefused);
            format!("error {why}\n")
        }
    };
    // Its place is free from here on.
    own.gone.set(true);
    let until = now() + LINGER;
    if OutgoingAnswer::from(text.into_bytes()).write(stream).await {
        stream.get_ref().shutdown(Shutdown::Write).ok();
        let rest = async {
            let mut rest = Vec::new();
            while read_some(stream, &mut rest, LINE).await > 0 {
                rest.clear();
            }
        };
        rest.or(sleep_until(until)).await;
    }
}
