//! Builders for successful responses.

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;

use super::Response;

/// Returns a plain-text response.
pub(crate) fn text(body: &'static str) -> Response {
    respond("text/plain", Bytes::from_static(body.as_bytes()))
}

/// Returns a JSON response. Panics if `value` contains a map whose keys are not
/// strings.
pub(crate) fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("maps in responses have string keys");
    respond("application/json", Bytes::from(body))
}

/// Returns a response with a body of the given content type.
pub(crate) fn respond(content_type: &'static str, body: Bytes) -> Response {
    http::Response::builder()
        .header("content-type", content_type)
        .body(Full::new(body))
        .expect("a constant header is valid")
}
