//! Measures the watch of discovery for a proxy and for the stand-in of the list service.
use super::discovery::{delivery_seconds, purge_event, spread, watch, WatchFigures};
use super::events::FleetEvent;
use super::layout::Layout;
use super::measure::{percentile_99, Findings, Measured};
use super::meter::Meter;
use super::report::{Design, Part, Quantity, Role, Variable};
use super::target::Target;

/// Purges are measured for a minute.
const SECONDS: u64 = 60;
/// Multiples of the target's rate of purges that are measured.
const RATES: [f64; 4] = [0.25, 0.5, 1.0, 2.0];
/// Descriptors of a proxy: the sockets of budgets and gossip, and the watch.
const PROXY_DESCRIPTORS: f64 = 3.0;

/// What is needed at the target's size.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// A proxy's watch.
    pub watch: WatchFigures,
    /// Seconds until a purge holds at 99 in 100 proxies; `None` where the stand-in could not be measured.
    pub purge_everywhere: Option<f64>,
}

/// Measures both roles at these sizes and at the target's.
pub fn measure(
    target: &Target,
    meter: &Meter,
    seed: u64,
    sizes: &[usize],
    findings: &mut Findings,
) -> Discovery {
    proxy(target, meter, seed, sizes, findings);
    let rate = target.purges.per_s;
    let delivery = delivery_seconds();
    match &delivery {
        Ok(delivery) => {
            println!("list service: {:.2} us a delivery", delivery * 1e6);
            sizes.iter().for_each(|size| list_service(*size, rate, seed, *delivery, findings));
        }
        Err(error) => findings.not_reached.push(format!("list service: {error}")),
    }
    let all = |delivery: &f64| spread(seed, target.fleet.proxies as usize, rate, SECONDS, *delivery);
    Discovery {
        watch: watch(meter, seed, target.fleet.caches as usize, rate, SECONDS),
        purge_everywhere: delivery.as_ref().ok().map(|delivery| percentile_99(&all(delivery))),
    }
}

fn note(
    role: Role,
    event: &'static str,
    quantity: Quantity,
    against: Variable,
    at: f64,
    value: f64,
) -> Measured {
    Measured { design: Design::Star, part: Part::Discovery, role, event, quantity, against, at, value }
}

/// A proxy's watch against caches and against purges a second.
fn proxy(target: &Target, meter: &Meter, seed: u64, sizes: &[usize], findings: &mut Findings) {
    let rate = target.purges.per_s;
    let window = FleetEvent::StartAll.window() as f64 / 1e6;
    for size in sizes {
        let caches = Layout::scaled(target, *size).caches;
        let figures = watch(meter, seed, caches, rate, 1);
        let at = caches as f64;
        let caches = |quantity, value| note(Role::Proxy, "start_all", quantity, Variable::Caches, at, value);
        findings.measured.push(caches(Quantity::BytesIn, figures.list_bytes / window));
        findings.measured.push(caches(Quantity::CoreShare, figures.list_seconds / window));
        if meter.counts_memory() {
            findings.measured.push(caches(Quantity::MemoryBytes, figures.memory));
        }
        let descriptors = note(
            Role::Proxy,
            "rest",
            Quantity::Descriptors,
            Variable::Proxies,
            *size as f64,
            PROXY_DESCRIPTORS,
        );
        findings.measured.push(descriptors);
    }
    for times in RATES {
        let figures = watch(meter, seed, target.fleet.caches as usize, rate * times, SECONDS);
        let at = rate * times;
        let purges =
            |quantity, value| note(Role::Proxy, "purges", quantity, Variable::PurgesPerSecond, at, value);
        findings.measured.push(purges(Quantity::MessagesIn, at));
        findings.measured.push(purges(Quantity::BytesIn, figures.bytes_in));
        findings.measured.push(purges(Quantity::CoreShare, figures.core));
        if meter.counts_memory() {
            findings.measured.push(purges(Quantity::MemoryBytes, figures.memory));
        }
    }
}

/// The stand-in that tells each watch of each purge, on one core.
fn list_service(watches: usize, rate: f64, seed: u64, delivery: f64, findings: &mut Findings) {
    let deliveries = watches as f64 * rate;
    let event = purge_event(12_345, u64::MAX, 1_700_000_000_000_000).len() as f64;
    let spans = spread(seed, watches, rate, SECONDS, delivery);
    let at = watches as f64;
    for (quantity, value) in [
        (Quantity::MessagesOut, deliveries),
        (Quantity::BytesOut, deliveries * event),
        (Quantity::CoreShare, deliveries * delivery),
        (Quantity::EverywhereP99, percentile_99(&spans)),
        (Quantity::EverywhereLast, spans.last().copied().unwrap_or(0.0)),
        (Quantity::Descriptors, at + 1.0),
    ] {
        findings.measured.push(note(Role::ListService, "purges", quantity, Variable::Proxies, at, value));
    }
}
