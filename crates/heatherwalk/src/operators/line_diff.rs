//! Line-based differences of texts in the unified format, found by Myers' O(ND) algorithm.

use std::fmt::Write as _;

/// The largest number of changed lines for which the shortest difference is searched. The search
/// keeps about half as many numbers as the square of the changes, 16 MB at this limit. Beyond it,
/// all lines between the common start and the common end count as replaced.
const MAX_CHANGES: usize = 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Edit<'a> {
    Keep(&'a str),
    Remove(&'a str),
    Add(&'a str),
}

/// The difference from `old` to `new`, with `context` unchanged lines around each change; empty if
/// the texts are equal. Trailing newlines are not compared.
pub fn unified(old_name: &str, new_name: &str, old: &str, new: &str, context: usize) -> String {
    let old: Vec<_> = old.lines().collect();
    let new: Vec<_> = new.lines().collect();
    let edits = diff_lines(&old, &new);
    let mut text = String::new();
    for (start, end) in hunks(&edits, context) {
        if text.is_empty() {
            text = format!("--- {old_name}\n+++ {new_name}\n");
        }
        write_hunk(&mut text, &edits, start, end);
    }
    text
}

fn diff_lines<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Edit<'a>> {
    let head = old.iter().zip(new).take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[head..], &new[head..]);
    let pairs = old_rest.iter().rev().zip(new_rest.iter().rev());
    let tail = pairs.take_while(|(a, b)| a == b).count();
    let old_middle = &old_rest[..old_rest.len() - tail];
    let new_middle = &new_rest[..new_rest.len() - tail];
    let mut edits: Vec<_> = old[..head].iter().map(|it| Edit::Keep(it)).collect();
    edits.extend(diff_middle(old_middle, new_middle));
    edits.extend(old_rest[old_rest.len() - tail..].iter().map(|it| Edit::Keep(it)));
    edits
}

fn diff_middle<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Edit<'a>> {
    match search(old, new) {
        Some(trace) => backtrack(old, new, &trace),
        None => {
            let removed = old.iter().map(|it| Edit::Remove(it));
            removed.chain(new.iter().map(|it| Edit::Add(it))).collect()
        }
    }
}

/// The trace of Myers' search: for each number of changes, the furthest position in `old` that each
/// diagonal reaches. A diagonal is the position in `old` minus the position in `new`; element `i`
/// of step `d` belongs to diagonal `2 * i - d`. Returns `None` beyond [`MAX_CHANGES`].
fn search(old: &[&str], new: &[&str]) -> Option<Vec<Vec<usize>>> {
    let mut trace: Vec<Vec<usize>> = Vec::new();
    for changes in 0..=(old.len() + new.len()).min(MAX_CHANGES) {
        let mut reached = Vec::with_capacity(changes + 1);
        for index in 0..=changes {
            let mut x = match trace.last() {
                Some(before) => step(before, index).0,
                None => 0,
            };
            // On outer diagonals, positions can lie beyond the end of a text. They match no line,
            // and no shortest path contains them.
            let mut y = x + changes - 2 * index;
            while x < old.len() && y < new.len() && old[x] == new[y] {
                x += 1;
                y += 1;
            }
            reached.push(x);
            if x == old.len() && y == new.len() {
                trace.push(reached);
                return Some(trace);
            }
        }
        trace.push(reached);
    }
    None
}

/// The position in `old` where diagonal `index` starts, from the positions `before` that the
/// previous step reached, and whether the change that leads there adds a line.
fn step(before: &[usize], index: usize) -> (usize, bool) {
    let by_removal = index.checked_sub(1).map(|it| before[it] + 1);
    let by_addition = before.get(index).copied();
    match (by_removal, by_addition) {
        (Some(removal), Some(addition)) if addition >= removal => (addition, true),
        (Some(removal), _) => (removal, false),
        (None, addition) => (addition.unwrap_or(0), true),
    }
}

fn backtrack<'a>(old: &[&'a str], new: &[&'a str], trace: &[Vec<usize>]) -> Vec<Edit<'a>> {
    let (mut x, mut y) = (old.len(), new.len());
    let mut edits = Vec::new();
    for changes in (1..trace.len()).rev() {
        let index = (x + changes - y) / 2;
        let (start, added) = step(&trace[changes - 1], index);
        while x > start {
            (x, y) = (x - 1, y - 1);
            edits.push(Edit::Keep(old[x]));
        }
        if added {
            y -= 1;
            edits.push(Edit::Add(new[y]));
        } else {
            x -= 1;
            edits.push(Edit::Remove(old[x]));
        }
    }
    edits.extend(old[..x].iter().rev().map(|it| Edit::Keep(it)));
    edits.reverse();
    edits
}

/// The ranges of edits to print. Changes with touching or overlapping context share a range.
fn hunks(edits: &[Edit<'_>], context: usize) -> Vec<(usize, usize)> {
    let mut hunks: Vec<(usize, usize)> = Vec::new();
    for (index, edit) in edits.iter().enumerate() {
        if matches!(edit, Edit::Keep(_)) {
            continue;
        }
        let start = index.saturating_sub(context);
        let end = (index + 1 + context).min(edits.len());
        match hunks.last_mut() {
            Some(last) if start <= last.1 => last.1 = end,
            _ => hunks.push((start, end)),
        }
    }
    hunks
}

fn write_hunk(text: &mut String, edits: &[Edit<'_>], start: usize, end: usize) {
    let old_lines = |it: &[Edit<'_>]| it.iter().filter(|it| !matches!(it, Edit::Add(_))).count();
    let new_lines = |it: &[Edit<'_>]| it.iter().filter(|it| !matches!(it, Edit::Remove(_))).count();
    let (before, shown) = (&edits[..start], &edits[start..end]);
    // The format counts lines from 1, but an empty range names the line before it.
    let place = |before: usize, count: usize| if count == 0 { before } else { before + 1 };
    let (old_count, new_count) = (old_lines(shown), new_lines(shown));
    let old_start = place(old_lines(before), old_count);
    let new_start = place(new_lines(before), new_count);
    writeln!(text, "@@ -{old_start},{old_count} +{new_start},{new_count} @@").expect("text");
    for edit in shown {
        match edit {
            Edit::Keep(line) => writeln!(text, " {line}"),
            Edit::Remove(line) => writeln!(text, "-{line}"),
            Edit::Add(line) => writeln!(text, "+{line}"),
        }
        .expect("text");
    }
}
