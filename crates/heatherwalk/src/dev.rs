//! An example mesh in one process, on loopback: one control, three nodes and a backend server
//! beside each node. `heatherwalk dev` runs it.

use std::{io, net, time};

use compact_str::{CompactString, format_compact};
use transport::identity;
use world::{hosts, mesh};

use crate::{api_client, example, metrics, operators, roles};

/// The token of the operators' port. It need not be secret: the ports are on loopback and the mesh
/// holds no data.
pub const TOKEN: &str = "dev-token-for-loopback";

const REGION: &str = "vidzeme";
/// How long a stop waits for requests in flight.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(5);
/// The longest wait for the first version: the control has to be elected before it accepts one.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Pause before the patch for the first version is sent again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Each node's name, its data centre, and the service of its example backend server.
const NODES: [(&str, &str, &str); 3] = [
    ("skulte-1", "skulte", "logbook"),
    ("jugla-1", "jugla", "logbook"),
    ("jugla-2", "jugla", "sondelab"),
];

/// Why the example mesh did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The first version was not accepted in time; the text shows the last answer.
    #[error("the first version was not accepted: {0}")]
    Create(CompactString),
    /// The control's temporary data folder cannot be created.
    #[error("cannot create a temporary folder: {0}")]
    Folder(#[from] io::Error),
    /// The control, a node or a backend server could not start.
    #[error(transparent)]
    Role(#[from] roles::Error),
}

/// The result of starting the example mesh.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A running example mesh. [`Dev::stop`] shuts it down gracefully.
pub struct Dev {
    control: control::running::Control,
    nodes: Vec<node::running::Node>,
    servers: Vec<example::Server>,
    /// The control's data folder, which is removed when this is dropped.
    _folder: tempfile::TempDir,
}

/// Chooses the addresses to listen on.
struct Ports {
    /// The next port; `None` lets the system choose a free one.
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
    /// Starts the control, the nodes and their backend servers, and creates the first version. The
    /// ports are counted up from `port`; `None` lets the system choose free ones.
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
        create(dev.control.operators_addr()).await?;
        Ok(dev)
    }

    /// The address of the control's operator port.
    pub fn operators(&self) -> net::SocketAddr {
        self.control.operators_addr()
    }

    /// The address on which each node takes callers' requests, in the order of the nodes.
    pub fn callers(&self) -> Vec<net::SocketAddr> {
        self.nodes.iter().map(node::running::Node::callers).collect()
    }

    /// A text for the terminal: the addresses of the mesh and commands to try.
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

    /// Stops the nodes, then the backend servers, then the control. Each waits up to 5 s for its
    /// requests in flight.
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
        operators_addr: ports.take(),
        token: Some(TOKEN.into()),
        dialect: control::dialect::OWN,
        election_timeout: time::Duration::from_secs(1),
        metrics: ports.take(),
        data_folder: data,
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
        stop_limit: STOP_LIMIT,
        ..node::settings::Settings::with_defaults(mesh, me, || ports.take())
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

/// Creates the first version. Sends the same patch until the control, once it is elected, accepts
/// it.
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
    let until = tokio::time::Instant::now() + START_TIMEOUT;
    loop {
        let reply = api_client::send(&client, TOKEN, &request).await;
        match reply {
            Ok(reply) if reply.status == http::StatusCode::OK => return Ok(()),
            _ if tokio::time::Instant::now() < until => tokio::time::sleep(RETRY_INTERVAL).await,
            other => return Err(Error::Create(format_compact!("{other:?}"))),
        }
    }
}
