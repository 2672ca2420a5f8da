//! The settings files of a soak's processes, and the first version of the document.

use std::{fs, io, net, path};

use heatherwalk::keys;
use world::hosts as roles;

use super::{host_set, hosts, teams};

/// The token of operators' requests. It needn't be secret, since the ports are on loopback.
pub(crate) const TOKEN: &str = "soak-token-for-loopback";
const REGION: &str = "vidzeme";
/// The services; a node's backend server gives the one at the node's position modulo their number.
pub(crate) const SERVICES: [Service; 2] =
    [Service { name: "logbook", prefix: "/logs" }, Service { name: "sondelab", prefix: "/lab" }];
/// The requests that a backend server runs at the same time.
pub(crate) const SLOTS: u32 = 8;

/// A service and the prefix of its route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) prefix: &'static str,
}

/// The service that the backend server of a node gives.
pub(crate) fn service_of(node: usize) -> Service {
    SERVICES[node % SERVICES.len()]
}

/// The first version of the document.
pub(crate) fn document() -> serde_json::Value {
    let mut document =
        serde_json::json!({"services": {}, "routes": {}, "teams": teams::document()});
    for Service { name, prefix } in SERVICES {
        document["services"][name] = serde_json::json!({
            "home": REGION, "slots": SLOTS, "queue": 32, "timeout_ms": 5_000,
        });
        document["routes"][name] = serde_json::json!({"prefix": prefix, "service": name});
    }
    document
}

/// Writes keys and settings of all hosts into `folder`. `relays` are the addresses by which the
/// processes know each other, and `addrs` those that they bind, both by host. The controls keep
/// their data in `data`.
pub(crate) fn write(
    folder: &path::Path,
    data: &path::Path,
    addrs: &[hosts::Addrs],
    relays: &[net::SocketAddr],
) -> eyre::Result<Vec<hosts::Files>> {
    keys::create_authority(folder)?;
    let mut controls = String::new();
    for (index, relay) in relays.iter().enumerate().take(host_set::CONTROLS) {
        let id = host_set::HostId(index);
        controls += &format!(
            "[control.{id}]\nregion = {REGION}\ndata-centre = {}\naddress = {relay}\n\
             votes = configuration claims\n",
            host_set::DATA_CENTRES[id.data_centre()],
        );
    }
    let mut files = Vec::new();
    for (index, (addrs, relay)) in addrs.iter().zip(relays).enumerate() {
        let id = host_set::HostId(index);
        let role = if id.node().is_some() { roles::Role::Node } else { roles::Role::Control };
        keys::issue_host(folder, &id.to_string(), role, folder)?;
        files.push(write_ini(folder, &data.join(id.to_string()), id, *addrs, *relay, &controls)?);
    }
    Ok(files)
}

fn write_ini(
    folder: &path::Path,
    data: &path::Path,
    id: host_set::HostId,
    addrs: hosts::Addrs,
    relay: net::SocketAddr,
    controls: &str,
) -> io::Result<hosts::Files> {
    let file = |extension: &str| folder.join(format!("{id}.{extension}"));
    let keys = folder.display();
    let hosts::Addrs { listen, clients, announce, metrics } = addrs;
    let (role, section) = match id.node() {
        Some(_) => (
            "node",
            format!("[node]\ncallers = {clients}\nannounce = {announce}\nadvertise = {relay}\n"),
        ),
        None => (
            "control",
            format!(
                "[control]\noperators = {clients}\ntoken = {TOKEN}\ndata = {}\n",
                data.display()
            ),
        ),
    };
    let text = format!(
        "[host]\nname = {id}\nrole = {role}\nregion = {REGION}\ndata-centre = {}\n\
         listen = {listen}\nmetrics = {metrics}\n[log]\nlevel = info\n[identity]\n\
         authority = {keys}/authority.pem\ncertificate = {keys}/{id}.pem\nkey = {keys}/{id}.key\n\
         {section}{controls}",
        host_set::DATA_CENTRES[id.data_centre()],
    );
    fs::write(file("ini"), text)?;
    Ok(hosts::Files { settings: file("ini"), log: file("log"), data: data.into() })
}
