//! JSON lines as results come in, and a table at the end.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use miette::{IntoDiagnostic, Result, WrapErr};
use serde::Serialize;
use serde_json::{Value, json};

/// Takes the JSON lines of a report.
trait LineSink {
    fn write_line(&mut self, line: &str) -> Result<()>;
}

struct StdoutSink;

impl LineSink for StdoutSink {
    fn write_line(&mut self, line: &str) -> Result<()> {
        writeln!(std::io::stdout().lock(), "{line}").into_diagnostic()
    }
}

impl LineSink for File {
    fn write_line(&mut self, line: &str) -> Result<()> {
        writeln!(self, "{line}").into_diagnostic()
    }
}

/// The output of one measurement.
pub(crate) struct BenchReport {
    bench: &'static str,
    sinks: Vec<Box<dyn LineSink>>,
    tables: Vec<(String, Vec<Vec<String>>)>,
}

impl BenchReport {
    /// Starts a report with a line of the parameters. `out` is a folder for a copy of the lines.
    pub(crate) fn start(
        bench: &'static str,
        directory: Option<&Path>,
        parameters: &impl Serialize,
    ) -> Result<Self> {
        let mut sinks: Vec<Box<dyn LineSink>> = vec![Box::new(StdoutSink)];
        if let Some(directory) = directory {
            std::fs::create_dir_all(directory).into_diagnostic()?;
            let file = directory.join(format!("{bench}.jsonl"));
            let sink = File::create(&file)
                .into_diagnostic()
                .wrap_err_with(|| format!("cannot write {}", file.display()))?;
            sinks.push(Box::new(sink));
        }
        let mut report = Self {
            bench,
            sinks,
            tables: Vec::new(),
        };
        let cores = std::thread::available_parallelism().map_or(0, usize::from);
        let optimised = !cfg!(debug_assertions);
        let parameters = json!({
            "parameters": parameters, "cores": cores, "optimised": optimised,
        });
        report.write_record("parameters", &parameters)?;
        Ok(report)
    }

    /// Writes one line. Each carries the load average, which tells whether the machine was busy.
    pub(crate) fn write_record(&mut self, kind: &str, value: &impl Serialize) -> Result<()> {
        let mut line = json!({
            "bench": self.bench, "kind": kind, "load_average": load_average(),
        });
        let value = serde_json::to_value(value).into_diagnostic()?;
        if let (Value::Object(line), Value::Object(value)) = (&mut line, value) {
            line.extend(value);
        }
        let line = line.to_string();
        for sink in &mut self.sinks {
            sink.write_line(&line)?;
        }
        Ok(())
    }

    /// Adds a row to the table `title`, which is printed at the end. The first row is its head.
    pub(crate) fn add_row(&mut self, title: &str, header: &[&str], cells: Vec<String>) {
        let position = self.tables.iter().position(|(name, _)| name == title);
        let index = position.unwrap_or_else(|| {
            let header = header.iter().map(ToString::to_string).collect();
            self.tables.push((title.to_owned(), vec![header]));
            self.tables.len() - 1
        });
        self.tables[index].1.push(cells);
    }

    /// Prints the tables.
    pub(crate) fn print_tables(self) -> Result<()> {
        let mut out = std::io::stdout().lock();
        for (title, rows) in &self.tables {
            writeln!(out, "\n{title}").into_diagnostic()?;
            let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
            let width = |column: usize| {
                let cells = rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            };
            let widths: Vec<usize> = (0..columns).map(width).collect();
            for row in rows {
                let cells = row.iter().zip(&widths);
                let cells: Vec<String> = cells
                    .map(|(cell, width)| format!("{cell:>width$}"))
                    .collect();
                writeln!(out, "{}", cells.join("  ")).into_diagnostic()?;
            }
        }
        Ok(())
    }
}

/// Load average of the last minute; not known where the machine does not tell it.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}
