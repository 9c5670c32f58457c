//! Unix time, which is used between machines and in files. It has a type of its own so that it cannot be
//! compared with a point on the monotonic clock ([`Micros`]): a machine's wall clock may be stepped, so all
//! durations are measured on the monotonic clock.
use crate::Micros;

/// A point in Unix time, in microseconds; 0 if unknown.
///
/// ```
/// use threadward_core::UnixTime;
///
/// let started = UnixTime::from_millis(1_500);
/// assert!(started < UnixTime::from_micros(2_000_000));
/// assert_eq!(UnixTime::from_micros(2_000_000).micros_since(started), 500_000);
/// assert_eq!(started.micros_since(UnixTime::from_micros(2_000_000)), 0);
/// ```
///
/// It cannot be compared with a point on the monotonic clock:
///
/// ```compile_fail
/// let now: threadward_core::Micros = 7;
/// assert!(threadward_core::UnixTime::from_micros(7) <= now);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(u64);

impl UnixTime {
    /// Creates a point from milliseconds. Saturates at the largest value.
    pub fn from_millis(milliseconds: u64) -> UnixTime {
        UnixTime(milliseconds.saturating_mul(1000))
    }

    /// Creates a point from microseconds.
    pub fn from_micros(microseconds: u64) -> UnixTime {
        UnixTime(microseconds)
    }

    /// Returns the point in microseconds, as it is written in files and on the wire.
    pub fn micros(self) -> u64 {
        self.0
    }

    /// Returns whether the point is known.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }

    /// Returns the time from an earlier point to this one; 0 if that point is not earlier.
    pub fn micros_since(self, earlier: UnixTime) -> Micros {
        self.0.saturating_sub(earlier.0)
    }
}
