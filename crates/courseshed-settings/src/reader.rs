//! A reader of parsed TOML tables that gathers every fault instead of the first.
//!
//! The `toml` crate parses the text; this module walks its tables. Each key is
//! asked for by name and converted on the spot; what nobody asked for is an
//! unknown key. Invariant: a fault never stops the walk, so that an operator
//! sees all of them at once.

use std::borrow::Cow;
use std::cell::RefCell;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Problem, nearest};

/// A TOML value as the `toml` crate parsed it, with its place.
pub(crate) type SpannedValue<'t> = Spanned<DeValue<'t>>;

/// Where lines start in a text, and the faults found in it so far.
pub(crate) struct Report {
    line_starts: Vec<usize>,
    problems: RefCell<Vec<Problem>>,
}

impl Report {
    /// A report without faults over `text`.
    pub(crate) fn new(text: &str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
            problems: RefCell::default(),
        }
    }

    /// The line, from 1, that holds the byte at `offset`.
    pub(crate) fn line_of(&self, offset: usize) -> u32 {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        u32::try_from(line).unwrap_or(u32::MAX)
    }

    /// Adds a fault.
    pub(crate) fn add(&self, problem: Problem) {
        self.problems.borrow_mut().push(problem);
    }

    /// The faults, in the order of their lines.
    pub(crate) fn into_problems(self) -> Vec<Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort();
        problems
    }
}

/// Parses `text` into its outermost table; a fault of the grammar goes to `report`.
pub(crate) fn parse_document<'t>(
    text: &'t str,
    path: &str,
    report: &Report,
) -> Option<Spanned<DeTable<'t>>> {
    match DeTable::parse(text) {
        Ok(table) => Some(table),
        Err(error) => {
            report.add(Problem {
                line: error.span().map(|span| report.line_of(span.start)),
                path: path.to_owned(),
                key: String::new(),
                reason: format!("not valid TOML: {}", error.message()),
                example: String::new(),
            });
            None
        }
    }
}

/// One table of the document, from which keys are taken until it is empty.
pub(crate) struct Section<'t, 'r> {
    report: &'r Report,
    path: String,
    prefix: String,
    line: u32,
    table: DeTable<'t>,
    known: Vec<Cow<'static, str>>,
}

/// A table whose name is chosen by whoever wrote the text.
pub(crate) struct NamedSection<'t, 'r> {
    /// The name.
    pub(crate) name: String,
    /// Line of the name.
    pub(crate) line: u32,
    /// The table.
    pub(crate) section: Section<'t, 'r>,
}

impl<'t, 'r> Section<'t, 'r> {
    /// The section over `table`, whose faults are reported at `path` with keys below `prefix`.
    pub(crate) fn new(
        report: &'r Report,
        path: &str,
        prefix: &str,
        table: Spanned<DeTable<'t>>,
    ) -> Self {
        Self {
            report,
            path: path.to_owned(),
            prefix: prefix.to_owned(),
            line: report.line_of(table.span().start),
            table: table.into_inner(),
            known: Vec::new(),
        }
    }

    /// Takes the value at `key` without converting it.
    pub(crate) fn take_raw(&mut self, key: &'static str) -> Option<SpannedValue<'t>> {
        self.known.push(Cow::Borrowed(key));
        self.table.remove(key)
    }

    /// Takes and converts the value at `key`; `None` if absent or faulty (then reported).
    pub(crate) fn take<T>(
        &mut self,
        key: &'static str,
        example: &str,
        convert: impl FnOnce(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<T> {
        let value = self.take_raw(key)?;
        match convert(value.get_ref()) {
            Ok(converted) => Some(converted),
            Err(reason) => {
                let line = self.report.line_of(value.span().start);
                self.fault(Some(line), key, reason, example);
                None
            }
        }
    }

    /// Takes and converts the value at `key`, with the line it stands on.
    pub(crate) fn take_located<T>(
        &mut self,
        key: &'static str,
        example: &str,
        convert: impl FnOnce(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<(T, u32)> {
        let offset = self.table.get(key).map(|value| value.span().start);
        let value = self.take(key, example, convert)?;
        Some((value, self.report.line_of(offset?)))
    }

    /// Takes all that is left as tables, with their names; what is no table is reported.
    pub(crate) fn take_tables(&mut self) -> Vec<NamedSection<'t, 'r>> {
        let mut sections = Vec::new();
        for (key, value) in std::mem::take(&mut self.table) {
            let name = key.get_ref().as_ref().to_owned();
            let line = self.report.line_of(key.span().start);
            let span = value.span();
            let DeValue::Table(table) = value.into_inner() else {
                self.fault(Some(line), &name, "must be a table".to_owned(), "{ }");
                continue;
            };
            let prefix = self.name(&name);
            let table = Spanned::new(span, table);
            let section = Section::new(self.report, &self.path, &prefix, table);
            sections.push(NamedSection {
                name,
                line,
                section,
            });
        }
        sections
    }

    /// The same section with its faults reported at `path`, with keys that start there.
    pub(crate) fn at(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self.prefix.clear();
        self
    }

    /// Takes and converts a key that must be present.
    pub(crate) fn require<T>(
        &mut self,
        key: &'static str,
        example: &str,
        convert: impl FnOnce(&DeValue<'t>) -> Result<T, String>,
    ) -> Option<T> {
        if !self.table.contains_key(key) {
            self.known.push(Cow::Borrowed(key));
            self.fault(Some(self.line), key, "missing".to_owned(), example);
            return None;
        }
        self.take(key, example, convert)
    }

    /// Takes the table at `key`; an absent one reads as an empty section.
    pub(crate) fn section(&mut self, key: &'static str) -> Section<'t, 'r> {
        let name = self.name(key);
        let table = self
            .take_table(key)
            .unwrap_or_else(|| Spanned::new(0..0, DeTable::new()));
        Section::new(self.report, &self.path, &name, table)
    }

    /// Takes the array of tables at `key`.
    pub(crate) fn sections(&mut self, key: &'static str) -> Vec<Section<'t, 'r>> {
        let Some(value) = self.take_raw(key) else {
            return Vec::new();
        };
        let line = self.report.line_of(value.span().start);
        let DeValue::Array(items) = value.into_inner() else {
            let example = format!("[[{key}]]");
            self.fault(
                Some(line),
                key,
                "must be an array of tables".to_owned(),
                &example,
            );
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, item) in items.into_iter().enumerate() {
            let span = item.span();
            let name = format!("{}[{index}]", self.name(key));
            let DeValue::Table(table) = item.into_inner() else {
                let line = self.report.line_of(span.start);
                let example = format!("[[{key}]]");
                self.fault(
                    Some(line),
                    key,
                    "must be an array of tables".to_owned(),
                    &example,
                );
                continue;
            };
            let table = Spanned::new(span, table);
            sections.push(Section::new(self.report, &self.path, &name, table));
        }
        sections
    }

    /// Whether `key` stands in the section and was not taken yet.
    pub(crate) fn holds(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Names a key of another section, so that one who looks for it here is shown the way.
    pub(crate) fn known_elsewhere(&mut self, key: String) {
        self.known.push(Cow::Owned(key));
    }

    /// Reports each table that is left and whose name is close to no known key, as `explain` says.
    pub(crate) fn reject_tables(&mut self, explain: impl Fn(&str) -> (String, String)) {
        let known: Vec<_> = self.known.iter().map(Cow::as_ref).collect();
        let foreign = self.table.iter().filter(|(key, value)| {
            matches!(value.get_ref(), DeValue::Table(_))
                && nearest(key.get_ref(), known.clone()).is_none()
        });
        let foreign: Vec<_> = foreign
            .map(|(key, _)| (key.get_ref().as_ref().to_owned(), key.span().start))
            .collect();
        for (name, offset) in foreign {
            self.table.remove(name.as_str());
            let (reason, example) = explain(&name);
            self.fault(Some(self.report.line_of(offset)), &name, reason, &example);
        }
    }

    /// Ends the section: whatever was not taken is an unknown key.
    pub(crate) fn finish(self) {
        for key in self.table.keys() {
            let line = self.report.line_of(key.span().start);
            let name = key.get_ref().as_ref();
            let (reason, example) = unknown_key(name, self.known.iter().map(Cow::as_ref));
            self.fault(Some(line), name, reason, &example);
        }
    }

    /// Reports a fault of this section.
    pub(crate) fn fault(&self, line: Option<u32>, key: &str, reason: String, example: &str) {
        self.report.add(Problem {
            line,
            path: self.path.clone(),
            key: self.name(key),
            reason,
            example: example.to_owned(),
        });
    }

    /// The line the section starts on.
    pub(crate) fn line(&self) -> u32 {
        self.line
    }

    fn take_table(&mut self, key: &'static str) -> Option<Spanned<DeTable<'t>>> {
        let value = self.take_raw(key)?;
        let span = value.span();
        match value.into_inner() {
            DeValue::Table(table) => Some(Spanned::new(span, table)),
            _ => {
                let line = self.report.line_of(span.start);
                self.fault(
                    Some(line),
                    key,
                    "must be a table".to_owned(),
                    &format!("[{key}]"),
                );
                None
            }
        }
    }

    fn name(&self, key: &str) -> String {
        if self.prefix.is_empty() {
            return key.to_owned();
        }
        format!("{}.{key}", self.prefix)
    }
}

/// Reason and example for a key that is not among `known`.
pub(crate) fn unknown_key<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str> + Clone,
) -> (String, String) {
    match nearest(name, known.clone()) {
        Some(meant) => (
            format!("unknown key; did you mean `{meant}`?"),
            meant.to_owned(),
        ),
        None => {
            let all = known.into_iter().collect::<Vec<_>>().join(", ");
            ("unknown key".to_owned(), format!("one of {all}"))
        }
    }
}

/// Reads a string.
pub(crate) fn string(value: &DeValue<'_>) -> Result<String, String> {
    match value {
        DeValue::String(text) => Ok(text.as_ref().to_owned()),
        other => Err(expected("a string", other)),
    }
}

/// Reads a whole number that is not negative.
pub(crate) fn integer(value: &DeValue<'_>) -> Result<u64, String> {
    let DeValue::Integer(number) = value else {
        return Err(expected("a whole number", value));
    };
    u64::from_str_radix(number.as_str(), number.radix())
        .map_err(|_| format!("`{number}` is not a whole number of 0 or more"))
}

/// Reads a whole number within `least..=most`.
pub(crate) fn integer_within(value: &DeValue<'_>, least: u64, most: u64) -> Result<u64, String> {
    let number = integer(value)?;
    if number < least || number > most {
        return Err(format!("{number} is not within {least} to {most}"));
    }
    Ok(number)
}

/// Reads an array, each item by `convert`.
pub(crate) fn list<T>(
    value: &DeValue<'_>,
    convert: impl Fn(&DeValue<'_>) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    let DeValue::Array(items) = value else {
        return Err(expected("an array", value));
    };
    items.iter().map(|item| convert(item.get_ref())).collect()
}

/// The reason for a value of the wrong type.
pub(crate) fn expected(wanted: &str, found: &DeValue<'_>) -> String {
    format!("must be {wanted}, not {}", type_name(found))
}

fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a fraction",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}
