//! Generates a document from the asset register's CSV export, which has one upstream instance per
//! line.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::check::suggestion::closest_match;
use crate::check::{Problem, check};
use crate::model::{DataCenter, Inventory, Objective, Rules, Service, Team, Upstream, Worker};
use hemlockhook_yaml::Position;

/// Columns of the export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
enum Column {
    Name,
    Worker,
    Rack,
    DataCenter,
    Region,
    Processors,
    MemoryGb,
    Accelerators,
    Services,
    Slots,
    Connections,
}

/// Generates a document. Services, teams and rules get placeholder values that the operator edits.
///
/// # Errors
///
/// Returns the problems of the export, or else those of the generated document.
pub fn import(deployment: &str, csv: &str) -> Result<String, Vec<Problem>> {
    let mut import = Import::default();
    import.read(csv);
    if !import.problems.is_empty() {
        return Err(import.problems);
    }

    let inventory = import.into_inventory(deployment);
    let yaml = serde_saphyr::to_string(&inventory)
        .map_err(|e| vec![Problem::new(Position::default(), "", e.to_string())])?;
    let document = format!(
        "# Made from the asset register. Edit the services, the teams and the rules.\n{yaml}"
    );
    match check(&document) {
        Ok(_) => Ok(document),
        Err(problems) => Err(problems),
    }
}

/// Objects read from an export, and its problems.
#[derive(Default)]
struct Import {
    data_centers: BTreeMap<String, String>,
    workers: BTreeMap<String, Worker>,
    services: BTreeSet<String>,
    upstreams: Vec<Upstream>,
    problems: Vec<Problem>,
}

/// A row of the export.
struct Row<'a> {
    line: u64,
    columns: &'a [Option<Column>],
    cells: Vec<String>,
}

impl Import {
    fn read(&mut self, csv: &str) {
        let mut lines = csv.lines().enumerate();
        let header = lines.next().map_or("", |(_, line)| line);
        let columns = self.read_header(header);
        if !self.problems.is_empty() {
            return;
        }
        for (i, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
            let row = Row {
                line: i as u64 + 1,
                columns: &columns,
                cells: split_cells(line),
            };
            self.read_row(&row);
        }
    }

    fn read_header(&mut self, header: &str) -> Vec<Option<Column>> {
        let names = split_cells(header);
        let columns: Vec<Option<Column>> = names
            .iter()
            .map(|name| name.to_lowercase().replace(' ', "_").parse().ok())
            .collect();
        let known: Vec<String> = Column::iter().map(|column| column.to_string()).collect();

        for (i, (name, column)) in names.iter().zip(&columns).enumerate() {
            if column.is_none() {
                let suggestion = closest_match(name, known.iter().map(String::as_str));
                let problem = Problem::new(cell_position(1, i), name, "unknown column");
                self.problems.push(problem.with_suggestion(suggestion));
            }
        }
        let is_missing =
            |column: &Column| *column != Column::Accelerators && !columns.contains(&Some(*column));
        for column in Column::iter().filter(is_missing) {
            let message = format!("the column `{column}` is missing");
            self.problems
                .push(Problem::new(cell_position(1, 0), "", message));
        }
        columns
    }

    fn read_row(&mut self, row: &Row<'_>) {
        if row.cells.len() != row.columns.len() {
            let message = format!(
                "expected {} cells, found {}",
                row.columns.len(),
                row.cells.len()
            );
            self.problems
                .push(Problem::new(cell_position(row.line, 0), "", message));
            return;
        }
        let worker = Worker {
            name: row.text(Column::Worker).into(),
            rack: row.text(Column::Rack).into(),
            data_center: row.text(Column::DataCenter).into(),
            processors: self.number(row, Column::Processors),
            memory_gb: self.number(row, Column::MemoryGb),
            accelerators: self.number(row, Column::Accelerators),
        };
        let services: Vec<Arc<str>> = row
            .text(Column::Services)
            .split_whitespace()
            .map(Arc::from)
            .collect();
        self.services.extend(services.iter().map(|s| s.to_string()));
        let upstream = Upstream {
            name: row.text(Column::Name).into(),
            worker: worker.name.clone(),
            services,
            slots: self.number(row, Column::Slots),
            connections: self.number(row, Column::Connections),
        };
        self.upstreams.push(upstream);
        self.add_region(row);
        self.add_worker(row, worker);
    }

    /// Adds the region of the row's data center, which must be the same in every row.
    fn add_region(&mut self, row: &Row<'_>) {
        let data_center = row.text(Column::DataCenter);
        let region = row.text(Column::Region);
        let known = self
            .data_centers
            .entry(data_center)
            .or_insert_with(|| region.clone());
        if *known != region {
            let message = format!("another line has the region `{known}` for this data center");
            self.problems.push(row.problem(Column::Region, message));
        }
    }

    /// Adds a worker, which must be the same in every row that names it.
    fn add_worker(&mut self, row: &Row<'_>, worker: Worker) {
        let known = self
            .workers
            .entry(worker.name.to_string())
            .or_insert_with(|| worker.clone());
        if *known != worker {
            let message = "another line has different values for this worker";
            self.problems.push(row.problem(Column::Worker, message));
        }
    }

    fn number(&mut self, row: &Row<'_>, column: Column) -> u32 {
        let text = row.text(column);
        match text.parse() {
            Ok(number) => number,
            Err(_) if text.is_empty() && column == Column::Accelerators => 0,
            Err(_) => {
                let message = format!("`{text}` is not a whole number");
                self.problems.push(row.problem(column, message));
                0
            }
        }
    }

    fn into_inventory(self, deployment: &str) -> Inventory {
        let data_centers = self.data_centers.into_iter();
        Inventory {
            deployment: deployment.into(),
            data_centers: data_centers
                .map(|(name, region)| DataCenter {
                    name: name.into(),
                    region: region.into(),
                })
                .collect(),
            workers: self.workers.into_values().collect(),
            services: self
                .services
                .iter()
                .map(|name| placeholder_service(name))
                .collect(),
            upstreams: self.upstreams,
            teams: vec![Team {
                name: "everyone".into(),
                share: 1,
            }],
            rules: Rules::default(),
        }
    }
}

impl Row<'_> {
    /// Returns the cell of a column, or an empty string if the export has no such column.
    fn text(&self, column: Column) -> String {
        let index = self.columns.iter().position(|c| *c == Some(column));
        index.map_or_else(String::new, |i| self.cells[i].clone())
    }

    fn problem<M>(&self, column: Column, message: M) -> Problem
    where
        M: Into<String>,
    {
        let index = self.columns.iter().position(|c| *c == Some(column));
        let position = cell_position(self.line, index.unwrap_or(0));
        Problem::new(position, &column.to_string(), message)
    }
}

/// Returns the position of a cell. Its column is the number of the cell, as in a spreadsheet.
fn cell_position(line: u64, index: usize) -> Position {
    Position {
        line,
        column: index as u64 + 1,
    }
}

/// Splits a line at the commas outside double quotes.
fn split_cells(line: &str) -> Vec<String> {
    let mut cells = vec![String::new()];
    let mut quoted = false;
    for c in line.chars() {
        match (c, cells.last_mut()) {
            ('"', _) => quoted = !quoted,
            (',', _) if !quoted => cells.push(String::new()),
            (c, Some(cell)) => cell.push(c),
            (_, None) => {}
        }
    }
    cells.iter().map(|cell| cell.trim().to_owned()).collect()
}

/// Returns a service with placeholder values.
fn placeholder_service(name: &str) -> Service {
    Service {
        name: name.into(),
        deadline: Duration::from_secs(30),
        max_task_time: Duration::from_secs(20),
        objective: Objective {
            percent: 99.5,
            within: Duration::from_secs(2),
        },
    }
}
