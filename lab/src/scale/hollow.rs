//! One hollow proxy: the control code with synthetic demand and evidence, and no data path.
use super::report::{Part, Role};
use nickelgate::Micros;
use threadward_budgets::Budgets;

/// Messages to send: to which place, and the bytes.
pub type Out = Vec<(u16, Vec<u8>)>;

/// The control code of one process, in one or two parts that share the process's socket.
pub trait Control {
    /// Its parts, which are measured apart.
    const PARTS: &'static [Part];

    /// Carries out what is due in a part.
    fn tick(&mut self, part: usize, now: Micros, out: &mut Out);
    /// When a part has something to do next.
    fn next_due(&self, part: usize) -> Micros;
    /// Which part a message belongs to.
    fn part_of(bytes: &[u8]) -> usize;
    /// Takes a message.
    fn receive(&mut self, part: usize, now: Micros, from: u16, bytes: &[u8], out: &mut Out);
    /// What it may use of the first budget now, in units.
    fn share(&mut self, now: Micros) -> u32;
    /// What it does for others now.
    fn role(&self, now: Micros) -> Role;
    /// Whether it runs with what the whole fleet decided, as far as it can know.
    fn settled(&self, _now: Micros) -> bool {
        true
    }
}

/// A proxy of the star: one of the voters divides for all.
pub struct StarProxy {
    budgets: Budgets,
    votes: bool,
}

impl StarProxy {
    /// It wants all of every budget.
    pub fn new(budgets: Budgets, votes: bool) -> StarProxy {
        StarProxy { budgets, votes }
    }
}

impl Control for StarProxy {
    const PARTS: &'static [Part] = &[Part::Budgets];

    fn tick(&mut self, _: usize, now: Micros, out: &mut Out) {
        self.budgets.tick(now, out);
    }
    fn next_due(&self, _: usize) -> Micros {
        self.budgets.next_due()
    }
    fn part_of(_: &[u8]) -> usize {
        0
    }
    fn receive(&mut self, _: usize, now: Micros, _: u16, bytes: &[u8], out: &mut Out) {
        self.budgets.receive(now, bytes, out);
    }
    fn share(&mut self, now: Micros) -> u32 {
        self.budgets.share(now, 0)
    }
    fn role(&self, now: Micros) -> Role {
        match (self.budgets.grants(now), self.votes) {
            (true, _) => Role::Leader,
            (_, true) => Role::Voter,
            _ => Role::Proxy,
        }
    }
}
