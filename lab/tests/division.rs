//! The incremental division against the plain one: the same questions to both, over random schedules. What each ledger
//! says that it granted is checked against a record of the answers, and the fair part against a sort.
use nickelgate::Micros;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use threadward_budgets::grant::{Grant, Ledger, Request, Supply};
use threadward_budgets::wire::Author;
use threadward_budgets::Terms;
use threadward_lab::plain_division::{request_nanoseconds, PlainLedger};

const LEASE: Micros = 1_000_000;
const BUDGETS: usize = 2;
const PROXIES: u16 = 12;
const CASES: u32 = 400;

#[derive(Clone, Debug)]
enum Step {
    /// A holder asks; whether the answer is lost.
    Ask {
        place: u16,
        lost: bool,
    },
    /// All ask in turn, and hold what they got before.
    Round,
    /// What a holder will want with its next question.
    Want {
        place: u16,
        budget: usize,
        units: u32,
    },
    /// A process starts anew; the former life's grants are still out.
    Restart {
        place: u16,
    },
    /// A former life asks once more.
    Former {
        place: u16,
    },
    Leave {
        place: u16,
    },
    Wait {
        span: Micros,
    },
    Pool {
        budget: usize,
        units: u32,
    },
}

fn lives_and_losses() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..PROXIES, prop::bool::weighted(0.2)).prop_map(|(place, lost)| Step::Ask { place, lost }),
        4 => Just(Step::Round),
        1 => (0..PROXIES).prop_map(|place| Step::Restart { place }),
        1 => (0..PROXIES).prop_map(|place| Step::Former { place }),
        1 => (0..PROXIES).prop_map(|place| Step::Leave { place }),
        2 => (0..LEASE / 3).prop_map(|span| Step::Wait { span }),
        1 => (0..3 * LEASE).prop_map(|span| Step::Wait { span }),
    ]
}

fn wants() -> impl Strategy<Value = Step> {
    let units = prop_oneof![4 => 0..40u32, 2 => 0..400u32, 1 => Just(u32::MAX)];
    (0..PROXIES, 0..BUDGETS, units).prop_map(|(place, budget, units)| Step::Want { place, budget, units })
}

fn pools() -> impl Strategy<Value = Step> {
    let units = prop_oneof![6 => 0..200u32, 1 => Just(0), 1 => Just(u32::MAX)];
    (0..BUDGETS, units).prop_map(|(budget, units)| Step::Pool { budget, units })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(37),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What one holder's asker knows.
#[derive(Clone)]
struct Asker {
    life: u64,
    question: u32,
    holds: u32,
    wants: Vec<u32>,
}

/// A record of what a ledger has to know of one place.
#[derive(Clone, Default)]
struct Known {
    life: u64,
    question: u32,
    heard: Micros,
    wants: Vec<u32>,
    /// Of each budget, whether it wanted more than the even part, or the whole pool, at its own last question.
    in_line: Vec<bool>,
    grants: Vec<Given>,
}

#[derive(Clone)]
struct Given {
    life: u64,
    question: u32,
    until: Micros,
    /// By the plain ledger and by the incremental one.
    shares: [Vec<u32>; 2],
}

impl Known {
    /// What counts of it by one of the ledgers: of each life but one the largest.
    fn counted(&self, which: usize, budget: usize, but: Option<u64>) -> u64 {
        let mut lives: BTreeMap<u64, u32> = BTreeMap::new();
        for given in self.grants.iter().filter(|given| Some(given.life) != but) {
            let largest = lives.entry(given.life).or_default();
            *largest = given.shares[which][budget].max(*largest);
        }
        lives.values().map(|units| u64::from(*units)).sum()
    }
}

/// What was seen over a schedule.
#[derive(Default)]
struct Seen {
    answers: u32,
    /// Answers after the first moment at which some holder had crossed the even part by the questions of others.
    stale: u32,
    /// The largest difference of two shares that were not cut short, and of any two.
    unequal: u32,
    unequal_when_short: u32,
}

struct Trial {
    now: Micros,
    terms: Terms,
    pools: Vec<u32>,
    plain: PlainLedger,
    incremental: Ledger,
    askers: Vec<Asker>,
    known: BTreeMap<u16, Known>,
    /// A holder had crossed the even part by the questions of others.
    was_stale: bool,
    seen: Seen,
}

impl Trial {
    fn new(pools: Vec<u32>) -> Trial {
        let terms = Terms { lease: LEASE, proxies: PROXIES, pools: pools.clone(), floors: vec![0; BUDGETS] };
        let asker = |_| Asker { life: 1, question: 0, holds: 0, wants: vec![u32::MAX; BUDGETS] };
        Trial {
            now: 1,
            plain: PlainLedger::new(1, &terms),
            incremental: Ledger::new(1, &terms),
            terms,
            pools,
            askers: (0..PROXIES).map(asker).collect(),
            known: BTreeMap::new(),
            was_stale: false,
            seen: Seen::default(),
        }
    }

    fn carry_out(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask { place, lost } => self.asks(place, lost)?,
            Step::Round => {
                for place in 0..PROXIES {
                    self.asks(place, false)?;
                }
            }
            Step::Want { place, budget, units } => self.askers[usize::from(place)].wants[budget] = units,
            Step::Restart { place } => {
                let asker = &mut self.askers[usize::from(place)];
                (asker.life, asker.question, asker.holds) = (asker.life + 1, 0, 0);
            }
            Step::Former { place } => {
                let Asker { life, question, wants, .. } = self.askers[usize::from(place)].clone();
                self.question(Author { index: place, incarnation: life - 1 }, question + 1, 0, &wants)?;
            }
            Step::Leave { place } => self.leaves(place),
            Step::Wait { span } => self.now += span,
            Step::Pool { budget, units } => self.pools[budget] = units,
        }
        self.sums_are_right()
    }

    fn leaves(&mut self, place: u16) {
        let life = self.askers[usize::from(place)].life;
        self.plain.record_leave(Author { index: place, incarnation: life });
        self.incremental.record_leave(Author { index: place, incarnation: life });
        if let Some(known) = self.known.get_mut(&place) {
            known.grants.retain(|given| given.life != life);
            if known.life == life {
                known.wants.fill(0);
                known.in_line.fill(false);
            }
        }
    }

    fn asks(&mut self, place: u16, lost: bool) -> Result<(), TestCaseError> {
        self.now += 1_000;
        let asker = &mut self.askers[usize::from(place)];
        asker.question += 1;
        let Asker { life, question, holds, wants } = asker.clone();
        let answered = self.question(Author { index: place, incarnation: life }, question, holds, &wants)?;
        if answered && !lost {
            self.askers[usize::from(place)].holds = question;
        }
        Ok(())
    }

    /// One question to both ledgers; whether they answered.
    fn question(
        &mut self,
        by: Author,
        question: u32,
        holds: u32,
        wants: &[u32],
    ) -> Result<bool, TestCaseError> {
        self.forget();
        let before = [self.granted(0), self.granted(1)];
        let pools = self.pools.clone();
        let supply = Supply { pools: &pools, until: self.now + 2 * LEASE };
        let request = Request { by, request_id: question, held_request: holds, demands: wants };
        let plain = self.plain.answer(self.now, &request, &supply, &self.terms);
        let incremental = self.incremental.answer(self.now, &request, &supply, &self.terms);
        let was_heard = self.hear(by, question, holds, wants);
        prop_assert_eq!(plain.is_some(), incremental.is_some());
        let (Some(plain), Some(incremental)) = (plain, incremental) else { return Ok(false) };
        prop_assert!(was_heard, "an old question was answered");
        prop_assert_eq!(plain.duration, incremental.duration);
        self.compare(by, &plain, &incremental)?;
        let until = self.now + self.terms.lengthened(LEASE);
        let shares = [plain.share, incremental.share];
        let given = Given { life: by.incarnation, question, until, shares };
        self.known.get_mut(&by.index).unwrap().grants.push(given);
        for (which, before) in before.iter().enumerate() {
            for (budget, before) in before.iter().enumerate() {
                let most = u64::from(pools[budget]).max(*before);
                let now = self.granted(which)[budget];
                prop_assert!(now <= most, "ledger {which}: {now} granted of {most}");
            }
        }
        Ok(true)
    }

    /// Two shares of one question: equal while no holder ever crossed the even part by the questions of others; else
    /// apart by one unit at most, or by what the ledgers had free where one of them was short.
    fn compare(&mut self, by: Author, plain: &Grant, incremental: &Grant) -> Result<(), TestCaseError> {
        self.seen.answers += 1;
        self.seen.stale += u32::from(self.was_stale);
        for budget in 0..BUDGETS {
            let shares = [plain.share[budget], incremental.share[budget]];
            let apart = shares[0].abs_diff(shares[1]);
            let free = [0, 1].map(|which| self.free(which, budget, by));
            let short = shares[0] == free[0] || shares[1] == free[1];
            let most = if short { free[0].abs_diff(free[1]).max(1) } else { 1 };
            prop_assert!(apart <= most, "{shares:?} of {free:?} free");
            if !self.was_stale {
                prop_assert_eq!(shares[0], shares[1], "budget {} at {}", budget, self.now);
            }
            let largest = if short { &mut self.seen.unequal_when_short } else { &mut self.seen.unequal };
            *largest = apart.max(*largest);
        }
        Ok(())
    }

    /// What a ledger may still hand to this life.
    fn free(&self, which: usize, budget: usize, by: Author) -> u32 {
        let but = |place: u16| (place == by.index).then_some(by.incarnation);
        let others: u64 =
            self.known.iter().map(|(place, known)| known.counted(which, budget, but(*place))).sum();
        u64::from(self.pools[budget]).saturating_sub(others) as u32
    }

    fn granted(&self, which: usize) -> Vec<u64> {
        let sum = |budget| self.known.values().map(|known| known.counted(which, budget, None)).sum();
        (0..BUDGETS).map(sum).collect()
    }

    fn forget(&mut self) {
        let now = self.now;
        self.known.values_mut().for_each(|known| known.grants.retain(|given| now < given.until));
        self.known.retain(|_, known| !known.grants.is_empty() || now < known.heard + LEASE);
    }

    /// Notes a question; whether it is newer than those before.
    fn hear(&mut self, by: Author, question: u32, holds: u32, wants: &[u32]) -> bool {
        let known = self.known.entry(by.index).or_default();
        if known.heard > 0 && known.life == by.incarnation && question <= known.question {
            return false;
        }
        (known.life, known.question, known.heard) = (by.incarnation, question, self.now);
        known.wants = wants.to_vec();
        known.grants.retain(|given| given.life != by.incarnation || given.question >= holds);
        for budget in 0..BUDGETS {
            let (pool, level) = (self.pools[budget], self.level(budget));
            let is_above = |want: u32| level.is_some_and(|level| want > level);
            for (place, known) in &mut self.known {
                let want = known.wants[budget];
                known.in_line.resize(BUDGETS, false);
                if *place == by.index {
                    known.in_line[budget] = is_above(want) || want > 0 && want >= pool;
                }
                // Without an even part nobody is asked for its place in line.
                self.was_stale |= level.is_some() && known.in_line[budget] != is_above(want);
            }
        }
        true
    }

    /// The largest even part, by sorting.
    fn level(&self, budget: usize) -> Option<u32> {
        let mut wants: Vec<u32> = self.known.values().map(|known| known.wants[budget]).collect();
        wants.retain(|want| *want > 0);
        wants.sort_unstable();
        let mut left = self.pools[budget];
        for (at, want) in wants.iter().enumerate() {
            let even = left / (wants.len() - at) as u32;
            if *want > even {
                return Some(even);
            }
            left -= want;
        }
        None
    }

    /// Both ledgers know what they granted and what is wanted.
    fn sums_are_right(&mut self) -> Result<(), TestCaseError> {
        self.forget();
        let (plain, incremental) = (self.granted(0), self.granted(1));
        for budget in 0..BUDGETS {
            let said = u64::from(self.plain.granted(self.now, budget, &self.terms));
            prop_assert_eq!(said, plain[budget], "the plain ledger's sum");
            let said = u64::from(self.incremental.granted(self.now, budget, &self.terms));
            prop_assert_eq!(said, incremental[budget], "the incremental ledger's sum");
            let wanted: u64 = self.known.values().map(|known| u64::from(known.wants[budget])).sum();
            prop_assert_eq!(self.plain.total_demand(budget), wanted);
            prop_assert_eq!(self.incremental.total_demand(budget), wanted);
        }
        Ok(())
    }
}

fn play(pools: Vec<u32>, steps: &[Step]) -> Result<Seen, TestCaseError> {
    let mut trial = Trial::new(pools);
    steps.iter().try_for_each(|step| trial.carry_out(step))?;
    Ok(trial.seen)
}

/// Runs so many schedules from a fixed seed, and adds up what was seen.
fn play_all(steps: impl Strategy<Value = Step>) -> Seen {
    let all = std::cell::RefCell::new(Seen::default());
    let schedules = (prop::collection::vec(0..200u32, BUDGETS), prop::collection::vec(steps, 1..150));
    let played = proptest::test_runner::TestRunner::new(config()).run(&schedules, |(pools, steps)| {
        let seen = play(pools, &steps)?;
        let mut all = all.borrow_mut();
        all.answers += seen.answers;
        all.stale += seen.stale;
        all.unequal = seen.unequal.max(all.unequal);
        all.unequal_when_short = seen.unequal_when_short.max(all.unequal_when_short);
        Ok(())
    });
    played.unwrap_or_else(|failure| panic!("{failure}"));
    all.into_inner()
}

/// The usual case: whatever becomes of lives, messages and pools, the incremental ledger answers as the plain one.
#[test]
fn where_all_want_everything_both_ledgers_answer_the_same() {
    let seen = play_all(prop_oneof![9 => lives_and_losses(), 1 => pools()]);
    assert_eq!(seen.stale, 0, "nobody crosses an even part that all are above");
    assert!(seen.answers > 50_000, "only {} answers", seen.answers);
}

/// With wants and pools that change: the same answers until some holder has crossed the even part by the questions of
/// others, and from there on as near as the line for units over allows. No sum passes a pool in either.
#[test]
fn where_wants_and_pools_change_answers_are_equal_or_a_unit_apart() {
    let seen = play_all(prop_oneof![8 => lives_and_losses(), 3 => wants(), 1 => pools()]);
    let equal = seen.answers - seen.stale;
    println!(
        "{equal} answers had to be equal, {} as near as the line allows: apart by {} at most, {} where a ledger was short",
        seen.stale, seen.unequal, seen.unequal_when_short
    );
    assert!(equal > 5_000 && seen.stale > 5_000, "{equal} and {} answers", seen.stale);
}

/// Wants that change while all pools stay: a sum never passes its pool.
#[test]
fn where_only_wants_change_no_sum_passes_the_pool() {
    let seen = play_all(prop_oneof![8 => lives_and_losses(), 3 => wants()]);
    assert!(seen.answers > 50_000, "only {} answers", seen.answers);
}

#[test]
fn the_cost_of_a_question_is_measured_for_both() {
    let few = request_nanoseconds(30, 100);
    assert!(few.plain.is_some_and(|cost| cost > 0) && few.incremental > 0, "{few:?}");
    assert_eq!(request_nanoseconds(3_001, 10).plain, None, "not measured beyond 3000 holders");
}
