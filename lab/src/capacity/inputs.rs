//! Figures that no scale run gives, each with its source: `docs/capacity-inputs.toml`.
use serde::Deserialize;

/// One figure.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Input {
    /// The figure; nothing where none was measured.
    pub value: Option<f64>,
    /// Where it comes from: a file of the repository and the name there, or why there is none.
    pub source: String,
}

/// All figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inputs {
    /// The data path.
    pub data_path: DataPath,
    /// Purges and copies.
    pub purges: Purges,
    /// Bounds of the code that are not public.
    pub bounds: Bounds,
}

/// Figures of the data path.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataPath {
    /// Microseconds of a processor that the decisions of one request take, without sockets.
    pub decision_us: Input,
    /// Microseconds of a processor that one request takes in all.
    pub request_us: Input,
    /// Requests of the busiest proxy over those of the mean one.
    pub busiest_over_mean: Input,
    /// File descriptors that a proxy may use.
    pub descriptors: Input,
    /// The part of them that is for clients.
    pub descriptors_clients: Input,
    /// How many of them are set aside for the program itself.
    pub descriptors_program: Input,
    /// Connections that a proxy opens to one cache at most.
    pub connections_per_cache: Input,
    /// Seconds for which the sending time of an object is remembered at most.
    pub object_memory_s: Input,
}

/// Figures of purges.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Purges {
    /// A purge is remembered this multiple of the time in which it is done everywhere.
    pub memory_factor: Input,
    /// Bytes that a remembered purge takes.
    pub entry_bytes: Input,
    /// Seconds for which a copy is fresh, in the class with the longest such time.
    pub fresh_s: Input,
    /// Seconds of grace after a purge.
    pub grace_s: Input,
}

/// Bounds of the code that are not public.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Servers that a list may name.
    pub servers: Input,
    /// The part of a budget that is set aside as floors.
    pub floor_part: Input,
    /// Bytes of one witness's statement of one suspicion.
    pub witness_bytes: Input,
}

impl Inputs {
    /// Reads the file's text.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(text: &str) -> Result<Inputs, String> {
        let inputs: Inputs = toml::from_str(text).map_err(|error| error.to_string())?;
        for (name, input) in inputs.all() {
            if input.value.is_some_and(|value| !value.is_finite() || value <= 0.0) {
                return Err(format!("'{name}' has to be a number over zero"));
            }
            if input.source.trim().is_empty() {
                return Err(format!("'{name}' has no source"));
            }
        }
        Ok(inputs)
    }

    /// Every figure by its name in the file.
    pub fn all(&self) -> Vec<(&'static str, &Input)> {
        let (path, purges, bounds) = (&self.data_path, &self.purges, &self.bounds);
        vec![
            ("data_path.decision_us", &path.decision_us),
            ("data_path.request_us", &path.request_us),
            ("data_path.busiest_over_mean", &path.busiest_over_mean),
            ("data_path.descriptors", &path.descriptors),
            ("data_path.descriptors_clients", &path.descriptors_clients),
            ("data_path.descriptors_program", &path.descriptors_program),
            ("data_path.connections_per_cache", &path.connections_per_cache),
            ("data_path.object_memory_s", &path.object_memory_s),
            ("purges.memory_factor", &purges.memory_factor),
            ("purges.entry_bytes", &purges.entry_bytes),
            ("purges.fresh_s", &purges.fresh_s),
            ("purges.grace_s", &purges.grace_s),
            ("bounds.servers", &bounds.servers),
            ("bounds.floor_part", &bounds.floor_part),
            ("bounds.witness_bytes", &bounds.witness_bytes),
        ]
    }
}
