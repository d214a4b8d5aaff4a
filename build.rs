//! Compiles `proto/peer.proto` with protox, a compiler written in Rust, so that a build does not need an
//! installed `protoc`.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_build::configure().compile_fds(descriptors)?;
    println!("cargo:rerun-if-changed=proto/peer.proto");
    Ok(())
}
