//! Parsing and formatting of durations with a unit: `50ms`, `2s`, `10m`, `1h`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Regular expression for durations in the document.
pub const DURATION_PATTERN: &str = "^[0-9]{1,9}(ms|s|m|h)$";

/// Parses a whole number followed by `ms`, `s`, `m` or `h`. Returns `None` for anything else.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(unit_start);
    let count: u64 = digits.parse().ok()?;
    let unit_ms = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    count.checked_mul(unit_ms).map(Duration::from_millis)
}

/// Formats a duration in the largest unit that divides it evenly, truncated to milliseconds.
pub fn format_duration(duration: Duration) -> String {
    let ms = duration.as_millis();
    match ms {
        0 => "0ms".to_owned(),
        _ if ms.is_multiple_of(3_600_000) => format!("{}h", ms / 3_600_000),
        _ if ms.is_multiple_of(60_000) => format!("{}m", ms / 60_000),
        _ if ms.is_multiple_of(1_000) => format!("{}s", ms / 1_000),
        _ => format!("{ms}ms"),
    }
}

/// Serializes a duration, for `#[serde(with = "units")]`.
pub fn serialize<S>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(&format_duration(*duration))
}

/// Deserializes a duration, for `#[serde(with = "units")]`.
pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    parse_duration(&text).ok_or_else(|| D::Error::custom("expected a duration such as 50ms or 2s"))
}
