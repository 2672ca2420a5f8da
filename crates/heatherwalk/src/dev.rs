//! A whole mesh in one process, on loopback, for a newcomer to try.

use std::{io, net, time};

use compact_str::{CompactString, format_compact};
use transport::identity;
use world::{hosts, mesh};

use crate::{api_client, example, metrics, operators, roles};

/// The token of the operators' port. The ports are on loopback and the mesh holds no data.
pub const TOKEN: &str = "dev-token-for-loopback";

const REGION: &str = "vidzeme";
const STOP_LIMIT: time::Duration = time::Duration::from_secs(5);
/// How long the first version may take: the control's election and its answer.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);
const START_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The nodes with their data centres and the services of their example backend servers.
const NODES: [(&str, &str, &str); 3] = [
    ("skulte-1", "skulte", "logbook"),
    ("jugla-1", "jugla", "logbook"),
    ("jugla-2", "jugla", "sondelab"),
];

/// An error of this module.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first version was not accepted.
    #[error("the first version was not accepted: {0}")]
    Create(CompactString),
    /// The temporary data folder cannot be made.
    #[error("cannot make a temporary folder: {0}")]
    Folder(#[from] io::Error),
    /// A role could not start.
    #[error(transparent)]
    Role(#[from] roles::Error),
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running mesh. [`Dev::stop`] ends it as planned.
pub struct Dev {
    control: control::running::Control,
    nodes: Vec<node::running::Node>,
    servers: Vec<example::Server>,
    /// Removed when the mesh ends.
    _folder: tempfile::TempDir,
}

struct Ports {
    next: Option<u16>,
}

impl Ports {
    fn take(&mut self) -> net::SocketAddr {
        let port = self.next.unwrap_or(0);
        self.next = self.next.map(|it| it.saturating_add(1));
        (net::Ipv4Addr::LOCALHOST, port).into()
    }
}

impl Dev {
    /// Starts a control, nodes and example backend servers, and creates the first version.
    pub async fn spawn(port: Option<u16>) -> Result<Dev> {
        let mut ports = Ports { next: port };
        let folder = tempfile::tempdir()?;
        let authority = identity::Authority::create().map_err(roles::Error::from)?;
        let control = spawn_control(&authority, &mut ports, folder.path().into()).await?;
        let listen = control.listen().map_err(roles::Error::from)?;
        let mut nodes = Vec::new();
        let mut servers = Vec::new();
        for (name, centre, service) in NODES {
            let node = spawn_node(&authority, &mut ports, listen, name, centre).await?;
            let settings = example::Settings {
                service: service.into(),
                name: name.into(),
                announce: node.announce(),
                slots: 6,
            };
            let handler = example::echo(format_compact!("{service} on {name}"));
            let server = example::Server::spawn(settings, handler).await;
            servers.push(server.map_err(roles::Error::from)?);
            nodes.push(node);
        }
        let dev = Dev { control, nodes, servers, _folder: folder };
        create(dev.control.operators()).await?;
        Ok(dev)
    }

    /// Where operators' requests arrive.
    pub fn operators(&self) -> net::SocketAddr {
        self.control.operators()
    }

    /// Where callers' requests arrive, at each node.
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(node::running::Node::callers).collect()
    }

    /// What to try, for a person.
    pub fn guide(&self) -> String {
        let operators = self.operators();
        let mut text = format!("operators: http://{operators} (token {TOKEN})\n");
        for (node, (name, centre, service)) in self.nodes.iter().zip(NODES) {
            let callers = node.callers();
            text += &format!("node {name} in {centre}: http://{callers} beside {service}\n");
        }
        let callers = self.nodes[0].callers();
        text += &format!(
            "\ntry a request, then a patch that sends it elsewhere, then the request again:\n\
             \n  curl http://{callers}/logs\n\
             \n  echo '{{\"routes\":{{\"logs\":{{\"service\":\"sondelab\"}}}}}}' |\n    \
             HEATHERWALK_TOKEN={TOKEN} heatherwalk patch --control {operators} --base 1 --file - \
             --wait\n\nCtrl-C ends it.\n"
        );
        text
    }

    /// Ends the mesh as planned.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
        for server in self.servers {
            server.stop(STOP_LIMIT).await;
        }
        self.control.stop().await;
    }
}

async fn spawn_control(
    authority: &identity::Authority,
    ports: &mut Ports,
    data: std::path::PathBuf,
) -> Result<control::running::Control> {
    let mut mesh = mesh::Mesh::default();
    let me = put_control(&mut mesh, ports.take());
    let settings = control::settings::Settings {
        mesh,
        me,
        config_voters: vec![me],
        claims_voters: vec![me],
        operators: ports.take(),
        token: Some(TOKEN.into()),
        dialect: control::dialect::OWN,
        election: time::Duration::from_secs(1),
        metrics: ports.take(),
        data,
        workers: 2,
        stop_limit: STOP_LIMIT,
    };
    let identity = authority.issue("skulte-c", hosts::Role::Control).map_err(roles::Error::from)?;
    let metrics = metrics::Metrics::new().map_err(roles::Error::from)?;
    let instruments = control::instruments::Instruments::new(&metrics.meter());
    let control = control::running::Control::spawn(settings, &identity, instruments).await;
    Ok(control.map_err(roles::Error::from)?)
}

async fn spawn_node(
    authority: &identity::Authority,
    ports: &mut Ports,
    control: net::SocketAddr,
    name: &str,
    centre: &str,
) -> Result<node::running::Node> {
    let mut mesh = mesh::Mesh::default();
    put_control(&mut mesh, control);
    let region = mesh.add_region(REGION);
    let data_centre = mesh.add_data_centre(centre, region);
    let host =
        hosts::Host { name: name.into(), addr: ports.take(), data_centre, role: hosts::Role::Node };
    let me = mesh.put_host(host);
    let settings = node::settings::Settings {
        mesh,
        me,
        callers: ports.take(),
        announce: ports.take(),
        ready: None,
        dialect: node::dialect::OWN,
        service: "".into(),
        lease: membership::local_target::ANNOUNCEMENT_LEASE,
        tokens: true,
        policy: routing::policy::DEFAULT,
        linger: time::Duration::ZERO,
        retry_percent: routing::budget::RETRY_PERCENT,
        metrics: ports.take(),
        workers: 2,
        stop_limit: STOP_LIMIT,
    };
    let identity = authority.issue(name, hosts::Role::Node).map_err(roles::Error::from)?;
    let metrics = metrics::Metrics::new().map_err(roles::Error::from)?;
    let instruments = node::instruments::Instruments::new(&metrics.meter());
    let node = node::running::Node::spawn(settings, &identity, instruments).await;
    Ok(node.map_err(roles::Error::from)?)
}

fn put_control(mesh: &mut mesh::Mesh, addr: net::SocketAddr) -> hosts::HostKey {
    let region = mesh.add_region(REGION);
    let data_centre = mesh.add_data_centre("skulte", region);
    let role = hosts::Role::Control;
    mesh.put_host(hosts::Host { name: "skulte-c".into(), addr, data_centre, role })
}

/// Creates the first version, as soon as the control leads.
async fn create(control: net::SocketAddr) -> Result<()> {
    let client = web::client::Client::new(web::client::Limits::default());
    let patch = serde_json::json!({
        "services": {
            "logbook": {"home": REGION, "slots": 6},
            "sondelab": {"home": REGION, "slots": 6},
        },
        "routes": {
            "logs": {"prefix": "/logs", "service": "logbook"},
            "calibrations": {"prefix": "/calibrations", "service": "sondelab"},
        },
    });
    let body = serde_json::json!({
        "base": 0, "request_id": "dev-create", "operator": "dev", "patch": patch,
    });
    let request = operators::Request {
        control,
        method: http::Method::POST,
        path: protocol::operators::PATCHES_PATH.into(),
        body: Some(body),
    };
    let until = tokio::time::Instant::now() + START_LIMIT;
    loop {
        let reply = api_client::send(&client, TOKEN, &request).await;
        match reply {
            Ok(reply) if reply.status == http::StatusCode::OK => return Ok(()),
            _ if tokio::time::Instant::now() < until => tokio::time::sleep(START_PAUSE).await,
            other => return Err(Error::Create(format_compact!("{other:?}"))),
        }
    }
}
