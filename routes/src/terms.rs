//! Terms: what a route, a class or the default may set, each with the place it came from. It owns how they override one
//! another. It must never fill in a figure that nobody set: the module has its own.
use crate::Location;
use nickelgate::Micros;

/// A span, or a quantile of the spans that were seen of the class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wait {
    /// So many microseconds.
    After(Micros),
    /// A quantile, from 0.5 to 0.999.
    Quantile(f64),
}

/// A value and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Setting<T> {
    /// The value.
    pub value: T,
    /// Where it stands.
    pub at: Location,
}

macro_rules! terms {
    ($($(#[$doc:meta])* $name:ident: $kind:ty, $text:literal;)*) => {
        /// What may be set. Nothing: not set here.
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
        /// let lines = |n: &str| [("attempts", n.to_owned(), at.clone()), ("pause", "50000".to_owned(), at.clone())];
        /// assert_eq!(both(&route, &class), lines("1"));
        /// assert_eq!(both(&class, &route), lines("3"), "field by field, the first one that sets it");
        /// ```
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Terms { $($(#[$doc])* pub $name: Option<Setting<$kind>>,)* }

        impl Terms {
            /// What holds where several levels apply: field by field, the first of these that sets it.
            pub fn of(levels: &[&Terms]) -> Terms {
                Terms { $($name: levels.iter().find_map(|t| t.$name.clone()),)* }
            }
            /// Each field that is set: its name, its value as text, and where it was set.
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
    /// The whole time of a request, from when it is taken.
    deadline: Micros, "deadline";
    /// Patience for the first byte of an attempt.
    first_byte: Wait, "first_byte";
    /// Patience for the whole answer of an attempt.
    whole: Wait, "whole";
    /// For a connection to come up.
    connect: Micros, "connect";
    /// Attempts in all, the first one with them.
    attempts: u32, "attempts";
    /// Between the end of an attempt and the next one.
    pause: Micros, "pause";
    /// By how large a share of it the pause varies, from 0 to 1.
    jitter: f64, "jitter";
    /// A second copy goes out when the first has been out for so long.
    second: Wait, "second";
    /// Share of the route's requests that may cost a repeat, from 0 to 1.
    budget: f64, "budget";
    /// Whether an ageing copy will do.
    ageing: bool, "ageing";
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_field_is_overridden_by_itself() {
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
