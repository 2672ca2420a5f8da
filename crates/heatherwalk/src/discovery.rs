//! How a process that is told only a few addresses finds the controls of its mesh.
//!
//! Controls that start a mesh introduce themselves to each other and agree on who forms the groups:
//! the controls at the seeds' addresses. Every other process asks until a control knows all
//! controls. What a control has learned is kept on its disk, so that later starts need no seed.

mod gathering;
mod introductions;

use std::{fs, io, io::Write as _, net, path, time};

use compact_str::{CompactString, ToCompactString as _};
use protocol::operators;

pub use gathering::Gathering;

/// The file in a control's data folder with what it has learned.
const FILE: &str = "hosts.json";
/// Pause between two rounds of questions to the seeds.
const ROUND: time::Duration = time::Duration::from_millis(100);
/// How long one question may take.
const ASK_LIMIT: time::Duration = time::Duration::from_millis(500);

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file of known hosts cannot be used.
    #[error("{file}: {reason}")]
    File {
        /// The file's path.
        file: CompactString,
        /// What the system reported.
        reason: CompactString,
    },
    /// The port for introductions cannot be used.
    #[error(transparent)]
    Web(#[from] web::server::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What a process is told of its mesh.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Seeds {
    /// Operators' ports of some controls.
    pub addrs: Vec<net::SocketAddr>,
    /// Whether the mesh starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Whether the controls that form the groups keep claims as well.
    pub claims: bool,
}

/// Finds the controls, for a node.
pub async fn find(seeds: &Seeds) -> operators::ControlList {
    let client = web::client::Client::new(web::client::Limits::default());
    loop {
        for addr in &seeds.addrs {
            match introductions::ask(&client, *addr, None).await {
                Some(hosts) if hosts.formed => return hosts,
                _ => {}
            }
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// Finds the other controls, or forms the list with them, for a control at `listen`.
pub async fn join(
    seeds: &Seeds,
    me: operators::ControlRecord,
    listen: net::SocketAddr,
    folder: &path::Path,
) -> Result<operators::ControlList> {
    if let Some(hosts) = load(folder)? {
        log::info!("{} controls are known from the last start", hosts.controls.len());
        return Ok(hosts);
    }
    let hosts = gather(seeds, me, listen).await?;
    save(folder, &hosts)?;
    log::info!("found {} controls, {} of them vote", hosts.controls.len(), voters(&hosts));
    Ok(hosts)
}

async fn gather(
    seeds: &Seeds,
    me: operators::ControlRecord,
    listen: net::SocketAddr,
) -> Result<operators::ControlList> {
    let begun = time::Instant::now();
    let gathering = Gathering::new(seeds.clone(), me.clone());
    let server = introductions::Server::bind(listen, gathering).await?;
    let client = web::client::Client::new(web::client::Limits::default());
    loop {
        for addr in seeds.addrs.iter().filter(|it| **it != listen) {
            let answer = introductions::ask(&client, *addr, Some(&me)).await;
            if let Some(hosts) = answer {
                server.heard(*addr, hosts);
            }
        }
        if let Some(hosts) = server.result(begun.elapsed()) {
            server.stop().await;
            return Ok(hosts);
        }
        tokio::time::sleep(ROUND).await;
    }
}

fn voters(hosts: &operators::ControlList) -> usize {
    hosts.controls.iter().filter(|it| it.votes).count()
}

fn load(folder: &path::Path) -> Result<Option<operators::ControlList>> {
    let file = folder.join(FILE);
    match fs::read(&file) {
        Ok(bytes) => match serde_json::from_slice(&bytes) {
            Ok(hosts) => Ok(Some(hosts)),
            // A power loss can leave a part of the file; the seeds know the rest.
            Err(err) => {
                log::warn!("{} cannot be read and is made again: {err}", file.display());
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
