//! Delivery of messages, and what their receivers do with them.

use std::net::SocketAddr;

use gentian_claim::coordinator::{Event, StartResult};
use gentian_claim::gate::{TaskStatus, Waiter};
use gentian_claim::home::{Claimant, Holder};
use gentian_claim::refusal::Refusal;

use super::message::{Message, Request};
use super::{node, Attempt, Cluster, Run};

impl Cluster {
    pub(crate) fn duplicate(&mut self, message: usize) {
        if let Message::ToAgent { duplicated, .. } = &mut self.network[message] {
            *duplicated = true;
        }
        self.network.push(self.network[message].clone());
    }

    /// Loses a message. The sender of a start or a follow gets an error.
    pub(crate) fn lose(&mut self, message: usize) {
        match self.network.swap_remove(message) {
            Message::Follow { attempt, .. } => self.handle_event(attempt, Event::FollowEnded(None)),
            Message::ToAgent {
                agent,
                attempt,
                request: Request::Start(task),
                ..
            } => {
                let (agent, reply) = (node(agent), StartResult::NoReply);
                self.handle_event(attempt, Event::StartEnded { task, agent, reply });
            }
            _ => {}
        }
    }

    pub(crate) fn deliver(&mut self, message: Message) {
        match message {
            Message::ToCoordinator { attempt, event } => self.handle_event(attempt, event),
            Message::Follow { attempt, holder } => self.follow(attempt, holder),
            Message::ToAgent { .. } => self.receive(message),
        }
    }

    fn follow(&mut self, attempt: usize, holder: Holder) {
        let is_leader =
            |a: &&Attempt| a.id == holder.ballot.coordinator && !a.crashed && !self.partitioned;
        let Some(leader) = self.attempts.iter().find(is_leader) else {
            return self.handle_event(attempt, Event::FollowEnded(None));
        };
        match leader.answers.first().cloned() {
            Some(answer) => self.handle_event(attempt, Event::FollowEnded(Some(answer))),
            None => self.network.push(Message::Follow { attempt, holder }),
        }
    }

    fn receive(&mut self, message: Message) {
        let Message::ToAgent {
            agent: at,
            attempt,
            ballot,
            request,
            duplicated,
        } = &message
        else {
            return;
        };
        let (at, ballot) = (*at, *ballot);
        let Attempt {
            job,
            view,
            entry,
            id,
            ..
        } = self.attempts[*attempt];
        let claimant = Claimant {
            id,
            address: SocketAddr::from(([127, 0, 0, 1], entry as u16)),
        };
        let agent = &mut self.agents[at];
        let wall = self.now + agent.peer.skew;
        let leased = self.now < agent.peer.lease;
        agent.gate.advance(wall);
        agent.home.advance(wall);
        let event = match request {
            Request::Claim if leased => {
                Event::Claimed(agent.home.claim(job, claimant, view, &agent.peer.views))
            }
            Request::Claim => Event::Claimed(Err(Refusal::NoLease)),
            Request::Ask(tasks, wait) => {
                let answers = agent.gate.ask(job, tasks, ballot, view);
                if *wait && answers[0] == TaskStatus::Running {
                    agent
                        .gate
                        .wait(job.task(tasks[0]), Waiter(agent.waiting_asks.len() as u64));
                    agent.waiting_asks.push(message);
                    return;
                }
                let answers = tasks.iter().copied().zip(answers).collect();
                Event::AskReplied {
                    agent: node(at),
                    answers,
                }
            }
            Request::Start(task) => {
                let refusal = match agent.gate.start(job.task(*task), ballot, view) {
                    Err(refusal) => refusal,
                    Ok(()) if !leased => {
                        agent.gate.retract(job.task(*task));
                        self.network
                            .retain(|m| !(*duplicated && m.is_duplicated_start()));
                        Refusal::NoLease
                    }
                    Ok(()) => {
                        self.executions.entry(job.task(*task)).or_default().push(id);
                        let (task, attempt) = (job.task(*task), *attempt);
                        self.running.push(Run {
                            agent: at,
                            task,
                            attempt,
                        });
                        return;
                    }
                };
                let reply = StartResult::Refused(refusal);
                Event::StartEnded {
                    task: *task,
                    agent: node(at),
                    reply,
                }
            }
            Request::Cancel(tasks) => {
                agent.gate.cancel(job, tasks, ballot);
                return;
            }
        };
        self.network.push(Message::ToCoordinator {
            attempt: *attempt,
            event,
        });
    }
}
