//! The jobs that this entry coordinates, and the last answers it gave.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use gentian::wire::id::Job;
use tokio::sync::watch;

use super::answer::Document;

/// Number of answered jobs that are kept for callers that come back.
const MAX_ANSWERED: usize = 32;

/// One attempt at a job; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Running {
    /// Id of the attempt.
    pub(super) coordinator: u64,
    answer: watch::Receiver<Option<Document>>,
    cancel: watch::Sender<bool>,
}

/// The driver's ends of an attempt.
#[derive(Debug)]
pub(super) struct Ends {
    pub(super) coordinator: u64,
    pub(super) answer: watch::Sender<Option<Document>>,
    pub(super) cancelled: watch::Receiver<bool>,
}

impl Running {
    fn new() -> (Running, Ends) {
        let coordinator = rand::random();
        let (sender, answer) = watch::channel(None);
        let (cancel, cancelled) = watch::channel(false);
        let running = Running {
            coordinator,
            answer,
            cancel,
        };
        let ends = Ends {
            coordinator,
            answer: sender,
            cancelled,
        };
        (running, ends)
    }

    /// Waits for the answer; none where the driver ended without one.
    pub(super) async fn answer(&self) -> Option<Document> {
        let mut answer = self.answer.clone();
        let answer = answer.wait_for(Option::is_some).await;
        answer.map_or(None, |document| document.clone())
    }

    /// The answer, where it is there.
    pub(super) fn peek(&self) -> Option<Document> {
        self.answer.borrow().clone()
    }

    /// Gives the job up.
    pub(super) fn cancel(&self) {
        self.cancel.send_replace(true);
    }

    /// Whether another caller of the same key gets this attempt's answer. A
    /// job that failed is tried again: the gates know what has run.
    pub(super) fn is_shared(&self) -> bool {
        match &*self.answer.borrow() {
            Some(document) => document.complete,
            None => true,
        }
    }
}

/// All attempts by key.
#[derive(Debug, Default)]
pub(super) struct Registry {
    jobs: Mutex<BTreeMap<Job, Running>>,
}

impl Registry {
    pub(super) fn get(&self, job: Job) -> Option<Running> {
        self.lock().get(&job).cloned()
    }

    /// The attempt that others may share, or a new one that `start` begins.
    pub(super) fn join<E>(
        &self,
        job: Job,
        start: impl FnOnce(Ends) -> Result<(), E>,
    ) -> Result<Running, E> {
        let mut jobs = self.lock();
        if let Some(running) = jobs.get(&job).filter(|running| running.is_shared()) {
            return Ok(running.clone());
        }
        let (running, ends) = Running::new();
        start(ends)?;
        jobs.insert(job, running.clone());
        Ok(running)
    }

    /// Drops the oldest answers beyond those that are kept.
    pub(super) fn trim(&self) {
        let mut jobs = self.lock();
        let answered = |pair: &(&Job, &Running)| pair.1.answer.borrow().is_some();
        let answered: Vec<Job> = jobs.iter().filter(answered).map(|pair| *pair.0).collect();
        let excess = answered.len().saturating_sub(MAX_ANSWERED);
        for job in &answered[..excess] {
            jobs.remove(job);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Job, Running>> {
        self.jobs.lock().expect("no thread panics with this lock")
    }
}
