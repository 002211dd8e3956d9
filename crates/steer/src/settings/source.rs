//! Parses JSON with comments, and maps paths in it to lines and columns.

use super::{
    PathSegment, Position, Problem, ValuePath,
    findings::{Findings, suggest_name},
};
use jsonc_parser::{ParseOptions, ast::Value, common::Ranged, parse_to_ast};
use serde::de::DeserializeOwned;

/// Allows comments and trailing commas, and no other extension of JSON.
fn options() -> ParseOptions {
    ParseOptions {
        allow_bare_decimal_point_numbers: false,
        allow_comments: true,
        allow_extended_string_escapes: false,
        allow_hexadecimal_numbers: false,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_non_finite_numbers: false,
        allow_single_quoted_strings: false,
        allow_trailing_commas: true,
        allow_unary_plus_numbers: false,
    }
}

fn parse_value(text: &str) -> Result<Value<'_>, Problem> {
    let parsed = parse_to_ast(text, &Default::default(), &options()).map_err(|error| {
        let at = Position::from_byte_offset(text, error.range().start);
        Problem::new(ValuePath::root().to_string(), lower_first(&error.kind().to_string()))
            .with_position(at)
    })?;
    let refuse = |found: &str| {
        let reason = format!("{found}; expected an object");
        Problem::new(ValuePath::root().to_string(), reason)
    };
    match parsed.value {
        None => Err(refuse("is empty")),
        Some(Value::Object(object)) => Ok(Value::Object(object)),
        Some(other) => {
            let at = Position::from_byte_offset(text, other.range().start);
            Err(refuse(&format!("is `{}`", other.text(text))).with_position(at))
        }
    }
}

/// Deserializes JSON with comments.
///
/// # Errors
///
/// Each problem gives line, column and path of a value, what was found and what is expected.
///
/// ```
/// let problems = steer::parse_jsonc::<steer::TeamDocument>(r#"{ "servces": {} }"#).unwrap_err();
/// assert_eq!(
///     problems[0].to_string(),
///     "1:3: servces: unknown key `servces`; did you mean `services`?"
/// );
/// ```
pub fn parse_jsonc<T: DeserializeOwned>(text: &str) -> Result<T, Vec<Problem>> {
    let value = parse_value(text).map_err(|p| vec![p])?;
    let mut findings = Findings::default();
    find_duplicates(&value, &ValuePath::root(), &mut findings);
    if !findings.is_empty() {
        return Err(findings.locate(text));
    }
    let value = serde_json::Value::from(value);
    serde_path_to_error::deserialize(&value).map_err(|error| {
        let path = ValuePath::from(error.path());
        let found = text_at(&value, &path);
        findings.add(&path, rewrite_error(&error.inner().to_string(), &found));
        std::mem::take(&mut findings).locate(text)
    })
}

/// Reports keys that appear more than once in an object.
fn find_duplicates(value: &Value<'_>, path: &ValuePath, findings: &mut Findings) {
    match value {
        Value::Array(list) => {
            for (i, element) in list.elements.iter().enumerate() {
                find_duplicates(element, &path.index(i), findings);
            }
        }
        Value::Object(object) => {
            let mut seen = std::collections::BTreeSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let here = path.key(name);
                if !seen.insert(name) {
                    findings.add(&here, format!("duplicate key `{name}` in an object"));
                }
                find_duplicates(&property.value, &here, findings);
            }
        }
        _ => {}
    }
}

/// Returns the text of the value at a path, or of the nearest enclosing value that exists. For an
/// entry of `blocks`, returns the text of the key.
fn text_at(root: &serde_json::Value, path: &ValuePath) -> String {
    let mut value = root;
    for segment in path.segments() {
        let inside = match segment {
            PathSegment::Index(index) => value.get(index),
            PathSegment::Item(text) | PathSegment::Key(text) => value.get(text),
        };
        let Some(next) = inside else { break };
        value = next;
    }
    match (value, path.segments()) {
        // The keys of `blocks` are parsed as CIDR blocks, so the malformed text is the key.
        (_, [PathSegment::Key(parent), PathSegment::Key(key)]) if parent == "blocks" => key.clone(),
        (serde_json::Value::String(text), _) => text.clone(),
        (other, _) => other.to_string(),
    }
}

/// Expected format of a value, by a substring of the deserializer's error message.
const FORMATS: [(&str, &str); 3] = [
    ("invalid IP address syntax", "a block in CIDR notation, such as `10.1.0.0/16`"),
    ("invalid socket address syntax", "an IP address and port, such as `127.0.0.1:9000`"),
    ("failed to parse", "an RFC 3339 time, such as `2026-01-31T09:00:00Z`"),
];

/// Descriptions of the type names in the deserializer's error messages.
const TYPE_NAMES: [(&str, &str); 6] = [
    ("f64", "a number"),
    ("i64", "an integer"),
    ("struct", "an object"),
    ("u32", "an integer from 0 to 4294967295"),
    ("u64", "an integer of 0 or more"),
    ("usize", "an integer of 0 or more"),
];

/// Rewrites an error message of the deserializer for operators, with a suggestion for an unknown
/// key or value.
fn rewrite_error(message: &str, found: &str) -> String {
    if let Some((_, expected)) = FORMATS.iter().find(|(part, _)| message.contains(part)) {
        return format!("`{found}` is not {expected}");
    }
    let quoted: Vec<String> = message.split('`').skip(1).step_by(2).map(str::to_owned).collect();
    for (start, what) in [("unknown field", "key"), ("unknown variant", "value")] {
        if let (true, Some((name, known))) = (message.starts_with(start), quoted.split_first()) {
            return format!(
                "unknown {what} `{name}`; {}",
                suggest_name(name, known.iter().map(String::as_str))
            );
        }
    }
    if let (true, Some(name)) = (message.starts_with("missing field"), quoted.first()) {
        return format!("the key `{name}` is missing");
    }
    let Some((start, expected)) = message.split_once(", expected ") else {
        return message.to_owned();
    };
    let name = expected.split(' ').next().unwrap_or_default();
    let expected = TYPE_NAMES.iter().find(|(t, _)| *t == name).map_or(expected, |(_, text)| text);
    format!("{start}; expected {expected}")
}

fn lower_first(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |c| c.to_lowercase().chain(chars).collect())
}

/// Returns the line and column of each path; for a member of an object, those of its key. A path
/// that doesn't exist gets the position of the nearest enclosing value.
pub(super) fn positions(text: &str, paths: &[&ValuePath]) -> Vec<Position> {
    let Ok(root) = parse_value(text) else { return vec![Position::default(); paths.len()] };
    paths.iter().map(|path| Position::from_byte_offset(text, byte_offset(&root, path))).collect()
}

/// Returns whether a value is this string, or an object that contains it.
fn contains_text(value: &Value<'_>, text: &str) -> bool {
    match value {
        Value::Object(object) => object.properties.iter().any(|p| contains_text(&p.value, text)),
        Value::StringLit(literal) => literal.value == text,
        _ => false,
    }
}

fn byte_offset(root: &Value<'_>, path: &ValuePath) -> usize {
    let mut byte = root.range().start;
    let mut value = root;
    for segment in path.segments() {
        let inside = match (segment, value) {
            (PathSegment::Index(index), Value::Array(list)) => {
                list.elements.get(*index).map(|element| (element.range().start, element))
            }
            (PathSegment::Item(text), Value::Array(list)) => {
                let found = list.elements.iter().find(|element| contains_text(element, text));
                found.map(|element| (element.range().start, element))
            }
            (PathSegment::Key(key), Value::Object(object)) => {
                // The last one, so that the error for a duplicate key points at the duplicate.
                let found = object.properties.iter().rev().find(|p| p.name.as_str() == key);
                found.map(|property| (property.range.start, &property.value))
            }
            _ => None,
        };
        let Some(next) = inside else { return byte };
        (byte, value) = next;
    }
    byte
}
