//! Decoding of complete frames, damaged frames and frames of other versions.

use std::fmt::Write as _;

use proptest::prelude::{ProptestConfig, any, prop, proptest};
use serde::{Deserialize, Serialize};
use transport::codec;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum Message {
    Ping(u64),
    Text { name: String, tags: Vec<String> },
}

fn sample() -> Message {
    Message::Text { name: "skulte".into(), tags: vec!["a".into(), "b".into()] }
}

fn with_prefix(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("short");
    [&length.to_be_bytes(), body].concat()
}

/// Guards against decoding a damaged frame, or a frame of another version, into a message.
#[test]
fn damaged() {
    let frame = codec::encode(&sample()).expect("encodes").to_vec();
    let mut trailing = frame[codec::LENGTH_SIZE..].to_vec();
    trailing.push(0);
    let mut version = frame.clone();
    version[codec::LENGTH_SIZE] = 9;
    let over = u32::try_from(codec::MAX_LENGTH + 1).expect("fits").to_be_bytes();
    let cases = [
        ("whole", frame.clone()),
        ("nothing", Vec::new()),
        ("part of the length", frame[..3].to_vec()),
        ("length only", frame[..4].to_vec()),
        ("last byte missing", frame[..frame.len() - 1].to_vec()),
        ("byte after the frame", [&frame[..], &[0]].concat()),
        ("byte after the value", with_prefix(&trailing)),
        ("length zero", with_prefix(&[])),
        ("version only", with_prefix(&[codec::VERSION])),
        ("unknown variant", with_prefix(&[codec::VERSION, 7])),
        ("other version", version),
        ("over the limit", over.to_vec()),
        ("largest length", vec![0xff; 8]),
    ];
    let mut out = String::new();
    for (name, bytes) in cases {
        let result = codec::decode::<Message>(&bytes);
        assert_eq!(result.is_ok(), name == "whole", "{name}");
        writeln!(out, "{name}: {result:?}").expect("text");
    }
    insta::assert_snapshot!(out);
}

/// Guards against encoding a frame that no decoder accepts, and against an off-by-one error at the
/// length limit.
#[test]
fn largest() {
    // The version takes 1 byte of the frame, and the length of such a vector 4 bytes.
    let fits = vec![0_u8; codec::MAX_LENGTH - 5];
    let frame = codec::encode(&fits).expect("exactly the limit");
    assert_eq!(frame.len(), codec::LENGTH_SIZE + codec::MAX_LENGTH);
    assert_eq!(codec::decode::<Vec<u8>>(&frame).expect("decodes").len(), fits.len());
    let over = vec![0_u8; codec::MAX_LENGTH - 4];
    let error = codec::encode(&over).expect_err("over the limit");
    assert_eq!(error, codec::Error::TooLong { length: codec::MAX_LENGTH + 1 });
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic on arbitrary bytes, and against accepting bytes after a message.
    #[test]
    fn garbage(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let _ = codec::decode::<Message>(&body);
        let framed = with_prefix(&[&[codec::VERSION], &body[..]].concat());
        if let Ok(message) = codec::decode::<Message>(&framed) {
            let again = codec::decode::<Message>(&codec::encode(&message).expect("encodes"));
            assert_eq!(again, Ok(message));
        }
    }

    /// Guards against accepting a frame that is truncated at any length.
    #[test]
    fn cuts(name in ".{0,40}", number in any::<u64>(), cut in any::<prop::sample::Index>()) {
        for message in [Message::Ping(number), Message::Text { name, tags: Vec::new() }] {
            let frame = codec::encode(&message).expect("encodes");
            assert_eq!(codec::decode(&frame), Ok(message));
            let part = &frame[..cut.index(frame.len())];
            assert_eq!(codec::decode::<Message>(part), Err(codec::Error::Truncated));
        }
    }
}
