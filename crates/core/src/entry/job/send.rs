//! Sends a coordinator's messages to agents and other entries. Each reply, error or
//! timeout is passed to the driver as one input.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::coordinator::{Action, Event, StartResult};
use gentian::claim::gate::TaskStatus;
use gentian::claim::home::{self, ClaimOutcome, Holder};
use gentian::claim::refusal::Refusal;
use gentian::wire::agent::ask_reply::{self, answer};
use gentian::wire::agent::claim_reply::Kind;
use gentian::wire::agent::{
    AskRequest, CancelRequest, ClaimReply, ClaimRequest, StartReply, StartRequest,
};
use gentian::wire::id::{Ballot, Job, Node, Service, View};
use http_body_util::Full;
use tokio::sync::mpsc;

use super::answer::{JobResponse, COORDINATOR_HEADER};
use super::driver::Input;
use super::submission::{Submission, Task};
use super::{Context, PATH};
use crate::entry::dispatch::{Place, Report};

/// Time between two checks for a newer view.
const VIEW_POLL_PERIOD: Duration = Duration::from_millis(10);
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1000);
const ASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longer than [`FOLLOW_WAIT`](super::FOLLOW_WAIT), after which the other entry answers
/// with 202.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(2000);

/// The answer of the coordinator that holds the claim; none if that coordinator can't be
/// reached or has none.
pub(super) type Followed = Option<JobResponse>;

/// Sends the messages of one attempt.
#[derive(Clone, Debug)]
pub(super) struct MessageSender {
    context: Context,
    job: Job,
    service: Service,
    deadline: Instant,
    coordinator: u64,
    view: View,
    outbox: mpsc::UnboundedSender<Input>,
}

impl MessageSender {
    pub(super) fn new(
        context: Context,
        submission: &Submission,
        coordinator: u64,
        view: View,
        outbox: mpsc::UnboundedSender<Input>,
    ) -> MessageSender {
        MessageSender {
            context,
            job: submission.job,
            service: submission.service.clone(),
            deadline: submission.deadline,
            coordinator,
            view,
            outbox,
        }
    }

    /// The parts of the entry that the messages are sent with.
    pub(super) fn context(&self) -> &Context {
        &self.context
    }

    /// Waits until a newer view is in force or the deadline has passed.
    pub(super) async fn wait_for_newer_view(&self) {
        while self.context.placement.view() <= self.view && !self.time_left().is_zero() {
            tokio::time::sleep(VIEW_POLL_PERIOD).await;
        }
    }

    /// Sets the view that later messages are sent under.
    pub(super) fn set_view(&mut self, view: View) {
        self.view = view;
    }

    /// Sends the message of an action, except for starts, which also need a place, and
    /// answers, which the driver gives.
    pub(super) fn send(&self, action: Action<StartReply>, ballot: Ballot) {
        let sender = self.clone();
        tokio::spawn(async move {
            match action {
                Action::Claim { home } => {
                    let event = sender.claim(&home).await;
                    sender.send_input(Input::Event(event));
                }
                Action::Ask { agent, tasks, wait } => {
                    let event = sender.ask(agent, tasks, ballot, wait).await;
                    sender.send_input(Input::Event(event));
                }
                Action::Follow { holder } => {
                    let followed = sender.follow(holder).await;
                    sender.send_input(Input::Followed(followed));
                }
                Action::Cancel { agent, tasks } => sender.cancel(&agent, tasks, ballot).await,
                Action::Start { .. } | Action::Answer(_) => {}
            }
        });
    }

    /// Starts a task at its place. The place is reported to the dispatcher even if the
    /// driver has ended, since nothing else would free it.
    pub(super) fn start(&self, index: u32, task: Arc<Task>, place: Place, ballot: Ballot) {
        let sender = self.clone();
        tokio::spawn(async move {
            let time = sender.time_left();
            let request = sender.start_request(index, &task, ballot, time);
            let clients = &sender.context.clients;
            let reply = clients.start(&place.address, request, time).await;
            let outcome = reply.outcome().into();
            let in_time = Instant::now() <= sender.deadline;
            sender.context.meter.exchange(outcome, in_time);
            let agent = place.agent.clone();
            let report = sender.report(place, &reply);
            sender.context.dispatcher.report(report);
            let reply = start_reply(reply);
            let event = Event::StartEnded {
                task: index,
                agent,
                reply,
            };
            sender.send_input(Input::StartEnded(event));
        });
    }

    fn start_request(
        &self,
        index: u32,
        task: &Task,
        ballot: Ballot,
        time: Duration,
    ) -> StartRequest {
        StartRequest {
            task: Some(self.job.task(index).into()),
            ballot: Some(ballot.into()),
            view: self.view.0,
            service: self.service.to_string(),
            time_left_ms: u32::try_from(time.as_millis()).unwrap_or(u32::MAX),
            path: task.path.clone(),
            content_type: task.content_type.to_owned(),
            body: task.body.clone(),
        }
    }

    fn report(&self, place: Place, reply: &StartReply) -> Report {
        let ran = reply.run_us > 0;
        Report {
            place,
            service: self.service.clone(),
            outcome: reply.outcome().into(),
            reason: reply.reason(),
            load: reply.load,
            run: ran.then(|| Duration::from_micros(u64::from(reply.run_us))),
        }
    }

    async fn claim(&self, home: &Node) -> Event<StartReply> {
        let request = ClaimRequest {
            job: self.job.into(),
            coordinator: self.coordinator,
            coordinator_address: self.context.address.to_string(),
            view: self.view.0,
        };
        let Some(mut client) = self.client(home) else {
            return Event::ClaimFailed;
        };
        match tokio::time::timeout(CLAIM_TIMEOUT, client.claim(request)).await {
            Ok(Ok(reply)) => {
                claim_reply(&reply.into_inner()).map_or(Event::ClaimFailed, Event::Claimed)
            }
            Ok(Err(_)) | Err(_) => Event::ClaimFailed,
        }
    }

    async fn ask(
        &self,
        agent: Node,
        tasks: Vec<u32>,
        ballot: Ballot,
        wait: bool,
    ) -> Event<StartReply> {
        let request = AskRequest {
            job: self.job.into(),
            tasks,
            ballot: Some(ballot.into()),
            view: self.view.0,
            wait,
        };
        let time = match wait {
            true => self.time_left(),
            false => ASK_TIMEOUT,
        };
        let Some(mut client) = self.client(&agent) else {
            return Event::AgentLost { agent };
        };
        match tokio::time::timeout(time, client.ask(request)).await {
            Ok(Ok(reply)) => {
                let answers = reply.into_inner().answers.into_iter();
                let answers = answers.map(ask_answer).collect();
                Event::AskReplied { agent, answers }
            }
            Ok(Err(_)) | Err(_) => Event::AgentLost { agent },
        }
    }

    /// Polls the coordinator that holds the claim until it answers. Each request has a
    /// short timeout, so that a coordinator that hangs is detected.
    async fn follow(&self, holder: Holder) -> Followed {
        let id = holder.ballot.coordinator;
        let (address, job) = (holder.address, self.job);
        let url = format!("http://{address}{PATH}/{job}?coordinator={id:x}");
        loop {
            let request = http::Request::get(&url)
                .body(Full::new(Bytes::new()))
                .ok()?;
            let time = self.time_left().min(FOLLOW_TIMEOUT);
            let answer = self.context.client.send(request, time).await.ok()?;
            if answer.status == http::StatusCode::ACCEPTED {
                continue;
            }
            let answered_by = answer.headers.get(COORDINATOR_HEADER)?.to_str().ok()?;
            let from_holder = answered_by == format!("{id:x}");
            return from_holder
                .then(|| JobResponse::relayed(answer.status.as_u16(), answer.body, id))?;
        }
    }

    async fn cancel(&self, agent: &Node, tasks: Vec<u32>, ballot: Ballot) {
        let request = CancelRequest {
            job: self.job.into(),
            tasks,
            ballot: Some(ballot.into()),
        };
        if let Some(mut client) = self.client(agent) {
            // The job has been answered, so if the cancel is lost, its tasks only run in
            // vain.
            let _ = tokio::time::timeout(ASK_TIMEOUT, client.cancel(request)).await;
        }
    }

    fn client(&self, agent: &Node) -> Option<Client> {
        let address = self.context.placement.address(agent)?;
        self.context.clients.get(&address.to_string())
    }

    fn send_input(&self, input: Input) {
        // Fails if the driver has ended, which then needs no input.
        let _ = self.outbox.send(input);
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

type Client = gentian::wire::agent::agent_client::AgentClient<tonic::transport::Channel>;

/// Decodes the reply to a claim; none if it violates the protocol.
fn claim_reply(reply: &ClaimReply) -> Option<home::Result<ClaimOutcome>> {
    match reply.kind() {
        Kind::First => Some(Ok(ClaimOutcome::First)),
        Kind::Forgotten => Some(Ok(ClaimOutcome::Forgotten)),
        Kind::Claimed => {
            let ballot = Ballot::from(reply.ballot?);
            let address = reply.coordinator_address.parse().ok()?;
            Some(Ok(ClaimOutcome::Claimed(Holder { ballot, address })))
        }
        Kind::Refused => Some(Err(Refusal::try_from(reply.reason()).ok()?)),
        Kind::Unspecified => None,
    }
}

/// Classifies the reply to a start.
fn start_reply(reply: StartReply) -> StartResult<StartReply> {
    use gentian::wire::agent::Outcome;
    match (Refusal::try_from(reply.reason()), reply.outcome()) {
        (Ok(refusal), _) => StartResult::Refused(refusal),
        (Err(_), Outcome::Done | Outcome::Failed) => StartResult::Finished {
            outcome: reply.outcome().into(),
            answer: reply,
        },
        (Err(_), Outcome::NotRun) => StartResult::NotSent,
        (Err(_), Outcome::Unknown | Outcome::Unspecified) => StartResult::NoReply,
    }
}

/// Decodes an agent's answer about one task. A malformed answer doesn't show whether the
/// task has started, so it is treated like that of an agent that can't tell.
fn ask_answer(answer: ask_reply::Answer) -> (u32, TaskStatus<StartReply>) {
    let status = match (answer.kind(), answer.reply) {
        (answer::Kind::Tombstoned, _) => TaskStatus::Tombstoned,
        (answer::Kind::Running, _) => TaskStatus::Running,
        (answer::Kind::Superseded, _) => TaskStatus::Superseded,
        (answer::Kind::Finished, Some(reply)) => {
            let outcome = reply.outcome().into();
            // In place of an answer that was evicted, agents send a reply with a reason.
            let kept = Refusal::try_from(reply.reason()).is_err();
            let answer = kept.then_some(reply);
            TaskStatus::Finished { outcome, answer }
        }
        (answer::Kind::Forgotten | answer::Kind::Unspecified, _)
        | (answer::Kind::Finished, None) => TaskStatus::Forgotten,
    };
    (answer.index, status)
}
