//! The wire format: every encoded message is decoded as it was, and nothing else is decoded.
use proptest::prelude::*;
use threadward_zones::map::{Epoch, Map};
use threadward_zones::state::{State, Status};
use threadward_zones::wire::{self, Body};
use threadward_zones::{Author, ElectionView, Kind, Settings, Zone, ZoneObservation, Zones, MAX_ZONES};

const NOW: u64 = 100_000_000;

fn maps() -> impl Strategy<Value = Map> {
    let zone =
        (0..6usize, 1..9u8, 0..100_000u64, 0..=1000u16, any::<u16>()).prop_map(|(s, step, age, n, p)| {
            use State::{In, Leaving, Out, Probing, Returning, Suspect};
            let state = [In, Suspect, Leaving, Out, Probing, Returning][s];
            let step = if state == Returning { step } else { 0 };
            let since = NOW - age * 1000;
            let (moved_permille, refused_permille, probers_permille, prober_seed) =
                (n, 1000 - n, p % 1001, p);
            Status {
                state,
                step,
                since,
                return_started: since,
                moved_permille,
                refused_permille,
                failing_proxies: p,
                trying_proxies: p,
                probers_permille,
                prober_seed,
                ..Status::default()
            }
        });
    let zones = proptest::collection::vec(zone, 1..=MAX_ZONES);
    (any::<u64>(), any::<u64>(), zones)
        .prop_map(|(number, incarnation, zones)| Map { epoch: Epoch { number, incarnation }, zones })
}

proptest! {
    #[test]
    fn messages_are_decoded_as_they_were_encoded(map in maps(), number: u64, no_map_since_start: bool, n in 0..=MAX_ZONES as u16) {
        let epoch = map.epoch;
        let one = |zone| ZoneObservation { zone, attempts: 9, failed: 3, members: 4, bad_members: 1, load: 9, mean_use: 7 };
        let report = Body::Report { seq: 1, to_incarnation: number, map_number: 2, map_hash: 3, own_zone: 4, observed: (0..n).map(one).collect() };
        let all = [
            report,
            Body::Prepare { number },
            Body::Promise { promised_epoch: epoch, no_map_since_start, map: map.clone() },
            Body::Propose { map: map.clone() },
            Body::Accepted { epoch },
            Body::Announce { map },
            Body::Query { epoch },
            Body::Confirm { epoch, hash: number },
        ];
        let from = Author { index: 3, incarnation: number };
        for body in all {
            let bytes = wire::write(from, &body, NOW);
            prop_assert!(wire::is_zones_message(&bytes) && bytes.len() <= wire::MAX_MESSAGE_BYTES);
            prop_assert_eq!(wire::read(&bytes[..bytes.len() - 1], NOW), None);
            prop_assert_eq!(wire::read(&bytes, NOW), Some((from, body)));
        }
    }

    /// Guards against datagrams that crash an instance or change its map: arbitrary bytes after a valid head
    /// cause no panic, and no map is adopted without a majority.
    #[test]
    fn arbitrary_bytes_change_no_map(mut bytes: Vec<u8>, kind in 32..40u8, is_decider: bool) {
        bytes.splice(0..bytes.len().min(3), [kind, 0, 1]);
        let mut z = instance(2);
        z.receive(NOW, 1, &bytes, ElectionView { is_decider, promised_to: None, decider: 0 }, &mut Vec::new());
        prop_assert_eq!(z.map().epoch, Epoch::default());
    }
}

/// Returns the instance of proxy 0 of 3, with this number of zones.
fn instance(zones: usize) -> Zones {
    let zone = Zone { kind: Kind::Parent, region: 0, warm_up: 0, fallbacks: vec![] };
    let (me, zones) = (Author { index: 0, incarnation: 7 }, vec![zone; zones]);
    let s = Settings { me, proxies: 3, voters: vec![0, 1, 2], own_zone: 0, lease: 1_000_000, zones };
    Zones::new(0, s).unwrap()
}

/// Guards against messages that no correct instance of this fleet sends: maps of other settings, messages in
/// another proxy's name, reports with impossible numbers or with a zone twice. They are counted as malformed
/// and dropped.
#[test]
fn invalid_messages_are_counted_and_dropped() {
    let by = Author { index: 1, incarnation: 9 };
    let observation = |zone, failed, bad_members| ZoneObservation {
        zone,
        attempts: 5,
        failed,
        members: 4,
        bad_members,
        load: 5,
        mean_use: 0,
    };
    let report = |observed| Body::Report {
        seq: 1,
        to_incarnation: 7,
        map_number: 0,
        map_hash: 0,
        own_zone: 0,
        observed,
    };
    let (map, election) =
        (Map::new(3, 0), ElectionView { is_decider: true, promised_to: Some(by), decider: 0 });
    let cases = [
        (1, Body::Announce { map: map.clone() }),
        (1, Body::Propose { map }),
        (2, Body::Prepare { number: 4 }),
        (1, report(vec![observation(0, 6, 0)])),
        (1, report(vec![observation(0, 5, 65_535)])),
        (1, report(vec![observation(0, 5, 4), observation(0, 5, 4)])),
    ];
    for (from, body) in cases {
        let (mut z, mut out) = (instance(2), Vec::new());
        z.receive(NOW, from, &wire::write(by, &body, NOW), election, &mut out);
        assert_eq!((z.counters.malformed, out.len()), (1, 0), "{body:?}");
    }
}
