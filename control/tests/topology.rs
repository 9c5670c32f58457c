//! Which lists of sites and regions are a topology, and what the errors say.
use threadward_control::topology::{MAX_GROUP_MEMBERS, MAX_PROXIES};
use threadward_control::{Level, Location, Topology, TopologyError};

fn at<'a>(region: &'a str, site: &'a str) -> Location<'a> {
    Location { region, site }
}

#[test]
fn lists_that_are_no_topology_are_refused_in_one_line() {
    let many = vec![at("north", "ams"); MAX_PROXIES + 1];
    let crowd = vec![at("north", "ams"); MAX_GROUP_MEMBERS + 1];
    let cases: [(&[Location], &str); 5] = [
        (&[], "the file names 0 proxies; this version takes 1 to 20000"),
        (&many, "the file names 20001 proxies; this version takes 1 to 20000"),
        (&[at("north", "ams"), at("", "cph")], "proxy 1: its region or site is not named"),
        (
            &[at("north", "ams"), at("south", "ams")],
            "site 'ams' is named in region 'north' and in region 'south'",
        ),
        (&crowd, "site 'ams' has 4097 members; this version takes 4096"),
    ];
    for (locations, expected) in cases {
        let error = Topology::new(locations).expect_err(expected);
        assert_eq!(error.to_string(), expected);
        assert!(!error.to_string().contains('\n'));
    }
    assert_eq!(Topology::new(&[]).err(), Some(TopologyError::ProxyCount(0)));
}

#[test]
fn groups_of_the_largest_fleet_are_within_their_bounds() {
    let names: Vec<String> = (0..300).map(|site| format!("s{site}")).collect();
    let regions: Vec<String> = (0..30).map(|region| format!("r{region}")).collect();
    // 6,800 proxies at 300 sites, dealt round, so that groups are not in the order of the file.
    let locations: Vec<Location> =
        (0..6800).map(|place| at(&regions[place % 300 / 10], &names[place % 300])).collect();
    let topology = Topology::new(&locations).unwrap();
    assert_eq!((topology.proxies(), topology.sites(), topology.regions()), (6800, 300, 30));
    let mut seen = vec![0; 6800];
    for site in 0..300 {
        for seat in 0..topology.members(Level::Site, site) {
            let place = topology.proxies_of_seat(Level::Site, site, seat)[0];
            assert_eq!(
                (topology.group_of(place, Level::Site), topology.seat_of(place, Level::Site)),
                (site, seat)
            );
            seen[usize::from(place)] += 1;
        }
    }
    assert!(seen.iter().all(|times| *times == 1), "each proxy in one site");
    let weights: u64 = (0..30).map(|region| topology.weight_of_seat(Level::Fleet, 0, region)).sum();
    assert_eq!(weights, 6800);
    assert_eq!(topology.members(Level::Fleet, 0), 30);
    assert!((0..30).all(|region| topology.members(Level::Region, region) == 10));
    assert!(topology.proxies_of_seat(Level::Region, 0, 10).is_empty());
    assert!(topology.proxies_of_seat(Level::Fleet, 1, 0).is_empty());
}

#[test]
fn voters_are_odd_in_number_and_five_at_most() {
    for (members, voters) in [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (6, 5), (40, 5)] {
        let topology = Topology::new(&vec![at("north", "ams"); members]).unwrap();
        let expected: Vec<u16> = (0..voters).collect();
        assert_eq!(topology.voters(Level::Site, 0), expected, "{members} members");
        assert_eq!(topology.voters(Level::Fleet, 0), [0]);
    }
}
