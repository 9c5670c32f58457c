//! The vocabulary of the router: settings, events and actions. Nothing here decides anything.
use serde::{Deserialize, Serialize};

/// Microseconds, as a point on the clock or a span.
pub type Micros = u64;
/// Identifies a client's request; never used twice by one router.
pub type RequestId = u64;

/// Where a member (cache, parent or origin) is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Addr {
    /// The address, first byte first.
    pub ip: [u8; 4],
    /// The port.
    pub port: u16,
}

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Effect {
    /// Repeats are harmless.
    #[default]
    Retryable,
    /// Carries a key; a group of members drops repeats for a while.
    Dedup,
    /// A repeat may do harm.
    NotRetryable,
}

/// Which members drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupGroup {
    /// Any of them.
    #[default]
    All,
    /// Those of the same zone.
    Zone,
    /// Those of the same cell.
    Cell,
}

/// Which other caches may be named as the source of a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Siblings {
    /// None.
    #[default]
    Off,
    /// Those of the router's own location.
    Location,
    /// Any cache.
    Any,
}

/// What a member's weight stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightSource {
    /// Always 1.
    #[default]
    Off,
    /// The registered size.
    Nominal,
    /// The size, approximately.
    Rough,
    /// The size over the load at some earlier moment: changes between lists.
    Live,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub target_latency: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub target_stretch: f64,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// What an answer in time is worth.
    pub value: f64,
    /// Share of the worth that a late answer earns.
    pub late_value: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Who drops repeats of a keyed request.
    pub dedup_group: DedupGroup,
    /// For how long repeats are dropped, from the send of the first attempt that may have run.
    pub dedup_window: Micros,
    /// The answer is a stream.
    pub streaming: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub fresh_for: Micros,
    /// How much older than fresh a copy may be when asked for.
    pub max_staleness: Micros,
    /// Share of the worth that a copy past its fresh time earns.
    pub stale_value: f64,
    /// Objects come in parts.
    pub in_parts: bool,
    /// Never kept: runs at the origin.
    pub pass_through: bool,
}

/// Places of the values of a load report, where they are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct ReportColumns {
    /// Requests in hand.
    pub active: Option<usize>,
    /// Share of the processor in use.
    pub cpu: Option<usize>,
    /// The site's first figure (share of hits).
    pub hit_share: Option<usize>,
    /// The site's second figure (a cache: how full its location's link is).
    pub link_load: Option<usize>,
}

/// What a router is told when it starts.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Settings {
    /// The classes, in the order of their indices.
    pub classes: Vec<Class>,
    /// The router's own zone.
    pub zone: u16,
    /// Routers in each zone.
    pub routers_by_zone: Vec<u32>,
    /// The kind that parents have, if there are any.
    pub parent_kind: Option<u8>,
    /// The kind that the origin has.
    pub origin_kind: Option<u8>,
    /// Requests may go straight to a parent or the origin.
    pub direct: bool,
    /// Caches that may be a source.
    pub siblings: Siblings,
    /// Caches can let a request join a fill under way.
    pub fill_joining: bool,
    /// Outcomes carry notes on fills and on failures.
    pub all_notes_reported: bool,
    /// Outcomes tell at least hits.
    pub hits_reported: bool,
    /// KB a second at which one transfer to a client runs at most; 0: not told.
    pub transfer_kb_per_s: f64,
    /// Weight kinds.
    pub weight_source: WeightSource,
    /// After this time of a purge no old copy is left anywhere.
    pub purge_complete_after: Micros,
    /// Grace of the purge rule.
    pub purge_grace: Micros,
    /// Grace of the drain rule.
    pub drain_grace: Micros,
    /// Share of its capacity at which a cache starts, or more.
    pub cold_start_share: f64,
    /// A cache is warm after this at the latest.
    pub cold_period: Micros,
    /// Multiple of its present capacity that fells a cold cache.
    pub overload_multiple: f64,
    /// For how long it bears that.
    pub overload_tolerance: Micros,
    /// The same for parents: the starting share.
    pub parent_cold_start_share: f64,
    /// The time after which a parent is warm.
    pub parent_cold_period: Micros,
    /// The multiple that fells a cold parent.
    pub parent_overload_multiple: f64,
    /// Multiple of what it can do at which the origin stops; 0: never.
    pub origin_overload_multiple: f64,
    /// Attempts for one request, at most.
    pub max_attempts: u32,
    /// Two attempts of a request may be out at once.
    pub parallel_attempts: bool,
    /// Attempts can be withdrawn.
    pub cancel: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest that they heed.
    pub max_retry_after: Micros,
    /// Clients mark their repeats.
    pub retries_marked: bool,
    /// Changes of the list must be asked for.
    pub list_on_request: bool,
    /// How old an unasked list may get there.
    pub max_list_age: Micros,
    /// Shortest time between two batches of events.
    pub min_event_interval: Micros,
    /// How late a final answer may be.
    pub answer_slack: Micros,
    /// Places of report values.
    pub columns: ReportColumns,
    /// Reports come with outcomes.
    pub reports_inline: bool,
}

impl Settings {
    /// What a listed member is to this router, by its kind and its zone.
    pub fn role(&self, e: &Entry) -> Role {
        match Some(e.kind) {
            k if k == self.origin_kind => Role::Origin,
            k if k == self.parent_kind => Role::Parent,
            _ if e.zone == self.zone => Role::Cache,
            _ => Role::OtherLocation,
        }
    }
}

/// What the list says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Lifecycle {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes its work; send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One member in a list.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Entry {
    /// The member.
    pub addr: Addr,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Its kind of machine.
    pub kind: u8,
    /// When it last started, on the clock of the events; 0: long ago.
    pub started_at: Micros,
    /// Tells one start of it from another; alike wherever the same start was told. 0: not told.
    pub incarnation: u64,
    /// Its weight; 0: not told.
    pub weight: f32,
    /// Its state.
    pub state: Lifecycle,
}

/// What a member is to this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Role {
    /// Nothing: a cache of another location.
    #[default]
    OtherLocation,
    /// A cache of the own location.
    Cache,
    /// A parent (hub cache).
    Parent,
    /// The origin.
    Origin,
}

/// What a router's own traffic showed of a member: never what others said of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberHealth {
    /// The member.
    pub member: Addr,
    /// Which start of it, as listed.
    pub incarnation: u64,
    /// What it is to this router.
    pub role: Role,
    /// Own failures in a row that count towards a skip.
    pub strikes: u32,
    /// It is being skipped.
    pub skipped: bool,
    /// When it last failed, and how; 0: never.
    pub last_failed_at: Micros,
    /// How it last failed.
    pub last_failure: Option<Outcome>,
    /// When it last answered, or filled, well; 0: never.
    pub last_good_at: Micros,
    /// Skips for which a rumour spared own failures.
    pub suspicion_skips: u32,
}

/// What a list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Altered entries only.
    Delta,
    /// A call failed; the list stays as it was.
    Failed,
    /// The whole list as this router last held it, perhaps outdated.
    Cached,
    /// The whole list.
    Full,
}

/// What operators set for a request; 0: nothing. The router takes the stricter of this and its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct RequestPolicy {
    /// Attempts, those that only looked for what is held not counted.
    pub attempt_limit: u32,
    /// How long an attempt is waited for before silence counts against its member or source.
    pub attempt_timeout: Micros,
    /// Time between the end of a failed attempt and the next one.
    pub retry_delay: Micros,
    /// A second copy goes out when the first attempt has been out for so long, where the class allows it.
    pub hedge_after: Micros,
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u16,
    /// The object asked for.
    pub object: u64,
    /// When the client gives up.
    pub expires_at: Micros,
    /// Size in KB; 0: not told.
    pub size_kb: f32,
    /// The object's purge group.
    pub group: u16,
    /// Which part of the object.
    pub part: u32,
    /// Marked by the client as a repeat.
    pub marked_retry: bool,
    /// A write.
    pub write: bool,
    /// What operators set for it.
    pub policy: RequestPolicy,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// No copy that will do, and none was filled; never ran.
    Miss,
    /// The member answered with an error; may have run.
    Error,
    /// Turned away unseen, or its source refused; never ran.
    Refused,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
}

impl Outcome {
    /// It proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Miss | Outcome::Refused | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What an outcome tells of the copy or the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Note {
    /// Nothing told.
    #[default]
    None,
    /// From a copy held.
    Hit,
    /// Filled.
    Filled,
    /// Filled by way of the origin.
    FilledOrigin,
    /// Joined a fill; with a miss: one is under way.
    Joined,
    /// From a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or ran out of time.
    SourceFailed,
    /// The source lacks the object.
    SourceMiss,
    /// No place for a fill at the cache.
    FillSlotsFull,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A load report: up to four values in the order of the site's columns.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Report {
    /// How many values; 0: no report.
    pub count: u8,
    /// The values.
    pub values: [f32; 4],
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completed {
    /// The request.
    pub request: RequestId,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// The member it went to.
    pub member: Addr,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is over.
    pub request_done: bool,
    /// What is told of the copy or fill.
    pub note: Note,
    /// Time to the source's first byte or failure; 0: not told.
    pub source_wait: Micros,
    /// A load report, if there is one.
    pub report: Report,
}

/// What happens to a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of members.
    Members {
        /// What the entries are.
        form: ListForm,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request.
    Request(Request),
    /// The client has left: no answer is owed.
    Expired(RequestId),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// An attempt ended.
    Completed(Completed),
    /// A probe ended.
    Probed {
        /// The member.
        member: Addr,
        /// How it ended.
        outcome: Outcome,
        /// Its load report.
        report: Report,
    },
    /// A timer fell due.
    Timer(u32),
    /// An object, or a whole group, was purged.
    Purged {
        /// How long ago.
        ago: Micros,
        /// The object; `None`: the whole group.
        object: Option<u64>,
        /// The group.
        group: u16,
    },
    /// Other routers hold a member suspect, and enough of them for their word to count.
    Suspected {
        /// The member.
        member: Addr,
        /// Which start of it they mean.
        incarnation: u64,
        /// For how long it counts from now; 0: it no longer does.
        valid_for: Micros,
    },
    /// A message from another router.
    Peer {
        /// The sender's number.
        from: u32,
        /// The payload.
        payload: Vec<u8>,
    },
}

/// A request to a member, with what it may fill from and keep.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Get {
    /// The request.
    pub request: RequestId,
    /// The member asked.
    pub member: Addr,
    /// Where a miss is filled from; the member itself: no fill.
    pub source: Addr,
    /// 0: pass through; 1 to 3: keep at that rank.
    pub keep: u8,
    /// Oldest copy that will do; 0: as the class has it.
    pub age: u32,
    /// Join a fill under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// The parent keeps no copy.
    pub parent_keeps_none: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
    /// Time-out; 0: until the client gives up.
    pub max_wait: u32,
    /// The first byte has to leave before this, else nothing of it may: the end of the window for repeats, on the
    /// router's clock; 0: no bound.
    pub send_by: Micros,
}

/// What a router wants done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Get(Get),
    /// Final answer: turned away, a repeat is harmless.
    Decline {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0: no advice.
        retry_after: u32,
    },
    /// Final answer: failed.
    Fail(RequestId),
    /// Withdraw an attempt.
    Revoke {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Ask for a [`Event::Timer`].
    Wake {
        /// Comes back with the event.
        token: u32,
        /// Time from now.
        after: u32,
    },
    /// Probe a member.
    Probe(Addr),
    /// Ask for changes of the list from now on.
    Track,
    /// Ask for the whole list once.
    Refresh,
}
