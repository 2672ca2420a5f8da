//! The fault soak: its schedules, and short runs of fixed seeds.

use std::process;

/// Runs `cargo xtask soak` and returns whether it passed, with its output.
fn soak(args: &[&str]) -> (bool, String) {
    let run = process::Command::new(env!("CARGO_BIN_EXE_xtask")).arg("soak").args(args).output();
    let run = run.expect("xtask runs");
    let text = String::from_utf8_lossy(&run.stdout) + String::from_utf8_lossy(&run.stderr);
    (run.status.success(), text.into_owned())
}

fn check_run(seed: &str) {
    let (passed, text) = soak(&["--seed", seed, "--seconds", "15", "--nodes", "4"]);
    assert!(passed, "{text}");
}

/// Guards against schedules that depend on anything but the seed and the size, so that a failed
/// seed could not be run again.
#[test]
fn schedules() {
    let (passed, small) = soak(&["--plan", "--seed", "1", "--seeds", "2", "--seconds", "15"]);
    assert!(passed, "{small}");
    let (passed, large) = soak(&["--plan", "--seed", "1", "--seconds", "10", "--nodes", "30"]);
    assert!(passed, "{large}");
    insta::assert_snapshot!(format!("{small}\n{large}"));
}

/// Guards against broken promises under the faults of seed 1, which found answers of claimed
/// requests that came after their deadline.
#[test]
fn seed_1() {
    check_run("1");
}

/// Guards against broken promises under the faults of seed 2.
#[test]
fn seed_2() {
    check_run("2");
}
