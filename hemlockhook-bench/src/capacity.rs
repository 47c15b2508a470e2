//! Measures the slopes of the capacity page: the cost of an inventory document, a start marker, a
//! message and an idle link, each at several sizes.

mod fit;
mod idle;
mod memory;
mod messages;

use std::fs;
use std::thread;

use bpaf::Bpaf;
use hemlockhook_runtime::log;

use fit::LinearFit;

/// Duration of the measurements.
#[derive(Clone, Debug, Bpaf)]
pub struct CapacityArgs {
    /// Seconds to measure each idle deployment for
    #[bpaf(argument("SECONDS"), fallback(5), display_fallback)]
    seconds: u64,
}

/// One slope: a value measured at several sizes.
struct Slope {
    name: &'static str,
    description: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

/// Runs the measurements and prints them as a table in Markdown.
pub fn run(args: &CapacityArgs) -> eyre::Result<()> {
    log::init("error")?;
    println!("Machine: {}\n", machine_description());
    println!("| slope | what | sizes | at size 0 | for each one more | residual |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for slope in memory::slopes() {
        print_row(&slope);
    }
    for slope in messages::slopes() {
        print_row(&slope);
    }
    for slope in idle::slopes(args.seconds)? {
        print_row(&slope);
    }
    Ok(())
}

fn print_row(slope: &Slope) {
    let fit = LinearFit::least_squares(&slope.points);
    let sizes: Vec<String> = slope.points.iter().map(|(x, _)| x.to_string()).collect();
    println!(
        "| {} | {} | {} | {:.1} {unit} | {:.3} {unit} | {:.1}% |",
        slope.name,
        slope.description,
        sizes.join(", "),
        fit.intercept,
        fit.slope,
        fit.residual * 100.0,
        unit = slope.unit,
    );
}

fn machine_description() -> String {
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
