//! Crashes of upstreams: what is lost, and what the scheduler learns from them.

use gentian::claim::crash::{Crash, CrashedRun, Process, Verdict};
use gentian::claim::run::Replacement;
use gentian::route::bulkhead;

use super::super::load::{name, Policy, CAPACITY, DOWNTIME, LAPSE, NOTICE, TASK};
use super::{Cluster, Event, Run};

impl Cluster {
    pub(super) fn crash(&mut self, upstream: usize, born: u64) {
        let there = &mut self.upstreams[upstream];
        if there.born != born || !there.is_up {
            return;
        }
        there.is_up = false;
        let crash = Crash {
            agent: self.nodes[upstream].clone(),
            process: Process {
                upstream: upstream.to_string(),
                born_ms: born,
            },
            at: self.now,
            runs: there.runs.crashed(self.now),
            rates: there.rates.rates(self.now),
        };
        for crashed in &crash.runs {
            let job = crashed.job.parse().expect("a number");
            let run = crashed.run.clone();
            self.schedule(LAPSE, Event::Lost { job, run });
            self.placer.release(&self.nodes[upstream], TASK);
        }
        self.schedule(DOWNTIME, Event::Restart { upstream });
        self.schedule(
            NOTICE,
            Event::Told {
                crash: Box::new(crash),
            },
        );
    }

    pub(super) fn told(&mut self, crash: Crash) {
        if self.policy == Policy::Naive {
            return;
        }
        let evidence = bulkhead::Crash {
            upstream: crash.agent.clone(),
            at: crash.at,
            runs: crash.runs.iter().map(|run| self.as_evidence(run)).collect(),
            starts_per_s: crash
                .rates
                .iter()
                .map(|rate| (rate.queue.to_string(), rate.starts_per_s))
                .collect(),
        };
        self.history.record(crash.clone(), self.now);
        for crashed in &crash.runs {
            let crashes = self.history.count(&crashed.run.task);
            let most = &mut self.outcome.most_crashes_of_a_task;
            *most = crashes.max(*most);
            if self.history.verdict(&crashed.run.task) == Verdict::GiveUp {
                let job = crashed.job.parse().expect("a number");
                let is_sound = self.jobs.get(&job).is_some_and(|job| !job.is_bad);
                self.outcome.sound_jobs_failed += u32::from(is_sound);
                self.finish(job, false);
            }
        }
        if self.policy == Policy::Confined {
            let confined = self.bulkhead.observe(&evidence, &self.nodes);
            self.outcome.confinements += u32::from(confined.is_some());
        }
    }

    fn as_evidence(&self, crashed: &CrashedRun) -> bulkhead::CrashedRun {
        bulkhead::CrashedRun {
            queue: crashed.queue.to_string(),
            age: crashed.age,
            repeated: self.history.count(&crashed.run.task) > 0,
        }
    }

    pub(super) fn lost(&mut self, number: u64, run: &Run) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let task = job.runs.iter().enumerate();
        let task = task
            .map(|(task, _)| task)
            .find(|task| *name(number, *task) == *run.task);
        job.waiting.extend(task);
    }

    pub(super) fn restart(&mut self, upstream: usize) {
        let there = &mut self.upstreams[upstream];
        there.born += 1;
        there.is_up = true;
        there.last_end = 0;
        there.running.clear();
        let replacement = Replacement {
            same_id: true,
            former_ended: true,
        };
        there.runs.upstream_replaced(replacement, self.now);
        there.runs.set_upstream(CAPACITY, true);
        // The agent asks a new process at once what it runs.
        let poll = there.runs.begin_poll();
        there.runs.apply_poll(poll, &[], &[], self.now);
    }
}
