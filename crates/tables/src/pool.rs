//! A pool with a fixed number of worker threads, which run the jobs of a process.

use std::{panic, thread};

use tokio::sync::oneshot;

/// Why a job did not run, or has no result.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Error {
    /// The job queue is full, because jobs arrive faster than the workers run them.
    #[error("the job queue of the worker pool is full")]
    Full,
    /// The pool has stopped, or the job panicked.
    #[error("the job panicked, or the worker pool has stopped")]
    Lost,
}

/// The result of submitting or running a job.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A job, run once by one worker.
type Job = Box<dyn FnOnce() + Send>;

/// A running pool. Dropping it runs the queued jobs and waits for the worker threads to end.
#[derive(Debug)]
pub struct Pool {
    jobs: Option<crossbeam_channel::Sender<Job>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Pool {
    /// Starts `workers` threads, at least one, that take jobs from a shared queue of at most
    /// `capacity` waiting jobs.
    pub fn spawn(workers: usize, capacity: usize) -> Pool {
        let (jobs, queued) = crossbeam_channel::bounded::<Job>(capacity);
        let threads =
            (0..workers.max(1)).map(|index| spawn_worker(index, queued.clone())).collect();
        Pool { jobs: Some(jobs), threads }
    }

    /// Queues a job without waiting for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full or the pool has stopped. The job is then dropped.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) -> Result<()> {
        let Some(jobs) = &self.jobs else { return Err(Error::Lost) };
        jobs.try_send(Box::new(job)).map_err(|err| match err {
            crossbeam_channel::TrySendError::Full(_) => Error::Full,
            crossbeam_channel::TrySendError::Disconnected(_) => Error::Lost,
        })
    }

    /// Queues a job that must not be lost, for example because it releases a resource. If the queue
    /// is full or the pool has stopped, runs the job on the calling thread.
    pub fn submit_or_run(&self, job: impl FnOnce() + Send + 'static) {
        let job: Job = Box::new(job);
        let Some(jobs) = &self.jobs else { return run_job(job) };
        if let Err(err) = jobs.try_send(job) {
            run_job(err.into_inner());
        }
    }

    /// Runs a job on a worker and returns its result. The calling thread is not blocked meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full, the job panics or the pool has stopped.
    pub async fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T> {
        let (done, result) = oneshot::channel();
        self.submit(move || {
            // Sending fails if the future was dropped. Then nobody needs the result.
            drop(done.send(job()));
        })?;
        result.await.map_err(|_| Error::Lost)
    }
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            // A job can drop the last reference to the pool. A worker must not join itself.
            if thread.thread().id() != thread::current().id() && thread.join().is_err() {
                log::error!("a worker thread of the pool has panicked");
            }
        }
    }
}

fn spawn_worker(index: usize, queued: crossbeam_channel::Receiver<Job>) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .name(format!("worker-{index}"))
        .spawn(move || {
            for job in queued {
                run_job(job);
            }
        })
        .expect("the process can start its worker threads")
}

/// Runs a job and catches its panic, so that the worker continues with the next job.
fn run_job(job: Job) {
    if panic::catch_unwind(panic::AssertUnwindSafe(job)).is_err() {
        log::error!("a job panicked; its worker continues with the next job");
    }
}
