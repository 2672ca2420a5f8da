//! The fixed pool of worker threads on which every decision runs.

use std::{panic, thread};

use tokio::sync::oneshot;

/// An error of the pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The queue of jobs is full: the process has more work than its workers can decide on.
    #[error("the queue of jobs is full")]
    Full,
    /// The pool has been stopped, or the job panicked.
    #[error("the job was not finished")]
    Lost,
}

/// A result of this module.
pub type Result<T, E = Error> = std::result::Result<T, E>;

type Job = Box<dyn FnOnce() + Send>;

/// A running pool. Dropping it finishes the queued jobs and joins the threads.
#[derive(Debug)]
pub struct Pool {
    jobs: Option<crossbeam_channel::Sender<Job>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Pool {
    /// Starts `workers` threads that take jobs from one queue with room for `queue` jobs.
    pub fn spawn(workers: usize, queue: usize) -> Pool {
        let (jobs, source) = crossbeam_channel::bounded::<Job>(queue);
        let threads =
            (0..workers.max(1)).map(|index| spawn_worker(index, source.clone())).collect();
        Pool { jobs: Some(jobs), threads }
    }

    /// Queues a job whose result nobody waits for.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> Result<()> {
        let Some(jobs) = &self.jobs else { return Err(Error::Lost) };
        jobs.try_send(Box::new(job)).map_err(|err| match err {
            crossbeam_channel::TrySendError::Full(_) => Error::Full,
            crossbeam_channel::TrySendError::Disconnected(_) => Error::Lost,
        })
    }

    /// Queues a job that must not be lost, since it frees something. Runs it on the calling thread
    /// when the queue is full.
    pub fn submit_or_run(&self, job: impl FnOnce() + Send + 'static) {
        let job: Job = Box::new(job);
        let Some(jobs) = &self.jobs else { return run_job(job) };
        if let Err(err) = jobs.try_send(job) {
            run_job(err.into_inner());
        }
    }

    /// Runs a job on a worker and waits, without blocking the caller's thread, for its result.
    pub async fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T> {
        let (done, result) = oneshot::channel();
        self.submit(move || {
            // The caller may have gone away; then its result is dropped.
            drop(done.send(job()));
        })?;
        result.await.map_err(|_| Error::Lost)
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            // The last handle may be dropped by a job, on one of the workers.
            if thread.thread().id() != thread::current().id() && thread.join().is_err() {
                log::error!("a worker thread panicked");
            }
        }
    }
}

fn spawn_worker(index: usize, source: crossbeam_channel::Receiver<Job>) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .name(format!("worker-{index}"))
        .spawn(move || {
            for job in source {
                run_job(job);
            }
        })
        .expect("the process can start its fixed number of threads")
}

/// A job that panics loses its own result only; the worker goes on.
fn run_job(job: Job) {
    if panic::catch_unwind(panic::AssertUnwindSafe(job)).is_err() {
        log::error!("a job panicked");
    }
}
