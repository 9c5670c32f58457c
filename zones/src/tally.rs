//! The counters of an instance.

/// Counts since the start of the instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Bytes of the messages that were sent.
    pub sent_bytes: u64,
    /// Messages that could not be decoded, came from a proxy that is not in the file, or held a map of other
    /// settings.
    pub malformed: u64,
    /// Maps and reports of an earlier epoch or incarnation.
    pub outdated: u64,
    /// Maps that were adopted.
    pub adopted: u64,
    /// Maps that were announced but never confirmed by a majority of the voters.
    pub unconfirmed: u64,
    /// Maps that this instance decided.
    pub decided: u64,
    /// Moves that take a zone out of service, in maps that this instance proposed.
    pub zones_left: u64,
    /// Times that the capacity guard kept a failing zone in service.
    pub kept_by_guard: u64,
}
