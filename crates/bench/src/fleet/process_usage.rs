//! CPU time and memory of a process, as the kernel reports them.

use miette::{IntoDiagnostic, Result, WrapErr, miette};
use serde::Serialize;

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds; the same on every Linux platform.
const CLOCK_TICK_MS: u64 = 10;

/// Position of the user time among the fields that follow the program's name.
const USER_TIME_FIELD_INDEX: usize = 11;

/// CPU time and memory used by one process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct ProcessUsage {
    /// User and system time since the start, in milliseconds.
    pub(crate) cpu_ms: u64,
    /// Resident memory in KiB.
    pub(crate) resident_kib: u64,
    /// Resident memory that is not backed by files, in KiB. Programs share the rest.
    pub(crate) anonymous_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process `pid`.
    pub(crate) fn read(pid: u32) -> Result<Self> {
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
        let ticks =
            parse_cpu_ticks(&stat).ok_or_else(|| miette!("{proc_dir}/stat has another form"))?;
        let kib = |key| {
            parse_kib(&status, key).ok_or_else(|| miette!("{proc_dir}/status has no `{key}`"))
        };
        Ok(Self {
            cpu_ms: ticks * CLOCK_TICK_MS,
            resident_kib: kib("VmRSS:")?,
            anonymous_kib: kib("RssAnon:")?,
        })
    }
}

fn parse_cpu_ticks(stat: &str) -> Option<u64> {
    // The program's name is in brackets and may contain blanks.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut times = fields.split(' ').skip(USER_TIME_FIELD_INDEX);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}

fn parse_kib(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    line.trim().strip_suffix("kB")?.trim().parse().ok()
}
