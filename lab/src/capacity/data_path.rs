//! The data path at the target's size, by arithmetic from the target and the inputs.
use super::inputs::Inputs;
use super::measured::Measured;
use super::page::Section;
use super::table::Table;
use super::units::{bits, bytes, core, number, or_missing};
use crate::scale::report::{Design, Part, Quantity, Role, Variable};
use crate::scale::target::Target;

/// Microseconds in a second.
const MICROS: f64 = 1e6;

/// Figures that the page's other tables use too.
#[derive(Clone, Copy, Debug)]
pub struct DataPath<'a> {
    target: &'a Target,
    inputs: &'a Inputs,
}

impl<'a> DataPath<'a> {
    /// The data path of a target.
    pub fn new(target: &'a Target, inputs: &'a Inputs) -> DataPath<'a> {
        DataPath { target, inputs }
    }

    /// Requests a second of a mean proxy.
    pub fn requests_per_proxy(&self) -> f64 {
        self.target.load.requests_per_s / f64::from(self.target.fleet.proxies)
    }

    /// Requests a second of a mean cache.
    pub fn requests_per_cache(&self) -> f64 {
        self.target.load.requests_per_s / f64::from(self.target.fleet.caches)
    }

    /// Caches of a mean zone.
    pub fn caches_per_zone(&self) -> f64 {
        f64::from(self.target.fleet.caches) / f64::from(self.target.fleet.zones)
    }

    /// Descriptors that a proxy has for connections to caches.
    pub fn cache_descriptors(&self) -> Option<f64> {
        let path = &self.inputs.data_path;
        let rest = path.descriptors.value? * (1.0 - path.descriptors_clients.value?);
        Some(rest - path.descriptors_program.value?)
    }

    /// Deliveries of purges a second, each to every proxy.
    pub fn purge_deliveries(&self) -> f64 {
        self.target.purges.per_s * f64::from(self.target.fleet.proxies)
    }

    /// Purges that a proxy missed in a cut.
    pub fn purges_in_a_cut(&self) -> f64 {
        self.target.purges.per_s * self.target.failures.cut_s
    }

    /// Proxies of a mean region.
    pub fn proxies_per_region(&self) -> f64 {
        f64::from(self.target.fleet.proxies) / f64::from(self.target.fleet.regions)
    }

    /// Bytes of memory of so many remembered purges.
    fn purge_memory(&self, purges: Option<f64>) -> Option<f64> {
        Some(purges? * self.inputs.purges.entry_bytes.value?)
    }

    /// Seconds for which a purge is remembered, by the rule of the code and by what a copy may last.
    fn purge_seconds(&self) -> (Option<f64>, Option<f64>) {
        let purges = &self.inputs.purges;
        let by_rule = purges.memory_factor.value.map(|factor| factor * self.target.purges.everywhere_s);
        let by_copies = purges.fresh_s.value.zip(purges.grace_s.value).map(|(fresh, grace)| fresh + grace);
        (by_rule, by_copies)
    }
}

/// Bytes of one purge on a watch: the slope of a proxy's bytes in against purges a second.
pub fn purge_bytes(measured: &Measured) -> Option<f64> {
    let readings = measured.readings(Design::Star, Part::Discovery, Role::Proxy);
    let series = readings.map(|reading| reading.series);
    let wanted = |against, quantity| (against, quantity) == (Variable::PurgesPerSecond, Quantity::BytesIn);
    let slopes =
        series.filter(|series| wanted(series.against, series.quantity)).map(|series| series.fit.slope);
    slopes.filter(|slope| *slope > 0.0).reduce(f64::max)
}

/// The table of the data path.
pub fn section(measured: &Measured, inputs: &Inputs) -> Section {
    let path = DataPath::new(measured.target, inputs);
    let mut table = Table::new(&["item", "figure", "from"]);
    load(&mut table, &path);
    processor(&mut table, &path);
    connections(&mut table, &path);
    objects(&mut table, &path);
    purges(&mut table, &path, purge_bytes(measured));
    Section { name: "data-path", text: table.text() }
}

fn load(table: &mut Table, path: &DataPath) {
    let load = &path.target.load;
    let (proxies, caches) = (f64::from(path.target.fleet.proxies), f64::from(path.target.fleet.caches));
    let rate = |requests: f64| format!("{} requests/s", number(requests));
    table.row([
        "a mean proxy, requests".into(),
        rate(path.requests_per_proxy()),
        "requests over proxies".to_owned(),
    ]);
    table.row([
        "a mean proxy, bits".into(),
        bits(load.bits_per_s / proxies) + "/s",
        "bits over proxies".into(),
    ]);
    let busiest =
        path.inputs.data_path.busiest_over_mean.value.map(|times| times * path.requests_per_proxy());
    table.row([
        "the busiest proxy, requests".into(),
        or_missing(busiest, rate),
        "input `busiest_over_mean`".into(),
    ]);
    table.row([
        "a mean cache, requests".into(),
        rate(path.requests_per_cache()),
        "requests over caches".to_owned(),
    ]);
    table.row([
        "a mean cache, bits".into(),
        bits(load.bits_per_s / caches) + "/s",
        "bits over caches".into(),
    ]);
}

fn processor(table: &mut Table, path: &DataPath) {
    let share = |micros: Option<f64>| micros.map(|micros| micros / MICROS * path.requests_per_proxy());
    let data_path = &path.inputs.data_path;
    let rows = [
        ("a mean proxy, processor time of the decisions", data_path.decision_us.value, "input `decision_us`"),
        ("a mean proxy, processor time in all", data_path.request_us.value, "input `request_us`"),
    ];
    for (what, micros, from) in rows {
        table.row([what.into(), or_missing(share(micros), core), format!("{from} times requests")]);
    }
}

fn connections(table: &mut Table, path: &DataPath) {
    let room = path.cache_descriptors();
    let against = |need: f64| {
        let of_room = |room: f64| format!("{} of {}: {}", number(need), number(room), number(need / room));
        or_missing(room, of_room)
    };
    let all = f64::from(path.target.fleet.caches);
    let zone = path.caches_per_zone();
    let most = path.inputs.data_path.connections_per_cache.value;
    let from = "over the descriptors left for caches";
    let mut row = |what: &str, figure: String| table.row([what, figure.as_str(), from]);
    row("connections of a proxy to the caches of one zone, one each", against(zone));
    row("the same, as many each as the pool opens", or_missing(most, |most| against(zone * most)));
    row("connections of a proxy to all caches, one each", against(all));
    let fleet = &path.target.fleet;
    let proxies = [f64::from(fleet.proxies) / f64::from(fleet.zones), f64::from(fleet.proxies)];
    table.row([
        "connections at a cache, one from each proxy of one zone".into(),
        number(proxies[0]),
        "proxies over zones".to_owned(),
    ]);
    table.row([
        "connections at a cache, one from each proxy".into(),
        number(proxies[1]),
        "proxies".to_owned(),
    ]);
}

fn objects(table: &mut Table, path: &DataPath) {
    let objects = path.target.load.objects;
    let memory = path.target.control.megabytes * super::roles::MEGABYTE;
    let one_byte = format!("{}: {} times", bytes(objects), number(objects / memory));
    let from = "no table is kept by object; one byte for each against the memory of control";
    table.row(["one byte for each object".into(), one_byte, from.to_owned()]);
    let seconds = path.inputs.data_path.object_memory_s.value;
    let remembered = seconds.map(|seconds| (seconds * path.requests_per_proxy()).min(objects));
    let figure = or_missing(remembered, |entries| format!("at most {}", number(entries)));
    let from = "input `object_memory_s` times requests: grows with requests, not with objects";
    table.row(["objects whose sending time a mean proxy remembers".into(), figure, from.to_owned()]);
}

fn purges(table: &mut Table, path: &DataPath, wire_bytes: Option<f64>) {
    let (by_rule, by_copies) = path.purge_seconds();
    let rows = [
        ("purges remembered, as the program does", by_rule, "`everywhere_s` times input `memory_factor`"),
        (
            "purges remembered, for a class's fresh time and grace",
            by_copies,
            "inputs `fresh_s` and `grace_s`",
        ),
    ];
    for (what, seconds, from) in rows {
        let purges = seconds.map(|seconds| seconds * path.target.purges.per_s);
        let count = or_missing(purges, number);
        let memory = or_missing(path.purge_memory(purges), bytes);
        table.row([what.into(), format!("{count}: {memory}"), format!("{from}, times purges a second")]);
    }
    let missed = path.purges_in_a_cut();
    let all = or_missing(path.purge_memory(Some(missed)), bytes);
    let figure = format!("{}: {all} in memory", number(missed));
    table.row(["purges of a catch-up after a cut".into(), figure, "`per_s` times `cut_s`".to_owned()]);
    let each = wire_bytes.map(|each| each * missed);
    let region = each.map(|each| each * path.proxies_per_region());
    let from = "measured bytes of a purge on a watch".to_owned();
    table.row(["bytes of a catch-up, one proxy".into(), or_missing(each, bytes), from.clone()]);
    table.row([
        "bytes of a catch-up, all proxies of a region".into(),
        or_missing(region, bytes),
        from.clone(),
    ]);
    let deliveries = path.purge_deliveries();
    let figure = format!("{}/s", number(deliveries));
    table.row([
        "deliveries of purges to all proxies".into(),
        figure,
        "proxies times purges a second".to_owned(),
    ]);
    let sent = wire_bytes.map(|each| each * deliveries);
    table.row(["bytes of these deliveries".into(), or_missing(sent, |sent| bytes(sent) + "/s"), from]);
}
