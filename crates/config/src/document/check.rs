//! Validation of field values beyond what the field types enforce.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

use gentian_wire::size::Bytes;

use super::{Document, Objectives, Problem, Queue, Service, Team};

const MAX_CANDIDATES: u32 = 16;
const MAX_CONCURRENT: u32 = 1_000_000;
const MAX_DEADLINE_MS: u32 = 600_000;
const MAX_QUEUE: u32 = 65_536;
const MAX_RATE_PER_SECOND: f64 = 1_000_000.0;
const MAX_OBJECTIVE: f64 = 0.999_999;
const MIN_BODY: Bytes = Bytes(1 << 10);
const MAX_BODY: Bytes = Bytes(16 << 20);

impl Document {
    /// Lists every field whose value is out of range or inconsistent with other
    /// fields.
    pub fn check(&self) -> Vec<Problem> {
        let mut checker = Checker::default();
        for (name, service) in &self.services {
            checker.service(&format!("services.{name}"), service);
        }
        for (name, team) in &self.teams {
            checker.team(&format!("teams.{name}"), team, self);
        }
        let mut routes = BTreeSet::new();
        for (key, queue) in &self.queues {
            checker.queue(&format!("queues.{key}"), queue, self);
            if !routes.insert((&queue.host, &queue.prefix)) {
                let route = format!("{}{}", queue.host, queue.prefix);
                let allowed = "a host and prefix of its own".to_owned();
                checker.report(&format!("queues.{key}"), route, allowed);
            }
        }
        let limits = &self.limits;
        checker.range("limits", "queue", limits.queue, 1..=MAX_QUEUE);
        checker.problems
    }
}

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn service(&mut self, at: &str, service: &Service) {
        self.path(&format!("{at}.path"), &service.path);
        self.range(at, "max_body", service.max_body, MIN_BODY..=MAX_BODY);
        self.range(at, "deadline_ms", service.deadline_ms, 1..=MAX_DEADLINE_MS);
        self.range(at, "candidates", service.candidates, 1..=MAX_CANDIDATES);
        self.range(at, "response_weight", service.response_weight, 0.0..=1.0);
        self.range(at, "retry_budget", service.retry_budget, 0.0..=1.0);
        self.objectives(&format!("{at}.objectives"), &service.objectives);
    }

    fn objectives(&mut self, at: &str, objectives: &Objectives) {
        self.range(
            at,
            "availability",
            objectives.availability,
            0.0..=MAX_OBJECTIVE,
        );
        self.range(at, "latency", objectives.latency, 0.0..=MAX_OBJECTIVE);
        self.range(at, "latency_ms", objectives.latency_ms, 1..=MAX_DEADLINE_MS);
    }

    fn team(&mut self, at: &str, team: &Team, document: &Document) {
        self.range(at, "concurrent", team.concurrent, 0..=MAX_CONCURRENT);
        self.range(at, "rate", team.rate.get(), 0.0..=MAX_RATE_PER_SECOND);
        for service in &team.services {
            if !document.services.contains_key(service) {
                let allowed = "a service named under services";
                self.report(&format!("{at}.services"), service, allowed.to_owned());
            }
        }
    }

    fn queue(&mut self, at: &str, queue: &Queue, document: &Document) {
        self.path(&format!("{at}.prefix"), &queue.prefix);
        let known = |service| document.services.contains_key(service);
        if !queue.service.as_ref().is_some_and(known) {
            let allowed = "a service named under services";
            let named = queue
                .service
                .as_ref()
                .map_or("", |service| service.as_str());
            self.report(&format!("{at}.service"), named, allowed.to_owned());
        }
        self.range(at, "attempts", queue.attempts, 1..=u32::MAX);
        self.range(at, "stretch", queue.stretch, 0.0..=f64::MAX);
        self.range(at, "timeout_ms", queue.timeout_ms, 1..=MAX_DEADLINE_MS);
    }

    fn path(&mut self, at: &str, path: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
        if !path.starts_with('/') || !path.bytes().all(is_allowed) {
            let allowed = "a path that begins with '/' and has no query, fragment or space";
            self.report(at, format!("{path:?}"), allowed.to_owned());
        }
    }

    /// Checks the value of a field of the object at `at`.
    fn range<T: Display + PartialOrd>(
        &mut self,
        at: &str,
        field: &str,
        value: T,
        allowed: RangeInclusive<T>,
    ) {
        if !allowed.contains(&value) {
            let allowed = format!("{} to {}", allowed.start(), allowed.end());
            self.report(&format!("{at}.{field}"), value, allowed);
        }
    }

    fn report(&mut self, at: &str, value: impl Display, allowed: String) {
        self.problems.push(Problem {
            path: at.to_owned(),
            value: value.to_string(),
            allowed,
        });
    }
}
