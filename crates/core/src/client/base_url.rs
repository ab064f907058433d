//! Base URLs of the system's HTTP addresses.

use std::fmt;
use std::str::FromStr;

use http::Uri;

/// A URL with a host and no path, such as `http://127.0.0.1:8080`.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct BaseUrl(String);

/// The text is not a valid base URL.
#[derive(Debug, thiserror::Error)]
#[error("must be a URL without a path such as http://127.0.0.1:8080")]
pub(crate) struct Error;

impl BaseUrl {
    /// The URL of `path`, which starts with a slash.
    pub(crate) fn join(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl FromStr for BaseUrl {
    type Err = Error;

    fn from_str(text: &str) -> Result<BaseUrl, Error> {
        let uri: Uri = text.parse().map_err(|_| Error)?;
        let plain = uri.scheme_str() == Some("http") && uri.authority().is_some();
        if plain && matches!(uri.path(), "" | "/") && uri.query().is_none() {
            Ok(BaseUrl(text.trim_end_matches('/').to_owned()))
        } else {
            Err(Error)
        }
    }
}

impl fmt::Display for BaseUrl {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
