//! The metrics page with the instruments of nodes and controls.

use std::time;

use heatherwalk::metrics;
use protocol::{forwarding, operators};
use world::{document, hosts};

/// Guards against instruments that are missing from the page, and against names without their unit.
#[test]
fn metrics_page() {
    let metrics = metrics::Metrics::new().expect("metrics");
    let node = node::instruments::Instruments::new(&metrics.meter());
    let ms = time::Duration::from_millis;
    node.count_request(node::instruments::Outcome::Answered, ms(30), ms(1));
    node.count_request(node::instruments::Outcome::NotRun, ms(1), ms(1));
    node.count_attempt(true);
    node.count_refusal(forwarding::NotRun::Full, 2);
    node.count_links(transport::pool::Counts { started: 3, opened: 2, failed: 1 });
    node.count_traffic(transport::links::Traffic {
        sent: 4_096,
        received: 2_048,
        lost: 5,
        lost_bytes: 6_000,
    });
    node.count_wire(transport::wire::Counts {
        sent: 5_000,
        handshakes: 1_300,
        answers: 2_000,
        requests: 400,
        control: 100,
        other: 700,
        dropped: 1_228,
        ..transport::wire::Counts::default()
    });
    node.count_probe(true);
    node.count_probe(false);
    node.record_promised((180_000, 90_000));
    node.record_version(document::Version(7), ms(250));
    let control = control::instruments::Instruments::new(&metrics.meter());
    control.count_patch(&operators::PatchAnswer::Accepted { version: document::Version(7) });
    control.count_patch(&operators::PatchAnswer::RequestReused);
    control.count_claim(control::instruments::ClaimAnswer::Granted);
    control.count_sent(hosts::Role::Node, 1_024);
    control.record_version(document::Version(7));
    control.record_nodes(4, 3);
    let page = metrics.render().expect("a page");
    let buckets = |it: &&str| !it.contains("_bucket{") || it.contains("\"0.0015\"");
    insta::assert_snapshot!(page.lines().filter(buckets).collect::<Vec<_>>().join("\n"));
}
