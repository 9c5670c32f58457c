//! One proxy's part in the groups of its site, its region and the fleet.
use crate::settings::{Settings, SettingsError};
use crate::shared::{Counters, SharedBudgets};
use crate::topology::Level;
use nickelgate::Micros;
use threadward_budgets::Out;

/// One proxy's part in the tree: a member of its site's group and, while it leads one, of the group above. It does
/// nothing by itself: the caller brings the time and messages, and sends what it is given.
pub struct ControlTree {
    counters: Counters,
    next_due: Micros,
}

impl ControlTree {
    /// `entropy` has to differ with every start.
    ///
    /// # Errors
    /// What is wrong with the settings.
    pub fn new(now: Micros, settings: Settings, entropy: [u8; 32]) -> Result<ControlTree, SettingsError> {
        settings.check()?;
        let _ = entropy;
        Ok(ControlTree { counters: Counters::default(), next_due: now })
    }

    /// Whether this process leads its group of that level now.
    pub fn leads(&self, now: Micros, level: Level) -> bool {
        let _ = (now, level);
        false
    }
}

impl SharedBudgets for ControlTree {
    fn share(&mut self, _now: Micros, _budget: usize) -> u32 {
        0
    }
    fn want(&mut self, _budget: usize, _units: u32) {}
    fn leased(&self, _now: Micros) -> bool {
        false
    }
    fn divides(&self, now: Micros) -> bool {
        self.leads(now, Level::Fleet)
    }
    fn next_due(&self) -> Micros {
        self.next_due
    }
    fn tick(&mut self, now: Micros, _out: &mut Out) {
        self.next_due = now + 1_000_000;
    }
    fn receive(&mut self, _now: Micros, _message: &[u8], _out: &mut Out) {}
    fn leave(&mut self, _out: &mut Out) {}
    fn counters(&self) -> Counters {
        self.counters
    }
}
