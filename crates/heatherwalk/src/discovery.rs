//! Discovery of a mesh's controls by a process whose settings name only some of them, the seeds.
//!
//! The controls that start a new mesh exchange their host records. Those at the seeds' addresses
//! become the voters of the groups. Every other process polls the seeds until one of them returns
//! the complete list of controls. A control stores the list in its data folder and waits for no
//! seed at later starts. A process that reaches none of the controls that it knows asks the seeds
//! again.

mod following;
mod introductions;
mod peer_table;
mod records;

use std::{fs, io, io::Write as _, net, path, time};

use compact_str::{CompactString, ToCompactString as _};
use protocol::operators;

pub use following::{follow_control, follow_node};
pub use peer_table::PeerTable;
pub use records::Error as RecordError;

/// The file with the list of controls, in a control's data folder.
const FILE: &str = "hosts.json";
/// Pause between two rounds in which all seeds are asked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The longest wait for the answer of one seed.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file with the list of controls cannot be read or written.
    #[error("cannot use {file}, the stored list of controls: {reason}")]
    File {
        /// The file's path.
        file: CompactString,
        /// The system's error.
        reason: CompactString,
    },
    /// The operators' port cannot be bound for the exchange of host records.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// The result of a control's discovery.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The settings of discovery.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seeds {
    /// Operator ports of the seeds.
    pub addrs: Vec<net::SocketAddr>,
    /// Whether this is the first start of a new mesh, whose disks are empty. Only then may the
    /// seeds form the groups.
    pub bootstrap: bool,
    /// Whether the voters of the configuration group also vote on claims.
    pub claims: bool,
}

/// Returns the complete list of controls to a node. Polls the seeds until one of them has the list,
/// however long that takes.
pub async fn find_controls(seeds: &Seeds) -> operators::ControlList {
    let client = web::client::Client::new(web::client::Limits::default());
    loop {
        for addr in &seeds.addrs {
            match introductions::ask(&client, *addr, None).await {
                Some(hosts) if hosts.formed => return hosts,
                _ => {}
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the complete list of controls to a control. Reads it from the data folder, or else polls
/// the seeds until one has it or until the seeds form it themselves, and stores it in the folder.
///
/// `me` is the control's own record, and `listen` its operators' port, where it answers the others
/// meanwhile. The port is free again when the list is returned.
///
/// # Errors
///
/// The stored file cannot be read or written, or the port cannot be bound. A damaged file is no
/// error: the controls are discovered again.
pub async fn join(
    seeds: &Seeds,
    me: operators::ControlRecord,
    listen: net::SocketAddr,
    folder: &path::Path,
) -> Result<operators::ControlList> {
    if let Some(hosts) = load(folder)? {
        log::info!(
            "using the stored list of {} controls; the seeds are asked if that leads to no leader",
            hosts.controls.len()
        );
        return Ok(hosts);
    }
    let hosts = poll_seeds(seeds, me, listen).await?;
    save(folder, &hosts)?;
    log::info!(
        "discovered {} controls, {} of them voters; the list is stored for later starts",
        hosts.controls.len(),
        count_voters(&hosts)
    );
    Ok(hosts)
}

async fn poll_seeds(
    seeds: &Seeds,
    me: operators::ControlRecord,
    listen: net::SocketAddr,
) -> Result<operators::ControlList> {
    let started = time::Instant::now();
    let table = PeerTable::new(seeds.clone(), me.clone());
    let server = introductions::Server::bind(listen, table).await?;
    let client = web::client::Client::new(web::client::Limits::default());
    loop {
        for addr in seeds.addrs.iter().filter(|it| **it != listen) {
            let answer = introductions::ask(&client, *addr, Some(&me)).await;
            if let Some(hosts) = answer {
                server.merge(*addr, hosts);
            }
        }
        if let Some(hosts) = server.complete_list(started.elapsed()) {
            server.stop().await;
            return Ok(hosts);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn count_voters(hosts: &operators::ControlList) -> usize {
    hosts.controls.iter().filter(|it| it.votes).count()
}

fn load(folder: &path::Path) -> Result<Option<operators::ControlList>> {
    let file = folder.join(FILE);
    match fs::read(&file) {
        Ok(bytes) => match records::parse_stored(&bytes) {
            Ok(hosts) => Ok(Some(hosts)),
            // A power loss can leave an incomplete file. The seeds have the whole list.
            Err(err) => {
                log::warn!(
                    "{} is damaged; the controls are discovered again: {err}",
                    file.display()
                );
                Ok(None)
            }
        },
        Err(err) if err.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(err) => Err(file_error(&file, &err)),
    }
}

fn save(folder: &path::Path, hosts: &operators::ControlList) -> Result<()> {
    let file = folder.join(FILE);
    let write = || -> io::Result<()> {
        fs::create_dir_all(folder)?;
        let mut out = fs::File::create(&file)?;
        out.write_all(&serde_json::to_vec(hosts)?)?;
        out.sync_all()?;
        fs::File::open(folder)?.sync_all()
    };
    write().map_err(|err| file_error(&file, &err))
}

fn file_error(file: &path::Path, error: &io::Error) -> Error {
    Error::File { file: file.display().to_compact_string(), reason: error.to_compact_string() }
}
