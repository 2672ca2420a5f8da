//! Merging, validation and route lookup of configuration documents.

use std::{collections, fmt::Write as _};

use world::{config, document};

fn base() -> document::Document {
    let value = serde_json::json!({
        "services": {"logbook": {"slots": 6, "home": "vidzeme"}, "sondelab": {}},
        "routes": {
            "logs": {"prefix": "/logs", "service": "logbook"},
            "certify": {"prefix": "/logs/certify", "service": "sondelab", "idempotent": false},
            "root": {"prefix": "/", "service": "logbook"},
        },
    });
    document::merge(&document::Document::default(), &value).expect("the base document is valid")
}

/// Guards against accepting an invalid document, and against reporting only its first fault.
#[test]
fn candidates() {
    let patches = [
        ("add a route", r#"{"routes":{"x":{"prefix":"/x","service":"sondelab"}}}"#),
        ("dangling service", r#"{"routes":{"x":{"prefix":"/x","service":"nowhere"}}}"#),
        ("remove a service in use", r#"{"services":{"sondelab":null}}"#),
        ("two faults", r#"{"services":{"a b":{"slots":0}}}"#),
        ("same prefix", r#"{"routes":{"x":{"prefix":"/logs","service":"sondelab"}}}"#),
        (
            "same host in another letter case",
            r#"{"routes":{"x":{"host":"a.example","prefix":"/x","service":"sondelab"},
                "y":{"host":"A.Example","prefix":"/x","service":"logbook"}}}"#,
        ),
        (
            "another host",
            r#"{"routes":{"x":{"host":"a.example","prefix":"/x","service":"sondelab"},
                "y":{"host":"b.example","prefix":"/x","service":"logbook"}}}"#,
        ),
        ("new home", r#"{"services":{"logbook":{"home":"tas"}}}"#),
        ("unknown field", r#"{"services":{"logbook":{"slotz":3}}}"#),
        ("level", r#"{"level":9}"#),
        ("hedge", r#"{"routes":{"certify":{"hedge":true,"weight":101}}}"#),
        ("not an object", r#"[1]"#),
    ];
    let mut out = String::new();
    for (name, patch) in patches {
        let patch = serde_json::from_str(patch).expect("test data is JSON");
        match document::merge(&base(), &patch) {
            Ok(it) => writeln!(out, "{name}: ok, {} routes", it.routes.len()),
            Err(faults) => writeln!(out, "{name}: {faults:#?}"),
        }
        .expect("writing to text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a prefix that matches inside a path segment, and against a shorter prefix that
/// takes precedence over a longer one.
#[test]
fn longest_prefix() {
    let config = config::Config::build(document::Version(1), base()).expect("valid");
    let paths = ["/logs", "/logs/", "/logs/7", "/logs/certify/3", "/logsx", "/", "/other/a", ""];
    let mut out = String::new();
    for path in paths {
        let route = config.find_route("", path).and_then(|it| config.route(it));
        writeln!(out, "{path:?} -> {:?}", route.map(|it| it.name.as_str())).expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a digest updated for a patch that differs from the digest of the whole document,
/// and against a merge of single entries that differs from the RFC 7386 merge of whole documents.
#[test]
fn patched_digests() {
    let patches = [
        r#"{"services":{"sondelab":{"slots":3}},"level":1}"#,
        r#"{"routes":{"certify":{"weight":7,"timeout_ms":50},"root":null}}"#,
        r#"{"routes":{"certify":{"timeout_ms":null,"service":"logbook"}}}"#,
        r#"{"services":{"x":{}},"routes":{"x":{"prefix":"/x","service":"x"},"none":null}}"#,
        r#"{"routes":null,"level":null,"other":null}"#,
        r#"{"services":null}"#,
        r#"{}"#,
    ];
    let mut document = base();
    let mut digest = document::digest(&document);
    for patch in patches {
        let value = serde_json::from_str(patch).expect("test data is JSON");
        let mut whole = document::to_value(&document);
        json_patch::merge(&mut whole, &value);
        let applied = document::apply(&document, digest, &value).expect(patch);
        assert_eq!(*applied.document(), document::parse(&whole).expect(patch), "{patch}");
        (document, digest) = applied.into_parts();
        assert_eq!(digest, document::digest(&document), "{patch}");
    }
    assert_eq!(document, document::Document::default());
}

/// Guards against a field that is declared out of alphabetical order. It would change the digest of
/// every document.
#[test]
fn canonical_order() {
    let value = serde_json::json!({
        "services": {"b": {"slots": 3, "home": "vidzeme", "queue": 1}, "a": {}},
        "routes": {
            "r": {
                "service": "a", "prefix": "/\"r", "weight": 2, "keyless": true,
                "timeout_ms": 5, "idempotent": true, "hedge": true,
            },
        },
    });
    let document = document::parse(&value).expect("a document");
    let sorted: collections::BTreeMap<_, _> =
        document::to_value(&document).as_object().expect("an object").clone().into_iter().collect();
    let sorted = serde_json::to_string(&sorted).expect("text");
    assert_eq!(document::canonical_json(&document), sorted);
    let order = ["hedge", "idempotent", "keyless", "prefix", "service", "timeout_ms", "weight"];
    let places: Vec<_> = order.iter().map(|it| sorted.find(&format!("\"{it}\":"))).collect();
    assert!(places.is_sorted() && places.iter().all(Option::is_some), "{sorted}");
}

/// Guards against a route that takes requests to another host, and against a split whose shares
/// differ from its weights over 200 requests.
#[test]
fn hosts_and_splits() {
    let text = r#"{"services":{"a":{},"b":{}},"routes":{
        "any":{"prefix":"/","service":"a"},
        "one":{"host":"one.example","prefix":"/x/","service":"b"},
        "two":{"host":"two.example","prefix":"/x/","split":[
            {"service":"a","weight":90},{"service":"b","weight":10}]}}}"#;
    let value = serde_json::from_str(text).expect("test data is JSON");
    let source = document::parse(&value).expect("a document");
    let config = config::Config::build(document::Version(1), source).expect("valid");
    let mut out = String::new();
    for (host, path) in [
        ("one.example", "/x/1"),
        ("one.example", "/y"),
        ("two.example", "/x/1"),
        ("", "/x/1"),
        ("three.example", "/x/1"),
    ] {
        let route = config.find_route(host, path).and_then(|it| config.route(it));
        writeln!(out, "{host:?} {path}: {:?}", route.map(|it| it.name.as_str())).expect("text");
    }
    let split = config.find_route("two.example", "/x/1").and_then(|it| config.route(it));
    let split = split.expect("there is a route");
    let rare = config.find_service("b").expect("there is a service");
    for start in [0, 7, u64::MAX - 50] {
        let hits = (0..200).filter(|it| split.service_at(start.wrapping_add(*it)) == Some(rare));
        let hits = hits.count();
        assert!((18..=22).contains(&hits), "{hits} of 200 from {start}");
    }
    insta::assert_snapshot!(out);
}

/// Guards against a computed patch that does not turn the first document into the second.
#[test]
fn patches_between() {
    let texts = [
        r#"{}"#,
        r#"{"services":{"a":{}},"routes":{"r":{"prefix":"/r","service":"a"}},"revision":4}"#,
        r#"{"services":{"a":{},"b":{}},"routes":{"r":{"prefix":"/q","split":[
            {"service":"a","weight":1},{"service":"b","weight":2}]}},"revision":9,
            "labels":{"x":{"y":[1,null]}}}"#,
    ];
    let parse = |it: &str| {
        document::parse(&serde_json::from_str(it).expect("test data is JSON")).expect("a document")
    };
    for from in texts.map(parse) {
        for to in texts.map(parse) {
            let patch = world::patches::diff(&from, &to);
            assert_eq!(document::merge(&from, &patch).expect("it merges"), to, "{patch}");
        }
    }
}

/// Guards against a number in a label that changes when its document is written and read again.
/// Its digest then differs from the announced one, and no process can take the version.
#[test]
fn a_number_changes_when_it_is_read_again() {
    let fractions = (1..=1_000).map(|it| format!("{}", f64::from(it) / 7_919.0 * 1e-8));
    let odd = ["18446744073709551616", "1.7976931348623157e308", "5e-324", "3.51663698760141e-9"];
    let mut changed = Vec::new();
    for number in fractions.chain(odd.map(String::from)) {
        let text = format!(r#"{{"labels":{{"note":{number}}}}}"#);
        let first: document::Document = serde_json::from_str(&text).expect("a document");
        let written = document::canonical_json(&first);
        let second: document::Document = serde_json::from_str(&written).expect("a document");
        if document::digest(&first) != document::digest(&second) {
            changed.push(format!("{written} became {}", document::canonical_json(&second)));
        }
    }
    assert!(changed.is_empty(), "{} numbers: {changed:#?}", changed.len());
}

/// Guards against a document that is accepted with a number beyond its type, or with a value that
/// is nested more deeply than the processes that get the document can read.
#[test]
fn an_odd_value_is_accepted_and_cannot_be_read() {
    let deep = |levels| format!("{}{}", "[".repeat(levels), "]".repeat(levels));
    let label = |value: &str| format!(r#"{{"services":{{"x":{{"labels":{{"note":{value}}}}}}}}}"#);
    let slots = |value: &str| format!(r#"{{"services":{{"x":{{"slots":{value}}}}}}}"#);
    let cases = [
        ("nested 120 levels", label(&deep(120))),
        ("nested 125 levels", label(&deep(125))),
        ("nested 100000 levels", label(&deep(100_000))),
        ("nested in the place of a number", slots(&deep(100_000))),
        ("unknown field, nested", format!(r#"{{"odd":{}}}"#, deep(100_000))),
        ("number above a float", label("1e400")),
        ("number above 64 bits", label("18446744073709551616")),
        ("slots above 64 bits", slots("18446744073709551616")),
        ("slots above 32 bits", slots("4294967296")),
        ("negative slots", slots("-1")),
        ("slots as a float", slots("1e400")),
        ("slots not a number", slots("NaN")),
        ("revision above 64 bits", r#"{"revision":18446744073709551616}"#.to_owned()),
        ("name of a megabyte", format!(r#"{{"services":{{"{}":{{}}}}}}"#, "s".repeat(1 << 20))),
        ("empty name", r#"{"services":{"":{}}}"#.to_owned()),
        ("control character in a name", r#"{"services":{"a\u0000b":{}}}"#.to_owned()),
    ];
    let mut out = String::new();
    for (name, patch) in cases {
        let read = serde_json::from_str(&patch).map_err(|err| format!("not JSON: {err}"));
        let merged = read.and_then(|it| {
            document::merge(&base(), &it).map_err(|it| format!("{} faults", it.len()))
        });
        let text = match merged {
            Ok(it) => {
                let written = document::canonical_json(&it);
                let again: Result<document::Document, _> = serde_json::from_str(&written);
                assert_eq!(again.ok(), Some(it), "{name}: not the same when it is read again");
                "accepted, and read again".to_owned()
            }
            Err(refusal) => format!("refused: {refusal}"),
        };
        writeln!(out, "{name}: {text}").expect("text");
    }
    insta::assert_snapshot!(out);
}
