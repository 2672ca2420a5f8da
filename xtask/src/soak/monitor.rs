//! Watches the processes while a soak runs: the versions and the memory of the nodes, and how many
//! links they try to open.

use std::{collections, sync, time};

use compact_str::CompactString;

use super::{history, hosts};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(250);
const TIMEOUT: time::Duration = time::Duration::from_secs(1);
const MAX_PAGE: usize = 1024 * 1024;
/// The memory of a node, in MB (10^6 bytes), from the target in DEVELOPERS.md.
const MAX_NODE_MB: f64 = 64.0;

/// What the monitor has seen so far.
#[derive(Default)]
pub(crate) struct Monitor {
    seen: sync::Mutex<Seen>,
}

#[derive(Clone, Default)]
struct Seen {
    /// The highest version of each node.
    versions: collections::BTreeMap<usize, u64>,
    max_node_mb: f64,
    max_control_mb: f64,
}

/// The metrics page of a process.
pub(crate) struct Page(CompactString);

impl Page {
    /// Reads the page of a host; none unless its process answers.
    pub(crate) async fn read(client: &web::client::Client, host: &hosts::Host) -> Option<Page> {
        let call = web::client::Call {
            addr: host.addrs.metrics,
            method: http::Method::GET,
            path: "/metrics".into(),
            headers: http::HeaderMap::new(),
            body: web::body::Body::empty(),
            deadline: tokio::time::Instant::now() + TIMEOUT,
            close_delimited: false,
            reuse: web::client::Reuse::Never,
        };
        let answer = client.send(call).await.ok()?;
        let bytes = answer.body.collect(MAX_PAGE).await.ok()?;
        Some(Page(CompactString::from_utf8_lossy(&bytes)))
    }

    /// The value of the series `name`, with its labels.
    pub(crate) fn value(&self, name: &str) -> Option<u64> {
        let line = self.0.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(' '))?;
        line.trim().parse().ok()
    }

    /// The attempts to open links since the start of the process.
    pub(crate) fn link_attempts(&self) -> u64 {
        let lines = self.0.lines().filter(|it| {
            it.starts_with("heatherwalk_node_link_attempts_total{")
                && it.contains("state=\"started\"")
        });
        lines.filter_map(|it| it.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
    }
}

impl Monitor {
    /// Polls a host until the future is dropped.
    pub(crate) async fn watch(&self, host: &hosts::Host, history: &history::History) {
        let client = web::client::Client::new(web::client::Limits::default());
        let mut reported = false;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            host.sample_waits();
            if let Some(page) = Page::read(&client, host).await
                && let Some(version) = page.value("heatherwalk_node_version")
            {
                self.record_version(host, version, history);
            }
            let Some(megabytes) = host.resident_mb() else { continue };
            self.record_memory(host, megabytes);
            if host.id.node().is_some() && megabytes > MAX_NODE_MB && !reported {
                history.violate(format!("{} has {megabytes:.1} MB", host.id));
                reported = true;
            }
        }
    }

    fn record_version(&self, host: &hosts::Host, version: u64, history: &history::History) {
        let mut seen = self.seen.lock().expect("no holder panics");
        let highest = seen.versions.entry(host.id.0).or_default();
        // A node that runs nothing yet reports 0.
        if version != 0 && version < *highest {
            history.violate(format!("{} went from version {highest} to {version}", host.id));
        }
        *highest = version.max(*highest);
    }

    fn record_memory(&self, host: &hosts::Host, megabytes: f64) {
        let mut seen = self.seen.lock().expect("no holder panics");
        let highest = match host.id.node() {
            Some(_) => &mut seen.max_node_mb,
            None => &mut seen.max_control_mb,
        };
        *highest = highest.max(megabytes);
    }

    /// The most memory of any node and of any control, in MB.
    pub(crate) fn memory(&self) -> (f64, f64) {
        let seen = self.seen.lock().expect("no holder panics");
        (seen.max_node_mb, seen.max_control_mb)
    }
}
