//! What an entry knows of the upstreams, as admission and the logs ask for it.

use gentian_wire::id::{Node, Service};
use gentian_wire::need::{Constraints, Need};

use super::{Capacity, Placer};
use crate::bulkhead::Pool;

impl Placer {
    /// Number of upstreams that are given no tasks.
    pub fn denied(&self) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|upstream| upstream.denied).count()
    }

    /// Whether an upstream of a service with the label that `constraints` requires is given
    /// no tasks.
    pub fn is_denied(&self, service: &Service, constraints: &Constraints) -> bool {
        self.of_service(service)
            .any(|(_, upstream)| upstream.denied && upstream.report.is_suitable(constraints))
    }

    /// Resources of a pool of a service's upstreams that this entry uses or could use at
    /// once.
    pub fn own_share(&self, service: &Service, pool: Pool<'_>) -> Need {
        let accepting = self
            .of_service(service)
            .filter(|(node, upstream)| pool.includes(node) && upstream.is_available());
        accepting.fold(Need::default(), |sum, (_, upstream)| {
            sum.plus(upstream.own_share())
        })
    }

    /// Cores of a pool of a service's upstreams that take runs, as far as this entry knows.
    pub fn capacity(&self, service: &Service, pool: Pool<'_>) -> Capacity {
        let open = self
            .of_service(service)
            .filter(|(node, upstream)| pool.includes(node) && upstream.is_open());
        open.fold(Capacity::default(), |sum, (_, upstream)| {
            sum.plus(upstream.report.capacity, upstream.free())
        })
    }

    /// Whether any reachable upstream in a pool of a service accepts runs and has the label
    /// that `constraints` requires.
    pub fn serves(&self, service: &Service, constraints: &Constraints, pool: Pool<'_>) -> bool {
        self.of_service(service).any(|(node, upstream)| {
            let suitable = upstream.report.is_suitable(constraints);
            pool.includes(node) && suitable && upstream.is_available()
        })
    }

    /// Whether any upstream in a pool of a service has the label that `constraints`
    /// requires, whether it accepts runs now or not.
    pub fn has_suitable(
        &self,
        service: &Service,
        constraints: &Constraints,
        pool: Pool<'_>,
    ) -> bool {
        let mut known = self.of_service(service);
        known
            .any(|(node, upstream)| pool.includes(node) && upstream.report.is_suitable(constraints))
    }

    /// The agents of all upstreams of a service, sorted, whether they accept runs or not.
    pub fn nodes(&self, service: &Service) -> Vec<Node> {
        let known = self.of_service(service);
        known.map(|(node, _)| node.clone()).collect()
    }

    /// The service of an agent's upstream, if it has reported.
    pub fn service(&self, node: &Node) -> Option<&Service> {
        let upstream = self.upstreams.get(node)?;
        Some(&upstream.report.service)
    }

    /// Whether an upstream is near the task's data; also true if the task names no
    /// preference.
    pub fn is_near(&self, node: &Node, constraints: &Constraints) -> bool {
        let upstream = self.upstreams.get(node);
        upstream.is_some_and(|upstream| upstream.report.is_near_data(constraints))
    }

    /// Whether any agent can be reached.
    pub fn any_reachable(&self) -> bool {
        self.upstreams.values().any(|upstream| upstream.reachable)
    }

    /// Whether any upstream is large enough for a task, regardless of its current use;
    /// `None` if no upstream of the service is known.
    pub fn could_ever_fit(&self, service: &Service, need: Need) -> Option<bool> {
        let mut known = self.of_service(service).peekable();
        known.peek()?;
        Some(known.any(|(_, upstream)| need.fits(upstream.report.capacity)))
    }
}
