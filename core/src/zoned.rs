//! Zones as the planner sees them: what own traffic showed of each, and what the fleet says of it. It owns the words that
//! `zones/` and the planner share, and how a zone's state becomes what the router knows already: members that leave the
//! list, that are doubted, or that started lately. It must never decide which zone is left, nor bring back a member that
//! drains.

/// What own attempts showed of a zone in the last two seconds. Numbers stop at their type's largest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Seen {
    pub zone: u16,
    /// Attempts that ended or outlasted patience, and those of them without a good answer.
    pub tried: u16,
    pub failed: u16,
    /// Members that were tried, and those of them at which most attempts failed.
    pub members: u16,
    pub bad: u16,
    /// Attempts in the two seconds, those that are out as well.
    pub load: u16,
    /// The mean use that its members reported, in 255ths; 0: none was told.
    pub busy: u8,
}

impl Seen {
    /// Most attempts failed, at most of the members that were tried.
    pub fn fails(&self) -> bool {
        self.tried > 0 && u32::from(self.failed) * 2 > u32::from(self.tried) && self.bad * 2 > self.members
    }
}

/// How a zone may be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Use {
    #[default]
    All,
    /// Its members are in doubt: one own failure is enough.
    Doubted,
    /// As one that started lately and can do this share of what it does when warm, in thousandths.
    Part(u16),
    None,
}
