//! Plays a case of this review: `standin3_main CASE FOLDER`.

#[path = "standin3_case.rs"]
mod case;
#[path = "standin3_dropped.rs"]
mod dropped;
#[path = "standin3_ejected.rs"]
mod ejected;
#[path = "standin3_hangs.rs"]
mod hangs;
#[path = "standin3_reborn.rs"]
mod reborn;
#[path = "standin3_record.rs"]
mod record;
#[path = "standin3_system.rs"]
mod system;
#[path = "standin3_wire.rs"]
mod wire;
#[path = "standin3_worker.rs"]
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: standin3_main CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    match name.as_str() {
        "dropped" => case::run(&folder, dropped::play),
        "ejected" => case::run(&folder, ejected::play),
        "hangs" => case::run(&folder, hangs::play),
        "reborn" => case::run(&folder, reborn::play),
        _ => {
            eprintln!("no case is named {name}");
            ExitCode::from(2)
        }
    }
}
