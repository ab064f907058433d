//! Generates the Rust code for the protobuf files in `crates/wire/proto`.
//!
//! After a change to these files, run it from the repository's root and commit the
//! result: `cargo run --manifest-path tools/codegen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["agent.proto", "control.proto", "quorum.proto"], ["crates/wire/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("crates/wire/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
