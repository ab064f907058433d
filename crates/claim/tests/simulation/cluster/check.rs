//! What must hold at any time: executions and answers agree.

use gentian_claim::coordinator::Answer;
use gentian_wire::outcome::Outcome;

use super::{Attempt, Cluster, Value};

impl Cluster {
    /// Checks that no task ran twice, and that each attempt was answered at most once and
    /// in agreement with the executions.
    pub(crate) fn check(&self) {
        for (task, by) in &self.executions {
            assert!(by.len() <= 1, "{task} ran twice, for {by:x?}");
        }
        for attempt in &self.attempts {
            assert!(attempt.answers.len() <= 1, "{} answered twice", attempt.job);
            for answer in &attempt.answers {
                self.check_answer(attempt, answer);
            }
        }
    }

    fn check_answer(&self, attempt: &Attempt, answer: &Answer<Value>) {
        assert_eq!(answer.job, attempt.job);
        let done = answer
            .tasks
            .iter()
            .all(|(outcome, _)| *outcome == Outcome::Done);
        assert_eq!(answer.complete, done, "{answer:?}");
        for (index, (outcome, value)) in (0..).zip(&answer.tasks) {
            let task = attempt.job.task(index);
            let ran = self.executions.get(&task);
            match outcome {
                Outcome::Done => assert_eq!(value, &Some(Value(task))),
                Outcome::Failed => assert!(ran.is_some(), "{task} failed but never ran"),
                Outcome::NotRun => {
                    let own = ran.is_some_and(|by| by.contains(&attempt.id));
                    assert!(!own, "{task} ran but was reported as not run");
                }
                Outcome::Unknown => {}
            }
        }
    }
}
