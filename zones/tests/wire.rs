//! Messages as bytes: what is written is read, and nothing else is.
use proptest::prelude::*;
use threadward_zones::map::{Epoch, Map};
use threadward_zones::state::{State, Status};
use threadward_zones::wire::{self, Body};
use threadward_zones::{Author, Kind, Seat, Settings, Zone, ZoneObservation, Zones, MOST_ZONES};

const NOW: u64 = 100_000_000;

fn maps() -> impl Strategy<Value = Map> {
    let zone =
        (0..6usize, 1..9u8, 0..100_000u64, 0..=1000u16, any::<u16>()).prop_map(|(s, step, age, n, p)| {
            use State::{In, Leaving, Out, Probing, Returning, Suspect};
            let state = [In, Suspect, Leaving, Out, Probing, Returning][s];
            let step = if state == Returning { step } else { 0 };
            let since = NOW - age * 1000;
            let (moved, refused, tries, lot) = (n, 1000 - n, p % 1001, p);
            Status {
                state,
                step,
                since,
                returning: since,
                moved,
                refused,
                bad: p,
                of: p,
                tries,
                lot,
                ..Status::default()
            }
        });
    let zones = proptest::collection::vec(zone, 1..=MOST_ZONES);
    (any::<u64>(), any::<u64>(), zones)
        .prop_map(|(number, life, zones)| Map { epoch: Epoch { number, life }, zones })
}

proptest! {
    #[test]
    fn what_is_written_is_read(map in maps(), number: u64, fresh: bool, n in 0..=MOST_ZONES as u16) {
        let epoch = map.epoch;
        let one = |zone| ZoneObservation { zone, attempts: 9, failed: 3, members: 4, bad_members: 1, load: 9, mean_use: 7 };
        let report = Body::Report { seq: 1, to: number, epoch: 2, hash: 3, place: 4, seen: (0..n).map(one).collect() };
        let all = [
            report,
            Body::Read { number },
            Body::Holds { barred: epoch, fresh, map: map.clone() },
            Body::Propose { map: map.clone() },
            Body::Took { epoch },
            Body::Tell { map },
            Body::Ask { epoch },
            Body::Vouch { epoch, hash: number },
        ];
        let from = Author { index: 3, incarnation: number };
        for body in all {
            let bytes = wire::write(from, &body, NOW);
            prop_assert!(wire::ours(&bytes) && bytes.len() <= wire::MOST);
            prop_assert_eq!(wire::read(&bytes[..bytes.len() - 1], NOW), None);
            prop_assert_eq!(wire::read(&bytes, NOW), Some((from, body)));
        }
    }

    /// Whatever comes in: no panic, and no map but by a majority.
    #[test]
    fn noise_changes_nothing(mut bytes: Vec<u8>, kind in 32..40u8, decides: bool) {
        bytes.splice(0..bytes.len().min(3), [kind, 0, 1]);
        let mut z = one(2);
        z.receive(NOW, 1, &bytes, Seat { decides, promised: None, decider: 0 }, &mut Vec::new());
        prop_assert_eq!(z.map().epoch, Epoch::default());
    }
}

fn one(zones: usize) -> Zones {
    let zone = Zone { kind: Kind::Hub, region: 0, cold: 0, takers: vec![] };
    let (me, zones) = (Author { index: 0, incarnation: 7 }, vec![zone; zones]);
    let s = Settings { me, proxies: 3, voters: vec![0, 1, 2], stands: 0, lease: 1_000_000, zones };
    Zones::new(0, s).unwrap()
}

/// Messages of other settings, for another, of figures that cannot be, or with a zone twice are malformed.
#[test]
fn what_cannot_be_is_counted_and_dropped() {
    let by = Author { index: 1, incarnation: 9 };
    let seen = |zone, failed, bad| ZoneObservation {
        zone,
        attempts: 5,
        failed,
        members: 4,
        bad_members: bad,
        load: 5,
        mean_use: 0,
    };

    let report = |seen| Body::Report { seq: 1, to: 7, epoch: 0, hash: 0, place: 0, seen };
    let (map, seat) = (Map::new(3, 0), Seat { decides: true, promised: Some(by), decider: 0 });
    let cases = [
        (1, Body::Tell { map: map.clone() }),
        (1, Body::Propose { map }),
        (2, Body::Read { number: 4 }),
        (1, report(vec![seen(0, 6, 0)])),
        (1, report(vec![seen(0, 5, 65_535)])),
        (1, report(vec![seen(0, 5, 4), seen(0, 5, 4)])),
    ];
    for (from, body) in cases {
        let (mut z, mut out) = (one(2), Vec::new());
        z.receive(NOW, from, &wire::write(by, &body, NOW), seat, &mut out);
        assert_eq!((z.tally.malformed, out.len()), (1, 0), "{body:?}");
    }
}
