//! Terms: the timeouts and attempt limits that a route, a class or the default may set, each with its
//! location in the file, and how they override one another. A term that nobody sets stays unset, since the
//! router has its own value.
use crate::Location;
use nickelgate::Micros;

/// A timeout: a fixed span, or a quantile of the durations observed for the class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wait {
    /// A fixed span in microseconds.
    After(Micros),
    /// A quantile of the observed durations, from 0.5 to 0.999.
    Quantile(f64),
}

/// A value and the location where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting<T> {
    /// The value.
    pub value: T,
    /// Where the file sets it.
    pub at: Location,
}

macro_rules! terms {
    ($($(#[$doc:meta])* $name:ident: $kind:ty, $text:literal;)*) => {
        /// The terms that may be set; `None` stands for a term that is not set at this level.
        ///
        /// ```
        /// use threadward_routes::{terms::Setting, Location, Terms};
        ///
        /// let at = Location { file: "f".into(), line: 3, column: 1 };
        /// let attempts = |value| Some(Setting { value, at: at.clone() });
        /// let class = Terms { attempts: attempts(3), ..Terms::default() };
        /// let pause = Some(Setting { value: 50_000, at: at.clone() });
        /// let route = Terms { attempts: attempts(1), pause, ..Terms::default() };
        /// let both = |first, second| Terms::of(&[first, second]).lines();
        /// let line = |name, value: &str| (name, value.to_owned(), at.clone());
        /// let lines = |n| [line("attempts", n), line("pause", "50000")];
        /// assert_eq!(both(&route, &class), lines("1"));
        /// assert_eq!(both(&class, &route), lines("3"), "each field from the first level that sets it");
        /// ```
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Terms { $($(#[$doc])* pub $name: Option<Setting<$kind>>,)* }

        impl Terms {
            /// Returns the effective terms of several levels: each field from the first level that sets it.
            pub fn of(levels: &[&Terms]) -> Terms {
                Terms { $($name: levels.iter().find_map(|t| t.$name.clone()),)* }
            }
            /// Returns the name, the value as text and the location of each field that is set.
            pub fn lines(&self) -> Vec<(&'static str, String, Location)> {
                let mut all = Vec::new();
                $(if let Some(s) = &self.$name {
                    all.push(($text, format!("{:?}", s.value), s.at.clone()));
                })*
                all
            }
        }
    };
}

terms! {
    /// Time limit of a request, counted from when it is accepted.
    deadline: Micros, "deadline";
    /// Timeout of an attempt until the first byte of its answer.
    first_byte: Wait, "first_byte";
    /// Timeout of an attempt until its whole answer has arrived.
    whole: Wait, "whole";
    /// Timeout for opening a connection.
    connect: Micros, "connect";
    /// Largest number of attempts, the first one included.
    attempts: u32, "attempts";
    /// Pause between the end of an attempt and the start of the next one.
    pause: Micros, "pause";
    /// Fraction of the pause by which it varies at random, from 0 to 1.
    jitter: f64, "jitter";
    /// Time after which a second parallel attempt starts while the first one is still in flight.
    second: Wait, "second";
    /// Retry budget: the fraction of the route's requests that may be repeated, from 0 to 1.
    budget: f64, "budget";
    /// Whether an ageing (stale) copy may be served.
    ageing: bool, "ageing";
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_field_is_overridden_separately() {
        let at = |line| Location { file: "f".into(), line, column: 1 };
        fn set<T>(value: T, line: u32) -> Option<Setting<T>> {
            Some(Setting { value, at: Location { file: "f".into(), line, column: 1 } })
        }
        let default = Terms { attempts: set(2, 1), deadline: set(9, 2), ..Terms::default() };
        let class = Terms { attempts: set(3, 3), ..Terms::default() };
        let route = Terms { pause: set(7, 4), ..Terms::default() };
        let e = Terms::of(&[&route, &class, &default]);
        assert_eq!((e.attempts, e.deadline, e.pause), (set(3, 3), set(9, 2), set(7, 4)));
        assert_eq!((e.second, e.budget), (None, None));
        let all = Terms::of(&[&class, &default]).lines();
        assert_eq!(all, [("deadline", "9".to_owned(), at(2)), ("attempts", "3".to_owned(), at(3))]);
    }
}
