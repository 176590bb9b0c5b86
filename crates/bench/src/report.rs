//! Benchmark output: JSON lines while results come in, and tables at the end.

use std::fs::File;
use std::io::Write;
use std::path::Path;

use miette::{IntoDiagnostic, Result, WrapErr};
use serde::Serialize;
use serde_json::{Value, json};

/// Destination of the JSON lines of a report.
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

/// Output of one benchmark.
pub(crate) struct BenchReport {
    bench: &'static str,
    sinks: Vec<Box<dyn LineSink>>,
    /// Title and rows of each table; the first row is the header.
    tables: Vec<(String, Vec<Vec<String>>)>,
}

impl BenchReport {
    /// Starts a report with a `parameters` line. If `directory` is given, the lines are also
    /// written to a file named after the benchmark there.
    ///
    /// # Errors
    ///
    /// Fails if the directory or the file cannot be created, or a line cannot be written.
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
                .wrap_err_with(|| format!("cannot create {}", file.display()))?;
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

    /// Writes one JSON line. Each line includes the load average, which shows whether the host
    /// was busy.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be serialised or the line cannot be written.
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

    /// Adds a row to the table `title`, which is created with `header` on first use.
    pub(crate) fn add_row(&mut self, title: &str, header: &[&str], cells: Vec<String>) {
        let position = self.tables.iter().position(|(name, _)| name == title);
        let index = position.unwrap_or_else(|| {
            let header = header.iter().map(ToString::to_string).collect();
            self.tables.push((title.to_owned(), vec![header]));
            self.tables.len() - 1
        });
        self.tables[index].1.push(cells);
    }

    /// Prints all tables to standard output.
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

/// Load average of the last minute; `None` if `/proc/loadavg` cannot be read.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}
