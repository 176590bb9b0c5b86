//! Checks the positions of diagnostics, and that the reader reports all errors in one run.

use agatedeck_findings::TomlDocument;
use yare::parameterized;

fn diagnostics_of(text: &str) -> Vec<String> {
    let document = TomlDocument::parse("f.toml", text);
    let mut root = document.root();
    root.text("text");
    root.integer("number", 1..=9);
    root.boolean("flag");
    root.text_array("list");
    root.parsed_text::<std::net::IpAddr>("address", "an IP address");
    if let Some(mut table) = root.table("table") {
        table.required_text("name");
        table.finish();
    }
    for mut item in root.tables("item") {
        item.required_text("name");
        item.finish();
    }
    root.finish();
    let diagnostics = document.finish().err().unwrap_or_default();
    let sorted = diagnostics.sorted();
    sorted.into_iter().map(ToString::to_string).collect()
}

#[parameterized(
    valid = { "text = \"a\"\nnumber = 3\nflag = true\nlist = [\"x\"]\naddress = \"::1\"\n", &[] },
    text = { "text = 1", &["f.toml:1:8: `text` must be a string"] },
    range = { "\nnumber = 10", &["f.toml:2:10: `number` must be a whole number from 1 to 9"] },
    negative = { "number = -1", &["f.toml:1:10: `number` must be a whole number from 1 to 9"] },
    flag = { "flag = 0", &["f.toml:1:8: `flag` must be true or false"] },
    list = { "list = [\"a\", 2]", &["f.toml:1:8: `list` must be an array of strings"] },
    parsed = { "address = \"x\"", &["f.toml:1:11: `address` must be an IP address, not `x`"] },
    table = { "table = 1", &["f.toml:1:9: `table` must be a table"] },
    tables = { "item = [1]", &["f.toml:1:8: `item` must be an array of tables"] },
    missing = { "flag = true\n[table]\n", &["f.toml:2:1: `name` is missing"] },
    empty = { "[table]\nname = \"\"", &["f.toml:2:8: `name` must not be empty"] },
    nested_unknown = { "[[item]]\nname = \"a\"\nnmae = 1", &["f.toml:3:1: unknown key `nmae`"] },
    unknown_after_umlaut = { "text = \"ä\"\n\"ü\" = 1", &["f.toml:2:1: unknown key `ü`"] },
    column_in_characters = { "table = { name = \"äö\", x = 1 }", &["f.toml:1:24: unknown key `x`"] },
)]
fn each_error_has_its_position(text: &str, expected: &[&str]) {
    assert_eq!(diagnostics_of(text), expected);
}

/// Guards against a reader that stops at the first error, or sorts line 10 before line 9.
#[test]
fn all_errors_are_sorted_by_position() {
    let text = "flag = 1\n\n\n\n\n\n\n\ntext = 2\nnumber = 99\n";
    let positions: Vec<String> = diagnostics_of(text)
        .iter()
        .map(|diagnostic| diagnostic.split(": ").next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(positions, ["f.toml:1:8", "f.toml:9:8", "f.toml:10:10"]);
}

/// Guards against a syntax error that suppresses the diagnostics of the rest of the file.
#[test]
fn syntax_errors_are_diagnostics() {
    let diagnostics = diagnostics_of("flag = tru\nnumber = 99\n");
    assert!(
        diagnostics[0].starts_with("f.toml:1:8: "),
        "{diagnostics:?}"
    );
    assert!(
        diagnostics
            .iter()
            .any(|diagnostic| diagnostic.starts_with("f.toml:2:10: ")),
        "{diagnostics:?}"
    );
}
