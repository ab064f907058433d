//! Writes the Rust code of the files in `crates/wire/proto`. Run it from the
//! repository's root after a change to them and commit what it writes:
//! `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["agent.proto", "control.proto", "quorum.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("crates/wire/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
