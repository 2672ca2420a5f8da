//! The inputs of the operators' commands: tokens, patches and the example documents.

use std::{fs, path};

use heatherwalk::operators::inputs;
use world::document;

/// Guards against tokens that keep their trailing newline, and against errors that do not name the
/// file.
#[test]
fn tokens_and_patches() {
    let folder = tempfile::tempdir().expect("a folder for the files");
    let file = folder.path().join("token");
    fs::write(&file, "0123456789abcdef\n").expect("written");
    let token = inputs::read_token(Some(&file), Some("other".into())).expect("a token");
    assert_eq!(token, "0123456789abcdef");
    assert_eq!(inputs::read_token(None, Some("other".into())).expect("a token"), "other");
    assert!(inputs::read_token(None, None).is_err());
    let err = inputs::read_json(&file, &mut "".as_bytes()).expect_err("a token is not JSON");
    assert!(err.to_string().contains("token is not JSON"), "{err}");
    let input = inputs::read_json(path::Path::new("-"), &mut "{}".as_bytes()).expect("JSON");
    assert!(input.as_object().is_some_and(|it| it.is_empty()));
}

/// Guards against example documents that a control refuses.
#[test]
fn examples() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (name, home) in [("riga.json", "vidzeme"), ("tamar.json", "tas")] {
        let text = fs::read_to_string(folder.join(name)).expect("the example");
        let patch = serde_json::from_str(&text).expect("JSON");
        let document = document::merge(&document::Document::default(), &patch).expect(name);
        assert_eq!(document.services.len(), 4, "{name}");
        for (service, spec) in &document.services {
            assert_eq!(spec.home.as_deref(), Some(home), "{name}: {service}");
            assert!(document.routes.values().any(|it| it.service == *service), "{service}");
        }
    }
}
