//! Reads TOML tables key by key and reports every error with its position.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::{Range, RangeInclusive};
use std::str::FromStr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::diagnostic::{DiagnosticList, SourceDiagnostic};

/// A TOML document and the diagnostics collected while it is read.
#[derive(Debug)]
pub struct TomlDocument<'a> {
    file: &'a str,
    text: &'a str,
    root: Spanned<DeTable<'a>>,
    diagnostics: RefCell<DiagnosticList>,
}

impl<'a> TomlDocument<'a> {
    /// Parses `text`; `file` is the name used in diagnostics. Syntax errors become diagnostics.
    pub fn parse(file: &'a str, text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let document = Self {
            file,
            text,
            root,
            diagnostics: RefCell::default(),
        };
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            document.report(&span, error.message());
        }
        document
    }

    /// Returns a reader of the root table.
    pub fn root(&self) -> TableReader<'_> {
        TableReader {
            document: self,
            table: self.root.get_ref(),
            span: self.root.span(),
            read_keys: BTreeSet::new(),
        }
    }

    /// Adds a diagnostic at the start of `span`, a byte range of the text.
    pub fn report(&self, span: &Range<usize>, message: impl Into<String>) {
        let (line, column) = self.position(span.start);
        let file = self.file.to_owned();
        self.diagnostics.borrow_mut().push(SourceDiagnostic {
            file,
            line,
            column,
            message: message.into(),
        });
    }

    /// Finishes reading.
    ///
    /// # Errors
    ///
    /// Returns all diagnostics if there are any.
    pub fn finish(self) -> Result<(), DiagnosticList> {
        let diagnostics = self.diagnostics.into_inner();
        if diagnostics.is_empty() {
            Ok(())
        } else {
            Err(diagnostics)
        }
    }

    fn position(&self, byte_offset: usize) -> (usize, usize) {
        let before = self.text.get(..byte_offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.matches('\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }
}

/// Reads the keys of one table. [`TableReader::finish`] reports the other keys as unknown.
#[derive(Debug)]
pub struct TableReader<'a> {
    document: &'a TomlDocument<'a>,
    table: &'a DeTable<'a>,
    span: Range<usize>,
    read_keys: BTreeSet<String>,
}

impl<'a> TableReader<'a> {
    /// Returns the span of the table in the text, in bytes.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Returns the line and column at which the value of `key` starts, both counted from 1, or
    /// those of the table if the key is absent.
    pub fn position_of(&self, key: &str) -> (usize, usize) {
        self.document.position(self.span_of(key).start)
    }

    /// Returns the span of the value of `key`, in bytes, or of the table if the key is absent.
    pub fn span_of(&self, key: &str) -> Range<usize> {
        self.table
            .get(key)
            .map_or_else(|| self.span(), Spanned::span)
    }

    /// Adds a diagnostic at the value of `key`, or at the table if the key is absent.
    pub fn report(&self, key: &str, message: impl Into<String>) {
        self.document.report(&self.span_of(key), message);
    }

    /// Whether the table has `key`.
    pub fn contains_key(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    fn read_value(&mut self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.read_keys.insert(key.to_owned());
        self.table.get(key)
    }

    fn report_wrong_type(&self, key: &str, expected: &str) {
        self.report(key, format!("`{key}` must be {expected}"));
    }

    /// Adds a diagnostic that `key` is missing.
    pub fn report_missing(&self, key: &str) {
        self.document
            .report(&self.span, format!("`{key}` is missing"));
    }

    /// Reads the optional string at `key`.
    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        let value = self.read_value(key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.report_wrong_type(key, "a string");
        }
        text
    }

    /// Reads the required, non-empty string at `key`.
    pub fn required_text(&mut self, key: &str) -> Option<&'a str> {
        if !self.contains_key(key) {
            self.report_missing(key);
            return None;
        }
        let text = self.text(key)?;
        if text.is_empty() {
            self.report(key, format!("`{key}` must not be empty"));
            return None;
        }
        Some(text)
    }

    /// Reads the optional string at `key` and parses it as `T`; `expected` describes the format in
    /// the diagnostic.
    pub fn parsed_text<T: FromStr>(&mut self, key: &str, expected: &str) -> Option<T> {
        let text = self.text(key)?;
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.report(key, format!("`{key}` must be {expected}, not `{text}`"));
        }
        parsed
    }

    /// Reads the optional integer at `key`, which must be in `range`.
    pub fn integer(&mut self, key: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.read_value(key)?;
        let number = value
            .get_ref()
            .as_integer()
            .and_then(|integer| u64::from_str_radix(integer.as_str(), integer.radix()).ok());
        let valid = number.filter(|number| range.contains(number));
        if valid.is_none() {
            let (low, high) = (range.start(), range.end());
            self.report(
                key,
                format!("`{key}` must be a whole number from {low} to {high}"),
            );
        }
        valid
    }

    /// Reads the optional boolean at `key`.
    pub fn boolean(&mut self, key: &str) -> Option<bool> {
        let value = self.read_value(key)?;
        let boolean = value.get_ref().as_bool();
        if boolean.is_none() {
            self.report_wrong_type(key, "true or false");
        }
        boolean
    }

    /// Reads the array of strings at `key`; empty if the key is absent.
    pub fn text_array(&mut self, key: &str) -> Vec<&'a str> {
        let Some(value) = self.read_value(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.report_wrong_type(key, "an array of strings");
            return Vec::new();
        };
        let texts: Vec<&str> = array
            .iter()
            .filter_map(|item| item.get_ref().as_str())
            .collect();
        if texts.len() != array.len() {
            self.report_wrong_type(key, "an array of strings");
        }
        texts
    }

    /// Returns a reader of the optional table at `key`.
    pub fn table(&mut self, key: &str) -> Option<TableReader<'a>> {
        let value = self.read_value(key)?;
        let table = self.table_reader(value);
        if table.is_none() {
            self.report_wrong_type(key, "a table");
        }
        table
    }

    /// Returns readers of the array of tables at `key`; empty if the key is absent.
    pub fn tables(&mut self, key: &str) -> Vec<TableReader<'a>> {
        let Some(value) = self.read_value(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.report_wrong_type(key, "an array of tables");
            return Vec::new();
        };
        let tables: Vec<_> = array
            .iter()
            .filter_map(|item| self.table_reader(item))
            .collect();
        if tables.len() != array.len() {
            self.report_wrong_type(key, "an array of tables");
        }
        tables
    }

    fn table_reader(&self, value: &'a Spanned<DeValue<'a>>) -> Option<TableReader<'a>> {
        let table = value.get_ref().as_table()?;
        let (document, span) = (self.document, value.span());
        Some(TableReader {
            document,
            table,
            span,
            read_keys: BTreeSet::new(),
        })
    }

    /// Finishes reading the table. Every key that was not read is reported as an unknown key.
    pub fn finish(self) {
        for key in self.table.keys() {
            if !self.read_keys.contains(key.get_ref().as_ref()) {
                let message = format!("unknown key `{}`", key.get_ref());
                self.document.report(&key.span(), message);
            }
        }
    }
}
