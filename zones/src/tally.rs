//! The counters of an instance.

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// Bytes of the messages that it sent.
    pub sent_bytes: u64,
    /// Messages that were none, or of a place that is none.
    pub malformed: u64,
    /// Maps and reports of an earlier epoch or life.
    pub old: u64,
    /// Maps that were adopted.
    pub adopted: u64,
    /// Maps that no majority vouched for.
    pub unvouched: u64,
    /// Maps that this instance decided.
    pub decided: u64,
    /// Moves among them that leave a zone.
    pub leaves: u64,
    /// Times that the guard kept a zone that fails.
    pub kept: u64,
}
