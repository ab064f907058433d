//! Plays a case of `review/6` to `review/8`: starts the project's processes, stands in for
//! workers, clients and the operator, and checks one rule by what these have seen.
//!
//! `standin CASE PROGRAM FOLDER RECORD TROUBLE`; exits with 1 if the rule was broken, with 0 if
//! it held and with 2 if the case could not run.

#[path = "standin2_boot.rs"]
mod boot;
#[path = "standin2_client.rs"]
mod client;
#[path = "standin2_drain.rs"]
mod drain;
#[path = "standin2_http.rs"]
mod http;
#[path = "standin2_json.rs"]
mod json;
#[path = "standin2_odd.rs"]
mod odd;
#[path = "standin2_record.rs"]
mod record;
#[path = "standin2_system.rs"]
mod system;
#[path = "standin2_worker.rs"]
mod worker;

use record::Record;
use system::System;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, record, trouble] = &args[..] else {
        eprintln!("usage: standin CASE PROGRAM FOLDER RECORD TROUBLE");
        std::process::exit(2);
    };
    let record = Record::new(record);
    let trouble = trouble != "0";
    let mut system = System::new(program, folder, record.clone());
    let verdict = match case.as_str() {
        "boot" => boot::play(&mut system, trouble),
        "drain" => drain::play(&mut system, trouble),
        "odd" => odd::play(&mut system, trouble),
        other => Verdict::NotRun(format!("no case is named {other}")),
    };
    // A port may have been taken between the look for it and its use.
    let ended = system.ended();
    let verdict = match ended.is_empty() {
        true => verdict,
        false => Verdict::NotRun(format!("{ended:?} ended by themselves")),
    };
    drop(system);
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.say(&text);
    std::process::exit(code);
}
