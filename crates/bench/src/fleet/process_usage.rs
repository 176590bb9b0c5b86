//! CPU time and memory of a process, read from `/proc`.

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde::Serialize;

/// Duration of a clock tick in `/proc/PID/stat`, in milliseconds; the same on every Linux platform.
const CLOCK_TICK_MS: u64 = 10;

/// Index of `utime` among the fields of `/proc/PID/stat` that follow the program name.
const USER_TIME_FIELD_INDEX: usize = 11;

/// CPU time and memory used by one process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct ProcessUsage {
    /// User and system time since the start, in milliseconds.
    pub(crate) cpu_ms: u64,
    /// Resident memory in KiB.
    pub(crate) resident_kib: u64,
    /// Resident anonymous memory in KiB. The rest is backed by files and may be shared between
    /// processes.
    pub(crate) anonymous_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
    ///
    /// # Errors
    ///
    /// Fails if the process does not exist or a file in `/proc` cannot be parsed.
    pub(crate) fn of_process(pid: u32) -> Result<Self> {
        Self::read_from(&format!("/proc/{pid}"))
    }

    /// Reads the usage of this process.
    pub(crate) fn of_current_process() -> Result<Self> {
        Self::read_from("/proc/self")
    }

    fn read_from(proc_dir: &str) -> Result<Self> {
        let read = |name: &str| {
            let file = format!("{proc_dir}/{name}");
            let text = std::fs::read_to_string(&file).into_diagnostic();
            text.wrap_err_with(|| format!("cannot read {file}"))
        };
        let (stat, status) = (read("stat")?, read("status")?);
        let ticks = parse_cpu_ticks(&stat)
            .ok_or_else(|| miette!("cannot parse the CPU times in {proc_dir}/stat"))?;
        let kib = |key| {
            parse_kib(&status, key)
                .ok_or_else(|| miette!("{proc_dir}/status has no valid field `{key}`"))
        };
        Ok(Self {
            cpu_ms: ticks * CLOCK_TICK_MS,
            resident_kib: kib("VmRSS:")?,
            anonymous_kib: kib("RssAnon:")?,
        })
    }
}

/// Parses user plus system time, in clock ticks.
fn parse_cpu_ticks(stat: &str) -> Option<u64> {
    // The program name is in parentheses and may contain spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD_INDEX);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}

/// Parses the value of the field `key`, in KiB.
fn parse_kib(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}
