//! The keys and settings files of a mesh of real processes.

use std::{fs, net};

use heatherwalk::keys;
use world::hosts::Role;

use crate::{harness::Mesh, hosts};

impl Mesh {
    pub(super) fn write_keys(&self) {
        self.controls.iter().for_each(|it| self.issue_key(it, Role::Control));
        self.nodes.iter().for_each(|it| self.issue_key(it, Role::Node));
    }

    pub(super) fn issue_key(&self, host: &hosts::Host, role: Role) {
        let folder = self.folder.path();
        keys::issue_host(folder, &host.name, role, folder).expect("a key");
    }

    /// Writes the settings of all processes. With seeds, `bootstrap` says whether the controls may
    /// form the mesh.
    pub(super) fn write_settings(&self, bootstrap: bool) {
        let controls = match &self.seeds {
            Some(seeds) => discovery_section(seeds, bootstrap),
            None => self.control_sections(),
        };
        for it in &self.controls {
            let (clients, token) = (it.clients, &self.token);
            let data = self.folder.path().join(&it.name);
            let role = format!(
                "[control]\noperators = {clients}\ntoken = {token}\ndata = {}\n",
                data.display()
            );
            self.write_ini(it, "control", &(role + &controls));
        }
        for it in &self.nodes {
            let hosts::Host { clients, announce, .. } = it;
            let role = format!("[node]\ncallers = {clients}\nannounce = {announce}\n");
            self.write_ini(it, "node", &(role + &controls));
        }
    }

    fn control_sections(&self) -> String {
        let section = |it: &hosts::Host| {
            let hosts::Host { name, data_centre, listen, .. } = it;
            format!(
                "[control.{name}]\nregion = vidzeme\ndata-centre = {data_centre}\n\
                 address = {listen}\nvotes = configuration claims\n"
            )
        };
        self.controls.iter().map(section).collect()
    }

    /// Writes settings that name these controls as seeds, which take effect when a process starts
    /// or receives SIGHUP.
    pub fn set_seeds(&mut self, controls: &[usize]) {
        self.seeds = Some(controls.iter().map(|it| self.controls[*it].clients).collect());
        self.write_settings(false);
    }

    fn write_ini(&self, host: &hosts::Host, role: &str, rest: &str) {
        let folder = self.folder.path().display();
        let hosts::Host { name, data_centre, listen, metrics, .. } = host;
        let text = format!(
            "[host]\nname = {name}\nrole = {role}\nregion = vidzeme\n\
             data-centre = {data_centre}\nlisten = {listen}\nmetrics = {metrics}\n\
             [log]\nlevel = info\n[identity]\nauthority = {folder}/authority.pem\n\
             certificate = {folder}/{name}.pem\nkey = {folder}/{name}.key\n{rest}"
        );
        fs::write(self.file(name, "ini"), text).expect("written");
    }
}

fn discovery_section(seeds: &[net::SocketAddr], bootstrap: bool) -> String {
    let seeds: Vec<_> = seeds.iter().map(net::SocketAddr::to_string).collect();
    let seeds = seeds.join(",");
    format!("[discovery]\nseeds = {seeds}\nbootstrap = {bootstrap}\nclaims = off\n")
}
