//! Validation of the document as a whole: references by name, and values that contradict each
//! other.

use std::collections::HashMap;
use std::time::Duration;

use crate::check::Problem;
use crate::check::suggestion::closest_match;
use crate::units::{format_duration, parse_duration};
use hemlockhook_yaml::{Node, Position};

/// Maximum deadline of a service. Answers are retained for at least this long.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Lists whose elements have unique names.
const NAMED_LISTS: [&str; 5] = ["data_centers", "workers", "services", "upstreams", "teams"];

/// Returns the problems that involve more than one value.
pub fn check_consistency(root: &Node) -> Vec<Problem> {
    let mut checker = ConsistencyChecker {
        root,
        problems: Vec::new(),
    };
    for list in NAMED_LISTS {
        checker.check_duplicates(list);
    }
    checker.check_references("workers", "data_center", "data_centers");
    checker.check_references("upstreams", "worker", "workers");
    checker.check_racks();
    checker.check_upstreams();
    checker.check_services();
    checker.check_rules();
    checker.problems
}

struct ConsistencyChecker<'a> {
    root: &'a Node,
    problems: Vec<Problem>,
}

impl<'a> ConsistencyChecker<'a> {
    fn check_duplicates(&mut self, list: &str) {
        let names = self
            .root
            .get_elements(list)
            .iter()
            .enumerate()
            .filter_map(|(i, node)| Some((format!("{list}[{i}].name"), node.get("name")?)));
        self.problems.extend(find_duplicates(names));
    }

    /// Checks that a key of each element of a list refers to the name of an element of another list.
    fn check_references(&mut self, list: &str, key: &str, target: &str) {
        for (i, node) in self.root.get_elements(list).iter().enumerate() {
            if let Some(reference) = node.get(key) {
                self.check_reference(reference, &format!("{list}[{i}].{key}"), target);
            }
        }
    }

    fn check_reference(&mut self, reference: &Node, path: &str, target: &str) {
        let Some(name) = reference.as_str() else {
            return;
        };
        let names: Vec<&str> = self.names(target).collect();
        if names.contains(&name) {
            return;
        }
        let message = format!("`{name}` is not defined in `{target}`");
        let suggestion = closest_match(name, names);
        self.report(Problem::new(reference.position, path, message).with_suggestion(suggestion));
    }

    /// Checks that each rack is in only one data center.
    fn check_racks(&mut self) {
        let mut racks: HashMap<&str, (&str, Position)> = HashMap::new();
        for (i, worker) in self.root.get_elements("workers").iter().enumerate() {
            let (Some(rack), Some(data_center)) =
                (worker.get("rack"), worker.get_str("data_center"))
            else {
                continue;
            };
            let name = rack.as_str().unwrap_or_default();
            let (first, position) = *racks.entry(name).or_insert((data_center, rack.position));
            if first != data_center {
                let message =
                    format!("rack `{name}` is in data center `{first}`, not in `{data_center}`");
                let path = format!("workers[{i}].rack");
                self.report(
                    Problem::new(rack.position, &path, message).with_first_occurrence(position),
                );
            }
        }
    }

    fn check_upstreams(&mut self) {
        for (i, upstream) in self.root.get_elements("upstreams").iter().enumerate() {
            let services = upstream.get_elements("services");
            for (j, service) in services.iter().enumerate() {
                let path = format!("upstreams[{i}].services[{j}]");
                self.check_reference(service, &path, "services");
            }
            let names = services
                .iter()
                .enumerate()
                .map(|(j, node)| (format!("upstreams[{i}].services[{j}]"), node));
            self.problems.extend(find_duplicates(names));
            self.check_connections(i, upstream);
        }
    }

    fn check_connections(&mut self, i: usize, upstream: &Node) {
        let (Some(slots), Some(connections)) =
            (upstream.get_i64("slots"), upstream.get_i64("connections"))
        else {
            return;
        };
        if slots <= connections {
            return;
        }
        let position = upstream
            .get("slots")
            .map_or(upstream.position, |n| n.position);
        let message =
            format!("{slots} slots need at least {slots} connections, found {connections}");
        self.report(Problem::new(
            position,
            &format!("upstreams[{i}].slots"),
            message,
        ));
    }

    fn check_services(&mut self) {
        for (i, service) in self.root.get_elements("services").iter().enumerate() {
            let path = format!("services[{i}]");
            self.check_has_upstream(service, &path);

            let Some(deadline) = duration_of(service, "deadline") else {
                continue;
            };
            self.check_limit(service, &path, "max_task_time", deadline, "its deadline");
            if let Some(objective) = service.get("objective") {
                let path = format!("{path}.objective");
                self.check_limit(objective, &path, "within", deadline, "its deadline");
            }
            self.check_limit(service, &path, "deadline", MAX_DEADLINE, "the limit");
        }
    }

    fn check_has_upstream(&mut self, service: &Node, path: &str) {
        let Some(node) = service.get("name") else {
            return;
        };
        let runs_service = |upstream: &Node| {
            let services = upstream.get_elements("services");
            services.iter().any(|s| s.as_str() == node.as_str())
        };
        if !self.root.get_elements("upstreams").iter().any(runs_service) {
            let path = format!("{path}.name");
            let message = "no upstream runs this service, so its jobs can't run";
            self.report(Problem::new(node.position, &path, message));
        }
    }

    /// Checks that a duration does not exceed a limit.
    fn check_limit(
        &mut self,
        node: &Node,
        path: &str,
        key: &str,
        limit: Duration,
        limit_name: &str,
    ) {
        match (node.get(key), duration_of(node, key)) {
            (Some(value), Some(duration)) if duration > limit => {
                let message = format!(
                    "{} exceeds {limit_name} of {}",
                    format_duration(duration),
                    format_duration(limit)
                );
                self.report(Problem::new(
                    value.position,
                    &format!("{path}.{key}"),
                    message,
                ));
            }
            _ => {}
        }
    }

    fn check_rules(&mut self) {
        let Some(rules) = self.root.get("rules") else {
            return;
        };
        let longest = self
            .root
            .get_elements("services")
            .iter()
            .filter_map(|service| duration_of(service, "max_task_time"))
            .max();
        match (
            rules.get("long_after"),
            duration_of(rules, "long_after"),
            longest,
        ) {
            (Some(node), Some(long_after), Some(longest)) if long_after >= longest => {
                let message = format!(
                    "no task may run for {}, so none would count as long work",
                    format_duration(long_after)
                );
                self.report(Problem::new(node.position, "rules.long_after", message));
            }
            _ => {}
        }
    }

    fn names(&self, list: &str) -> impl Iterator<Item = &'a str> + use<'a> {
        let root: &'a Node = self.root;
        root.get_elements(list)
            .iter()
            .filter_map(|node| node.get_str("name"))
    }

    fn report(&mut self, problem: Problem) {
        self.problems.push(problem);
    }
}

/// Returns a problem for each string that an earlier node already has.
fn find_duplicates<'a, I>(nodes: I) -> Vec<Problem>
where
    I: Iterator<Item = (String, &'a Node)>,
{
    let mut seen: HashMap<&str, Position> = HashMap::new();
    let mut problems = Vec::new();
    for (path, node) in nodes {
        let Some(name) = node.as_str() else {
            continue;
        };
        match seen.get(name) {
            Some(first) => {
                let message = format!("duplicate name `{name}`");
                problems.push(
                    Problem::new(node.position, &path, message).with_first_occurrence(*first),
                );
            }
            None => {
                seen.insert(name, node.position);
            }
        }
    }
    problems
}

fn duration_of(node: &Node, key: &str) -> Option<Duration> {
    node.get_str(key).and_then(parse_duration)
}
