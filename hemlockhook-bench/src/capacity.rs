//! Measures the slopes of the page of capacity: what a document, a start marker, a message and an
//! idle link cost, each at several sizes.

mod fit;
mod idle;
mod memory;
mod messages;

use std::fs;
use std::thread;

use bpaf::Bpaf;
use hemlockhook_runtime::log;

use fit::Fit;

/// What is measured.
#[derive(Clone, Debug, Bpaf)]
pub struct CapacityArgs {
    /// Seconds for which each idle deployment is watched
    #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
    seconds: u64,
}

/// One slope, with the sizes that it was measured at.
struct Slope {
    name: &'static str,
    what: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Runs the measurements and prints them as a table in Markdown.
pub fn run(args: &CapacityArgs) -> eyre::Result<()> {
    log::init("error")?;
    println!("Machine: {}\n", machine());
    println!("| slope | what | sizes | at size 0 | for each one more | residual |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for slope in memory::slopes() {
        print(&slope);
    }
    for slope in messages::slopes() {
        print(&slope);
    }
    for slope in idle::slopes(args.seconds)? {
        print(&slope);
    }
    Ok(())
}

fn print(slope: &Slope) {
    let fit = Fit::of(&slope.points);
    let sizes: Vec<String> = slope.points.iter().map(|(x, _)| x.to_string()).collect();
    println!(
        "| {} | {} | {} | {:.1} {unit} | {:.3} {unit} | {:.1}% |",
        slope.name,
        slope.what,
        sizes.join(", "),
        fit.intercept,
        fit.slope,
        fit.residual * 100.0,
        unit = slope.unit,
    );
}

fn machine() -> String {
    let cores = thread::available_parallelism().map_or(0, usize::from);
    let info = fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info
        .lines()
        .find_map(|line| line.strip_prefix("model name"))
        .map_or("unknown processor", |rest| {
            rest.trim_start_matches(['\t', ' ', ':'])
        });
    format!("{cores} cores, {model}")
}
