//! The stages that every request passes, each a unit of its own: take in, admit, route, send, relay, accounting. They
//! own the translation between a front's request and the router's words. They must never decide where a request
//! goes, and none of them waits or keeps state: the planner does that.

/// Makes a request of the router's from a front's.
pub mod intake {
    use crate::job::Job;
    use crate::{ClientRequest, Micros, Reply};
    use nickelgate::{Request, Settings};
    use std::rc::Rc;

    pub(crate) fn accept(
        id: u64,
        s: &Settings,
        now: Micros,
        ask: ClientRequest,
        reply: Reply,
    ) -> (Job, Request) {
        let request = router_request(id, s, &ask);
        (Job { ask: Rc::new(ask), reply: Some(reply), taken: now, attempts: Vec::new() }, request)
    }

    /// What the router is told of a request.
    pub fn router_request(id: u64, s: &Settings, ask: &ClientRequest) -> Request {
        Request {
            id,
            class: ask.class,
            object: ask.object,
            expires_at: ask.due,
            group: ask.group,
            part: ask.part,
            size_kb: ask.kbytes,
            marked_retry: ask.repeat,
            policy: ask.terms,
            write: s.classes.get(usize::from(ask.class)).is_some_and(|c| c.pass_through),
            ..Request::default()
        }
    }
}

/// Keeps out what cannot be carried: beyond the bound on open requests, of no class, or under an id in use.
pub mod admit {
    use crate::{ClientRequest, FinalAnswer, Micros};
    use nickelgate::Settings;

    /// What may be held at once.
    #[derive(Clone, Copy, Debug)]
    pub struct Limits {
        /// Requests that may be owed an answer at once: bounds memory and queues.
        pub max_open: usize,
        /// Bytes that may be held for clients, answers not yet written and bodies not yet sent: bounds memory.
        pub max_bytes: usize,
        /// How long a client is told to stay away when that is reached.
        pub retry_after: Micros,
    }

    /// What is held at the moment.
    #[derive(Clone, Copy, Debug)]
    pub struct Load {
        /// Requests that are owed an answer.
        pub open: usize,
        /// Bytes held for clients.
        pub bytes: usize,
    }

    /// Whether a request may go on. `known`: the client's id is in use.
    ///
    /// # Errors
    /// The final answer, where the request goes no further.
    ///
    /// ```
    /// use threadward_core::stages::admit::{check, Limits, Load};
    /// use threadward_core::{ClientRequest, FinalAnswer, Settings};
    ///
    /// let limits = Limits { max_open: 2, max_bytes: 100, retry_after: 500_000 };
    /// let s = Settings { classes: vec![nickelgate::Class::default()], ..Settings::default() };
    /// let ask = ClientRequest { due: 9_000, ..ClientRequest::default() };
    /// let judge = |open, now, known| check(&limits, &s, Load { open, bytes: 0 }, now, &ask, known);
    /// assert_eq!(judge(1, 1_000, false), Ok(()));
    /// assert_eq!(judge(2, 1_000, false), Err(FinalAnswer::Refused { retry_after: 500_000 }));
    /// assert_eq!(judge(1, 9_000, false), Err(FinalAnswer::Refused { retry_after: 500_000 }), "too late");
    /// assert_eq!(judge(1, 1_000, true), Err(FinalAnswer::Failed));
    /// ```
    pub fn check(
        l: &Limits,
        s: &Settings,
        load: Load,
        now: Micros,
        ask: &ClientRequest,
        known: bool,
    ) -> Result<(), FinalAnswer> {
        if known || usize::from(ask.class) >= s.classes.len() {
            return Err(FinalAnswer::Failed);
        }
        if load.open >= l.max_open || load.bytes >= l.max_bytes || now >= ask.due {
            return Err(FinalAnswer::Refused { retry_after: l.retry_after });
        }
        Ok(())
    }
}

/// Turns the router's actions into orders; the decisions themselves are the router's.
pub mod route {
    use crate::{Addr, FinalAnswer, Micros};
    use nickelgate::{Action, Get};

    /// What the planner is to do.
    pub enum Order {
        /// An attempt is to go out.
        Send(Get),
        /// The request's final answer.
        Answer(u64, FinalAnswer),
        /// The attempt of the request is given up.
        Withdraw(u64, u16),
        /// The router wants this timer, so long from now.
        SetTimer(u32, Micros),
        /// A member is to be asked for its load.
        Probe(Addr),
        /// Nothing is to be done here.
        Nothing,
    }

    /// The order that an action stands for.
    ///
    /// ```
    /// use nickelgate::Action;
    /// use threadward_core::{stages::route::{order, Order}, FinalAnswer};
    ///
    /// let declined = Action::Decline { request: 4, retry_after: 20_000 };
    /// assert!(matches!(order(declined), Order::Answer(4, FinalAnswer::Refused { retry_after: 20_000 })));
    /// assert!(matches!(order(Action::Fail(4)), Order::Answer(4, FinalAnswer::Failed)));
    /// assert!(matches!(order(Action::Revoke { request: 4, attempt: 1 }), Order::Withdraw(4, 1)));
    /// assert!(matches!(order(Action::Refresh), Order::Nothing));
    /// ```
    pub fn order(action: Action) -> Order {
        match action {
            Action::Get(g) => Order::Send(g),
            Action::Decline { request, retry_after } => {
                Order::Answer(request, FinalAnswer::Refused { retry_after: Micros::from(retry_after) })
            }
            Action::Fail(request) => Order::Answer(request, FinalAnswer::Failed),
            Action::Revoke { request, attempt } => Order::Withdraw(request, attempt),
            Action::Wake { token, after } => Order::SetTimer(token, Micros::from(after)),
            Action::Probe(member) => Order::Probe(member),
            // Changes of the list come unasked here.
            Action::Track | Action::Refresh => Order::Nothing,
        }
    }
}

/// Builds an attempt and notes that it is out.
pub mod send {
    use crate::job::Job;
    use crate::{Dispatch, Micros};
    use nickelgate::{Effect, Get, Settings};

    pub(crate) fn build(job: &mut Job, s: &Settings, get: &Get, now: Micros, epoch: u64) -> Dispatch {
        let harmless = s.classes.get(usize::from(job.ask.class)).map(|c| c.effect) == Some(Effect::Retryable);
        let attempt = job.attempts.len() as u16;
        job.attempts.push((now, get.member, true));
        let own = if get.max_wait == 0 { Micros::MAX } else { now + Micros::from(get.max_wait) };
        Dispatch {
            request: get.request,
            attempt,
            member: get.member,
            source: Some(get.source).filter(|s| *s != get.member),
            keep_rank: get.keep,
            max_age: Micros::from(get.age),
            join_fill: get.join,
            only_held: get.only_held,
            parent_keeps_none: get.parent_keeps_none,
            refresh_in_background: get.renew,
            due: job.ask.due.min(own),
            exclusive_connection: !harmless || !s.parallel_attempts,

            send_by: if get.send_by == 0 { Micros::MAX } else { get.send_by },
            decided_at: now,
            epoch,
            client_request: job.ask.clone(),
        }
    }
}

/// Hands the one final answer to the front; a `Reply` can be used once only.
pub mod relay {
    use super::accounting::{Counter, Counters};
    use crate::{FinalAnswer, Reply};

    /// Counts the answer and hands it over.
    ///
    /// ```
    /// use std::{cell::Cell, rc::Rc};
    /// use threadward_core::{stages::relay::answer, Counter, Counters, FinalAnswer};
    ///
    /// let (mut counters, got) = (Counters::default(), Rc::new(Cell::new(None)));
    /// let to = got.clone();
    /// answer(&mut counters, Box::new(move |last| to.set(Some(last))), FinalAnswer::Failed);
    /// assert_eq!((got.take(), counters.line()), (Some(FinalAnswer::Failed), "answersFailed=1".into()));
    /// ```
    pub fn answer(counters: &mut Counters, reply: Reply, last: FinalAnswer) {
        counters.add(match &last {
            FinalAnswer::Served(p) if p.unchanged => Counter::Unchanged,
            FinalAnswer::Served(_) => Counter::Served,
            FinalAnswer::Refused { .. } => Counter::Refused,
            FinalAnswer::Failed => Counter::Failed,
        });
        reply(last);
    }
}

/// Counts what is taken in, sent and answered.
pub mod accounting {
    use crate::Micros;
    use nickelgate::Outcome;

    macro_rules! counters {
        ($($name:ident $text:literal,)*) => {
            /// What is counted. The order is public: it is that of the management tables; add at the end.
            #[derive(Clone, Copy, Debug, PartialEq, Eq)]
            pub enum Counter { $(#[doc = concat!("`", $text, "`")] $name,)* }
            impl Counter {
                /// All of them, in their public order.
                pub const ALL: &'static [Counter] = &[$(Counter::$name,)*];
                /// Its name in the management tables and the log.
                pub fn name(self) -> &'static str {
                    match self { $(Counter::$name => $text,)* }
                }
            }
        };
    }
    counters! {
        Taken "requestsTaken", Served "answersServed", Unchanged "answersUnchanged",
        Refused "answersRefused", Failed "answersFailed", Left "clientsLeft", Unsent "answersUnsent",
        Sent "attemptsSent", EndOk "endsOk", EndMiss "endsMiss", EndError "endsError",
        EndRefused "endsRefused", EndTimeout "endsTimeout", EndConnect "endsConnectFailed",
        EndReset "endsReset", EndCancelled "endsCancelled", EndMoot "endsMoot", LateEnds "endsLate",
        Lists "listChanges", Purges "purges", PeerMessages "peerMessages", PeerDropped "peerDropped",
        Accepted "connectionsAccepted", TurnedAway "connectionsTurnedAway", Malformed "framesMalformed",
        Unusable "requestsUnusable", Opened "cacheConnectionsOpened", Broken "cacheConnectionsBroken",
        BulletinLosses "bulletinLosses", Panics "panics", ServedMillis "servedMilliseconds",
        LinksBad "linksBad", LinksExpired "linksExpired", LinksReplayed "linksReplayed",
        LinksElsewhere "linksElsewhere", LinksRegisterFull "linksRegisterFull",
        ManagerAnswered "managerAnswered", ManagerRefused "managerRefused",
        ManagerMalformed "managerMalformed", ManagerCommunity "managerCommunity",
        Reloads "reloads", Evicted "connectionsEvicted", Overdue "connectionsOverdue",
        Stalled "cacheConnectionsStalled",
        GossipSent "gossipSent",
        GossipBytes "gossipBytes",
        GossipReceived "gossipReceived",
        GossipSize "gossipDroppedSize",
        GossipSource "gossipDroppedSource",
        GossipMalformed "gossipDroppedMalformed",
        GossipKey "gossipDroppedKey",
        GossipReplayed "gossipDroppedReplayed",
        GossipOld "gossipDroppedOld",
        GossipUnproven "gossipDroppedUnproven",
        GossipUnasked "gossipDroppedUnasked",
        GossipFlood "gossipDroppedFlood",
        GossipForged "gossipDroppedForged",
        GossipWithheld "gossipWithheld",
        GossipConflicts "gossipConflicts",
        GossipDoubts "gossipDoubts",
        GossipHelped "gossipSkipsHelped",
        GossipProbes "gossipProbes",
        DoorCalls "doorCalls",
        DoorRefused "doorRefused",
        ServersOut "serversTakenOut",
        ServersBack "serversCalledBack",
        GaveWay "gaveWay",
        LoadProbes "loadProbes",
        BudgetForged "budgetForged",
        BudgetLapsed "budgetLapsed",
        BudgetElected "budgetElected",
        BudgetBytes "budgetBytes",
        BudgetMalformed "budgetMalformed",
        ZoneMoves "zoneMoves",
        ZoneDecided "zoneDecided",
        ZoneLeaves "zoneLeaves",
        ZoneKept "zoneKept",
        ZoneRefused "zoneRefused",
        ZoneForged "zoneForged",
        ZoneMalformed "zoneMalformed",
        ZoneOld "zoneOld",
        ZoneUnvouched "zoneUnvouched",
        ZoneBytes "zoneBytes",
        BudgetRegionElected "budgetRegionElected",
        BudgetSiteElected "budgetSiteElected",
        BudgetForwarded "budgetForwarded",
        BudgetDropped "budgetDropped",
        WithheldClientGone "withheldClientGone",
        WithheldServerOut "withheldServerOut",
        WithheldOutdated "withheldOutdated",
        WithheldWindowOver "withheldWindowOver",
        RefusedAdmission "refusedAdmission",
        RefusedClosing "refusedClosing",
        ClosedByClient "closedByClient",
        ClosedUntaken "closedUntaken",
        ClosedDrained "closedDrained",
        CallsRetried "callsRetried",
    }

    /// All counters, from the start on.
    ///
    /// ```
    /// use threadward_core::{Counter, Counters};
    ///
    /// let mut c = Counters::default();
    /// c.add(Counter::Taken);
    /// c.add(Counter::Taken);
    /// c.set(Counter::GossipSent, 5);
    /// assert_eq!((c.get(Counter::Taken), c.get(Counter::Served)), (2, 0));
    /// assert_eq!(c.line(), "requestsTaken=2 gossipSent=5");
    /// ```
    #[derive(Clone, Debug)]
    pub struct Counters([u64; Counter::ALL.len()]);

    impl Default for Counters {
        fn default() -> Self {
            Counters([0; Counter::ALL.len()])
        }
    }

    impl Counters {
        /// One more.
        pub fn add(&mut self, c: Counter) {
            self.0[c as usize] += 1;
        }
        /// Takes over a number that is counted elsewhere.
        pub fn set(&mut self, c: Counter, n: u64) {
            self.0[c as usize] = n;
        }
        /// How many so far.
        pub fn get(&self, c: Counter) -> u64 {
            self.0[c as usize]
        }
        /// One line: `name=value` for all that is not zero.
        pub fn line(&self) -> String {
            let shown = Counter::ALL.iter().filter(|c| self.get(**c) > 0);
            shown.map(|c| format!("{}={}", c.name(), self.get(*c))).collect::<Vec<_>>().join(" ")
        }
    }

    /// A request was taken in.
    pub fn count_accepted(c: &mut Counters) {
        c.add(Counter::Taken);
    }

    /// A request was served, after so many microseconds.
    pub fn add_service_time(c: &mut Counters, spent: Micros) {
        c.0[Counter::ServedMillis as usize] += spent / 1000;
    }

    /// An attempt ended so.
    pub fn count_end(c: &mut Counters, outcome: Outcome) {
        c.add(match outcome {
            Outcome::Ok => Counter::EndOk,
            Outcome::Miss => Counter::EndMiss,
            Outcome::Error => Counter::EndError,
            Outcome::Refused => Counter::EndRefused,
            Outcome::Timeout => Counter::EndTimeout,
            Outcome::ConnectFailed => Counter::EndConnect,
            Outcome::Reset => Counter::EndReset,
            Outcome::Cancelled => Counter::EndCancelled,
            Outcome::NotSent => Counter::EndMoot,
        });
    }
}
