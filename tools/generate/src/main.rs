//! Writes the committed code of `hemlockhook-proto` from its `.proto` file.
//!
//! Run as `cargo run -p hemlockhook-generate`. With `--check` it writes nothing and exits with 1
//! when the committed code is not current.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs};

const PROTO: &str = "hemlockhook-proto/proto/hemlockhook.proto";
const OUTPUT_DIR: &str = "hemlockhook-proto/src/generated";
const OUTPUT_FILE: &str = "hemlockhook.v1.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = env::args().any(|arg| arg == "--check");
    let committed = Path::new(OUTPUT_DIR).join(OUTPUT_FILE);
    let fresh = generate()?;

    if !check {
        fs::write(&committed, fresh)?;
        return Ok(ExitCode::SUCCESS);
    }

    if fs::read_to_string(&committed).unwrap_or_default() == fresh {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!(
        "{} is not current: run cargo run -p hemlockhook-generate",
        committed.display()
    );
    Ok(ExitCode::FAILURE)
}

/// Returns the code generated from the proto file.
fn generate() -> Result<String, Box<dyn Error>> {
    let descriptors = protox::compile([PROTO], ["hemlockhook-proto/proto"])?;
    let scratch = scratch_dir()?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&scratch)
        .compile_fds(descriptors)?;
    let code = fs::read_to_string(scratch.join(OUTPUT_FILE))?;
    fs::remove_dir_all(&scratch)?;
    Ok(code)
}

fn scratch_dir() -> Result<PathBuf, Box<dyn Error>> {
    let dir = env::temp_dir().join(format!("hemlockhook-generate-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
