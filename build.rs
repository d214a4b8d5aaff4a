//! Compiles the peers' protocol with a compiler written in Rust, so that a build needs no
//! installed `protoc`.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_build::configure().compile_fds(descriptors)?;
    println!("cargo:rerun-if-changed=proto/peer.proto");
    Ok(())
}
