//! Measures the watch of discovery for proxies and for the stand-in of the list service.
use super::discovery::{delivery_seconds, propagation_times, purge_event, watch, WatchFigures};
use super::events::FleetEvent;
use super::layout::Layout;
use super::measure::{percentile_99, Findings, Measured};
use super::meter::Meter;
use super::report::{Design, Part, Quantity, Role, Variable};
use super::target::Target;

/// Virtual time for which purges are measured, in seconds.
const PURGE_SECONDS: u64 = 60;
/// Multiples of the target's rate of purges that are measured.
const RATE_MULTIPLES: [f64; 4] = [0.25, 0.5, 1.0, 2.0];
/// File descriptors of a proxy for control: the sockets of budgets and gossip, and the watch.
const PROXY_DESCRIPTORS: f64 = 3.0;

/// The figures at the target's size.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// The cost of a proxy's watch.
    pub watch: WatchFigures,
    /// Seconds until a purge is in force at 99 in 100 proxies; `None` if the stand-in could not be measured.
    pub purge_everywhere: Option<f64>,
}

/// Measures both roles at these fleet sizes and at the target's.
pub fn measure(
    target: &Target,
    meter: &Meter,
    seed: u64,
    sizes: &[usize],
    findings: &mut Findings,
) -> Discovery {
    measure_proxy(target, meter, seed, sizes, findings);
    let rate = target.purges.per_s;
    let delivery = delivery_seconds();
    match &delivery {
        Ok(delivery) => {
            println!("list service: {:.2} us a delivery", delivery * 1e6);
            sizes.iter().for_each(|size| record_list_service(*size, rate, seed, *delivery, findings));
        }
        Err(error) => findings.not_reached.push(format!("list service: {error}")),
    }
    let all = |delivery: &f64| {
        propagation_times(seed, target.fleet.proxies as usize, rate, PURGE_SECONDS, *delivery)
    };
    Discovery {
        watch: watch(meter, seed, target.fleet.caches as usize, rate, PURGE_SECONDS),
        purge_everywhere: delivery.as_ref().ok().map(|delivery| percentile_99(&all(delivery))),
    }
}

/// Creates a measured value of the watch.
fn value_of(
    role: Role,
    event: &'static str,
    quantity: Quantity,
    against: Variable,
    at: f64,
    value: f64,
) -> Measured {
    Measured { design: Design::Star, part: Part::Discovery, role, event, quantity, against, at, value }
}

/// Measures a proxy's watch against the number of caches and against purges a second.
fn measure_proxy(target: &Target, meter: &Meter, seed: u64, sizes: &[usize], findings: &mut Findings) {
    let rate = target.purges.per_s;
    let window = FleetEvent::StartAll.window() as f64 / 1e6;
    for size in sizes {
        let caches = Layout::scaled(target, *size).caches;
        let figures = watch(meter, seed, caches, rate, 1);
        let at = caches as f64;
        let caches =
            |quantity, value| value_of(Role::Proxy, "start_all", quantity, Variable::Caches, at, value);
        findings.measured.push(caches(Quantity::BytesIn, figures.list_bytes / window));
        findings.measured.push(caches(Quantity::CoreShare, figures.list_seconds / window));
        if meter.counts_memory() {
            findings.measured.push(caches(Quantity::MemoryBytes, figures.memory));
        }
        let descriptors = value_of(
            Role::Proxy,
            "rest",
            Quantity::Descriptors,
            Variable::Proxies,
            *size as f64,
            PROXY_DESCRIPTORS,
        );
        findings.measured.push(descriptors);
    }
    for multiple in RATE_MULTIPLES {
        let figures = watch(meter, seed, target.fleet.caches as usize, rate * multiple, PURGE_SECONDS);
        let at = rate * multiple;
        let purges =
            |quantity, value| value_of(Role::Proxy, "purges", quantity, Variable::PurgesPerSecond, at, value);
        findings.measured.push(purges(Quantity::MessagesIn, at));
        findings.measured.push(purges(Quantity::BytesIn, figures.bytes_in));
        findings.measured.push(purges(Quantity::CoreShare, figures.core));
        if meter.counts_memory() {
            findings.measured.push(purges(Quantity::MemoryBytes, figures.memory));
        }
    }
}

/// Records the figures of the stand-in that sends each purge to each watch, on one core.
fn record_list_service(watches: usize, rate: f64, seed: u64, delivery: f64, findings: &mut Findings) {
    let deliveries = watches as f64 * rate;
    let event = purge_event(12_345, u64::MAX, 1_700_000_000_000_000).len() as f64;
    let spans = propagation_times(seed, watches, rate, PURGE_SECONDS, delivery);
    let at = watches as f64;
    for (quantity, value) in [
        (Quantity::MessagesOut, deliveries),
        (Quantity::BytesOut, deliveries * event),
        (Quantity::CoreShare, deliveries * delivery),
        (Quantity::EverywhereP99, percentile_99(&spans)),
        (Quantity::EverywhereLast, spans.last().copied().unwrap_or(0.0)),
        (Quantity::Descriptors, at + 1.0),
    ] {
        findings.measured.push(value_of(Role::ListService, "purges", quantity, Variable::Proxies, at, value));
    }
}
