//! Guards against a chart file of the workspace that breaks a rule, also one that no test of its own
//! crate loads.

use std::fs;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use agatedeck_chart::ChartTable;

/// Any name, since the rules do not depend on the types of the crate that uses the chart.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AnyName([u8; 32]);

impl FromStr for AnyName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut name = [0; 32];
        let place = name.get_mut(..text.len()).ok_or("the name is too long")?;
        place.copy_from_slice(text.as_bytes());
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
        .filter(|file| file.extension().is_some_and(|kind| kind == "toml"))
        .collect()
}

#[test]
fn every_chart_file_is_sound() {
    let files = chart_files();
    let mut faults = Vec::new();
    for file in &files {
        let text = fs::read_to_string(file).unwrap();
        let name = file.file_stem().unwrap().to_str().unwrap();
        match ChartTable::<AnyName, AnyName, AnyName>::parse(&text) {
            Ok(chart) if chart.name() == name => {}
            Ok(chart) => faults.push(format!("{name}: the chart is named {}", chart.name())),
            Err(error) => faults.push(format!("{name}: {error}")),
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let found = |name: &str| files.iter().any(|file| file.ends_with(name));
    let known = [
        "acceptance",
        "call",
        "claim",
        "join",
        "connection",
        "member",
        "stage",
        "target",
    ];
    for name in known {
        assert!(found(&format!("{name}.toml")), "chart {name} was not found");
    }
}
