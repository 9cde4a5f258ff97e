//! Regenerates `crates/peers/src/generated/` from `proto/cuminpick.proto`.
//!
//! Run it from the workspace root after a change of the protocol file:
//! `cargo run --manifest-path tools/protogen/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/cuminpick.proto"], ["proto"])?;
    std::fs::create_dir_all("crates/peers/src/generated")?;
    tonic_prost_build::configure()
        .out_dir("crates/peers/src/generated")
        .compile_fds(descriptors)?;
    Ok(())
}
