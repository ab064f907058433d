//! This entry's attempts at jobs: those in progress and the most recently answered.

use std::collections::BTreeMap;
use std::sync::MutexGuard;

use gentian::wire::id::Job;
use tokio::sync::watch;

use super::answer::JobResponse;
use crate::panics::Mutex;

/// Number of answered jobs that are kept for callers that submit a key again.
const MAX_ANSWERED: usize = 32;

/// One attempt at a job, as its callers see it; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    /// Id of the attempt.
    pub(super) coordinator: u64,
    answer: watch::Receiver<Option<JobResponse>>,
    cancel: watch::Sender<bool>,
}

/// The driver's ends of an attempt's channels.
#[derive(Debug)]
pub(super) struct DriverChannels {
    /// Id of the attempt.
    pub(super) coordinator: u64,
    pub(super) answer: watch::Sender<Option<JobResponse>>,
    pub(super) cancelled: watch::Receiver<bool>,
}

impl Attempt {
    fn new() -> (Attempt, DriverChannels) {
        let coordinator = rand::random();
        let (sender, answer) = watch::channel(None);
        let (cancel, cancelled) = watch::channel(false);
        let attempt = Attempt {
            coordinator,
            answer,
            cancel,
        };
        let channels = DriverChannels {
            coordinator,
            answer: sender,
            cancelled,
        };
        (attempt, channels)
    }

    /// Waits for the answer; none if the driver ended without one.
    pub(super) async fn answer(&self) -> Option<JobResponse> {
        let mut answer = self.answer.clone();
        let answer = answer.wait_for(Option::is_some).await;
        answer.map_or(None, |response| response.clone())
    }

    /// The answer, if the attempt has ended.
    pub(super) fn current_answer(&self) -> Option<JobResponse> {
        self.answer.borrow().clone()
    }

    /// Tells the driver to give the job up.
    pub(super) fn cancel(&self) {
        self.cancel.send_replace(true);
    }

    /// Whether another caller of the same key gets this attempt's answer. A failed
    /// job is attempted again, which is safe: the agents' gates know which of its
    /// tasks have run.
    pub(super) fn is_joinable(&self) -> bool {
        match &*self.answer.borrow() {
            Some(response) => response.complete,
            None => true,
        }
    }
}

/// The latest attempt at each job, by job key.
#[derive(Debug, Default)]
pub(super) struct Registry {
    jobs: Mutex<BTreeMap<Job, Attempt>>,
}

impl Registry {
    pub(super) fn get(&self, job: Job) -> Option<Attempt> {
        self.lock().get(&job).cloned()
    }

    /// The latest attempt at the job, if another caller can join it; else a new attempt,
    /// whose driver is started by `start`.
    pub(super) fn join_or_start<E>(
        &self,
        job: Job,
        start: impl FnOnce(DriverChannels) -> Result<(), E>,
    ) -> Result<Attempt, E> {
        let mut jobs = self.lock();
        if let Some(attempt) = jobs.get(&job).filter(|attempt| attempt.is_joinable()) {
            return Ok(attempt.clone());
        }
        let (attempt, channels) = Attempt::new();
        start(channels)?;
        jobs.insert(job, attempt.clone());
        Ok(attempt)
    }

    /// Keeps the [`MAX_ANSWERED`] answered jobs with the newest keys and removes the
    /// other answered ones.
    pub(super) fn evict_answered(&self) {
        let mut jobs = self.lock();
        let answered = |pair: &(&Job, &Attempt)| pair.1.answer.borrow().is_some();
        let answered: Vec<Job> = jobs.iter().filter(answered).map(|pair| *pair.0).collect();
        let excess = answered.len().saturating_sub(MAX_ANSWERED);
        for job in &answered[..excess] {
            jobs.remove(job);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Job, Attempt>> {
        self.jobs.lock()
    }
}
