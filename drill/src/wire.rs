//! The frames of the wire: a header, records of fixed size and one tail of variable length, all
//! little-endian.
use crate::parse_settings;
use nickelgate::{
    Action, Addr, Completed, Entry, Event, Lifecycle, ListForm, Note, Outcome, Report, Request,
};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read};
use threadward_core::probes::ProbingRouter;

/// Size of a frame's header.
const HEADER_BYTES: usize = 20;
/// Size of an event record.
const EVENT_BYTES: usize = 56;
/// Size of an action record.
const ACTION_BYTES: usize = 40;
/// Size of an entry of a member list, which stands in the tail.
const ENTRY_BYTES: usize = 24;

/// A description of what is wrong with the input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(what: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(what.into()))
}

/// A record whose fields are read by offset. Reading past its end is an error, never a panic.
struct Bytes<'a>(&'a [u8]);

impl Bytes<'_> {
    fn take<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        let slice = at.checked_add(N).and_then(|end| self.0.get(at..end));
        slice.and_then(|s| s.try_into().ok()).ok_or_else(|| WireError("a record is cut short".into()))
    }
    fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.take::<1>(at)?[0])
    }
    fn u16(&self, at: usize) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.take(at)?))
    }
    fn u32(&self, at: usize) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.take(at)?))
    }
    fn u64(&self, at: usize) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.take(at)?))
    }
    fn f32(&self, at: usize) -> Result<f32, WireError> {
        let x = f32::from_le_bytes(self.take(at)?);
        Ok(if x.is_finite() { x } else { 0.0 })
    }
    fn addr(&self, at: usize) -> Result<Addr, WireError> {
        Ok(Addr { ip: self.take(at)?, port: self.u16(at + 4)? })
    }
    fn report(&self, at: usize) -> Result<Report, WireError> {
        let mut r = Report { count: self.u8(at)?.min(4), values: [0.0; 4] };
        for (i, v) in r.values.iter_mut().enumerate() {
            *v = self.f32(at + 1 + 4 * i)?;
        }
        Ok(r)
    }
}

/// Reads one frame, or `None` if the input ends between two frames.
///
/// # Errors
/// If the input ends inside a frame, cannot be read, or states an impossible length.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::with_capacity(HEADER_BYTES);
    let io_error = |e: io::Error| WireError(format!("cannot read a frame: {e}"));
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut frame).map_err(io_error)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < HEADER_BYTES {
        return bad("the input ends inside a frame's header");
    }
    let length = Bytes(&frame).u32(4)? as usize;
    if length < HEADER_BYTES {
        return bad(format!("a frame states a length of {length} bytes, less than its header"));
    }
    input.by_ref().take((length - HEADER_BYTES) as u64).read_to_end(&mut frame).map_err(io_error)?;
    if frame.len() < length {
        return bad(format!("the input ends {} bytes into a frame of {length}", frame.len()));
    }
    Ok(Some(frame))
}

/// Returns the outcome that a code of the wire stands for.
fn outcome(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        100 => Outcome::Ok,
        101 => Outcome::Miss,
        301 => Outcome::Error,
        302 => Outcome::Refused,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        other => return bad(format!("unknown outcome {other}")),
    })
}

/// Returns the note that a code of the wire stands for. Unknown codes are no note.
fn note(code: u32) -> Note {
    match code {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceFailed,
        8 => Note::SourceMiss,
        9 => Note::FillSlotsFull,
        10 => Note::OriginFailed,
        _ => Note::None,
    }
}

/// Reads an entry of a member list. The start time is also the incarnation.
fn entry(b: &Bytes<'_>) -> Result<Entry, WireError> {
    Ok(Entry {
        zone: b.u16(0)?,
        addr: b.addr(2)?,
        started_at: b.u64(8)?,
        incarnation: b.u64(8)?,
        cell: b.u16(16)?,
        weight: b.f32(18)?,
        state: match b.u8(22)? {
            1 => Lifecycle::Ready,
            2 => Lifecycle::Draining,
            0 => Lifecycle::Gone,
            other => return bad(format!("unknown lifecycle {other}")),
        },
        kind: b.u8(23)?,
    })
}

/// Returns the part of the tail that a record points to. At offset `at` the record holds the part's offset
/// and its number of items of `unit` bytes each.
fn tail_part<'a>(tail: &'a [u8], rec: &Bytes<'_>, at: usize, unit: usize) -> Result<&'a [u8], WireError> {
    let (from, n) = (rec.u32(at)? as usize, rec.u32(at + 4)? as usize);
    let end = n.checked_mul(unit).and_then(|len| from.checked_add(len));
    match end.and_then(|end| tail.get(from..end)) {
        Some(part) => Ok(part),
        None => bad("a record points past the end of the tail"),
    }
}

/// Reads the event in a record.
fn event(code: u8, rec: &Bytes<'_>, tail: &[u8]) -> Result<Event, WireError> {
    Ok(match code {
        2 => Event::Members {
            form: match rec.u8(3)? {
                0 => ListForm::Delta,
                2 => ListForm::Failed,
                3 => ListForm::Cached,
                4 => ListForm::Full,
                other => return bad(format!("unknown form of a list: {other}")),
            },
            entries: tail_part(tail, rec, 8, ENTRY_BYTES)?
                .chunks_exact(ENTRY_BYTES)
                .map(|c| entry(&Bytes(c)))
                .collect::<Result<_, _>>()?,
        },
        3 => Event::Request(Request {
            id: rec.u64(3)?,
            class: rec.u8(11)?,
            tenant: rec.u16(12)?,
            object: rec.u64(14)?,
            expires_at: rec.u64(22)?,
            size_kb: rec.f32(30)?,
            group: rec.f32(34)? as u16,
            part: rec.f32(38)? as u32,
            marked_retry: rec.u8(42)? & 2 != 0,
            write: rec.u8(42)? & 4 != 0,
            ..Request::default()
        }),
        4 => Event::StreamStarted { request: rec.u64(3)?, attempt: rec.u16(11)? },
        5 => Event::Completed(Completed {
            request: rec.u64(3)?,
            attempt: rec.u16(11)?,
            member: rec.addr(13)?,
            outcome: outcome(rec.u16(19)?)?,
            elapsed: u64::from(rec.u32(21)?),
            request_done: rec.u8(25)? != 0,
            note: note(rec.u32(26)?),
            source_wait: u64::from(rec.u32(30)?),
            report: rec.report(34)?,
        }),
        6 => Event::Expired(rec.u64(3)?),
        7 => Event::Timer(rec.u32(3)?),
        8 => Event::Probed { member: rec.addr(3)?, outcome: outcome(rec.u16(9)?)?, report: rec.report(15)? },
        9 => Event::Peer { from: rec.u32(3)?, payload: tail_part(tail, rec, 7, 1)?.to_vec() },
        11 => Event::Purged {
            ago: u64::from(rec.u32(3)?),
            object: Some(rec.u64(7)?).filter(|&o| o != 0),
            group: rec.u16(15)?,
        },
        other => return bad(format!("unknown event code {other}")),
    })
}

/// Encodes an action of a router as a record.
fn record(router_id: u16, action: &Action) -> [u8; ACTION_BYTES] {
    fn put(rec: &mut [u8; ACTION_BYTES], at: usize, bytes: &[u8]) {
        rec[at..at + bytes.len()].copy_from_slice(bytes);
    }
    fn put_addr(rec: &mut [u8; ACTION_BYTES], at: usize, addr: Addr) {
        put(rec, at, &addr.ip);
        put(rec, at + 4, &addr.port.to_le_bytes());
    }
    let mut r = [0u8; ACTION_BYTES];
    put(&mut r, 1, &router_id.to_le_bytes());
    match *action {
        Action::Get(g) => {
            r[0] = 77;
            put(&mut r, 3, &g.request.to_le_bytes());
            put(&mut r, 11, &g.age.to_le_bytes());
            put_addr(&mut r, 15, g.member);
            r[21] = g.keep;
            put_addr(&mut r, 22, g.source);
            r[28] = u8::from(g.join)
                | u8::from(g.only_held) << 1
                | u8::from(g.parent_keeps_none) << 2
                | u8::from(g.renew) << 3;
            put(&mut r, 29, &g.max_wait.to_le_bytes());
        }
        Action::Decline { request, retry_after } => {
            r[0] = 66;
            put(&mut r, 3, &request.to_le_bytes());
            put(&mut r, 11, &retry_after.to_le_bytes());
        }
        Action::Fail(request) => {
            r[0] = 67;
            put(&mut r, 3, &request.to_le_bytes());
        }
        Action::Revoke { request, attempt } => {
            r[0] = 68;
            put(&mut r, 3, &request.to_le_bytes());
            put(&mut r, 11, &attempt.to_le_bytes());
        }
        Action::Wake { token, after } => {
            r[0] = 69;
            put(&mut r, 3, &token.to_le_bytes());
            put(&mut r, 7, &after.to_le_bytes());
        }
        Action::Probe(member) => {
            r[0] = 70;
            put_addr(&mut r, 3, member);
        }
        Action::Track => {
            r[0] = 75;
            r[3] = 1;
        }
        Action::Refresh => r[0] = 76,
    }
    r
}

/// The routers of this process, one per instance. They share no state.
#[derive(Default)]
pub struct RouterHost {
    routers: BTreeMap<u16, ProbingRouter>,
    actions: Vec<Action>,
}

impl RouterHost {
    /// Passes the events of a frame to their routers and returns the reply frame with the actions. Instances
    /// are opened and closed on the way; events for an instance that does not exist are ignored.
    ///
    /// # Errors
    /// If the frame is malformed.
    pub fn handle_frame(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let head = Bytes(frame);
        let (count, length) = (head.u32(0)? as usize, head.u32(4)? as usize);
        let (now, frame_number) = (head.u64(8)?, head.u32(16)?);
        if length != frame.len() {
            return bad(format!("a frame of {} bytes states a length of {length}", frame.len()));
        }
        let split = count.checked_mul(EVENT_BYTES).and_then(|n| n.checked_add(HEADER_BYTES));
        let (records, tail) = match split.filter(|&at| at <= frame.len()) {
            Some(at) => (&frame[HEADER_BYTES..at], &frame[at..]),
            None => return bad(format!("a frame of {length} bytes cannot hold {count} records")),
        };
        let mut reply = vec![0u8; 12];
        let mut actions_sent = 0u32;
        for chunk in records.chunks_exact(EVENT_BYTES) {
            let rec = Bytes(chunk);
            let (code, id) = (rec.u8(0)?, rec.u16(1)?);
            match code {
                1 => {
                    let settings = parse_settings(tail_part(tail, &rec, 11, 1)?)?;
                    self.routers.insert(id, ProbingRouter::new(settings, rec.u64(3)?));
                }
                10 => {
                    self.routers.remove(&id);
                }
                _ => {
                    let event = event(code, &rec, tail)?;
                    if let Some(router) = self.routers.get_mut(&id) {
                        self.actions.clear();
                        router.handle(now, event, &mut self.actions);
                        for action in &self.actions {
                            reply.extend_from_slice(&record(id, action));
                            actions_sent += 1;
                        }
                    }
                }
            }
        }
        let len = u32::try_from(reply.len()).map_err(|_| WireError("a reply is too long".into()))?;
        reply[0..4].copy_from_slice(&len.to_le_bytes());
        reply[4..8].copy_from_slice(&actions_sent.to_le_bytes());
        reply[8..12].copy_from_slice(&frame_number.to_le_bytes());
        Ok(reply)
    }
}
