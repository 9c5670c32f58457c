//! One proxy's part in one group.
use crate::division::{group_amounts, GroupAmounts};
use crate::settings::{Settings, SettingsError};
use crate::speakers::Speakers;
use crate::topology::Level;
use nickelgate::Micros;
use threadward_budgets::{Budgets, Group};

/// A region's leases last so many times a site's, the fleet's so many: one from above outlasts several of those that are
/// granted out of it.
const REGION_LEASE_FACTOR: Micros = 2;
const FLEET_LEASE_FACTOR: Micros = 4;

/// The instance of one group, as the member that this process speaks for.
pub struct Member {
    pub level: Level,
    pub group: u16,
    pub lease: Micros,
    /// The term of leadership below during which it speaks for its seat.
    pub term: u64,
    /// What it divides, if it leads, without any lease from above.
    pub own_pools: Vec<u32>,
    pub instance: Budgets,
    pub speakers: Speakers,
}

impl Member {
    /// A member that begins now: nothing of an earlier instance counts for it.
    pub fn new(
        now: Micros,
        settings: &Settings,
        level: Level,
        term: u64,
        entropy: [u8; 32],
    ) -> Result<Member, SettingsError> {
        let topology = &settings.topology;
        let group = topology.group_of(settings.proxy_index, level);
        let GroupAmounts { pools, member_own } = group_amounts(settings, level);
        let lease = settings.lease * lease_factor(level);
        let own_pools = pools.clone();
        let group_settings = Group {
            seat: topology.seat_of(settings.proxy_index, level),
            members: topology.members(level, group),
            voters: topology.voters(level, group),
            lease,
            pools,
            floors: member_own,
            relays: level != Level::Site,
        };
        let instance = Budgets::in_group(now, group_settings, entropy).map_err(SettingsError::Group)?;
        Ok(Member { level, group, lease, term, own_pools, instance, speakers: Speakers::default() })
    }

    /// The present term of this member's leadership of its group, if it leads.
    pub fn leading_term(&self, now: Micros) -> Option<u64> {
        self.instance.is_coordinator(now).then_some(self.instance.counters.times_elected)
    }

    /// Lets this leader divide what it has for good and what `upper` holds from the group above, and lets `upper` take a
    /// newer lease once what was handed on fits into that.
    pub fn draw_supply(&mut self, now: Micros, upper: &mut Budgets) {
        let budgets = self.own_pools.len();
        let handed_on: Vec<u32> = (0..budgets).map(|budget| self.instance.granted(now, budget)).collect();
        upper.adopt_pending(now, &handed_on, &self.own_pools);
        // Near its end a lease from above would only allow leases too short to be renewed: what is the group's own is then
        // divided without it.
        let useful = |until: Micros| until.saturating_sub(now) >= self.lease / 2;
        match upper.divisible(now).filter(|leased| useful(leased.until)) {
            Some(leased) => {
                let both = self.own_pools.iter().zip(&leased.share);
                let pools: Vec<u32> = both.map(|(own, extra)| own.saturating_add(*extra)).collect();
                self.instance.set_supply(&pools, leased.until);
            }
            None => self.draw_own(),
        }
    }

    /// Lets this leader divide what it has for good alone.
    pub fn draw_own(&mut self) {
        self.instance.set_supply(&self.own_pools, Micros::MAX);
    }
}

fn lease_factor(level: Level) -> Micros {
    match level {
        Level::Site => 1,
        Level::Region => REGION_LEASE_FACTOR,
        Level::Fleet => FLEET_LEASE_FACTOR,
    }
}
