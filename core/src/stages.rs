//! The stages that every request passes through, one module each: intake, admission, routing, sending,
//! relaying the answer, and accounting. They translate between a client's request and the router's types. The
//! stages never wait and keep no state: the planner keeps it, and the router decides where a request goes.

/// Converts a client's request into a request of the router.
pub mod intake {
    use crate::job::Job;
    use crate::{ClientRequest, Micros, Reply};
    use nickelgate::{Request, Settings};
    use std::rc::Rc;

    /// Creates the job that the planner keeps and the request that the router is given.
    pub(crate) fn accept(
        id: u64,
        s: &Settings,
        now: Micros,
        client_request: ClientRequest,
        reply: Reply,
    ) -> (Job, Request) {
        let request = router_request(id, s, &client_request);
        (
            Job {
                client_request: Rc::new(client_request),
                reply: Some(reply),
                accepted_at: now,
                attempts: Vec::new(),
            },
            request,
        )
    }

    /// Builds the router's request from a client's request.
    pub fn router_request(id: u64, s: &Settings, client_request: &ClientRequest) -> Request {
        Request {
            id,
            class: client_request.class,
            object: client_request.object,
            expires_at: client_request.expires_at,
            group: client_request.group,
            part: client_request.part,
            size_kb: client_request.size_kb,
            marked_retry: client_request.marked_retry,
            policy: client_request.policy,
            write: s.classes.get(usize::from(client_request.class)).is_some_and(|c| c.pass_through),
            ..Request::default()
        }
    }
}

/// Admission control: turns away requests beyond the limits, of an unknown class, or with a call id that is
/// in use.
pub mod admit {
    use crate::{ClientRequest, FinalAnswer, Micros};
    use nickelgate::Settings;

    /// Limits on what may be held at the same time.
    #[derive(Clone, Copy, Debug)]
    pub struct Limits {
        /// Maximum number of unanswered requests; bounds memory and queues.
        pub max_open: usize,
        /// Maximum number of bytes held for clients, as unwritten answers and unsent bodies; bounds memory.
        pub max_bytes: usize,
        /// How long a client is told to wait before a retry when a limit is reached.
        pub retry_after: Micros,
    }

    /// What is held at present.
    #[derive(Clone, Copy, Debug)]
    pub struct Load {
        /// Unanswered requests.
        pub open: usize,
        /// Bytes held for clients.
        pub bytes: usize,
    }

    /// Checks whether a request may be processed. `id_in_use` tells whether its call id belongs to another
    /// request in progress.
    ///
    /// # Errors
    /// Returns the final answer if the request is turned away.
    ///
    /// ```
    /// use threadward_core::stages::admit::{check, Limits, Load};
    /// use threadward_core::{ClientRequest, FinalAnswer, Settings};
    ///
    /// let limits = Limits { max_open: 2, max_bytes: 100, retry_after: 500_000 };
    /// let s = Settings { classes: vec![nickelgate::Class::default()], ..Settings::default() };
    /// let request = ClientRequest { expires_at: 9_000, ..ClientRequest::default() };
    /// let admit =
    ///     |open, now, in_use| check(&limits, &s, Load { open, bytes: 0 }, now, &request, in_use);
    /// assert_eq!(admit(1, 1_000, false), Ok(()));
    /// assert_eq!(admit(2, 1_000, false), Err(FinalAnswer::Refused { retry_after: 500_000 }));
    /// let refused = Err(FinalAnswer::Refused { retry_after: 500_000 });
    /// assert_eq!(admit(1, 9_000, false), refused, "past its deadline");
    /// assert_eq!(admit(1, 1_000, true), Err(FinalAnswer::Failed));
    /// ```
    pub fn check(
        limits: &Limits,
        s: &Settings,
        load: Load,
        now: Micros,
        request: &ClientRequest,
        id_in_use: bool,
    ) -> Result<(), FinalAnswer> {
        if id_in_use || usize::from(request.class) >= s.classes.len() {
            return Err(FinalAnswer::Failed);
        }
        if load.open >= limits.max_open || load.bytes >= limits.max_bytes || now >= request.expires_at {
            return Err(FinalAnswer::Refused { retry_after: limits.retry_after });
        }
        Ok(())
    }
}

/// Translates the router's actions into orders for the planner. The decisions are made by the router.
pub mod route {
    use crate::{Addr, FinalAnswer, Micros};
    use nickelgate::{Action, Get};

    /// What the planner has to do for an action of the router.
    pub enum Order {
        /// Send an attempt.
        Send(Get),
        /// Give the request with this id its final answer.
        Answer(u64, FinalAnswer),
        /// Withdraw this attempt of the request.
        Withdraw(u64, u16),
        /// Set the router's timer with this token, to fire after this delay.
        SetTimer(u32, Micros),
        /// Ask a member for its load.
        Probe(Addr),
        /// Nothing to do.
        Nothing,
    }

    /// Returns the order for an action.
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
            // The planner is sent every change of the list anyway, so these requests for it need no action.
            Action::Track | Action::Refresh => Order::Nothing,
        }
    }
}

/// Builds an attempt and records that it is in flight.
pub mod send {
    use crate::job::Job;
    use crate::{Dispatch, Micros};
    use nickelgate::{Effect, Get, Settings};

    /// Builds the next attempt of a job and records it in the job as in flight.
    pub(crate) fn build(job: &mut Job, s: &Settings, get: &Get, now: Micros, epoch: u64) -> Dispatch {
        let retryable =
            s.classes.get(usize::from(job.client_request.class)).map(|c| c.effect) == Some(Effect::Retryable);
        let attempt = job.attempts.len() as u16;
        job.attempts.push((now, get.member, true));
        let wait_until = if get.max_wait == 0 { Micros::MAX } else { now + Micros::from(get.max_wait) };
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
            expires_at: job.client_request.expires_at.min(wait_until),
            exclusive_connection: !retryable || !s.parallel_attempts,
            send_by: if get.send_by == 0 { Micros::MAX } else { get.send_by },
            decided_at: now,
            epoch,
            client_request: job.client_request.clone(),
        }
    }
}

/// Passes the final answer to the front end. The type of `Reply` makes sure that it is called at most once.
pub mod relay {
    use super::accounting::{Counter, Counters};
    use crate::{FinalAnswer, Reply};

    /// Counts the answer and calls `reply` with it.
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

/// Counters of requests, attempts, answers and the events of the other subsystems.
pub mod accounting {
    use crate::Micros;
    use nickelgate::Outcome;

    macro_rules! counters {
        ($($name:ident $text:literal,)*) => {
            /// An event that is counted. The order of the variants is part of the management interface (it is
            /// the order of the tables there), so new variants are added at the end.
            #[derive(Clone, Copy, Debug, PartialEq, Eq)]
            pub enum Counter { $(#[doc = concat!("`", $text, "`")] $name,)* }
            impl Counter {
                /// All counters, in the order of the management tables.
                pub const ALL: &'static [Counter] = &[$(Counter::$name,)*];
                /// Returns the counter's name in the management tables and the log.
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
        EndReset "endsReset", EndCancelled "endsCancelled", EndNotSent "endsMoot", LateEnds "endsLate",
        Lists "listChanges", Purges "purges", PeerMessages "peerMessages", PeerDropped "peerDropped",
        Accepted "connectionsAccepted", TurnedAway "connectionsTurnedAway", Malformed "framesMalformed",
        Unusable "requestsUnusable", Opened "cacheConnectionsOpened", Broken "cacheConnectionsBroken",
        DiscoveryLosses "bulletinLosses", Panics "panics", ServedMillis "servedMilliseconds",
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
        GossipSuspicions "gossipDoubts",
        GossipSuspicionSkips "gossipSkipsHelped",
        GossipProbes "gossipProbes",
        AdminCommands "doorCalls",
        AdminRefused "doorRefused",
        BansSet "serversTakenOut",
        BansLifted "serversCalledBack",
        HandedOver "gaveWay",
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
        ZoneOutdated "zoneOld",
        ZoneUnconfirmed "zoneUnvouched",
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
        ClosedStalled "closedUntaken",
        ClosedDrained "closedDrained",
        CallsRetried "callsRetried",
        EventsRelayed "eventsRelayed",
    }

    /// The values of all counters since the start of the process.
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
        /// Increments a counter.
        pub fn add(&mut self, c: Counter) {
            self.0[c as usize] += 1;
        }
        /// Sets a counter to a value that is counted elsewhere.
        pub fn set(&mut self, c: Counter, n: u64) {
            self.0[c as usize] = n;
        }
        /// Returns the value of a counter.
        pub fn get(&self, c: Counter) -> u64 {
            self.0[c as usize]
        }
        /// Formats all counters that are not zero as `name=value`, on one line.
        pub fn line(&self) -> String {
            let shown = Counter::ALL.iter().filter(|c| self.get(**c) > 0);
            shown.map(|c| format!("{}={}", c.name(), self.get(*c))).collect::<Vec<_>>().join(" ")
        }
    }

    /// Counts a request that a front end handed over, before admission.
    pub fn count_accepted(c: &mut Counters) {
        c.add(Counter::Taken);
    }

    /// Adds the time that a served request took, in microseconds, to the total.
    pub fn add_service_time(c: &mut Counters, elapsed: Micros) {
        c.0[Counter::ServedMillis as usize] += elapsed / 1000;
    }

    /// Counts the end of an attempt by its outcome.
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
            Outcome::NotSent => Counter::EndNotSent,
        });
    }
}
