//! The mesh as one process knows it: arenas of regions, data centres, hosts and links.

use std::{collections, net, time};

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{data_centres, hosts, links};

/// One-way latency assumed inside a data centre.
pub const LOCAL_LATENCY: time::Duration = time::Duration::from_micros(100);
/// One-way latency assumed between two data centres of a region if their link is unknown.
pub const REGION_LATENCY: time::Duration = time::Duration::from_millis(1);
/// One-way latency assumed between two data centres of different regions if their link is unknown.
pub const REMOTE_LATENCY: time::Duration = time::Duration::from_millis(30);

/// Arenas of regions, data centres, hosts and links, with indexes from names to keys.
#[derive(Clone, Debug, Default)]
pub struct Mesh {
    regions: SlotMap<data_centres::RegionKey, data_centres::Region>,
    data_centres: SlotMap<data_centres::DataCentreKey, data_centres::DataCentre>,
    hosts: SlotMap<hosts::HostKey, hosts::Host>,
    links: SlotMap<links::LinkKey, links::Link>,
    region_names: collections::BTreeMap<CompactString, data_centres::RegionKey>,
    centre_names: collections::BTreeMap<CompactString, data_centres::DataCentreKey>,
    host_names: collections::BTreeMap<CompactString, hosts::HostKey>,
    link_ends: collections::HashMap<LinkEnds, links::LinkKey>,
}

/// The two ends of a link, the lower key first.
type LinkEnds = (data_centres::DataCentreKey, data_centres::DataCentreKey);

impl Mesh {
    /// Returns the key of the region called `name`. Adds the region if it is new.
    pub fn add_region(&mut self, name: &str) -> data_centres::RegionKey {
        if let Some(&key) = self.region_names.get(name) {
            return key;
        }
        let key = self.regions.insert(data_centres::Region { name: name.into() });
        self.region_names.insert(name.into(), key);
        key
    }

    /// Returns the key of the data centre called `name`. Adds it to `region` if it is new;
    /// otherwise `region` is ignored.
    pub fn add_data_centre(
        &mut self,
        name: &str,
        region: data_centres::RegionKey,
    ) -> data_centres::DataCentreKey {
        if let Some(&key) = self.centre_names.get(name) {
            return key;
        }
        let key = self.data_centres.insert(data_centres::DataCentre { name: name.into(), region });
        self.centre_names.insert(name.into(), key);
        key
    }

    /// Adds a host, or replaces the host with the same name, which keeps its key.
    pub fn put_host(&mut self, host: hosts::Host) -> hosts::HostKey {
        if let Some(&key) = self.host_names.get(&host.name) {
            self.hosts[key] = host;
            return key;
        }
        let name = host.name.clone();
        let key = self.hosts.insert(host);
        self.host_names.insert(name, key);
        key
    }

    /// Adds a control, or replaces the host with the same name, which keeps its key. Adds its data
    /// centre and region if they are new.
    pub fn put_control(
        &mut self,
        name: &str,
        region: &str,
        data_centre: &str,
        addr: net::SocketAddr,
    ) -> hosts::HostKey {
        let region = self.add_region(region);
        let data_centre = self.add_data_centre(data_centre, region);
        let role = hosts::Role::Control;
        self.put_host(hosts::Host { name: name.into(), addr, data_centre, role })
    }

    /// Removes the host called `name`. Its key is not used again.
    pub fn remove_host(&mut self, name: &str) {
        if let Some(key) = self.host_names.remove(name) {
            self.hosts.remove(key);
        }
    }

    /// Sets the one-way latency between two data centres, adding their link if it is new.
    pub fn put_link(
        &mut self,
        a: data_centres::DataCentreKey,
        b: data_centres::DataCentreKey,
        latency: time::Duration,
    ) -> links::LinkKey {
        let ends = if a <= b { (a, b) } else { (b, a) };
        let link = links::Link { a: ends.0, b: ends.1, latency };
        if let Some(&key) = self.link_ends.get(&ends) {
            self.links[key] = link;
            return key;
        }
        let key = self.links.insert(link);
        self.link_ends.insert(ends, key);
        key
    }

    /// Returns the region with this key, if there is one.
    pub fn region(&self, key: data_centres::RegionKey) -> Option<&data_centres::Region> {
        self.regions.get(key)
    }

    /// Returns the data centre with this key, if there is one.
    pub fn data_centre(
        &self,
        key: data_centres::DataCentreKey,
    ) -> Option<&data_centres::DataCentre> {
        self.data_centres.get(key)
    }

    /// Returns the host with this key, if there is one.
    pub fn host(&self, key: hosts::HostKey) -> Option<&hosts::Host> {
        self.hosts.get(key)
    }

    /// Returns the key of the region called `name`.
    pub fn find_region(&self, name: &str) -> Option<data_centres::RegionKey> {
        self.region_names.get(name).copied()
    }

    /// Returns the key of the data centre called `name`.
    pub fn find_data_centre(&self, name: &str) -> Option<data_centres::DataCentreKey> {
        self.centre_names.get(name).copied()
    }

    /// Returns the key of the host called `name`.
    pub fn find_host(&self, name: &str) -> Option<hosts::HostKey> {
        self.host_names.get(name).copied()
    }

    /// Returns all hosts, in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = (hosts::HostKey, &hosts::Host)> {
        self.host_names.values().map(|&key| (key, &self.hosts[key]))
    }

    /// Returns the one-way latency between two data centres: that of their link, or an assumed one
    /// if the link is unknown.
    pub fn latency(
        &self,
        a: data_centres::DataCentreKey,
        b: data_centres::DataCentreKey,
    ) -> time::Duration {
        if a == b {
            return LOCAL_LATENCY;
        }
        let ends = if a <= b { (a, b) } else { (b, a) };
        if let Some(&key) = self.link_ends.get(&ends) {
            return self.links[key].latency;
        }
        let region = |key| self.data_centres.get(key).map(|it| it.region);
        if region(a) == region(b) { REGION_LATENCY } else { REMOTE_LATENCY }
    }
}
