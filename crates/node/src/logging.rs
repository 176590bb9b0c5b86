//! Logging as JSON lines on standard output.

use std::io::Write;

use derive_more::{Display, Error};
use log::kv::{Error as FieldError, Key, Value as FieldValue, VisitSource};
use log::{Level, LevelFilter};
use serde_json::{Map, Value};

use crate::clock::unix_us;
use crate::log_output::LogOutput;

/// Prefix of the modules to which the level of the settings applies. Of other modules, only
/// warnings and errors are written.
const OWN_MODULE_PREFIX: &str = "agatedeck";

/// A logger is already set in this process.
#[derive(Debug, Display, Error)]
#[display("cannot start logging: {_0}")]
pub struct LogError(log::SetLoggerError);

/// Sets the logger of the process, which writes to standard output and leaves lines out rather than wait
/// for its reader. `node` is added to each line.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn start_logging(node: &str, level: LevelFilter) -> Result<(), LogError> {
    let output: Box<dyn Write + Send> = Box::new(LogOutput::new(node));
    let node = node.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_us = unix_us();
            let mut line = Map::new();
            // `FieldCollector` never returns an error.
            let _ = record.key_values().visit(&mut FieldCollector(&mut line));
            line.extend([
                ("unix_ms".to_owned(), Value::from(unix_us / 1_000)),
                ("unix_us".to_owned(), Value::from(unix_us)),
                ("level".to_owned(), Value::from(record.level().as_str())),
                ("node".to_owned(), Value::from(node.as_str())),
                ("module".to_owned(), Value::from(record.target())),
                ("message".to_owned(), Value::from(message.to_string())),
            ]);
            out.finish(format_args!("{}", Value::Object(line)));
        })
        .level(level.max(LevelFilter::Warn))
        .filter(move |metadata| {
            let is_own_module = metadata.target().starts_with(OWN_MODULE_PREFIX);
            is_own_module && metadata.level() <= level || metadata.level() <= Level::Warn
        })
        .chain(output)
        .apply()
        .map_err(LogError)
}

/// Copies the fields of a log line, such as `event`, into its JSON object.
struct FieldCollector<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: FieldValue<'kvs>) -> Result<(), FieldError> {
        self.0.insert(key.as_str().to_owned(), json_value(&value));
        Ok(())
    }
}

/// Numbers and booleans are written as such, anything else as text.
fn json_value(value: &FieldValue<'_>) -> Value {
    let integer = value.to_u64().map(Value::from);
    integer
        .or_else(|| value.to_i64().map(Value::from))
        .or_else(|| value.to_f64().map(Value::from))
        .or_else(|| value.to_bool().map(Value::from))
        .unwrap_or_else(|| Value::from(value.to_string()))
}
