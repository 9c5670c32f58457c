//! Which lists of sites and regions are a valid topology, and what the error messages say.
use threadward_control::topology::{MAX_GROUP_MEMBERS, MAX_PROXIES};
use threadward_control::{Level, Location, Topology, TopologyError};

fn at<'a>(region: &'a str, site: &'a str) -> Location<'a> {
    Location { region, site }
}

/// Guards against an unusable file that is accepted, or rejected with a message of more than one line.
#[test]
fn invalid_topologies_are_rejected_in_one_line() {
    let too_many_proxies = vec![at("north", "ams"); MAX_PROXIES + 1];
    let too_many_members = vec![at("north", "ams"); MAX_GROUP_MEMBERS + 1];
    let cases: [(&[Location], &str); 5] = [
        (&[], "the file names 0 proxies; this version takes 1 to 20000"),
        (&too_many_proxies, "the file names 20001 proxies; this version takes 1 to 20000"),
        (&[at("north", "ams"), at("", "cph")], "proxy 1: its region or site is not named"),
        (
            &[at("north", "ams"), at("south", "ams")],
            "site 'ams' is named in region 'north' and in region 'south'",
        ),
        (&too_many_members, "site 'ams' has 4097 members; this version takes 4096"),
    ];
    for (locations, expected) in cases {
        let error = Topology::new(locations).expect_err(expected);
        assert_eq!(error.to_string(), expected);
        assert!(!error.to_string().contains('\n'));
    }
    assert_eq!(Topology::new(&[]).err(), Some(TopologyError::ProxyCount(0)));
}

/// Guards against proxies that are missing from the groups, or in a group twice, in a fleet whose file is not
/// sorted by site.
#[test]
fn groups_of_the_largest_fleet_are_within_their_bounds() {
    let names: Vec<String> = (0..300).map(|site| format!("s{site}")).collect();
    let regions: Vec<String> = (0..30).map(|region| format!("r{region}")).collect();
    // 6,800 proxies at 300 sites in turn, so that the members of a group are not adjacent in the file.
    let locations: Vec<Location> = (0..6800)
        .map(|proxy_index| at(&regions[proxy_index % 300 / 10], &names[proxy_index % 300]))
        .collect();
    let topology = Topology::new(&locations).unwrap();
    assert_eq!((topology.proxies(), topology.sites(), topology.regions()), (6800, 300, 30));
    let mut times_listed = vec![0; 6800];
    for site in 0..300 {
        for seat in 0..topology.members(Level::Site, site) {
            let proxy_index = topology.proxies_of_seat(Level::Site, site, seat)[0];
            assert_eq!(
                (topology.group_of(proxy_index, Level::Site), topology.seat_of(proxy_index, Level::Site)),
                (site, seat)
            );
            times_listed[usize::from(proxy_index)] += 1;
        }
    }
    assert!(times_listed.iter().all(|times| *times == 1), "each proxy in one site");
    let weights: u64 = (0..30).map(|region| topology.weight_of_seat(Level::Fleet, 0, region)).sum();
    assert_eq!(weights, 6800);
    assert_eq!(topology.members(Level::Fleet, 0), 30);
    assert!((0..30).all(|region| topology.members(Level::Region, region) == 10));
    assert!(topology.proxies_of_seat(Level::Region, 0, 10).is_empty());
    assert!(topology.proxies_of_seat(Level::Fleet, 1, 0).is_empty());
}

/// Guards against an even number of voters, which could split evenly, and against more than five
/// voters.
#[test]
fn the_number_of_voters_is_odd_and_at_most_five() {
    for (members, voters) in [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (6, 5), (40, 5)] {
        let topology = Topology::new(&vec![at("north", "ams"); members]).unwrap();
        let expected: Vec<u16> = (0..voters).collect();
        assert_eq!(topology.voters(Level::Site, 0), expected, "{members} members");
        assert_eq!(topology.voters(Level::Fleet, 0), [0]);
    }
}
