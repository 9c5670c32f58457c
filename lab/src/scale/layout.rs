//! The sites and regions of a fleet: sites contain proxies, regions contain sites, and both scale with the
//! fleet.
use super::target::Target;

/// The size of a fleet, with sites, regions and caches in the target's proportions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Number of proxies.
    pub proxies: usize,
    /// Number of sites, at least one.
    pub sites: usize,
    /// Number of regions, at least one. Each consists of whole sites.
    pub regions: usize,
    /// Number of cache servers, at least one.
    pub caches: usize,
}

impl Layout {
    /// Returns the target's layout scaled to `proxies`.
    pub fn scaled(target: &Target, proxies: usize) -> Layout {
        let fleet = &target.fleet;
        let in_proportion = |total: u32| {
            let exact = f64::from(total) * proxies as f64 / f64::from(fleet.proxies);
            (exact.round() as usize).max(1)
        };
        let sites = in_proportion(fleet.sites);
        Layout {
            proxies,
            sites,
            regions: in_proportion(fleet.regions).min(sites),
            caches: in_proportion(fleet.caches),
        }
    }

    /// Returns the site of a proxy. Proxies with adjacent indexes share a site.
    pub fn site(&self, index: usize) -> usize {
        index * self.sites / self.proxies
    }

    /// Returns the region of a site.
    pub fn region_of_site(&self, site: usize) -> usize {
        site * self.regions / self.sites
    }

    /// Returns the region of a proxy.
    pub fn region(&self, index: usize) -> usize {
        self.region_of_site(self.site(index))
    }

    /// Returns the indexes of a site's proxies.
    pub fn of_site(&self, site: usize) -> Vec<usize> {
        (0..self.proxies).filter(|p| self.site(*p) == site).collect()
    }

    /// Returns the indexes of a region's proxies.
    pub fn of_region(&self, region: usize) -> Vec<usize> {
        (0..self.proxies).filter(|p| self.region(*p) == region).collect()
    }

    /// Returns the voters of the star layout, spread over the fleet so that no rack or zone holds a majority
    /// of them.
    pub fn voters(&self) -> Vec<u16> {
        let count = if self.proxies >= 5 { 5 } else { 1 };
        (0..count).map(|i| (i * self.proxies / count) as u16).collect()
    }
}
