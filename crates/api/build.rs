//! Generates the messages from the .proto files. Uses protox, so that no protoc must be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["control", "placement", "node", "roll", "roster"]
        .map(|name| format!("corkspan/v1/{name}.proto"));
    println!("cargo:rerun-if-changed=proto");
    let set = protox::compile(files, ["proto"])?;
    tonic_prost_build::configure()
        .build_transport(false)
        .codec_path("crate::codec::SmallBufferCodec")
        .compile_fds(set)?;
    Ok(())
}
