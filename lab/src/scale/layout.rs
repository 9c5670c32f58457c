//! Where the proxies of a fleet stand: sites of proxies, regions of sites, scaled down along with the fleet.
use super::target::Target;

/// A fleet of some size, with places, caches and regions in the target's proportions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Proxies.
    pub proxies: usize,
    /// Sites, at least one.
    pub sites: usize,
    /// Regions of whole sites, at least one.
    pub regions: usize,
    /// Cache servers, at least one.
    pub caches: usize,
}

impl Layout {
    /// The target scaled to so many proxies.
    pub fn scaled(target: &Target, proxies: usize) -> Layout {
        let fleet = &target.fleet;
        let rounded = |whole: u32| {
            let exact = f64::from(whole) * proxies as f64 / f64::from(fleet.proxies);
            (exact.round() as usize).max(1)
        };
        let sites = rounded(fleet.sites);
        Layout { proxies, sites, regions: rounded(fleet.regions).min(sites), caches: rounded(fleet.caches) }
    }

    /// The site of a proxy: neighbours in the file stand together.
    pub fn site(&self, place: usize) -> usize {
        place * self.sites / self.proxies
    }

    /// The region of a site.
    pub fn region_of_site(&self, site: usize) -> usize {
        site * self.regions / self.sites
    }

    /// The region of a proxy.
    pub fn region(&self, place: usize) -> usize {
        self.region_of_site(self.site(place))
    }

    /// The proxies of a site.
    pub fn of_site(&self, site: usize) -> Vec<usize> {
        (0..self.proxies).filter(|p| self.site(*p) == site).collect()
    }

    /// The proxies of a region.
    pub fn of_region(&self, region: usize) -> Vec<usize> {
        (0..self.proxies).filter(|p| self.region(*p) == region).collect()
    }

    /// Voters of the star, spread over the fleet so that no rack or zone holds a majority of them.
    pub fn voters(&self) -> Vec<u16> {
        let many = if self.proxies >= 5 { 5 } else { 1 };
        (0..many).map(|i| (i * self.proxies / many) as u16).collect()
    }
}
