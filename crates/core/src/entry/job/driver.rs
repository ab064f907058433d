//! Drives one job's coordinator: sends what it asks for, and tells it what came.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gentian::claim::coordinator::{Action, Coordinator, Event, Offer, Plan, Retry};
use gentian::claim::refusal;
use gentian::wire::agent::{self, StartReply};
use gentian::wire::id::{Service, View};
use gentian::wire::outcome::Outcome;
use tokio::sync::{mpsc, watch};

use super::answer::Document;
use super::registry::Ends;
use super::send::{Followed, Sender};
use super::submission::Submission;
use super::{Context, Result};
use crate::entry::dispatch::{Handle, Place, PlaceRequest, Reason, Refusal, Report, Verdict};

/// Tasks of one job that wait for a place or run at one time.
const MAX_UNDER_WAY: usize = 128;

/// What comes back to a driver.
#[derive(Debug)]
pub(super) enum Input {
    /// A reply for the coordinator.
    Event(Event<StartReply>),
    /// The earlier coordinator's answer.
    Followed(Followed),
    /// The dispatcher's verdict on an offered task.
    Placed(u32, Verdict),
    /// A start has ended.
    Ended(Event<StartReply>),
    /// A newer view than the job was placed by is in force.
    Renewed,
}

/// One attempt at one job.
#[derive(Debug)]
pub(super) struct Driver {
    coordinator: Coordinator<StartReply>,
    claim: Option<Action<StartReply>>,
    submission: Submission,
    dispatcher: Handle,
    sender: Sender,
    inbox: mpsc::UnboundedReceiver<Input>,
    outbox: mpsc::UnboundedSender<Input>,
    answer: watch::Sender<Option<Document>>,
    cancelled: watch::Receiver<bool>,
    id: u64,
    under_way: usize,
    origin: Instant,
}

impl Driver {
    /// Places the job and makes its coordinator.
    pub(super) fn new(context: Context, submission: Submission, ends: Ends) -> Result<Driver> {
        let (plan, view) = place(&context, &submission, ends.coordinator)?;
        let (coordinator, claim) = Coordinator::new(plan);
        let (outbox, inbox) = mpsc::unbounded_channel();
        let dispatcher = context.dispatcher.clone();
        let sender = Sender::new(context, &submission, ends.coordinator, view, outbox.clone());
        Ok(Driver {
            coordinator,
            claim: Some(claim),
            submission,
            dispatcher,
            sender,
            inbox,
            outbox,
            answer: ends.answer,
            cancelled: ends.cancelled,
            id: ends.coordinator,
            under_way: 0,
            origin: Instant::now(),
        })
    }

    /// Runs the job to its answer.
    pub(super) async fn run(mut self) {
        let claim = self.claim.take();
        self.act(claim.into_iter().collect());
        let deadline = tokio::time::Instant::from(self.submission.deadline);
        while self.answer.borrow().is_none() {
            self.demand();
            let wake = self.wake();
            let input = tokio::select! {
                input = self.inbox.recv() => input,
                () = tokio::time::sleep_until(deadline) => Some(Input::Event(Event::Ended)),
                Ok(_) = self.cancelled.wait_for(|cancelled| *cancelled) => {
                    Some(Input::Event(Event::Ended))
                }
                () = tokio::time::sleep_until(wake) => None,
            };
            self.take(input);
        }
        self.close();
    }

    fn take(&mut self, input: Option<Input>) {
        match input {
            Some(Input::Event(Event::Claimed(Err(refusal::Refusal::OldView)))) => self.await_view(),
            Some(Input::Renewed) => self.place_again(),
            Some(Input::Event(event)) => self.event(event),
            Some(Input::Ended(event)) => {
                self.under_way -= 1;
                self.event(event);
            }
            Some(Input::Placed(task, verdict)) => self.placed(task, verdict),
            Some(Input::Followed(Some(document))) => self.tell(document),
            Some(Input::Followed(None)) => self.event(Event::Followed(None)),
            // Time to offer a refused task again.
            None => {}
        }
    }

    /// The home has seen a newer view, and this entry is about to.
    fn await_view(&self) {
        let (sender, outbox) = (self.sender.clone(), self.outbox.clone());
        tokio::spawn(async move {
            sender.newer_view().await;
            // A driver that has ended takes no more.
            let _ = outbox.send(Input::Renewed);
        });
    }

    /// Places the job by the newer view. Nothing of it was claimed or sent.
    fn place_again(&mut self) {
        if self.coordinator.is_answered() {
            return;
        }
        match place(self.sender.context(), &self.submission, self.id) {
            Ok((plan, view)) => {
                let (coordinator, claim) = Coordinator::new(plan);
                self.coordinator = coordinator;
                self.sender.follow_view(view);
                self.act(vec![claim]);
            }
            Err(_) => self.event(Event::ClaimFailed),
        }
    }

    fn event(&mut self, event: Event<StartReply>) {
        let actions = self.coordinator.handle(event, self.now());
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action<StartReply>>) {
        for action in actions {
            match action {
                Action::Answer(answer) => self.tell(Document::new(&answer, self.id)),
                action => self.sender.send(action, self.coordinator.ballot()),
            }
        }
    }

    fn tell(&self, document: Document) {
        self.answer.send_replace(Some(document));
    }

    /// Asks the dispatcher for places for tasks that wait.
    fn demand(&mut self) {
        while self.under_way < MAX_UNDER_WAY {
            let Some(offer) = self.coordinator.offer(self.now()) else {
                return;
            };
            self.under_way += 1;
            self.find_place(offer);
        }
    }

    fn find_place(&self, offer: Offer) {
        let demand = PlaceRequest {
            service: self.submission.service.clone(),
            team: self.submission.team.clone(),
            job: Some(self.submission.job),
            deadline: self.submission.deadline,
            candidates: offer.candidates,
            tried_agents: Vec::new(),
            retry_of: None,
        };
        let (dispatcher, outbox) = (self.dispatcher.clone(), self.outbox.clone());
        let service = demand.service.clone();
        tokio::spawn(async move {
            let verdict = dispatcher.place(demand).await;
            let sent = outbox.send(Input::Placed(offer.task, verdict));
            if let Err(mpsc::error::SendError(Input::Placed(_, Verdict::Start(place)))) = sent {
                dispatcher.report(unused(place, &service));
            }
        });
    }

    fn placed(&mut self, task: u32, verdict: Verdict) {
        match verdict {
            Verdict::Start(place) => self.start(task, place),
            Verdict::Refuse(refusal) => {
                self.under_way -= 1;
                let retry = self.retry(&refusal);
                let actions = self.coordinator.decline(task, retry, self.now());
                self.act(actions);
            }
        }
    }

    /// A full queue empties, and a lease comes back, before the deadline or not;
    /// candidates that have gone from the view hardly do.
    fn retry(&self, refusal: &Refusal) -> Retry {
        match (refusal.reason, refusal.retry_after) {
            (Reason::DeadlinePassed | Reason::NoTimeLeft, _) | (_, None) => Retry::Never,
            (Reason::NoUpstream, Some(_)) => Retry::Round,
            (_, Some(after)) => Retry::At(self.now() + after),
        }
    }

    fn start(&mut self, task: u32, place: Place) {
        if self.coordinator.assign(task, &place.agent).is_some() {
            let message = self.submission.tasks[task as usize].clone();
            let ballot = self.coordinator.ballot();
            self.sender.start(task, message, place, ballot);
        } else {
            self.free(place);
        }
    }

    fn free(&self, place: Place) {
        let service = &self.submission.service;
        self.dispatcher.report(unused(place, service));
    }

    /// Gives back the places that came too late.
    fn close(&mut self) {
        self.inbox.close();
        while let Ok(input) = self.inbox.try_recv() {
            if let Input::Placed(_, Verdict::Start(place)) = input {
                self.free(place);
            }
        }
    }

    fn wake(&self) -> tokio::time::Instant {
        let full = self.under_way >= MAX_UNDER_WAY;
        let wake = self.coordinator.wake().filter(|_| !full);
        let at = wake.map_or(self.submission.deadline, |after| self.origin + after);
        at.into()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// Places a job by the view in force.
fn place(context: &Context, submission: &Submission, id: u64) -> Result<(Plan, View)> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
    let wall = wall.unwrap_or_default();
    let (job, service) = (submission.job, &submission.service);
    context.known.plan(job, id, service, tasks, wall)
}

/// Tells the dispatcher that a place was not used.
fn unused(place: Place, service: &Service) -> Report {
    Report {
        place,
        service: service.clone(),
        outcome: Outcome::NotRun,
        reason: agent::Reason::Unspecified,
        load: None,
        run: None,
    }
}
