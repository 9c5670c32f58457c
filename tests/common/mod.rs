//! Builders and a test bench for the router, shared by the tests of the crate.
#![allow(dead_code)]
use nickelgate::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
/// The clock at the start of every test.
pub const T0: Micros = 1_000 * S;
/// The zone of the router under test and its caches.
pub const HOME: u16 = 3;

pub fn addr(n: u8) -> Addr {
    Addr { ip: [10, 0, 0, n], port: 8080 }
}

pub fn cache(n: u8) -> Entry {
    Entry { addr: addr(n), zone: HOME, weight: 6.0, ..Entry::default() }
}

pub fn parent(n: u8) -> Entry {
    Entry { addr: addr(n), zone: 0, kind: 2, weight: 12.0, ..Entry::default() }
}

pub fn origin() -> Entry {
    Entry { addr: addr(250), zone: 0, kind: 3, ..Entry::default() }
}

/// Sets when a member started; each start is an incarnation of its own.
pub fn since(mut e: Entry, at: Micros) -> Entry {
    (e.started_at, e.incarnation) = (at, at);
    e
}

pub fn state(mut e: Entry, s: Lifecycle) -> Entry {
    e.state = s;
    e
}

/// Three caches, two parents and the origin.
pub fn fleet() -> Vec<Entry> {
    vec![cache(1), cache(2), cache(3), parent(100), parent(101), origin()]
}

pub fn settings() -> Settings {
    let video = Class {
        target_latency: 500 * MS,
        target_stretch: 1.6,
        deadline: 6 * S,
        value: 2.0,
        late_value: 0.15,
        in_parts: true,
        ..Class::default()
    };
    let page = Class {
        target_latency: 300 * MS,
        target_stretch: 2.0,
        deadline: 2500 * MS,
        value: 1.0,
        fresh_for: 20 * S,
        ..video.clone()
    };
    let write = Class {
        target_latency: 700 * MS,
        deadline: 3 * S,
        value: 3.0,
        effect: Effect::Dedup,
        dedup_window: 2 * S,
        pass_through: true,
        ..Class::default()
    };
    Settings {
        classes: vec![video, page, write],
        zone: HOME,
        routers_by_zone: vec![0, 0, 0, 1],
        parent_kind: Some(2),
        origin_kind: Some(3),
        direct: true,
        fill_joining: true,
        all_notes_reported: true,
        hits_reported: true,
        transfer_kb_per_s: 5000.0,
        weight_source: WeightSource::Nominal,
        purge_complete_after: 6 * S,
        purge_grace: S,
        drain_grace: 500 * MS,
        cold_start_share: 0.2,
        cold_period: 15 * S,
        overload_multiple: 2.0,
        overload_tolerance: 2 * S,
        parent_cold_start_share: 0.08,
        parent_cold_period: 20 * S,
        parent_overload_multiple: 2.0,
        max_attempts: 6,
        parallel_attempts: true,
        cancel: true,
        min_event_interval: 2 * MS,
        answer_slack: 8 * MS,
        reports_inline: true,
        ..Settings::default()
    }
}

/// A router under test with its clock and the ids of its requests.
pub struct Bench {
    pub r: Router,
    pub now: Micros,
    /// The load report that comes with every outcome.
    pub report: Report,
    next: u64,
}

impl Bench {
    pub fn new(s: Settings, list: Vec<Entry>) -> Self {
        let mut b = Bench { r: Router::new(s, 7), now: T0, report: Report::default(), next: 0 };
        b.list(ListForm::Cached, list);
        b
    }
    pub fn event(&mut self, e: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.r.handle(self.now, e, &mut out);
        out
    }
    pub fn list(&mut self, form: ListForm, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::Members { form, entries })
    }
    /// Sends a request for an object; returns its id and the actions that follow at once.
    pub fn ask(&mut self, class: u8, object: u64) -> (u64, Vec<Action>) {
        let due = self.now + [6 * S, 2500 * MS, 3 * S][usize::from(class.min(2))];
        self.ask_with(Request { class, object, expires_at: due, write: class == 2, ..Request::default() })
    }
    /// Sends the given request under the next id.
    pub fn ask_with(&mut self, req: Request) -> (u64, Vec<Action>) {
        self.next += 1;
        let out = self.event(Event::Request(Request { id: self.next, ..req }));
        (self.next, out)
    }
    /// Ends an attempt after 100 ms; returns the actions that follow.
    pub fn end(&mut self, get: Get, attempt: u16, outcome: Outcome, note: Note) -> Vec<Action> {
        self.end_after(100 * MS, get, attempt, outcome, note)
    }
    pub fn end_after(
        &mut self,
        elapsed: Micros,
        get: Get,
        attempt: u16,
        outcome: Outcome,
        note: Note,
    ) -> Vec<Action> {
        self.event(Event::Completed(Completed {
            request: get.request,
            attempt,
            member: get.member,
            outcome,
            elapsed,
            request_done: outcome == Outcome::Ok,
            note,
            source_wait: 0,
            report: self.report,
        }))
    }
    /// Sends a request and ends each attempt as `how` says (after how long, outcome, note) until none
    /// follows. Returns the number of final answers among the actions that followed the ends.
    pub fn play(
        &mut self,
        class: u8,
        object: u64,
        mut how: impl FnMut(Get) -> (Micros, Outcome, Note),
    ) -> usize {
        let (mut next, mut answers) = (gets(&self.ask(class, object).1), 0);
        for attempt in 0.. {
            let Some(get) = next.first().copied() else { break };
            let (after, outcome, note) = how(get);
            let out = self.end_after(after, get, attempt, outcome, note);
            answers += finals(&out);
            next = gets(&out);
        }
        answers
    }
    /// Sends a request and ends its attempt with a hit; returns the attempt.
    pub fn served(&mut self, class: u8, object: u64) -> Option<Get> {
        let (_, out) = self.ask(class, object);
        let get = *gets(&out).first()?;
        self.end(get, 0, Outcome::Ok, Note::Hit);
        Some(get)
    }
}

/// Returns the attempts among the actions.
pub fn gets(out: &[Action]) -> Vec<Get> {
    out.iter().filter_map(|a| if let Action::Get(g) = a { Some(*g) } else { None }).collect()
}

/// Counts the final answers among the actions.
pub fn finals(out: &[Action]) -> usize {
    out.iter().filter(|a| matches!(a, Action::Decline { .. } | Action::Fail(_))).count()
}

/// Returns the timers among the actions: token and delay.
pub fn wakes(out: &[Action]) -> Vec<(u32, u32)> {
    let wake = |a: &Action| if let Action::Wake { token, after } = a { Some((*token, *after)) } else { None };
    out.iter().filter_map(wake).collect()
}
