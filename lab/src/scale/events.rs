//! The events that a fleet of the target's size meets: restarts, losses, cuts and starts. Purges and changes
//! of configuration do not affect budgets and zones; purges are measured in `discovery.rs`.
use super::fleet::{Fleet, MILLISECOND, SECOND};
use super::hollow::Control;
use super::layout::Layout;
use super::report::Role;
use super::target::Target;
use nickelgate::Micros;

/// What happens to a fleet while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Nothing happens.
    Rest,
    /// Processes are restarted at the target's rate.
    Restarts,
    /// Processes are restarted at ten times the target's rate.
    RestartsTenfold,
    /// The machine of the coordinator is lost.
    MachineLost,
    /// The coordinator's rack is lost: all proxies of its site.
    RackLost,
    /// A zone is lost, with the coordinator in it.
    ZoneLost,
    /// A region is cut off from all others.
    RegionCut,
    /// All processes start at once.
    StartAll,
}

impl FleetEvent {
    /// All events, in the order in which one fleet meets them. The last one begins with a new fleet.
    pub const ALL: [FleetEvent; 8] = [
        FleetEvent::Rest,
        FleetEvent::Restarts,
        FleetEvent::RestartsTenfold,
        FleetEvent::MachineLost,
        FleetEvent::RackLost,
        FleetEvent::ZoneLost,
        FleetEvent::RegionCut,
        FleetEvent::StartAll,
    ];

    /// Returns the event's name in the report.
    pub fn name(self) -> &'static str {
        match self {
            FleetEvent::Rest => "rest",
            FleetEvent::Restarts => "restarts",
            FleetEvent::RestartsTenfold => "restarts_tenfold",
            FleetEvent::MachineLost => "machine_lost",
            FleetEvent::RackLost => "rack_lost",
            FleetEvent::ZoneLost => "zone_lost",
            FleetEvent::RegionCut => "region_cut",
            FleetEvent::StartAll => "start_all",
        }
    }

    /// Returns the virtual time for which the event is measured.
    pub fn window(self) -> Micros {
        match self {
            FleetEvent::Rest | FleetEvent::Restarts | FleetEvent::RestartsTenfold => 10 * SECOND,
            _ => 8 * SECOND,
        }
    }

    /// Returns whether the time until all proxies have their part again is measured.
    pub fn spreads(self) -> bool {
        matches!(
            self,
            FleetEvent::MachineLost | FleetEvent::RackLost | FleetEvent::ZoneLost | FleetEvent::StartAll
        )
    }

    /// Returns whether a fleet of this layout is large enough for the event: most of it has to remain.
    pub fn fits(self, layout: &Layout, target: &Target) -> bool {
        match self {
            FleetEvent::RackLost => layout.sites >= 4,
            FleetEvent::ZoneLost => layout.proxies >= 3 * target.failures.zone as usize,
            FleetEvent::RegionCut => layout.regions >= 3,
            _ => true,
        }
    }

    /// Returns the proxies that are lost or cut off.
    pub fn affected<C: Control>(self, fleet: &Fleet<C>, layout: &Layout, target: &Target) -> Vec<usize> {
        let leader = fleet.first_with_role(Role::Leader).unwrap_or(0);
        match self {
            FleetEvent::MachineLost => vec![leader],
            FleetEvent::RackLost => layout.of_site(layout.site(leader)),
            FleetEvent::ZoneLost => {
                let size = target.failures.zone as usize;
                let first = leader.min(layout.proxies - size);
                (first..first + size).collect()
            }
            // A region without the coordinator: the region loses its coordinator, the rest of the fleet loses
            // little.
            FleetEvent::RegionCut => {
                layout.of_region((layout.region(leader) + layout.regions / 2) % layout.regions)
            }
            _ => Vec::new(),
        }
    }

    /// Plays the event and runs the fleet through its window. Returns false if the real-time limit was
    /// reached first.
    pub fn play<C: Control>(self, fleet: &mut Fleet<C>, affected: &[usize], target: &Target) -> bool {
        match self {
            FleetEvent::Rest => fleet.run(self.window()),
            FleetEvent::Restarts => restart_evenly(fleet, target, 1.0, self.window()),
            FleetEvent::RestartsTenfold => restart_evenly(fleet, target, 10.0, self.window()),
            FleetEvent::MachineLost | FleetEvent::RackLost | FleetEvent::ZoneLost => {
                affected.iter().for_each(|place| fleet.kill(*place));
                fleet.run(self.window())
            }
            FleetEvent::RegionCut => {
                fleet.cut(affected);
                fleet.run(self.window())
            }
            FleetEvent::StartAll => {
                (0..fleet.size()).for_each(|place| fleet.start(place));
                fleet.run(self.window())
            }
        }
    }
}

/// Restarts processes at `multiple` times the target's daily rate scaled to the fleet, evenly over the window
/// and at least one. Each is down for 200 ms. Returns false if the real-time limit was reached first.
fn restart_evenly<C: Control>(fleet: &mut Fleet<C>, target: &Target, multiple: f64, window: Micros) -> bool {
    let scaled = target.failures.restarts_per_day * fleet.size() as f64 / f64::from(target.fleet.proxies);
    let restarts = (scaled * multiple * window as f64 / (86_400.0 * SECOND as f64)).ceil().max(1.0) as u64;
    let downtime = 200 * MILLISECOND;
    let pause = (window / restarts).saturating_sub(downtime);
    for restart in 0..restarts {
        // A different process each time, far from the one before, and not the coordinator.
        let leader = fleet.first_with_role(Role::Leader).unwrap_or(0);
        let index = (leader + 1 + restart as usize * 37) % fleet.size();
        fleet.kill(index);
        if !fleet.run(downtime) {
            return false;
        }
        fleet.start(index);
        if !fleet.run(pause) {
            return false;
        }
    }
    true
}
