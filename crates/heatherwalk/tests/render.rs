//! Rendering of differences, times and durations.

use heatherwalk::{operators::line_diff, render};
use rand::{Rng as _, SeedableRng as _};

/// Applies a difference in the unified format to the old text and returns the new one.
fn apply(old: &str, diff: &str) -> String {
    let mut old = old.lines();
    let mut seen = 0;
    let mut new = Vec::new();
    for line in diff.lines().skip(2) {
        match line.split_at(1) {
            ("@", rest) => {
                let range = rest.split(['-', ' ']).nth(2).expect("the old range");
                let (start, count) = range.split_once(',').expect("start and count");
                let (start, count): (usize, usize) =
                    (start.parse().expect("a number"), count.parse().expect("a number"));
                let first = if count == 0 { start } else { start - 1 };
                new.extend(old.by_ref().take(first - seen));
                seen = first;
            }
            ("+", rest) => new.push(rest),
            (sign, rest) => {
                assert_eq!(old.next(), Some(rest));
                seen += 1;
                new.extend((sign == " ").then_some(rest));
            }
        }
    }
    new.extend(old);
    new.join("\n")
}

/// Guards against differences that do not turn the old text into the new one, and against
/// differences that are longer than necessary.
#[test]
fn differences() {
    let seed = 20_261_204;
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    for round in 0..2_000 {
        let mut text = |most: usize| {
            let count = rng.random_range(0..=most);
            let lines = (0..count).map(|_| ["a", "b", "c"][rng.random_range(0..3)]);
            lines.collect::<Vec<_>>().join("\n")
        };
        let (old, new) = (text(12), text(12));
        let diff = line_diff::unified("old", "new", &old, &new, round % 4);
        assert_eq!(apply(&old, &diff), new, "seed {seed}, round {round}:\n{old}\n{diff}");
        let changed = diff.lines().skip(2).filter(|it| it.starts_with(['+', '-'])).count();
        assert_eq!(changed, distance(&old, &new), "seed {seed}, round {round}");
    }
    let long = |word: &str| (0..3_000).map(|it| format!("{word} {it}\n")).collect::<String>();
    let diff = line_diff::unified("old", "new", &long("a"), &long("b"), 3);
    assert_eq!(apply(&long("a"), &diff) + "\n", long("b"), "beyond the limit of the search");
}

/// The smallest number of added and removed lines, from the table of longest common subsequences.
fn distance(old: &str, new: &str) -> usize {
    let (old, new): (Vec<_>, Vec<_>) = (old.lines().collect(), new.lines().collect());
    let mut common = vec![vec![0; new.len() + 1]; old.len() + 1];
    for (i, a) in old.iter().enumerate() {
        for (j, b) in new.iter().enumerate() {
            let longer = common[i][j + 1].max(common[i + 1][j]);
            common[i + 1][j + 1] = if a == b { common[i][j] + 1 } else { longer };
        }
    }
    old.len() + new.len() - 2 * common[old.len()][new.len()]
}

/// Guards against wrong dates around leap days and against durations with a wrong unit.
#[test]
fn times() {
    let days = [0, 951_782_400_000, 951_868_800_000, 1_709_251_199_999, 1_735_689_600_000];
    let mut out: Vec<_> = days.iter().map(|it| render::utc(*it)).collect();
    out.extend([0, 999, 1_000, 59_999, 60_000, 3_600_000, 90_061_000].map(render::duration));
    insta::assert_debug_snapshot!(out);
}
