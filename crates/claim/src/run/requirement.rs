//! What a run requires of its upstream, besides capacity.
//!
//! Whoever orders a run chooses its upstream by what it was told last. The upstream may have been
//! replaced by one of another kind since, so the agent compares the two once more.

use gentian_wire::id::Service;

/// What an upstream is, as it says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// The service that it provides.
    pub service: Service,
    /// Its labels.
    pub labels: Vec<String>,
}

/// What a run requires of its upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Requirement {
    /// The service that the upstream must provide; any, if `None`.
    pub service: Option<Service>,
    /// A label that the upstream must have.
    pub label: Option<String>,
}

impl Requirement {
    /// Whether an upstream meets this. One of which nothing is known meets only what requires
    /// nothing.
    pub(super) fn is_met_by(&self, upstream: Option<&Kind>) -> bool {
        let Some(upstream) = upstream else {
            return *self == Requirement::default();
        };
        let is_service = |service: &Service| *service == upstream.service;
        let has_label = |label: &String| upstream.labels.contains(label);
        self.service.as_ref().is_none_or(is_service) && self.label.as_ref().is_none_or(has_label)
    }
}
