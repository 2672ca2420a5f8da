//! The lock order of tables, and the limits of the worker pool.

use std::{panic, sync};

use tables::{pool, rank, table};

/// Guards against a violation of the lock order that goes unnoticed: it must panic in debug builds.
#[test]
fn violations() {
    let low = table::Table::new(rank::Rank(10), "low", ());
    let high = table::Table::new(rank::Rank(20), "high", ());
    let cases: [(&str, &dyn Fn()); 4] = [
        ("increasing", &|| {
            let _low = low.lock();
            let _high = high.lock();
        }),
        ("decreasing", &|| {
            let _high = high.lock();
            let _low = low.lock();
        }),
        ("same twice", &|| {
            let _first = low.lock();
            let _second = low.lock();
        }),
        ("one after the other", &|| {
            drop(high.lock());
            drop(low.lock());
        }),
    ];
    let summary: Vec<_> = cases.iter().map(|it| (it.0, message(it.1))).collect();
    insta::assert_debug_snapshot!(summary);
}

fn message(case: &dyn Fn()) -> String {
    match panic::catch_unwind(panic::AssertUnwindSafe(case)) {
        Ok(()) => "allowed".to_owned(),
        Err(err) => err.downcast_ref::<String>().cloned().unwrap_or_default(),
    }
}

/// Guards against a full job queue that blocks the submitting thread, and against a panic in a job
/// that ends its worker.
#[tokio::test]
async fn pool_limits() {
    let pool = pool::Pool::spawn(1, 1);
    let (release, gate) = sync::mpsc::channel::<()>();
    let (started, running) = sync::mpsc::channel::<()>();
    pool.submit(move || {
        started.send(()).expect("the test waits");
        gate.recv().expect("the test releases the worker");
    })
    .expect("the queue is empty");
    running.recv().expect("the worker runs the job");
    let (finished, end) = sync::mpsc::channel::<()>();
    let second = pool.submit(move || finished.send(()).expect("the test waits"));
    let third = pool.submit(|| ());
    release.send(()).expect("the worker waits");
    end.recv().expect("the worker runs the second job");
    let panicked = pool.run(|| panic!("a fault in a job")).await;
    let after = pool.run(|| 7).await;
    insta::assert_debug_snapshot!((second, third, panicked, after));
}
