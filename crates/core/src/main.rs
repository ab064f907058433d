//! The gentiancove binary.

use clap::Parser;

mod args;
mod client;
mod upstream;

fn main() -> miette::Result<()> {
    args::Cli::parse().run()
}
