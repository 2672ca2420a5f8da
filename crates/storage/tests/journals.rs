//! Journals on disk: what is read again after a restart, a torn write and a failed sync.

use std::{cell, fs, io::Write as _, rc};

use storage::{errors, faults, journal};

type Fault = fn(faults::Operation) -> faults::Fault;

fn records(folder: &tempfile::TempDir) -> errors::Result<Vec<u32>> {
    journal::Journal::open(folder.path(), "numbers").map(|it| it.1)
}

/// Guards against records that are lost, or come back, when the journal is opened again.
#[test]
fn records_are_lost() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, read) =
        journal::Journal::open::<u32>(folder.path(), "numbers").expect("creates");
    assert!(read.is_empty() && journal.is_empty());
    journal.append(&[1_u32, 2]).expect("appends");
    journal.append(&[3_u32]).expect("appends");
    assert_eq!(journal.len(), 3);
    drop(journal);
    assert_eq!(records(&folder).expect("opens"), [1, 2, 3]);
    let (mut journal, _) = journal::Journal::open::<u32>(folder.path(), "numbers").expect("opens");
    journal.rewrite(&[3_u32]).expect("rewrites");
    journal.append(&[4_u32]).expect("appends");
    drop(journal);
    assert_eq!(records(&folder).expect("opens"), [3, 4]);
}

/// Guards against a torn last record that makes the records before it unreadable, and against
/// damage within the file that goes unnoticed.
#[test]
fn damage() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("numbers");
    let (mut journal, _) =
        journal::Journal::open::<u32>(folder.path(), "numbers").expect("creates");
    journal.append(&[1_u32, 2]).expect("appends");
    drop(journal);
    let whole = fs::read(&path).expect("reads");
    for torn in 1..9 {
        fs::write(&path, &whole[..whole.len() - torn]).expect("writes");
        assert_eq!(records(&folder).expect("opens"), [1], "{torn} bytes are missing");
    }
    let mut file = fs::OpenOptions::new().append(true).open(&path).expect("opens");
    file.write_all(&[9, 0]).expect("writes");
    drop(file);
    assert_eq!(records(&folder).expect("opens"), [1]);
    let mut damaged = whole.clone();
    let first = damaged.len() - 10;
    damaged[first] ^= 1;
    fs::write(&path, &damaged).expect("writes");
    assert!(matches!(records(&folder), Err(errors::Error::Corrupt { .. })));
    drop(journal::Journal::create(folder.path(), "numbers").expect("replaces"));
    assert!(records(&folder).expect("opens").is_empty());
}

/// Guards against records that count as written although a write or a sync of them failed, and
/// against a journal that stays unusable after that.
#[test]
fn a_failed_write_counts() {
    let folder = tempfile::tempdir().expect("a folder");
    let next = rc::Rc::new(cell::Cell::new(faults::Fault::None));
    for (operation, fault) in [
        (faults::Operation::Write(0), faults::Fault::Fail),
        (faults::Operation::Write(0), faults::Fault::Torn(3)),
        (faults::Operation::Sync, faults::Fault::Fail),
    ] {
        let inject = {
            let next = rc::Rc::clone(&next);
            move |it: faults::Operation| {
                let same = std::mem::discriminant(&it) == std::mem::discriminant(&operation);
                if same { next.replace(faults::Fault::None) } else { faults::Fault::None }
            }
        };
        let opened = journal::Journal::open_with_faults::<u32>(folder.path(), "numbers", inject);
        let (mut journal, read) = opened.expect("opens");
        next.set(fault);
        assert!(journal.append(&[7_u32]).is_err(), "{operation:?} {fault:?}");
        assert!(!journal.is_usable());
        assert!(matches!(journal.append(&[8_u32]), Err(errors::Error::Unusable { .. })));
        let all: Vec<u32> = read.into_iter().chain([1]).collect();
        journal.rewrite(&all).expect("rewrites");
        journal.append(&[2_u32]).expect("appends");
        let expected: Vec<u32> = all.into_iter().chain([2]).collect();
        drop(journal);
        assert_eq!(records(&folder).expect("opens"), expected, "{operation:?} {fault:?}");
    }
    let none: Fault = faults::none;
    let opened = journal::Journal::open_with_faults::<u32>(folder.path(), "other", none);
    assert!(opened.expect("opens").1.is_empty());
}
