//! One proxy's membership in one group.
use crate::division::{group_amounts, GroupAmounts};
use crate::settings::{Settings, SettingsError};
use crate::speakers::Speakers;
use crate::topology::Level;
use nickelgate::Micros;
use threadward_budgets::{Budgets, Group};

/// The lease time of a region's group, as a multiple of that of a site's group. A lease from above has to
/// outlast several of those that are granted out of it.
const REGION_LEASE_FACTOR: Micros = 2;
/// The lease time of the fleet's group, as a multiple of that of a site's group, for the same reason.
const FLEET_LEASE_FACTOR: Micros = 4;

/// The budget instance of one group, run on behalf of the seat that this process represents.
pub struct Member {
    /// The level of the group.
    pub level: Level,
    /// The index of the group at its level.
    pub group: u16,
    /// The lease time of the group.
    pub lease: Micros,
    /// The term of leadership in the group below during which this process represents its seat.
    pub term: u64,
    /// The units of each budget that it divides without a lease from above, if it leads.
    pub own_pools: Vec<u32>,
    pub instance: Budgets,
    /// The processes that represent the other seats.
    pub speakers: Speakers,
}

impl Member {
    /// Creates a member that begins now and has no state of an earlier instance.
    pub fn new(
        now: Micros,
        settings: &Settings,
        level: Level,
        term: u64,
        entropy: [u8; 32],
    ) -> Result<Member, SettingsError> {
        let topology = &settings.topology;
        let group = topology.group_of(settings.proxy_index, level);
        let GroupAmounts { pools, member_floors } = group_amounts(settings, level);
        let lease = settings.lease * lease_factor(level);
        let own_pools = pools.clone();
        let group_settings = Group {
            seat: topology.seat_of(settings.proxy_index, level),
            members: topology.members(level, group),
            voters: topology.voters(level, group),
            lease,
            pools,
            floors: member_floors,
            relays: level != Level::Site,
        };
        let instance = Budgets::in_group(now, group_settings, entropy).map_err(SettingsError::Group)?;
        Ok(Member { level, group, lease, term, own_pools, instance, speakers: Speakers::default() })
    }

    /// Returns the current term in which this member leads its group, or `None` if it does not lead.
    pub fn leading_term(&self, now: Micros) -> Option<u64> {
        self.instance.is_coordinator(now).then_some(self.instance.counters.times_elected)
    }

    /// Sets what this leader divides: the units that belong to its group permanently and those that `upper`
    /// holds on lease from the group above. Also lets `upper` adopt a newer lease once the units that were
    /// granted here fit into it.
    pub fn supply_with_lease(&mut self, now: Micros, upper: &mut Budgets) {
        let budgets = self.own_pools.len();
        let granted: Vec<u32> = (0..budgets).map(|budget| self.instance.granted(now, budget)).collect();
        upper.adopt_pending(now, &granted, &self.own_pools);
        // Near its end, a lease from above would only allow leases that are too short to be renewed. The
        // group's own units are then divided without it.
        let long_enough = |until: Micros| until.saturating_sub(now) >= self.lease / 2;
        match upper.divisible(now).filter(|leased| long_enough(leased.until)) {
            Some(leased) => {
                let both = self.own_pools.iter().zip(&leased.share);
                let pools: Vec<u32> = both.map(|(own, extra)| own.saturating_add(*extra)).collect();
                self.instance.set_supply(&pools, leased.until);
            }
            None => self.supply_own_pools(),
        }
    }

    /// Sets what this leader divides to the units that belong to its group permanently.
    pub fn supply_own_pools(&mut self) {
        self.instance.set_supply(&self.own_pools, Micros::MAX);
    }
}

/// Returns the lease time of a level's groups as a multiple of that of a site's group.
fn lease_factor(level: Level) -> Micros {
    match level {
        Level::Site => 1,
        Level::Region => REGION_LEASE_FACTOR,
        Level::Fleet => FLEET_LEASE_FACTOR,
    }
}
