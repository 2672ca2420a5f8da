//! A mesh of one control and the nodes that a test asks for.

use std::{net, time};

use heatherwalk::{api_client, metrics, operators};
use transport::identity;
use world::{hosts, mesh};

use crate::{callers, servers, stand_in_controls, stand_ins};

/// The limit of each step, longer than it takes on a busy machine.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);

const REGION: &str = "vidzeme";
const TOKEN: &str = "token-of-the-tests";
const STOP_LIMIT: time::Duration = time::Duration::from_secs(5);

/// A running mesh. The backend server of node 0 belongs to a service without a route; a node that
/// has just started accepts no version until an announcement to it has been renewed.
pub struct Mesh {
    pub control: Option<control::running::Control>,
    pub listen: net::SocketAddr,
    pub nodes: Vec<Option<node::running::Node>>,
    metrics: Vec<metrics::Metrics>,
    authority: identity::Authority,
    idle: Option<servers::Server>,
    _folder: tempfile::TempDir,
}

/// An address on loopback whose port the system chooses.
pub fn loopback() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

/// A document with a service and a route of the same name for each entry. `route` and `service`
/// are merged over the defaults.
pub fn document(entries: &[(&str, serde_json::Value, serde_json::Value)]) -> serde_json::Value {
    let mut services = serde_json::Map::new();
    let mut routes = serde_json::Map::new();
    for (name, service, route) in entries {
        let mut full = serde_json::json!({"home": REGION, "slots": 512, "queue": 256});
        merge(&mut full, service);
        services.insert((*name).into(), full);
        let mut full = serde_json::json!({"prefix": format!("/{name}"), "service": name});
        merge(&mut full, route);
        routes.insert((*name).into(), full);
    }
    serde_json::json!({"services": services, "routes": routes})
}

fn merge(full: &mut serde_json::Value, over: &serde_json::Value) {
    for (key, value) in over.as_object().into_iter().flatten() {
        full[key] = value.clone();
    }
}

impl Mesh {
    /// Starts a control without a configuration.
    pub async fn spawn_empty() -> Mesh {
        let folder = tempfile::tempdir().expect("makes a folder");
        let authority = identity::Authority::create().expect("makes an authority");
        let control = spawn_control(&authority, folder.path().into()).await;
        let listen = control.listen().expect("listens");
        Mesh {
            control: Some(control),
            listen,
            nodes: Vec::new(),
            metrics: Vec::new(),
            authority,
            idle: None,
            _folder: folder,
        }
    }

    /// Creates the first version.
    pub async fn create(&self, document: serde_json::Value) {
        self.patch(0, document).await;
    }

    /// Sends a patch on version `base` until it is accepted.
    pub async fn patch(&self, base: u64, patch: serde_json::Value) {
        let control = self.control.as_ref().expect("runs").operators_addr();
        send_patch(control, base, patch).await;
    }

    /// Starts a control, `nodes` nodes and the first version.
    pub async fn spawn(nodes: usize, document: serde_json::Value) -> Mesh {
        let mut mesh = Mesh::spawn_empty().await;
        mesh.create(document).await;
        let listen = mesh.listen;
        for _ in 0..nodes {
            mesh.add_node(listen).await;
        }
        if nodes > 0 {
            let handle = |_: &str, _: &[u8]| servers::Action::Shed;
            let idle = servers::Server::spawn(mesh.announce(0), "idle", 1, handle).await;
            mesh.idle = Some(idle);
        }
        mesh
    }

    /// Starts a node that reaches the control at `control`. Returns its index.
    pub async fn add_node(&mut self, control: net::SocketAddr) -> usize {
        self.add_node_with(control, |_| {}).await
    }

    /// Starts a node like `add_node`, after `change` has edited its settings.
    pub async fn add_node_with(
        &mut self,
        control: net::SocketAddr,
        change: impl FnOnce(&mut node::settings::Settings),
    ) -> usize {
        let index = self.nodes.len();
        let name = format!("skulte-{index}");
        let mut mesh = mesh::Mesh::default();
        let data_centre = put_control(&mut mesh, control).1;
        let role = hosts::Role::Node;
        let host = hosts::Host { name: name.as_str().into(), addr: loopback(), data_centre, role };
        let me = mesh.put_host(host);
        let mut settings = node::settings::Settings {
            stop_limit: STOP_LIMIT,
            ..node::settings::Settings::with_defaults(mesh, me, loopback)
        };
        change(&mut settings);
        let identity = self.authority.issue(&name, role).expect("issues");
        let metrics = metrics::Metrics::new().expect("opens");
        let instruments = node::instruments::Instruments::new(&metrics.meter());
        let node = node::running::Node::spawn(settings, &identity, instruments).await;
        self.nodes.push(Some(node.expect("starts")));
        self.metrics.push(metrics);
        index
    }

    /// Sends an operator's request to the control. Returns the status and the body.
    pub async fn operate(
        &self,
        method: http::Method,
        path: &str,
        body: Option<serde_json::Value>,
    ) -> (u16, serde_json::Value) {
        let control = self.control.as_ref().expect("runs").operators_addr();
        let client = web::client::Client::new(web::client::Limits::default());
        let call = operators::Request { control, method, path: path.into(), body };
        let reply = api_client::send(&client, TOKEN, &call).await.expect("an answer");
        (reply.status, reply.body)
    }

    /// The address of a node for callers.
    pub fn callers(&self, index: usize) -> net::SocketAddr {
        self.node(index).callers()
    }

    /// The address of a node for announcements.
    pub fn announce(&self, index: usize) -> net::SocketAddr {
        self.node(index).announce()
    }

    /// Starts a stand-in for the node of a target of `service`.
    pub async fn stand_in(&self, host: &str, service: &str) -> stand_ins::StandIn {
        self.stand_in_that(host, service, stand_ins::Behaviour::Answers).await
    }

    /// Starts a stand-in like `stand_in`, which does this with requests.
    pub async fn stand_in_that(
        &self,
        host: &str,
        service: &str,
        behaviour: stand_ins::Behaviour,
    ) -> stand_ins::StandIn {
        let identity = self.authority.issue(host, hosts::Role::Node).expect("issues");
        stand_ins::StandIn::spawn(&identity, self.listen, service, behaviour).await
    }

    /// Starts a stand-in for the control, which gives nodes `document` as version 1.
    pub fn stand_in_control(
        &self,
        document: serde_json::Value,
    ) -> stand_in_controls::StandInControl {
        self.stand_in_control_of("skulte-c", document)
    }

    /// Starts a stand-in like `stand_in_control`, for the control of this host.
    pub fn stand_in_control_of(
        &self,
        host: &str,
        document: serde_json::Value,
    ) -> stand_in_controls::StandInControl {
        let identity = self.authority.issue(host, hosts::Role::Control).expect("issues");
        stand_in_controls::StandInControl::spawn(&identity, document)
    }

    /// The controls that a node knows.
    pub fn controls(&self, index: usize) -> node::running::Controls {
        self.node(index).controls()
    }

    /// Explains where a node would send a request.
    pub fn explainer(&self, index: usize) -> node::explaining::Explainer {
        self.node(index).explainer()
    }

    /// The cancelled requests in a node's metrics: those whose caller disconnected.
    pub fn cancelled(&self, index: usize) -> u64 {
        self.counter(index, "heatherwalk_node_requests_total{", "outcome=\"cancelled\"")
    }

    /// The attempts of a node to open links, as of its last heartbeat.
    pub fn link_attempts(&self, index: usize) -> u64 {
        self.counter(index, "heatherwalk_node_link_attempts_total{", "state=\"started\"")
    }

    /// Waits until a node's attempts to open links have not grown for two heartbeats.
    pub async fn settled_link_attempts(&self, index: usize) -> u64 {
        let until = tokio::time::Instant::now() + TIMEOUT;
        loop {
            let before = self.link_attempts(index);
            tokio::time::sleep(time::Duration::from_millis(2_500)).await;
            if self.link_attempts(index) == before {
                return before;
            }
            assert!(tokio::time::Instant::now() < until, "the node opens links without end");
        }
    }

    /// The probes of a node that were answered.
    pub fn answered_probes(&self, index: usize) -> u64 {
        self.counter(index, "heatherwalk_node_probes_total{", "result=\"answered\"")
    }

    /// The probes of a node that were not answered in time.
    pub fn unanswered_probes(&self, index: usize) -> u64 {
        self.counter(index, "heatherwalk_node_probes_total{", "result=\"unanswered\"")
    }

    fn counter(&self, index: usize, name: &str, label: &str) -> u64 {
        let page = self.metrics[index].render().expect("renders");
        let mut lines = page.lines().filter(|it| it.starts_with(name));
        let line = lines.find(|it| it.contains(label));
        line.and_then(|it| it.rsplit(' ').next()?.parse().ok()).unwrap_or(0)
    }

    /// The links that all nodes together have opened, those to the control included, as of the
    /// last update of their metrics.
    pub fn opened_links(&self) -> u64 {
        let opened = |it: &metrics::Metrics| {
            let page = it.render().expect("renders");
            let mut lines =
                page.lines().filter(|it| it.starts_with("heatherwalk_node_link_attempts_total{"));
            let line = lines.find(|it| it.contains("state=\"opened\""));
            line.and_then(|it| it.rsplit(' ').next()?.parse::<u64>().ok()).unwrap_or(0)
        };
        self.metrics.iter().map(opened).sum()
    }

    /// Waits until a request through `node` reaches a target of each service.
    pub async fn ready(&self, node: usize, services: &[&str]) {
        let until = tokio::time::Instant::now() + TIMEOUT;
        for service in services {
            loop {
                let get = callers::get(&format!("/{service}/ready"));
                let reply = callers::send(self.callers(node), get).await;
                if reply.status == 200 {
                    break;
                }
                assert!(tokio::time::Instant::now() < until, "{service}: {reply:?}");
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    }

    fn node(&self, index: usize) -> &node::running::Node {
        self.nodes[index].as_ref().expect("runs")
    }
}

fn put_control(
    mesh: &mut mesh::Mesh,
    addr: net::SocketAddr,
) -> (hosts::HostKey, world::data_centres::DataCentreKey) {
    let region = mesh.add_region(REGION);
    let data_centre = mesh.add_data_centre("skulte", region);
    let role = hosts::Role::Control;
    let host = hosts::Host { name: "skulte-c".into(), addr, data_centre, role };
    (mesh.put_host(host), data_centre)
}

async fn spawn_control(
    authority: &identity::Authority,
    data: std::path::PathBuf,
) -> control::running::Control {
    let mut mesh = mesh::Mesh::default();
    let me = put_control(&mut mesh, loopback()).0;
    let settings = control::settings::Settings {
        mesh,
        me,
        config_voters: vec![me],
        claims_voters: vec![me],
        operators_addr: loopback(),
        token: Some(TOKEN.into()),
        dialect: control::dialect::OWN,
        election_timeout: time::Duration::from_secs(1),
        metrics: loopback(),
        data_folder: data,
        workers: 2,
        stop_limit: STOP_LIMIT,
    };
    let identity = authority.issue("skulte-c", hosts::Role::Control).expect("issues");
    let metrics = metrics::Metrics::new().expect("opens");
    let instruments = control::instruments::Instruments::new(&metrics.meter());
    control::running::Control::spawn(settings, &identity, instruments).await.expect("starts")
}

async fn send_patch(control: net::SocketAddr, base: u64, patch: serde_json::Value) {
    let client = web::client::Client::new(web::client::Limits::default());
    let body = serde_json::json!({
        "base": base, "request_id": format!("on {base}"), "operator": "tests", "patch": patch,
    });
    let call = operators::Request {
        control,
        method: http::Method::POST,
        path: protocol::operators::PATCHES_PATH.into(),
        body: Some(body),
    };
    let until = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let reply = api_client::send(&client, TOKEN, &call).await;
        if reply.as_ref().is_ok_and(|it| it.status == 200) {
            return;
        }
        assert!(tokio::time::Instant::now() < until, "not accepted: {reply:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}
