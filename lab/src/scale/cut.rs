//! Measures how much of its budget share a region can use while it is cut off from all others for an hour.
use super::builds::Recipe;
use super::events::FleetEvent;
use super::fleet::SECOND;
use super::hollow::Control;
use super::measure::{fleet, settle, Findings, Setup};
use nickelgate::Micros;

/// Time after the cut from which usage is measured. By then the leases from before the cut have expired, and
/// the region has only what it can grant by itself.
const MEASURE_AFTER: Micros = 60 * SECOND;

/// Returns the fraction of its even share of the first budget that a region could use while cut off: the mean
/// from a minute after the cut on. Returns `None` if the real-time limit was reached before half of the time
/// had passed, or if the fleet is too small to have regions.
pub fn usable_share<C: Control>(
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
    let region = event.affected(&fleet, &setup.layout, setup.target);
    let even_share = fleet.even_share() * region.len() as f64;
    fleet.cut(&region);
    let cut_at = fleet.now();
    let (mut sum, mut samples) = (0.0, 0u32);
    while settled && fleet.now() < cut_at + seconds * SECOND && fleet.run(SECOND) {
        if fleet.now() >= cut_at + MEASURE_AFTER {
            sum += fleet.total_share(&region) as f64 / even_share;
            samples += 1;
        }
    }
    findings.check(recipe.design, &fleet);
    let lasted = (fleet.now() - cut_at) / SECOND;
    if lasted < seconds {
        let (design, size) = (recipe.design, setup.layout.proxies);
        findings
            .not_reached
            .push(format!("{design:?} of {size}: a region cut off for {lasted} s of {seconds}"));
    }
    (samples > 0 && lasted * 2 >= seconds).then(|| sum / f64::from(samples))
}
