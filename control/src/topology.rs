//! Which proxies form a site and which sites form a region. Built once from the operators' file and shared by reference,
//! so that the state of one proxy does not grow with the fleet.
use std::collections::BTreeMap;
use std::fmt;

/// Proxies that a file may name.
pub const MAX_PROXIES: usize = 20_000;
/// Members of one group: proxies of a site, sites of a region or regions of the fleet.
pub const MAX_GROUP_MEMBERS: usize = threadward_budgets::MAX_PROXIES;
/// Voters of a group at most.
const MAX_VOTERS: usize = 5;

/// Where one proxy stands, by the names in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location<'a> {
    /// Name of the region.
    pub region: &'a str,
    /// Name of the site, unique in the whole fleet.
    pub site: &'a str,
}

/// Why a list of locations is no topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    /// No proxy or more than [`MAX_PROXIES`].
    ProxyCount(usize),
    /// A proxy without a region or site.
    Unnamed {
        /// Index of the proxy in the file.
        proxy_index: usize,
    },
    /// A site stands in two regions.
    SiteInTwoRegions {
        /// Name of the site.
        site: String,
        /// The region in which it was named first.
        first: String,
        /// The other one.
        second: String,
    },
    /// A group has more than [`MAX_GROUP_MEMBERS`] members.
    GroupTooLarge {
        /// Which group, with its name.
        group: String,
        /// How many members it has.
        members: usize,
    },
}

impl fmt::Display for TopologyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TopologyError::ProxyCount(count) => {
                write!(formatter, "the file names {count} proxies; this version takes 1 to {MAX_PROXIES}")
            }
            TopologyError::Unnamed { proxy_index } => {
                write!(formatter, "proxy {proxy_index}: its region or site is not named")
            }
            TopologyError::SiteInTwoRegions { site, first, second } => {
                write!(formatter, "site '{site}' is named in region '{first}' and in region '{second}'")
            }
            TopologyError::GroupTooLarge { group, members } => {
                write!(formatter, "{group} has {members} members; this version takes {MAX_GROUP_MEMBERS}")
            }
        }
    }
}

impl std::error::Error for TopologyError {}

/// A level of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// A group of the proxies of one site.
    Site,
    /// A group of the sites of one region.
    Region,
    /// The group of all regions.
    Fleet,
}

/// Proxies of one site.
#[derive(Clone, Debug)]
struct Site {
    region: u16,
    /// Index among the sites of its region.
    seat: u16,
    /// Places of its proxies, in the order of the file.
    proxies: Vec<u16>,
}

/// Sites of one region.
#[derive(Clone, Debug)]
struct Region {
    /// Indices into the list of sites.
    sites: Vec<u16>,
    /// Places of all its proxies.
    proxies: Vec<u16>,
}

/// Position of one proxy.
#[derive(Clone, Copy, Debug)]
struct Position {
    site: u16,
    /// Index among the proxies of its site.
    seat: u16,
}

/// The groups of all levels.
///
/// ```
/// use threadward_control::{Level, Location, Topology};
///
/// let at = |region, site| Location { region, site };
/// let fleet = [at("north", "ams"), at("north", "ams"), at("north", "cph"), at("south", "gru")];
/// let topology = Topology::new(&fleet)?;
/// assert_eq!((topology.proxies(), topology.sites(), topology.regions()), (4, 3, 2));
/// assert_eq!(topology.group_of(2, Level::Region), 0);
/// assert_eq!(topology.seat_of(2, Level::Region), 1);
/// assert_eq!(topology.members(Level::Region, 0), 2);
/// assert_eq!(topology.proxies_of_seat(Level::Region, 0, 0), &[0, 1]);
/// # Ok::<(), threadward_control::TopologyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Topology {
    positions: Vec<Position>,
    sites: Vec<Site>,
    regions: Vec<Region>,
}

impl Topology {
    /// The groups that follow from where each proxy stands, in the order of the file.
    ///
    /// # Errors
    /// The first thing that is wrong with the list.
    pub fn new(locations: &[Location<'_>]) -> Result<Topology, TopologyError> {
        if !(1..=MAX_PROXIES).contains(&locations.len()) {
            return Err(TopologyError::ProxyCount(locations.len()));
        }
        let mut builder = Builder::default();
        for (place, location) in locations.iter().enumerate() {
            builder.add(place, *location)?;
        }
        builder.finish()
    }

    /// Number of proxies.
    pub fn proxies(&self) -> usize {
        self.positions.len()
    }

    /// Number of sites.
    pub fn sites(&self) -> usize {
        self.sites.len()
    }

    /// Number of regions.
    pub fn regions(&self) -> usize {
        self.regions.len()
    }

    /// The group of a proxy at a level: the index of its site or region, 0 for the fleet.
    ///
    /// # Panics
    /// If the place is not in the file.
    pub fn group_of(&self, place: u16, level: Level) -> u16 {
        let site = self.positions[usize::from(place)].site;
        match level {
            Level::Site => site,
            Level::Region => self.sites[usize::from(site)].region,
            Level::Fleet => 0,
        }
    }

    /// The member of its group at a level that stands for a proxy: itself, its site or its region.
    ///
    /// # Panics
    /// If the place is not in the file.
    pub fn seat_of(&self, place: u16, level: Level) -> u16 {
        let position = self.positions[usize::from(place)];
        let site = &self.sites[usize::from(position.site)];
        match level {
            Level::Site => position.seat,
            Level::Region => site.seat,
            Level::Fleet => site.region,
        }
    }

    /// Members of a group; 0 for one that does not exist.
    pub fn members(&self, level: Level, group: u16) -> u16 {
        let count = match level {
            Level::Site => self.sites.get(usize::from(group)).map_or(0, |site| site.proxies.len()),
            Level::Region => self.regions.get(usize::from(group)).map_or(0, |region| region.sites.len()),
            Level::Fleet if group == 0 => self.regions.len(),
            Level::Fleet => 0,
        };
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Places of the proxies that stand behind a seat of a group; none where there is no such seat.
    pub fn proxies_of_seat(&self, level: Level, group: u16, seat: u16) -> &[u16] {
        let (group, seat) = (usize::from(group), usize::from(seat));
        let proxies = match level {
            Level::Site => self.sites.get(group).and_then(|site| site.proxies.get(seat..=seat)),
            Level::Region => {
                let site = self.regions.get(group).and_then(|region| region.sites.get(seat));
                site.map(|index| &self.sites[usize::from(*index)].proxies[..])
            }
            Level::Fleet => self.regions.get(seat).filter(|_| group == 0).map(|region| &region.proxies[..]),
        };
        proxies.unwrap_or_default()
    }

    /// Weight of a seat: the number of proxies behind it.
    pub fn weight_of_seat(&self, level: Level, group: u16, seat: u16) -> u64 {
        self.proxies_of_seat(level, group, seat).len() as u64
    }

    /// Seats that vote in a group: the first 1, 3 or 5.
    pub fn voters(&self, level: Level, group: u16) -> Vec<u16> {
        let members = self.members(level, group);
        let most = MAX_VOTERS.min(usize::from(members)) as u16;
        let odd = if most.is_multiple_of(2) { most.saturating_sub(1) } else { most };
        (0..odd).collect()
    }
}

/// Collects sites and regions by name.
#[derive(Default)]
struct Builder<'a> {
    positions: Vec<Position>,
    sites: Vec<Site>,
    regions: Vec<Region>,
    site_names: Vec<&'a str>,
    region_names: Vec<&'a str>,
    site_by_name: BTreeMap<&'a str, u16>,
    region_by_name: BTreeMap<&'a str, u16>,
}

impl<'a> Builder<'a> {
    fn add(&mut self, place: usize, location: Location<'a>) -> Result<(), TopologyError> {
        if location.region.is_empty() || location.site.is_empty() {
            return Err(TopologyError::Unnamed { proxy_index: place });
        }
        let region = self.region(location.region);
        let site = self.site(location.site, region);
        let found = self.sites[usize::from(site)].region;
        if found != region {
            return Err(TopologyError::SiteInTwoRegions {
                site: location.site.to_owned(),
                first: self.region_names[usize::from(found)].to_owned(),
                second: location.region.to_owned(),
            });
        }
        // Bounded by MAX_PROXIES, which fits.
        let place = place as u16;
        let members = &mut self.sites[usize::from(site)].proxies;
        self.positions.push(Position { site, seat: members.len() as u16 });
        members.push(place);
        self.regions[usize::from(region)].proxies.push(place);
        Ok(())
    }

    fn region(&mut self, name: &'a str) -> u16 {
        if let Some(index) = self.region_by_name.get(name) {
            return *index;
        }
        let index = self.regions.len() as u16;
        self.regions.push(Region { sites: Vec::new(), proxies: Vec::new() });
        self.region_names.push(name);
        self.region_by_name.insert(name, index);
        index
    }

    fn site(&mut self, name: &'a str, region: u16) -> u16 {
        if let Some(index) = self.site_by_name.get(name) {
            return *index;
        }
        let index = self.sites.len() as u16;
        let siblings = &mut self.regions[usize::from(region)].sites;
        self.sites.push(Site { region, seat: siblings.len() as u16, proxies: Vec::new() });
        siblings.push(index);
        self.site_names.push(name);
        self.site_by_name.insert(name, index);
        index
    }

    fn finish(self) -> Result<Topology, TopologyError> {
        let check = |group: String, members: usize| match members {
            0..=MAX_GROUP_MEMBERS => Ok(()),
            _ => Err(TopologyError::GroupTooLarge { group, members }),
        };
        for (site, name) in self.sites.iter().zip(&self.site_names) {
            check(format!("site '{name}'"), site.proxies.len())?;
        }
        for (region, name) in self.regions.iter().zip(&self.region_names) {
            check(format!("region '{name}'"), region.sites.len())?;
        }
        check("the fleet".to_owned(), self.regions.len())?;
        Ok(Topology { positions: self.positions, sites: self.sites, regions: self.regions })
    }
}
