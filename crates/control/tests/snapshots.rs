//! Snapshots of the configuration log on disk.

use control::configuration;
use replicated::{controls, quarantine, rollouts, versions};

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("encodes")
}

/// Guards against a control that cannot read the snapshots of an earlier build, or loses a part of
/// its own.
#[test]
fn an_old_snapshot_is_unreadable() {
    let (versions, quarantine) = (versions::Versions::default(), quarantine::Quarantine::default());
    let place = controls::Place {
        region: "vidzeme".into(),
        data_centre: "skulte".into(),
        addr: ([10, 0, 0, 1], 7_400).into(),
    };
    let seats = controls::Seats { configuration: true, claims: true };
    let control = controls::Control { name: "s1".into(), place, seats };
    let mut controls = controls::Controls::default();
    controls.apply(&controls::Command::Form(vec![control]));
    let mut rollouts = rollouts::Rollouts::default();
    let action =
        rollouts::Action::Start { service: "desk".into(), target: "v2".into(), over_ms: 12_000 };
    rollouts.apply(7, &rollouts::Command { at_ms: 1_000, action });
    let whole = configuration::State {
        versions: versions.clone(),
        quarantine: quarantine.clone(),
        controls: controls.clone(),
        rollouts: rollouts.clone(),
    };
    let cases = [
        (encode(&(&versions, &quarantine)), controls::Controls::default(), None),
        (encode(&(&versions, &quarantine, &controls)), controls.clone(), None),
        (encode(&whole), controls.clone(), rollouts.get("desk")),
    ];
    for (data, controls, order) in cases {
        let state = configuration::State::decode(&data).expect("a state");
        assert_eq!(state.controls, controls);
        assert_eq!(state.rollouts.get("desk"), order);
        let again = configuration::State::decode(&encode(&state)).expect("a state");
        assert_eq!(again.rollouts, state.rollouts);
    }
    assert!(configuration::State::decode(&encode(&whole)[..1]).is_err());
}
