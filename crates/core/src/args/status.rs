//! `status`: prints the status of entries, agents and control instances.

use http::Method;

use super::{operator, output, Result};
use crate::client::BaseUrl;

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Example:
  gentiancove status http://127.0.0.1:8080")]
pub(super) struct Args {
    /// Base URLs of entries, agents or control instances
    #[arg(value_name = "URL", required = true)]
    urls: Vec<BaseUrl>,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let mut result = Ok(());
        for url in &self.urls {
            match operator::call(url, &Method::GET, "/v1/status", None)
                .and_then(operator::Response::json)
            {
                Ok(status) => output::print_line(&format!("{url}\n{status:#}"))?,
                Err(error) => result = Err(error),
            }
        }
        result
    }
}
