//! Generates the committed code of `hemlockhook-proto` from its `.proto` file.
//!
//! Run it with `cargo run -p hemlockhook-generate` at the root of the workspace. With `--check`, it
//! writes nothing and exits with status 1 if the committed code is out of date.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs};

const PROTO: &str = "hemlockhook-proto/proto/hemlockhook.proto";
const OUTPUT_DIR: &str = "hemlockhook-proto/src/generated";
const OUTPUT_FILE: &str = "hemlockhook.v1.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let check = env::args().any(|arg| arg == "--check");
    let committed_path = Path::new(OUTPUT_DIR).join(OUTPUT_FILE);
    let generated = generate()?;

    if !check {
        fs::write(&committed_path, generated)?;
        return Ok(ExitCode::SUCCESS);
    }

    if fs::read_to_string(&committed_path).unwrap_or_default() == generated {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!(
        "{} is out of date; regenerate it with `cargo run -p hemlockhook-generate`",
        committed_path.display()
    );
    Ok(ExitCode::FAILURE)
}

/// Returns the code generated from the `.proto` file.
fn generate() -> Result<String, Box<dyn Error>> {
    let descriptors = protox::compile([PROTO], ["hemlockhook-proto/proto"])?;
    let temp_dir = create_temp_dir()?;
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir(&temp_dir)
        .compile_fds(descriptors)?;
    let code = fs::read_to_string(temp_dir.join(OUTPUT_FILE))?;
    fs::remove_dir_all(&temp_dir)?;
    Ok(code)
}

fn create_temp_dir() -> Result<PathBuf, Box<dyn Error>> {
    let dir = env::temp_dir().join(format!("hemlockhook-generate-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
