//! Drives one job's coordinator: carries out its actions and feeds the results back
//! to it as events.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gentian::claim::coordinator::{Action, Coordinator, Event, Offer, Plan, Retry};
use gentian::claim::refusal;
use gentian::wire::agent::{self, StartReply};
use gentian::wire::id::{Service, View};
use gentian::wire::outcome::Outcome;
use tokio::sync::{mpsc, watch};

use super::answer::JobResponse;
use super::registry::DriverChannels;
use super::send::{Followed, MessageSender};
use super::submission::Submission;
use super::{Context, Result};
use crate::entry::dispatch::{Handle, Place, PlaceRequest, Reason, Refusal, Report, Verdict};

/// Most tasks of one job that wait for a place or run at the same time.
const MAX_IN_FLIGHT: usize = 128;

/// Inputs of a driver, sent by the tasks that it spawns.
#[derive(Debug)]
pub(super) enum Input {
    /// An event for the coordinator, other than the end of a start.
    Event(Event<StartReply>),
    /// The answer of the coordinator that holds the claim on the job.
    Followed(Followed),
    /// The dispatcher's verdict on an offered task.
    Placed(u32, Verdict),
    /// A task's start has been answered or has failed, so the task no longer counts as in
    /// flight.
    StartEnded(Event<StartReply>),
    /// A newer view is in force than the one by which the job was placed, or the deadline
    /// has passed.
    NewView,
}

/// Runs one attempt at a job.
#[derive(Debug)]
pub(super) struct Driver {
    coordinator: Coordinator<StartReply>,
    /// The claim to send first; taken when the driver starts to run.
    claim: Option<Action<StartReply>>,
    submission: Submission,
    dispatcher: Handle,
    sender: MessageSender,
    inbox: mpsc::UnboundedReceiver<Input>,
    outbox: mpsc::UnboundedSender<Input>,
    answer: watch::Sender<Option<JobResponse>>,
    cancelled: watch::Receiver<bool>,
    /// Id of the attempt.
    coordinator_id: u64,
    /// Number of tasks that wait for a place or run.
    in_flight: usize,
    /// Zero of the times that are passed to the coordinator.
    origin: Instant,
}

impl Driver {
    /// Places the job by the view in force and creates its coordinator.
    pub(super) fn new(
        context: Context,
        submission: Submission,
        channels: DriverChannels,
    ) -> Result<Driver> {
        let (plan, view) = plan(&context, &submission, channels.coordinator)?;
        let (coordinator, claim) = Coordinator::new(plan);
        let (outbox, inbox) = mpsc::unbounded_channel();
        let dispatcher = context.dispatcher.clone();
        let sender = MessageSender::new(
            context,
            &submission,
            channels.coordinator,
            view,
            outbox.clone(),
        );
        Ok(Driver {
            coordinator,
            claim: Some(claim),
            submission,
            dispatcher,
            sender,
            inbox,
            outbox,
            answer: channels.answer,
            cancelled: channels.cancelled,
            coordinator_id: channels.coordinator,
            in_flight: 0,
            origin: Instant::now(),
        })
    }

    /// Runs the job until it is answered.
    pub(super) async fn run(mut self) {
        let claim = self.claim.take();
        self.perform(claim.into_iter().collect());
        let deadline = tokio::time::Instant::from(self.submission.deadline);
        while self.answer.borrow().is_none() {
            self.request_places();
            let wake = self.next_wake();
            let input = tokio::select! {
                input = self.inbox.recv() => input,
                () = tokio::time::sleep_until(deadline) => Some(Input::Event(Event::Abandoned)),
                Ok(_) = self.cancelled.wait_for(|cancelled| *cancelled) => {
                    Some(Input::Event(Event::Abandoned))
                }
                () = tokio::time::sleep_until(wake) => None,
            };
            self.handle_input(input);
        }
        self.release_unused();
    }

    fn handle_input(&mut self, input: Option<Input>) {
        match input {
            Some(Input::Event(Event::Claimed(Err(refusal::Refusal::OldView)))) => {
                self.wait_for_newer_view()
            }
            Some(Input::NewView) => self.place_again(),
            Some(Input::Event(event)) => self.handle_event(event),
            Some(Input::StartEnded(event)) => {
                self.in_flight -= 1;
                self.handle_event(event);
            }
            Some(Input::Placed(task, verdict)) => self.handle_verdict(task, verdict),
            Some(Input::Followed(Some(response))) => self.publish_answer(response),
            Some(Input::Followed(None)) => self.handle_event(Event::FollowEnded(None)),
            // The wait of a refused task has ended; `run` offers the task again.
            None => {}
        }
    }

    /// Waits for a newer view: the home agent has refused the claim, since it has seen a
    /// view that has not reached this entry yet.
    fn wait_for_newer_view(&self) {
        let (sender, outbox) = (self.sender.clone(), self.outbox.clone());
        tokio::spawn(async move {
            sender.wait_for_newer_view().await;
            // Fails if the driver has ended, which then needs no input.
            let _ = outbox.send(Input::NewView);
        });
    }

    /// Places the job again by the newer view, with a new coordinator. That is safe,
    /// since the job was not claimed and no task of it was sent.
    fn place_again(&mut self) {
        if self.coordinator.is_answered() {
            return;
        }
        match plan(self.sender.context(), &self.submission, self.coordinator_id) {
            Ok((plan, view)) => {
                let (coordinator, claim) = Coordinator::new(plan);
                self.coordinator = coordinator;
                self.sender.set_view(view);
                self.perform(vec![claim]);
            }
            Err(_) => self.handle_event(Event::ClaimFailed),
        }
    }

    fn handle_event(&mut self, event: Event<StartReply>) {
        let actions = self.coordinator.handle(event, self.now());
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action<StartReply>>) {
        for action in actions {
            match action {
                Action::Answer(answer) => {
                    self.publish_answer(JobResponse::new(&answer, self.coordinator_id));
                }
                action => self.sender.send(action, self.coordinator.ballot()),
            }
        }
    }

    fn publish_answer(&self, response: JobResponse) {
        self.answer.send_replace(Some(response));
    }

    /// Asks the dispatcher for places for the waiting tasks.
    fn request_places(&mut self) {
        while self.in_flight < MAX_IN_FLIGHT {
            let Some(offer) = self.coordinator.offer(self.now()) else {
                return;
            };
            self.in_flight += 1;
            self.request_place(offer);
        }
    }

    fn request_place(&self, offer: Offer) {
        let request = PlaceRequest {
            service: self.submission.service.clone(),
            team: self.submission.team.clone(),
            job: Some(self.submission.job),
            deadline: self.submission.deadline,
            candidates: offer.candidates,
            tried_agents: Vec::new(),
            retry_of: None,
        };
        let (dispatcher, outbox) = (self.dispatcher.clone(), self.outbox.clone());
        let service = request.service.clone();
        tokio::spawn(async move {
            let verdict = dispatcher.place(request).await;
            let sent = outbox.send(Input::Placed(offer.task, verdict));
            if let Err(mpsc::error::SendError(Input::Placed(_, Verdict::Start(place)))) = sent {
                dispatcher.report(unused_place(place, &service));
            }
        });
    }

    fn handle_verdict(&mut self, task: u32, verdict: Verdict) {
        match verdict {
            Verdict::Start(place) => self.start(task, place),
            Verdict::Refuse(refusal) => {
                self.in_flight -= 1;
                let retry = self.retry(&refusal);
                let actions = self.coordinator.decline(task, retry, self.now());
                self.perform(actions);
            }
        }
    }

    /// When to offer a refused task again. A full queue drains and a lapsed lease is
    /// renewed, so after these refusals the task is offered until the deadline.
    /// Candidates that have left the view rarely come back, so a task without an
    /// upstream is offered again a limited number of times.
    fn retry(&self, refusal: &Refusal) -> Retry {
        match (refusal.reason, refusal.retry_after) {
            (Reason::DeadlinePassed | Reason::NoTimeLeft, _) | (_, None) => Retry::GiveUp,
            (Reason::NoUpstream, Some(_)) => Retry::NextRound,
            (_, Some(after)) => Retry::At(self.now() + after),
        }
    }

    fn start(&mut self, task: u32, place: Place) {
        if self.coordinator.assign(task, &place.agent).is_some() {
            let message = self.submission.tasks[task as usize].clone();
            let ballot = self.coordinator.ballot();
            self.sender.start(task, message, place, ballot);
        } else {
            self.release(place);
        }
    }

    fn release(&self, place: Place) {
        let service = &self.submission.service;
        self.dispatcher.report(unused_place(place, service));
    }

    /// Releases the places that were given but not used before the job was answered.
    fn release_unused(&mut self) {
        self.inbox.close();
        while let Ok(input) = self.inbox.try_recv() {
            if let Input::Placed(_, Verdict::Start(place)) = input {
                self.release(place);
            }
        }
    }

    /// When the next refused task may be offered again; the deadline if there is none or
    /// too many tasks are in flight.
    fn next_wake(&self) -> tokio::time::Instant {
        let full = self.in_flight >= MAX_IN_FLIGHT;
        let wake = self.coordinator.next_retry().filter(|_| !full);
        let at = wake.map_or(self.submission.deadline, |after| self.origin + after);
        at.into()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// Places a job by the view in force.
fn plan(context: &Context, submission: &Submission, id: u64) -> Result<(Plan, View)> {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    let tasks = u32::try_from(submission.tasks.len()).unwrap_or(u32::MAX);
    let wall = wall.unwrap_or_default();
    let (job, service) = (submission.job, &submission.service);
    context.placement.plan(job, id, service, tasks, wall)
}

/// The report on a place that was not used.
fn unused_place(place: Place, service: &Service) -> Report {
    Report {
        place,
        service: service.clone(),
        outcome: Outcome::NotRun,
        reason: agent::Reason::Unspecified,
        load: None,
        run: None,
    }
}
