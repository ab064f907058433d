//! Drains of data centres, which operators order.
//!
//! A drained data centre gets no new work; what runs there goes on to its end. Which ones
//! are drained is part of the configuration. An order that asks for what already holds is
//! acknowledged without a new version, so that it may be sent again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use gentian::config::document::Document;
use gentian::wire::id::DataCenter;
use http::Method;
use serde_json::{json, Map, Value};

use super::amendment;
use super::service::Service;
use super::state::{AppliedState, ReplicatedLog};
use crate::serve::{self, Handler, Problem, Request, Response};

/// Path of the list of drained data centres. Orders add a slash and a data centre's name.
const PATH: &str = "/v1/drains";

/// The result of an order, whose error is sent as the response.
pub(super) type Result<T> = std::result::Result<T, Problem>;

/// What an operator orders for a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Order {
    /// It gets no new work.
    Drain,
    /// It may be given work again.
    Undrain,
}

/// A request to the paths that begin with [`PATH`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call<'a> {
    /// Asks which data centres are drained.
    List,
    /// Orders something for the data centre of this name.
    Order(Order, &'a str),
}

impl<'a> Call<'a> {
    /// Parses a method and what follows [`PATH`] in the path; `None` if they are not a call.
    fn read(method: &Method, rest: &'a str) -> Option<Call<'a>> {
        match (method, rest.strip_prefix('/')) {
            (&Method::GET, _) if rest.is_empty() => Some(Call::List),
            (&Method::PUT, Some(name)) => Some(Call::Order(Order::Drain, name)),
            (&Method::DELETE, Some(name)) => Some(Call::Order(Order::Undrain, name)),
            _ => None,
        }
    }
}

/// Carries out orders to drain data centres.
#[derive(Debug)]
pub(super) struct Drains<L> {
    service: Service<L>,
    /// Data centres of the deployment according to the settings.
    configured: BTreeSet<DataCenter>,
}

impl<L: ReplicatedLog> Drains<L> {
    pub(super) fn new(service: Service<L>, configured: BTreeSet<DataCenter>) -> Drains<L> {
        Drains {
            service,
            configured,
        }
    }

    /// Carries out an order, and returns once a majority has stored it.
    pub(super) async fn carry_out(&self, order: Order, name: &str) -> Result<()> {
        let received_at = Instant::now();
        let data_center = self.find(name)?;
        let accepted = self
            .service
            .amend(|document, value| changed_document(document, value, order, &data_center))
            .await;
        let accepted = accepted.inspect_err(|error| {
            log::warn!("data centre {data_center}: order to {order} it is not confirmed: {error}");
        })?;
        if let Some(version) = accepted {
            log::info!(
                "data centre {data_center}: order to {order} it accepted as version {version} \
                 after {} ms",
                received_at.elapsed().as_millis()
            );
        }
        Ok(())
    }

    /// Returns the data centre of this name, if there is one.
    fn find(&self, name: &str) -> Result<DataCenter> {
        let known = self.service.read(|applied| self.known(applied));
        let known = known.ok_or_else(not_leader)?;
        let found = known
            .iter()
            .find(|data_center| data_center.as_str() == name);
        found.cloned().ok_or_else(|| {
            let names: Vec<&str> = known.iter().map(DataCenter::as_str).collect();
            let names = names.join(", ");
            let detail = format!("no data centre is named {name:?}; there are: {names}");
            Problem::new(404, "not found", &detail)
        })
    }

    /// The data centres of the settings, those that agents run in, and those drained.
    fn known(&self, applied: &AppliedState) -> BTreeSet<DataCenter> {
        let members = applied.state.window().members().values();
        let mut known = self.configured.clone();
        known.extend(members.map(|member| member.data_center.clone()));
        known.extend(drained(applied).into_iter().flatten().cloned());
        known
    }

    fn list(&self) -> Result<Response> {
        let list = self.service.read(|applied| {
            let drained = drained(applied)?;
            Some(json!({
                "version": applied.state.ledger().version(),
                "drained": drained,
                "data_centers": self.known(applied),
            }))
        });
        let list = list.ok_or_else(not_leader)?;
        let list = list.ok_or(amendment::Error::Unreadable)?;
        Ok(serve::json(&list))
    }

    async fn answer(&self, call: Option<Call<'_>>) -> Result<Response> {
        match call {
            Some(Call::List) => {}
            Some(Call::Order(order, name)) => self.carry_out(order, name).await?,
            None => return Err(Problem::new(404, "not found", "unknown method or path")),
        }
        self.list()
    }
}

/// The data centres that are drained under the configuration in force; `None` if this
/// release can't read it.
pub(super) fn drained(applied: &AppliedState) -> Option<&BTreeSet<DataCenter>> {
    let document = applied.document();
    document.map(|document| &document.upstreams.drained)
}

/// The document in force, given as `value` too, as the order changes it; `None` if it
/// already is so.
fn changed_document(
    document: &Document,
    value: &Value,
    order: Order,
    data_center: &DataCenter,
) -> Option<Value> {
    let mut drained = document.upstreams.drained.clone();
    let changed = match order {
        Order::Drain => drained.insert(data_center.clone()),
        Order::Undrain => drained.remove(data_center),
    };
    if !changed {
        return None;
    }
    // A document that can be read is an object, and so are its fields named here.
    let mut value = value.clone();
    let upstreams = value
        .as_object_mut()?
        .entry("upstreams")
        .or_insert_with(|| Value::Object(Map::new()));
    upstreams
        .as_object_mut()?
        .insert("drained".to_owned(), json!(drained));
    Some(value)
}

fn not_leader() -> Problem {
    Problem::busy("this control instance is not the leader")
}

/// Handles the orders of operators, and passes other requests to `next`.
#[derive(Debug)]
pub(super) struct DrainApi<L, H> {
    drains: Arc<Drains<L>>,
    next: H,
}

impl<L, H> DrainApi<L, H> {
    pub(super) fn new(drains: Arc<Drains<L>>, next: H) -> DrainApi<L, H> {
        DrainApi { drains, next }
    }
}

impl<L: ReplicatedLog, H: Handler> Handler for DrainApi<L, H> {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let Some(rest) = path.strip_prefix(PATH) else {
            return self.next.handle(request).await;
        };
        let call = Call::read(request.method(), rest);
        self.drains.service.wait_for_confirmation().await;
        let result = self.drains.answer(call).await;
        result.unwrap_or_else(|problem| problem.respond())
    }
}
