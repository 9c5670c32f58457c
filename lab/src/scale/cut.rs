//! A region that is cut off from all others for an hour: what it can use meanwhile.
use super::builds::Recipe;
use super::events::FleetEvent;
use super::fleet::SECOND;
use super::hollow::Control;
use super::measure::{fleet, settle, Findings, Setup};
use nickelgate::Micros;

/// After this the leases from before the cut are over, and what is measured is what the region has by itself.
const FIRST: Micros = 60 * SECOND;

/// The share of its wanted part of the first budget, an even one, that a cut region could use: the mean from a minute
/// after the cut on. `None` where the real clock's limit came before half of the time was over, or the fleet is too
/// small to have regions.
pub fn used<C: Control>(
    setup: &Setup,
    recipe: &Recipe<C>,
    seconds: u64,
    findings: &mut Findings,
) -> Option<f64> {
    let event = FleetEvent::RegionCut;
    if !event.fits(&setup.layout, setup.target) {
        return None;
    }
    let mut fleet = fleet(setup, recipe);
    let settled = settle(&mut fleet);
    let region = event.struck(&fleet, &setup.layout, setup.target);
    let wanted = fleet.even_part() * region.len() as f64;
    fleet.cut(&region);
    let from = fleet.now();
    let (mut sum, mut looks) = (0.0, 0u32);
    while settled && fleet.now() < from + seconds * SECOND && fleet.run(SECOND) {
        if fleet.now() >= from + FIRST {
            sum += fleet.sum(&region) as f64 / wanted;
            looks += 1;
        }
    }
    findings.check(recipe.design, &fleet);
    let lasted = (fleet.now() - from) / SECOND;
    if lasted < seconds {
        let (design, size) = (recipe.design, setup.layout.proxies);
        findings
            .not_reached
            .push(format!("{design:?} of {size}: a region cut off for {lasted} s of {seconds}"));
    }
    (looks > 0 && lasted * 2 >= seconds).then(|| sum / f64::from(looks))
}
