//! The events that a fleet of the target's size meets: restarts, losses, cuts and starts. Purges and changes of
//! configuration do not touch budgets and zones; `discovery.rs` has them.
use super::fleet::{Fleet, MILLISECOND, SECOND};
use super::hollow::Control;
use super::layout::Layout;
use super::report::Role;
use super::target::Target;
use nickelgate::Micros;

/// What happens to a fleet while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// Nothing.
    Rest,
    /// Restarts at the target's pace.
    Restarts,
    /// Restarts at ten times the target's pace.
    RestartsTenfold,
    /// One machine is lost: the one that divides for all.
    MachineLost,
    /// The rack of the one that divides is lost: its site's proxies.
    RackLost,
    /// A zone is lost, the one that divides among it.
    ZoneLost,
    /// A region is cut off from all others.
    RegionCut,
    /// All start at once.
    StartAll,
}

impl FleetEvent {
    /// All of them, in the order in which one fleet meets them; the last begins with a new fleet.
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

    /// The name in the report.
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

    /// Virtual time for which it is measured.
    pub fn window(self) -> Micros {
        match self {
            FleetEvent::Rest | FleetEvent::Restarts | FleetEvent::RestartsTenfold => 10 * SECOND,
            _ => 8 * SECOND,
        }
    }

    /// Whether a time is taken until it holds everywhere.
    pub fn spreads(self) -> bool {
        matches!(
            self,
            FleetEvent::MachineLost | FleetEvent::RackLost | FleetEvent::ZoneLost | FleetEvent::StartAll
        )
    }

    /// Whether a fleet of this size can meet it: what is lost has to leave most of it.
    pub fn fits(self, layout: &Layout, target: &Target) -> bool {
        match self {
            FleetEvent::RackLost => layout.sites >= 4,
            FleetEvent::ZoneLost => layout.proxies >= 3 * target.failures.zone as usize,
            FleetEvent::RegionCut => layout.regions >= 3,
            _ => true,
        }
    }

    /// The proxies that are lost or cut off.
    pub fn struck<C: Control>(self, fleet: &Fleet<C>, layout: &Layout, target: &Target) -> Vec<usize> {
        let leader = fleet.place_of(Role::Leader).unwrap_or(0);
        match self {
            FleetEvent::MachineLost => vec![leader],
            FleetEvent::RackLost => layout.of_site(layout.site(leader)),
            FleetEvent::ZoneLost => {
                let size = target.failures.zone as usize;
                let first = leader.min(layout.proxies - size);
                (first..first + size).collect()
            }
            // A region that the one that divides is not in: it loses the rest, the rest loses little.
            FleetEvent::RegionCut => {
                layout.of_region((layout.region(leader) + layout.regions / 2) % layout.regions)
            }
            _ => Vec::new(),
        }
    }

    /// Lets it happen, and the fleet run through its window. False where the real clock's limit came first.
    pub fn play<C: Control>(self, fleet: &mut Fleet<C>, struck: &[usize], target: &Target) -> bool {
        match self {
            FleetEvent::Rest => fleet.run(self.window()),
            FleetEvent::Restarts => restarts(fleet, target, 1.0, self.window()),
            FleetEvent::RestartsTenfold => restarts(fleet, target, 10.0, self.window()),
            FleetEvent::MachineLost | FleetEvent::RackLost | FleetEvent::ZoneLost => {
                struck.iter().for_each(|place| fleet.kill(*place));
                fleet.run(self.window())
            }
            FleetEvent::RegionCut => {
                fleet.cut(struck);
                fleet.run(self.window())
            }
            FleetEvent::StartAll => {
                (0..fleet.size()).for_each(|place| fleet.start(place));
                fleet.run(self.window())
            }
        }
    }
}

/// Restarts at the target's daily pace, scaled to the fleet, or so many times that: evenly over the window, at least one.
/// A process is away for 200 ms.
fn restarts<C: Control>(fleet: &mut Fleet<C>, target: &Target, times: f64, window: Micros) -> bool {
    let scaled = target.failures.restarts_per_day * fleet.size() as f64 / f64::from(target.fleet.proxies);
    let many = (scaled * times * window as f64 / (86_400.0 * SECOND as f64)).ceil().max(1.0) as u64;
    let away = 200 * MILLISECOND;
    let pause = (window / many).saturating_sub(away);
    for turn in 0..many {
        // Another place each time, far from the one before, and not the one that divides.
        let leader = fleet.place_of(Role::Leader).unwrap_or(0);
        let place = (leader + 1 + turn as usize * 37) % fleet.size();
        fleet.kill(place);
        if !fleet.run(away) {
            return false;
        }
        fleet.start(place);
        if !fleet.run(pause) {
            return false;
        }
    }
    true
}
