//! The capacity guard: whether a zone may be left, and how much of its load fits elsewhere. It owns what each zone carries
//! and could carry. It must never let the last zone of a kind go, nor count the same room for two zones.
use crate::state::{State, Status};
use crate::{Kind, Zone};

/// Of what a zone could carry this is counted on, in thousandths: the rest is for bursts and for what is retried.
const COUNTED: u64 = 900;
/// A new figure of a zone in service counts so much: one part in so many.
const GAIN: u64 = 4;

/// Thousandths of those that tried a zone whose good word does not keep it: one of ten may lie, or have said it before.
const DOUBTED: u32 = 100;

/// What a zone carried and could carry while it was in service, in attempts in two seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Carries {
    pub load: u32,
    pub most: u32,
}

impl Carries {
    /// A look at a zone in service. What it could carry is what its use tells, never less than it carries; 0: not told.
    pub fn look(&mut self, load: u32, most: Option<u32>) {
        let mean = |old, new| ((u64::from(old) * (GAIN - 1) + u64::from(new)).div_ceil(GAIN)) as u32;
        let toward = |old: u32, new: u32| if old == 0 { new } else { mean(old, new) };
        self.load = toward(self.load, load);
        self.most = most.map_or(self.most, |m| toward(self.most, m).max(self.load));
    }
}

/// Whether `zone` may be left: thousandths of its load that fit elsewhere, and of what the proxies that stand in it are
/// asked for that would be refused. `served`: thousandths that still succeed there.
///
/// ```
/// use threadward_zones::guard::{fits, Carries};
/// use threadward_zones::state::{State, Status};
/// use threadward_zones::{Kind, Zone};
/// let hub = |takers| Zone { kind: Kind::Hub, region: 0, cold: 0, takers };
/// let zones = [hub(vec![1, 2]), hub(vec![0, 2]), hub(vec![0, 1])];
/// let carries = [Carries { load: 100, most: 200 }; 3];
/// let mut status = [Status::default(); 3];
/// assert_eq!(fits(&zones, &status, &carries, 0, 0), Some((1000, 0)), "80 of room at each of two");
/// status[1] = Status { state: State::Out, moved: 1000, ..status[1] };
/// assert_eq!(fits(&zones, &status, &carries, 0, 0), Some((0, 0)), "the room is used");
/// assert_eq!(fits(&zones, &status, &carries, 0, 101), None, "and more than a word of one is served");
/// status[2].state = State::Out;
/// assert_eq!(fits(&zones, &status, &carries, 0, 0), None, "the last of its kind");
/// ```
pub fn fits(
    zones: &[Zone],
    status: &[Status],
    carries: &[Carries],
    zone: usize,
    served: u32,
) -> Option<(u16, u16)> {
    let kind = zones[zone].kind;
    let in_service = |z: usize| matches!(status[z].state, State::In | State::Suspect);
    let others = (0..zones.len()).filter(|z| *z != zone && zones[*z].kind == kind && in_service(*z)).count();
    if others == 0 {
        return None;
    }
    let takers =
        || zones[zone].takers.iter().map(|t| usize::from(*t)).filter(|t| *t != zone && in_service(*t));
    // What nobody takes over stays: its proxies' own skips refuse as soon, and serve what is left.
    takers().next()?;
    // Where a taker's use is not told, what nobody serves any more is moved whatever the room: the limits of the takers and
    // of the proxies shed what is too much. What is still served stays.
    if takers().any(|t| carries[t].most == 0) {
        return (served <= DOUBTED).then_some((1000, 0));
    }
    // Room at the takers, less what zones that are out already lean on.
    let free =
        |t: usize| (u64::from(carries[t].most) * COUNTED / 1000).saturating_sub(u64::from(carries[t].load));
    let room: u64 = takers().map(free).sum();
    let lean: u64 = (0..zones.len())
        .filter(|z| {
            *z != zone && !in_service(*z) && zones[*z].takers.iter().any(|t| zones[zone].takers.contains(t))
        })
        .map(|z| u64::from(carries[z].load) * u64::from(status[z].moved) / 1000)
        .sum();
    let load = carries[zone].load;
    let left = room.saturating_sub(lean) * 1000;
    let moved = left.checked_div(u64::from(load)).map_or(1000, |m| m.min(1000) as u32);
    if moved + DOUBTED < served {
        return None;
    }
    // A location's requests are refused as they come. Of a hub's fills the proxies' own limits shed what fits nowhere:
    // hits need none, and refusing requests would cost them too.
    let refused = if kind == Kind::Location { 1000 - moved } else { 0 };
    Some((moved as u16, refused as u16))
}
