//! The upstream's processes, and the agent beside them as far as it decides which of them is there.

use std::collections::BTreeSet;
use std::time::Duration;

use gentian_claim::run::{
    Fate, ListedEnd, ListedRun, Refusal, Replacement, Run, RunEnd, Runs, StartAnswer, MAX_LEASE,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::super::{ms, owner, run, start, CAPACITY};
use super::process::Process;

const STEP: Duration = ms(5);
const POLL_INTERVAL: Duration = ms(25);
const HEARTBEAT_INTERVAL: Duration = ms(1_500);
const MAX_SILENCE: Duration = ms(1_300);

/// What the agent orders.
#[derive(Clone)]
enum Order {
    /// Start a run that takes this long.
    Start(Run, Duration),
    Stop(Run),
    /// List the runs, and forget the ends up to `acknowledged`.
    Poll {
        number: u64,
        acknowledged: u64,
    },
}

/// How orders reach the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Path {
    /// An order reaches the process that is there when it is carried out, however late.
    Any,
    /// An order reaches the process that the agent's connection leads to, or none. Processes carry
    /// orders out for up to [`MAX_SILENCE`] without an answer, most of them after their start.
    Connection,
}

/// An order on its way, and whether its answer gets lost.
struct Sent {
    order: Order,
    /// The process that the connection leads to; `None` with [`Path::Any`].
    recipient: Option<u64>,
    token: u64,
    /// End of the lease in it, on the upstream's clock as the agent knows it.
    deadline: Option<Duration>,
    /// Number of processes that had taken the upstream's place when it was sent.
    replacements: u64,
    answered: bool,
}

/// The upstream, and the agent beside it as far as it decides which process is there.
pub(super) struct World {
    rng: Pcg64Mcg,
    pub(super) now: Duration,
    path: Path,
    /// The process that the agent's connection leads to, if it has one.
    connection: Option<u64>,
    process: Option<Process>,
    births: u64,
    restart_at: Duration,
    in_flight: Vec<(Duration, Sent)>,
    runs: Runs,
    known_born: u64,
    confirmed: bool,
    /// Time on the agent's clock at which that of the upstream showed 0.
    known_zero: Duration,
    replacements: u64,
    token: u64,
    polls_unbroken: bool,
    next_poll: Duration,
    tasks: u64,
    pub(super) over: BTreeSet<Run>,
    /// What was reported as over and was not.
    pub(super) violation: Option<String>,
    pub(super) log: Vec<String>,
}

impl World {
    pub(super) fn new(seed: u64, path: Path) -> World {
        let mut runs = Runs::default();
        runs.set_upstream(CAPACITY, true);
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Duration::ZERO,
            path,
            connection: None,
            process: Some(Process::new(1, Duration::ZERO, Duration::ZERO)),
            births: 1,
            restart_at: Duration::MAX,
            in_flight: Vec::new(),
            runs,
            known_born: 1,
            confirmed: false,
            known_zero: Duration::ZERO,
            replacements: 0,
            token: 1,
            polls_unbroken: false,
            next_poll: Duration::ZERO,
            tasks: 0,
            over: BTreeSet::new(),
            violation: None,
            log: Vec::new(),
        }
    }

    fn note(&mut self, text: String) {
        self.log.push(format!("{:?} {text}", self.now));
    }

    /// Opens a connection to the process that is there, unless there is one. The process is asked
    /// who it is, without a lease. Returns whether it is the one that is known.
    fn connect(&mut self) -> bool {
        let Some(process) = &self.process else {
            return false;
        };
        let (born, zero) = (process.born, process.began_at);
        if self.connection == Some(born) && self.known_born == born {
            return true;
        }
        if process.silence.contains(&self.now) {
            return false;
        }
        if born != self.known_born {
            self.replaced(born, zero, born > self.known_born);
            return false;
        }
        (self.connection, self.known_zero) = (Some(born), zero);
        true
    }

    fn send(&mut self, order: Order) {
        if self.path == Path::Connection && !self.connect() {
            return self.unreachable(&order);
        }
        let lease = self
            .runs
            .upstream_lease(self.now)
            .filter(|_| self.confirmed);
        let deadline = lease.map(|until| until.saturating_sub(self.known_zero));
        if matches!(order, Order::Start(..)) && deadline.is_none() {
            if let Order::Start(run, _) = order {
                let refused = StartAnswer::Refused(Refusal::Expired);
                let end = self.runs.apply_start_answer(&run, refused, self.now);
                self.report(end.into_iter().collect());
            }
            return;
        }
        if let Some(until) = lease {
            let grant = self.runs.begin_grant(until, self.now);
            self.runs.end_grant(grant, true);
        }
        if let Order::Start(run, _) = &order {
            self.runs.start_sent(run, self.now);
        }
        let (late, answered) = match self.rng.random_range(0..100) {
            0..=1 => (ms(self.rng.random_range(50..3_000)), false),
            2..=3 => (ms(1), false),
            _ => (ms(self.rng.random_range(0..4)), true),
        };
        let sent = Sent {
            order,
            recipient: self.connection,
            token: self.token,
            deadline,
            replacements: self.replacements,
            answered,
        };
        self.in_flight.push((self.now + late, sent));
    }

    /// Carries out an order at the process that is there.
    fn carry_out(&mut self, mut sent: Sent) {
        let now = self.now;
        let present = self.process.as_ref().map(|process| process.born);
        if sent.recipient.is_some() && sent.recipient != present {
            return self.unanswered(sent);
        }
        let Some(process) = &mut self.process else {
            // The connection is refused, but for orders that were sent long before.
            if sent.answered {
                self.unreachable(&sent.order);
            } else {
                self.unanswered(sent);
            }
            return;
        };
        sent.answered &= !process.silence.contains(&now);
        if sent.token < process.token {
            if let (true, Order::Start(run, _)) = (sent.answered, &sent.order) {
                let refused = StartAnswer::Refused(Refusal::Closed);
                let end = self.runs.apply_start_answer(run, refused, now);
                self.report(end.into_iter().collect());
            } else {
                self.unanswered(sent);
            }
            return;
        }
        process.token = sent.token;
        process.extend_lease(sent.deadline, now);
        match sent.order.clone() {
            Order::Start(run, length) => {
                let clock = now - process.began_at;
                let late = sent.deadline.is_some_and(|deadline| deadline <= clock);
                let known = process.running.contains_key(&run);
                let old = process
                    .finished
                    .get(&run.task)
                    .is_some_and(|number| *number >= run.number);
                let answer = match (known, late, old) {
                    (true, ..) => StartAnswer::Running,
                    (_, true, _) => StartAnswer::Refused(Refusal::Expired),
                    (_, _, true) => StartAnswer::Refused(Refusal::OldRun),
                    _ => {
                        let born = process.born;
                        process.running.insert(run.clone(), now + length);
                        if self.over.contains(&run) {
                            let text = format!("{run} begins though it was reported as over");
                            self.violation.get_or_insert(text);
                        }
                        self.note(format!("{run} begins at {born}"));
                        StartAnswer::Running
                    }
                };
                if !sent.answered {
                    return self.unanswered(sent);
                }
                let outdated = sent.replacements != self.replacements;
                let answer = if outdated {
                    StartAnswer::Unknown
                } else {
                    answer
                };
                let end = self.runs.apply_start_answer(&run, answer, now);
                self.report(end.into_iter().collect());
            }
            Order::Stop(run) => {
                if process.running.contains_key(&run) {
                    process.end(&run, Fate::Stopped, now);
                }
                process.finished.insert(run.task.clone(), run.number);
                if sent.answered && sent.replacements == self.replacements {
                    self.runs.stop_answered(&run);
                }
            }
            Order::Poll {
                number,
                acknowledged,
            } => {
                process.ended.retain(|end| end.number > acknowledged);
                if sent.answered {
                    process.listed_at = now;
                }
                let running: Vec<ListedRun> = process
                    .running
                    .keys()
                    .map(|run| ListedRun {
                        run: run.clone(),
                        percent: 0,
                    })
                    .collect();
                let (ended, born, zero) = (process.ended.clone(), process.born, process.began_at);
                match sent.answered {
                    true => self.listed(&sent, number, born, zero, &running, &ended),
                    false => self.unanswered(sent),
                }
            }
        }
    }

    fn listed(
        &mut self,
        sent: &Sent,
        number: u64,
        born: u64,
        zero: Duration,
        running: &[ListedRun],
        ended: &[ListedEnd],
    ) {
        if sent.replacements != self.replacements {
            return;
        }
        if born != self.known_born {
            let former_ended = born > self.known_born;
            return self.replaced(born, zero, former_ended);
        }
        self.known_zero = zero;
        self.confirmed = true;
        self.polls_unbroken = true;
        let mut ends = self.runs.apply_poll(number, running, ended, self.now);
        ends.extend(self.runs.former_ended(self.now));
        self.report(ends);
    }

    fn replaced(&mut self, born: u64, zero: Duration, former_ended: bool) {
        self.note(format!("{born} takes the place of {}", self.known_born));
        (self.known_born, self.known_zero, self.confirmed) = (born, zero, false);
        self.polls_unbroken = false;
        self.replacements += 1;
        self.token += 1;
        let replacement = Replacement {
            same_id: true,
            former_ended,
        };
        let ends = self.runs.upstream_replaced(replacement, self.now);
        self.report(ends);
    }

    fn unreachable(&mut self, order: &Order) {
        if let Order::Start(run, _) = order {
            let refused = StartAnswer::Refused(Refusal::NoAnswer);
            let end = self.runs.apply_start_answer(run, refused, self.now);
            self.report(end.into_iter().collect());
        }
        self.polls_unbroken &= !matches!(order, Order::Poll { .. });
    }

    fn unanswered(&mut self, sent: Sent) {
        if let Order::Start(run, _) = &sent.order {
            self.runs
                .apply_start_answer(run, StartAnswer::Unknown, self.now);
        }
        self.polls_unbroken &= !matches!(sent.order, Order::Poll { .. });
    }

    fn report(&mut self, ends: Vec<RunEnd>) {
        for end in ends {
            self.note(format!("{} is reported: {:?}", end.run, end.fate));
            let process = self.process.as_ref();
            let is_there = process.is_some_and(|process| process.running.contains_key(&end.run));
            let is_done = process.is_some_and(|process| process.tells_done(&end.run));
            if is_there || (is_done && end.fate != Fate::Done) {
                let truth = if is_there { "runs" } else { "is done" };
                let text = format!("{} is reported as {:?} and {truth}", end.run, end.fate);
                self.violation.get_or_insert(text);
            }
            self.over.insert(end.run);
        }
    }

    pub(super) fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.change_process();
        self.fall_silent(0.0005);
        if let Some(process) = &mut self.process {
            process.advance(now);
            if now >= process.next_heartbeat {
                process.next_heartbeat = now + HEARTBEAT_INTERVAL;
                let (born, zero) = (process.born, process.began_at);
                if born > self.known_born {
                    self.replaced(born, zero, false);
                }
            }
        }
        if self.rng.random_bool(0.0005) {
            let born = self.known_born + 1_000;
            self.replaced(born, now, false);
        }
        self.runs.renew_lease(&owner("a"), now + MAX_LEASE, now);
        if self.rng.random_bool(0.03) {
            self.start_task();
        }
        self.poll();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        due.into_iter().for_each(|(_, sent)| self.carry_out(sent));
        let ends = self.runs.end_lapsed(now);
        self.report(ends);
        for run in self.runs.take_due_stops(now) {
            self.send(Order::Stop(run));
        }
    }

    fn change_process(&mut self) {
        let now = self.now;
        if self.process.is_none() && now >= self.restart_at {
            self.births += 1;
            let first = ms(self.rng.random_range(0..1_500));
            self.process = Some(Process::new(self.births, now, first));
            self.fall_silent(0.7);
            self.note(format!("process {} begins", self.births));
        } else if self.process.is_some() && self.rng.random_bool(0.002) {
            self.process = None;
            self.restart_at = now + ms(self.rng.random_range(0..1_200));
            self.note("the process crashes".to_owned());
        }
    }

    /// Makes the process leave orders unanswered from now on, with this probability.
    fn fall_silent(&mut self, probability: f64) {
        if self.path == Path::Any || !self.rng.random_bool(probability) {
            return;
        }
        let length = self.rng.random_range(Duration::ZERO..MAX_SILENCE);
        if let Some(process) = &mut self.process {
            process.silence = self.now..self.now + length;
        }
    }

    fn start_task(&mut self) {
        self.tasks += 1;
        let run = run(&format!("t{}", self.tasks), 1);
        let admitted = self.runs.admit(&owner("a"), &run, start(), self.now);
        if admitted.is_ok() {
            let longest = if self.rng.random_bool(0.5) { 20 } else { 1_500 };
            let length = ms(self.rng.random_range(1..longest));
            self.send(Order::Start(run, length));
        }
    }

    /// Polls as the agent does: not while there is nothing to learn.
    fn poll(&mut self) {
        if self.now < self.next_poll {
            return;
        }
        self.next_poll = self.now + POLL_INTERVAL;
        if self.runs.is_empty() && self.runs.is_complete() {
            self.polls_unbroken = false;
            return;
        }
        let acknowledged = match self.polls_unbroken {
            true => self.runs.last_seen_end(),
            false => 0,
        };
        let number = self.runs.begin_poll();
        self.send(Order::Poll {
            number,
            acknowledged,
        });
    }
}
