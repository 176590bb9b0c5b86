//! Validates every chart file of the Cargo workspace, including those that no test of their own
//! crate loads.

use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use agatedeck_chart::TransitionTable;

/// Parses from any name of up to 32 bytes. The validation rules do not depend on the types of the
/// crate that uses the chart.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AnyName([u8; 32]);

impl FromStr for AnyName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut name = [0; 32];
        let buffer = name
            .get_mut(..text.len())
            .ok_or("the name has more than 32 bytes")?;
        buffer.copy_from_slice(text.as_bytes());
        Ok(Self(name))
    }
}

fn chart_files() -> Vec<PathBuf> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let folders = fs::read_dir(crates).unwrap();
    let folders = folders.map(|entry| entry.unwrap().path().join("charts"));
    let entries = folders
        .filter_map(|folder| fs::read_dir(folder).ok())
        .flatten();
    let files = entries.map(|entry| entry.unwrap().path());
    files
        .filter(|file| {
            file.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect()
}

#[test]
fn every_chart_file_is_valid() {
    let files = chart_files();
    let mut failures = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).unwrap();
        let name = file.file_stem().unwrap().to_str().unwrap();
        match TransitionTable::<AnyName, AnyName, AnyName>::parse(&text) {
            Ok(chart) if chart.name() == name => {}
            Ok(chart) => failures.push(format!("{name}: the chart is named {}", chart.name())),
            Err(error) => failures.push(format!("{name}: {error}")),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    let found = |name: &str| files.iter().any(|file| file.ends_with(name));
    let expected = [
        "activation",
        "call",
        "claim",
        "commit",
        "connection",
        "join",
        "member",
        "pull",
        "rate_limit",
        "reader",
        "target",
    ];
    for name in expected {
        assert!(
            found(&format!("{name}.toml")),
            "chart file {name}.toml was not found"
        );
    }
}
