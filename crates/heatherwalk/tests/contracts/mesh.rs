//! A control, a node and a backend server in the test process, on ports chosen by the system.

use std::{net, path, time};

use heatherwalk::{example, metrics};
use serde_json::Value;
use transport::{endpoint, identity, limits};
use world::{hosts, mesh};

pub const TOKEN: &str = "token-of-the-contract-tests";
/// The limit of each step, longer than it takes on a busy machine.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(30);

pub struct Mesh {
    pub authority: identity::Authority,
    pub control: control::running::Control,
    pub folder: tempfile::TempDir,
    pub metrics: metrics::Metrics,
}

pub fn loopback() -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, 0).into()
}

/// Adds `count` controls to the mesh. All but the first have an address that nothing listens on.
fn put_controls(mesh: &mut mesh::Mesh, first: net::SocketAddr, count: usize) -> hosts::HostKey {
    let region = mesh.add_region("vidzeme");
    let mut first = Some(first);
    let mut keys = Vec::new();
    for (name, centre) in
        [("skulte-c", "skulte"), ("jugla-c", "jugla"), ("imanta-c", "imanta")].iter().take(count)
    {
        let data_centre = mesh.add_data_centre(centre, region);
        let addr = first.take().unwrap_or_else(|| (net::Ipv4Addr::LOCALHOST, 1).into());
        let role = hosts::Role::Control;
        keys.push(mesh.put_host(hosts::Host { name: (*name).into(), addr, data_centre, role }));
    }
    keys[0]
}

impl Mesh {
    /// Starts the first control of a group of `voters`.
    pub async fn start(voters: usize) -> Mesh {
        let folder = tempfile::tempdir().expect("a folder");
        let authority = identity::Authority::create().expect("creates");
        let metrics = metrics::Metrics::new().expect("opens");
        let data = folder.path().join("data");
        let control = spawn_control(&authority, data, voters, &metrics).await.expect("starts");
        Mesh { authority, control, folder, metrics }
    }

    /// Starts a node that attaches to the control.
    pub async fn node(&self, name: &str) -> node::running::Node {
        self.node_of(name, "").await
    }

    /// Starts a node whose settings name the service of its host, unless it is empty.
    pub async fn node_of(&self, name: &str, service: &str) -> node::running::Node {
        self.node_with(name, |it| it.service = service.into()).await
    }

    /// Starts a node with changed settings.
    pub async fn node_with(
        &self,
        name: &str,
        change: impl FnOnce(&mut node::settings::Settings),
    ) -> node::running::Node {
        let mut mesh = mesh::Mesh::default();
        put_controls(&mut mesh, self.control.listen().expect("bound"), 1);
        let region = mesh.add_region("vidzeme");
        let data_centre = mesh.add_data_centre("skulte", region);
        let role = hosts::Role::Node;
        let me =
            mesh.put_host(hosts::Host { name: name.into(), addr: loopback(), data_centre, role });
        let mut settings = node::settings::Settings {
            stop_limit: time::Duration::from_secs(1),
            ..node::settings::Settings::with_defaults(mesh, me, loopback)
        };
        change(&mut settings);
        let identity = self.authority.issue(name, role).expect("issues");
        let meter = opentelemetry::global::meter("contracts");
        let instruments = node::instruments::Instruments::new(&meter);
        node::running::Node::spawn(settings, &identity, instruments).await.expect("starts")
    }

    /// An endpoint with a certificate of the mesh.
    pub fn peer(&self, name: &str, role: hosts::Role) -> endpoint::Endpoint {
        let identity = self.authority.issue(name, role).expect("issues");
        endpoint::Endpoint::bind(loopback(), &identity, limits::Limits::default()).expect("binds")
    }

    pub fn api(&self) -> Api {
        Api { control: self.control.operators_addr(), client: client() }
    }
}

pub async fn spawn_control(
    authority: &identity::Authority,
    data: path::PathBuf,
    voters: usize,
    metrics: &metrics::Metrics,
) -> control::running::Result<control::running::Control> {
    let mut mesh = mesh::Mesh::default();
    let me = put_controls(&mut mesh, loopback(), voters);
    let keys: Vec<_> = mesh.hosts().map(|it| it.0).collect();
    let settings = control::settings::Settings {
        mesh,
        me,
        config_voters: keys.clone(),
        claims_voters: keys,
        operators_addr: loopback(),
        token: Some(TOKEN.into()),
        dialect: control::dialect::OWN,
        election_timeout: time::Duration::from_secs(1),
        metrics: loopback(),
        data_folder: data,
        workers: 2,
        stop_limit: time::Duration::from_secs(1),
    };
    let identity = authority.issue("skulte-c", hosts::Role::Control).expect("issues");
    let instruments = control::instruments::Instruments::new(&metrics.meter());
    control::running::Control::spawn(settings, &identity, instruments).await
}

pub async fn backend<H, F>(announce: net::SocketAddr, handler: H) -> example::Server
where
    H: Fn(web::exchange::Request) -> F + Send + Sync + 'static,
    F: Future<Output = web::exchange::Response> + Send + 'static,
{
    let settings = example::Settings {
        service: "logbook".into(),
        name: "skulte-1".into(),
        announce,
        slots: 6,
    };
    example::Server::spawn(settings, handler).await.expect("starts")
}

pub fn client() -> web::client::Client {
    web::client::Client::new(web::client::Limits::default())
}

/// An HTTP response: status, headers and body.
pub type Answer = (u16, http::HeaderMap, String);

/// Sends a request over HTTP/1.1.
pub async fn http(
    client: &web::client::Client,
    addr: net::SocketAddr,
    line: &str,
    fields: &[(&'static str, &str)],
    body: &[u8],
) -> Answer {
    let (method, path) = line.split_once(' ').expect("method and path");
    let mut headers = http::HeaderMap::new();
    for (name, value) in fields {
        headers.insert(*name, value.parse().expect("a header value"));
    }
    let call = web::client::Call {
        addr,
        method: method.parse().expect("a method"),
        path: path.into(),
        headers,
        body: web::body::Body::full(bytes::Bytes::copy_from_slice(body)),
        deadline: tokio::time::Instant::now() + TIMEOUT,
        close_delimited: false,
        reuse: web::client::Reuse::Never,
    };
    let answer = client.send(call).await.expect("an answer");
    let (status, headers) = (answer.status.as_u16(), answer.headers);
    let body = answer.body.collect(64 * 1024 * 1024).await.expect("a whole body");
    (status, headers, String::from_utf8(body.to_vec()).expect("text"))
}

/// A client of the operators' API of a control.
pub struct Api {
    pub control: net::SocketAddr,
    client: web::client::Client,
}

impl Api {
    pub async fn send(&self, line: &str, token: &str, body: &[u8]) -> (u16, Value) {
        let fields = [("authorization", token)];
        let fields = if token.is_empty() { &fields[..0] } else { &fields[..] };
        let (status, headers, body) = http(&self.client, self.control, line, fields, body).await;
        assert_eq!(headers["content-type"], "application/json", "{line}: {status} {body}");
        let mut value = serde_json::from_str(&body).unwrap_or_else(|_| panic!("{line}: {body}"));
        hide_times(&mut value);
        (status, value)
    }

    pub async fn get(&self, path: &str) -> (u16, Value) {
        self.send(&format!("GET {path}"), &format!("Bearer {TOKEN}"), b"").await
    }

    pub async fn patch(&self, base: u64, id: &str, patch: &Value) -> (u16, Value) {
        let body = serde_json::json!({
            "base": base, "request_id": id, "operator": "ilze", "patch": patch,
        });
        let body = body.to_string();
        self.send("POST /v1/patches", &format!("Bearer {TOKEN}"), body.as_bytes()).await
    }

    /// Creates version 1 as soon as the control is the leader.
    pub async fn create(&self) {
        let document = serde_json::json!({
            "services": {"logbook": {"slots": 6, "home": "vidzeme"}},
            "routes": {"logs": {"prefix": "/logs", "service": "logbook"}},
        });
        let (status, body) = self.until(|| self.patch(0, "r-1", &document), |it| it.0 == 200).await;
        assert_eq!(status, 200, "{body}");
    }

    /// Repeats a request until `matches` accepts the answer.
    pub async fn until<F: Future<Output = (u16, Value)>>(
        &self,
        ask: impl Fn() -> F,
        matches: impl Fn(&(u16, Value)) -> bool,
    ) -> (u16, Value) {
        let end = time::Instant::now() + TIMEOUT;
        loop {
            let answer = ask().await;
            if matches(&answer) {
                return answer;
            }
            assert!(time::Instant::now() < end, "timed out; the last answer is {answer:?}");
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    }
}

/// Replaces measured times with a placeholder, since they differ from run to run.
fn hide_times(value: &mut Value) {
    match value {
        Value::Array(list) => list.iter_mut().for_each(hide_times),
        Value::Object(fields) => {
            for (name, value) in fields {
                let measured = name.ends_with("_ms") && !name.starts_with("timeout");
                match value {
                    Value::Number(_) if measured => *value = "MS".into(),
                    _ => hide_times(value),
                }
            }
        }
        _ => {}
    }
}
