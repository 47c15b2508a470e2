//! Validation of each value on its own against the JSON Schema of the document: known keys, types,
//! units and ranges.

use std::time::Duration;

use schemars::schema_for;
use serde_json::Value as Json;

use crate::check::Problem;
use crate::check::suggestion::closest_match;
use crate::model::{Inventory, NAME_PATTERN, is_name};
use crate::units::{DURATION_PATTERN, parse_duration};
use hemlockhook_yaml::{Node, Value};

/// Maximum duration in the document.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Returns the JSON Schema of the document.
pub fn schema() -> Json {
    schema_for!(Inventory).to_value()
}

/// Returns the problems of each value on its own.
pub fn check_values(root: &Node) -> Vec<Problem> {
    let schema = schema();
    let mut checker = ValueChecker {
        root: &schema,
        problems: Vec::new(),
    };
    checker.check_value(root, &schema, "");
    checker.problems
}

struct ValueChecker<'a> {
    root: &'a Json,
    problems: Vec<Problem>,
}

impl<'a> ValueChecker<'a> {
    fn check_value(&mut self, node: &Node, schema: &'a Json, path: &str) {
        let schema = self.resolve(schema);
        match (type_of(schema), &node.value) {
            ("object", Value::Mapping(_)) => self.check_object(node, schema, path),
            ("array", Value::Sequence(elements)) => self.check_array(node, elements, schema, path),
            ("string", Value::String(text)) => self.check_text(node, text, schema, path),
            ("integer", Value::Int(number)) => self.check_range(node, *number as f64, schema, path),
            ("number", Value::Int(number)) => self.check_range(node, *number as f64, schema, path),
            ("number", Value::Float(number)) => self.check_range(node, *number, schema, path),
            (kind, value) => self.report_wrong_type(node, kind, value, schema, path),
        }
    }

    fn check_object(&mut self, node: &Node, schema: &'a Json, path: &str) {
        let Some(properties) = schema["properties"].as_object() else {
            return;
        };
        for (i, entry) in node.entries().iter().enumerate() {
            let path = child_path(path, &entry.key);
            let first = node.entries()[..i].iter().find(|e| e.key == entry.key);
            match (properties.get(&entry.key), first) {
                (_, Some(first)) => self.report(
                    Problem::new(entry.position, &path, "duplicate key")
                        .with_first_occurrence(first.position),
                ),
                (Some(schema), None) => self.check_value(&entry.node, schema, &path),
                (None, None) => self.report(
                    Problem::new(entry.position, &path, "unknown key").with_suggestion(
                        closest_match(&entry.key, properties.keys().map(String::as_str)),
                    ),
                ),
            }
        }
        for key in schema["required"].as_array().into_iter().flatten() {
            let key = key.as_str().unwrap_or_default();
            if node.get(key).is_none() {
                let message = format!("the key `{key}` is missing");
                self.report(Problem::new(node.position, path, message));
            }
        }
    }

    fn check_array(&mut self, node: &Node, elements: &[Node], schema: &'a Json, path: &str) {
        if (elements.len() as u64) < schema["minItems"].as_u64().unwrap_or(0) {
            self.report(Problem::new(node.position, path, "the list is empty"));
        }
        for (i, element) in elements.iter().enumerate() {
            self.check_value(element, &schema["items"], &format!("{path}[{i}]"));
        }
    }

    fn check_text(&mut self, node: &Node, text: &str, schema: &'a Json, path: &str) {
        match schema["pattern"].as_str() {
            Some(DURATION_PATTERN) => self.check_duration(node, text, path),
            Some(NAME_PATTERN) if !is_name(text) => {
                let message = "a name has 1 to 63 characters of a-z, 0-9, `-`, `_` and `.`, \
                               and starts with a letter or digit";
                let suggestion = suggest_name(text);
                self.report(Problem::new(node.position, path, message).with_suggestion(suggestion));
            }
            _ => {}
        }
    }

    fn check_duration(&mut self, node: &Node, text: &str, path: &str) {
        let message = match parse_duration(text) {
            None => "a duration is a whole number with a unit: ms, s, m or h".to_owned(),
            Some(Duration::ZERO) => "the duration is zero".to_owned(),
            Some(duration) if duration > MAX_DURATION => "the duration exceeds 24h".to_owned(),
            Some(_) => return,
        };
        let normalized: String = text.split_whitespace().collect::<String>().to_lowercase();
        let suggestion = parse_duration(&normalized)
            .filter(|_| normalized != text)
            .map(|_| normalized);
        self.report(Problem::new(node.position, path, message).with_suggestion(suggestion));
    }

    fn check_range(&mut self, node: &Node, number: f64, schema: &'a Json, path: &str) {
        let min = schema["minimum"].as_f64().unwrap_or(f64::MIN);
        let max = schema["maximum"].as_f64().unwrap_or(f64::MAX);
        if number >= min && number <= max {
            return;
        }
        let message = format!("{number} is out of range: {min} to {max}");
        self.report(Problem::new(node.position, path, message));
    }

    fn report_wrong_type(
        &mut self,
        node: &Node,
        kind: &str,
        value: &Value,
        schema: &Json,
        path: &str,
    ) {
        let is_duration = schema["pattern"].as_str() == Some(DURATION_PATTERN);
        let expected = match kind {
            "object" => "a mapping",
            "array" => "a list",
            "integer" => "an integer without a unit",
            "number" => "a number without a unit",
            _ if is_duration => "a duration with a unit: ms, s, m or h",
            _ => "a string",
        };
        let suggestion = match (kind, value) {
            ("string", Value::Int(number)) if is_duration => Some(format!("{number}s")),
            ("string", Value::Int(number)) => Some(format!("\"{number}\"")),
            ("string", Value::Bool(flag)) => Some(format!("\"{flag}\"")),
            ("integer" | "number", Value::String(text)) => leading_number(text),
            _ => None,
        };
        let message = format!("expected {expected}");
        self.report(Problem::new(node.position, path, message).with_suggestion(suggestion));
    }

    /// Follows a `$ref` to a named type.
    fn resolve(&self, schema: &'a Json) -> &'a Json {
        let target = schema["$ref"].as_str().and_then(|r| r.strip_prefix('#'));
        match target.and_then(|pointer| self.root.pointer(pointer)) {
            Some(target) => target,
            None => schema,
        }
    }

    fn report(&mut self, problem: Problem) {
        self.problems.push(problem);
    }
}

/// Returns the type of a schema, ignoring `null`.
fn type_of(schema: &Json) -> &str {
    match &schema["type"] {
        Json::String(kind) => kind,
        Json::Array(kinds) => kinds
            .iter()
            .filter_map(Json::as_str)
            .find(|kind| *kind != "null")
            .unwrap_or_default(),
        _ => "",
    }
}

fn child_path(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ => format!("{path}.{key}"),
    }
}

fn leading_number(text: &str) -> Option<String> {
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    (!digits.is_empty()).then_some(digits)
}

/// Converts a text to a valid name, if lower case and dashes for spaces suffice.
fn suggest_name(text: &str) -> Option<String> {
    let name: String = text
        .trim()
        .to_lowercase()
        .chars()
        .map(|c| if c.is_whitespace() { '-' } else { c })
        .collect();
    is_name(&name).then_some(name)
}
