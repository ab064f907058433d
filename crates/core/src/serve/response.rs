//! Good answers that every role gives.

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;

use super::Response;

/// An answer of plain text.
pub(crate) fn text(body: &'static str) -> Response {
    respond("text/plain", Bytes::from_static(body.as_bytes()))
}

/// An answer of JSON, whose maps have text keys.
pub(crate) fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("the value has text keys only");
    respond("application/json", Bytes::from(body))
}

/// An answer with a body of the given type.
pub(crate) fn respond(content_type: &'static str, body: Bytes) -> Response {
    http::Response::builder()
        .header("content-type", content_type)
        .body(Full::new(body))
        .expect("a constant header is valid")
}
