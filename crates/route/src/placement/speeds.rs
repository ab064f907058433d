//! How fast upstreams are: for good, relative to the average of their service, and now.

use std::time::Duration;

use gentian_wire::id::{Node, Service};

use super::Placer;

/// Number of observed run times after which the average speed of the upstreams is
/// calculated again.
const SPEED_UPDATE_RUNS: u64 = 32;

impl Placer {
    /// How many times longer runs usually take at an upstream than at an average one of its
    /// service; 1 if it is unknown.
    pub fn run_time_ratio(&self, node: &Node) -> f64 {
        let upstream = self.upstreams.get(node);
        upstream.map_or(1.0, |upstream| {
            let mean = self.mean_log_ratio(&upstream.report.service);
            (upstream.speed.log_ratio() - mean).exp()
        })
    }

    pub(super) fn mean_log_ratio(&self, service: &Service) -> f64 {
        let mean = self.mean_log_ratios.get(service);
        mean.copied().unwrap_or(0.0)
    }

    pub(super) fn observe_run_time(&mut self, node: &Node, run: Duration, expected: Duration) {
        let Some(upstream) = self.upstreams.get_mut(node) else {
            return;
        };
        upstream.observe_run_time(run, expected);
        let service = upstream.report.service.clone();
        self.observed += 1;
        if self.observed.is_multiple_of(SPEED_UPDATE_RUNS) {
            self.update_mean_log_ratio(service);
        }
    }

    fn update_mean_log_ratio(&mut self, service: Service) {
        let upstreams = self.of_service(&service);
        let (sum, count) = upstreams.fold((0.0, 0.0), |(sum, count), (_, upstream)| {
            (sum + upstream.speed.log_ratio(), count + 1.0)
        });
        self.mean_log_ratios
            .insert(service, sum / f64::max(count, 1.0));
    }

    /// How many times longer runs take at an upstream than at the median of the other
    /// upstreams of its service; 1 if either is unknown.
    pub fn slowness(&self, node: &Node) -> f64 {
        let Some(upstream) = self.upstreams.get(node) else {
            return 1.0;
        };
        let others = self
            .of_service(&upstream.report.service)
            .filter(|(other, _)| *other != node);
        let mut ratios: Vec<f64> = others
            .filter_map(|(_, upstream)| upstream.run_time_ratio)
            .collect();
        let (Some(own), false) = (upstream.run_time_ratio, ratios.is_empty()) else {
            return 1.0;
        };
        let middle = ratios.len() / 2;
        let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
        own / *median
    }
}
