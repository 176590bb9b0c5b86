//! Guards against a change of the `.proto` file without the regenerated types.

use std::fs;

use agatedeck_codegen::{GENERATED_FILE, generate, wire_crate_dir};

#[test]
fn committed_types_match_the_proto_file() {
    let dir = tempfile::tempdir().expect("a temporary directory is created");
    generate(dir.path()).expect("the proto file compiles");
    let fresh =
        fs::read_to_string(dir.path().join(GENERATED_FILE)).expect("the generated file is read");
    let committed = wire_crate_dir().join("src/generated").join(GENERATED_FILE);
    let committed = fs::read_to_string(committed).expect("the committed file is read");
    assert_eq!(fresh, committed, "run `cargo run -p agatedeck-codegen`");
}
