//! The topology of the fleet: which proxies form a site and which sites form a region. It is built once from
//! the operators' file and shared by reference, so that the state of one proxy does not grow with the fleet.
use std::collections::BTreeMap;
use std::fmt;

/// The largest number of proxies in a file.
pub const MAX_PROXIES: usize = 20_000;
/// The largest number of members of one group: proxies of a site, sites of a region or regions of the fleet.
pub const MAX_GROUP_MEMBERS: usize = threadward_budgets::MAX_PROXIES;
/// The largest number of voters of a group.
const MAX_VOTERS: usize = 5;

/// The location of one proxy, by the names in the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location<'a> {
    /// The name of the region.
    pub region: &'a str,
    /// The name of the site, unique in the whole fleet.
    pub site: &'a str,
}

/// The reason why a list of locations is not a valid topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopologyError {
    /// The list has no proxy or more than [`MAX_PROXIES`].
    ProxyCount(usize),
    /// A proxy has no region or no site.
    Unnamed {
        /// The index of the proxy in the file.
        proxy_index: usize,
    },
    /// A site is listed in two regions.
    SiteInTwoRegions {
        /// The name of the site.
        site: String,
        /// The region in which it was listed first.
        first: String,
        /// The other region.
        second: String,
    },
    /// A group has more than [`MAX_GROUP_MEMBERS`] members.
    GroupTooLarge {
        /// A description of the group that contains its name.
        group: String,
        /// The number of its members.
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
    /// Groups of the proxies of one site.
    Site,
    /// Groups of the sites of one region.
    Region,
    /// The single group of all regions.
    Fleet,
}

/// One site.
#[derive(Clone, Debug)]
struct Site {
    region: u16,
    /// Its index among the sites of its region.
    seat: u16,
    /// The indices of its proxies, in the order of the file.
    proxies: Vec<u16>,
}

/// One region.
#[derive(Clone, Debug)]
struct Region {
    /// Indices into the list of all sites.
    sites: Vec<u16>,
    /// The indices of all its proxies.
    proxies: Vec<u16>,
}

/// The position of one proxy.
#[derive(Clone, Copy, Debug)]
struct Position {
    site: u16,
    /// Its index among the proxies of its site.
    seat: u16,
}

/// The groups of all levels.
///
/// Members of a group are called seats: a seat is a proxy of a site, a site of a region, or a region of the
/// fleet.
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
    /// Builds the groups from the location of each proxy, in the order of the file.
    ///
    /// # Errors
    /// Returns the first problem that is found in the list.
    pub fn new(locations: &[Location<'_>]) -> Result<Topology, TopologyError> {
        if !(1..=MAX_PROXIES).contains(&locations.len()) {
            return Err(TopologyError::ProxyCount(locations.len()));
        }
        let mut builder = Builder::default();
        for (proxy_index, location) in locations.iter().enumerate() {
            builder.add(proxy_index, *location)?;
        }
        builder.finish()
    }

    /// Returns the number of proxies.
    pub fn proxies(&self) -> usize {
        self.positions.len()
    }

    /// Returns the number of sites.
    pub fn sites(&self) -> usize {
        self.sites.len()
    }

    /// Returns the number of regions.
    pub fn regions(&self) -> usize {
        self.regions.len()
    }

    /// Returns the group of a proxy at a level: the index of its site or region, 0 for the fleet.
    ///
    /// # Panics
    /// Panics if no proxy in the file has this index.
    pub fn group_of(&self, proxy_index: u16, level: Level) -> u16 {
        let site = self.positions[usize::from(proxy_index)].site;
        match level {
            Level::Site => site,
            Level::Region => self.sites[usize::from(site)].region,
            Level::Fleet => 0,
        }
    }

    /// Returns the seat that represents a proxy in its group at a level: the proxy itself, its site or its
    /// region.
    ///
    /// # Panics
    /// Panics if no proxy in the file has this index.
    pub fn seat_of(&self, proxy_index: u16, level: Level) -> u16 {
        let position = self.positions[usize::from(proxy_index)];
        let site = &self.sites[usize::from(position.site)];
        match level {
            Level::Site => position.seat,
            Level::Region => site.seat,
            Level::Fleet => site.region,
        }
    }

    /// Returns the number of members of a group, 0 for a group that does not exist.
    pub fn members(&self, level: Level, group: u16) -> u16 {
        let count = match level {
            Level::Site => self.sites.get(usize::from(group)).map_or(0, |site| site.proxies.len()),
            Level::Region => self.regions.get(usize::from(group)).map_or(0, |region| region.sites.len()),
            Level::Fleet if group == 0 => self.regions.len(),
            Level::Fleet => 0,
        };
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Returns the indices of the proxies that belong to a seat of a group; empty if there is no such seat.
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

    /// Returns the weight of a seat: the number of proxies that belong to it.
    pub fn weight_of_seat(&self, level: Level, group: u16, seat: u16) -> u64 {
        self.proxies_of_seat(level, group, seat).len() as u64
    }

    /// Returns the seats that vote in a group: the first 1, 3 or 5.
    pub fn voters(&self, level: Level, group: u16) -> Vec<u16> {
        let members = self.members(level, group);
        let max_voters = MAX_VOTERS.min(usize::from(members)) as u16;
        let odd = if max_voters.is_multiple_of(2) { max_voters.saturating_sub(1) } else { max_voters };
        (0..odd).collect()
    }
}

/// Collects the sites and regions by name while the list is read.
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
    fn add(&mut self, proxy_index: usize, location: Location<'a>) -> Result<(), TopologyError> {
        if location.region.is_empty() || location.site.is_empty() {
            return Err(TopologyError::Unnamed { proxy_index });
        }
        let region = self.region(location.region);
        let site = self.site(location.site, region);
        let listed_region = self.sites[usize::from(site)].region;
        if listed_region != region {
            return Err(TopologyError::SiteInTwoRegions {
                site: location.site.to_owned(),
                first: self.region_names[usize::from(listed_region)].to_owned(),
                second: location.region.to_owned(),
            });
        }
        // The index is less than MAX_PROXIES, which fits into 16 bits.
        let proxy_index = proxy_index as u16;
        let members = &mut self.sites[usize::from(site)].proxies;
        self.positions.push(Position { site, seat: members.len() as u16 });
        members.push(proxy_index);
        self.regions[usize::from(region)].proxies.push(proxy_index);
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
