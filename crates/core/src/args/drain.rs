//! `drain` and `undrain`: take a data centre out of use and put it back; `drains` lists them.

use http::Method;
use serde_json::{json, Value};

use super::operator::Control;
use super::{output, Result};

const PATH: &str = "/v1/drains";

/// Arguments of `drain` and `undrain`.
#[derive(clap::Args, Debug)]
pub(super) struct Args {
    #[command(flatten)]
    control: Control,
    /// Name of the data centre
    data_center: String,
}

/// Arguments of `drains`.
#[derive(clap::Args, Debug)]
pub(super) struct ListArgs {
    #[command(flatten)]
    control: Control,
}

impl Args {
    /// Gives the data centre's upstreams no new work.
    pub(super) fn drain(self) -> Result<()> {
        self.send(&Method::PUT)
    }

    /// Gives the data centre's upstreams work again.
    pub(super) fn undrain(self) -> Result<()> {
        self.send(&Method::DELETE)
    }

    fn send(&self, method: &Method) -> Result<()> {
        let path = format!("{PATH}/{}", self.data_center);
        let list = self.control.send(method, &path, &json!({}))?.json()?;
        print(&list)
    }
}

impl ListArgs {
    /// Prints the drained data centres.
    pub(super) fn run(self) -> Result<()> {
        print(&self.control.get(PATH)?)
    }
}

fn print(list: &Value) -> Result<()> {
    output::print_line(&format!("{list:#}"))
}
