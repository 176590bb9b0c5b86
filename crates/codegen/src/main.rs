//! Regenerates the message types in `crates/wire/src/generated`.

use miette::Result;

fn main() -> Result<()> {
    agatedeck_codegen::generate(&agatedeck_codegen::wire_crate_dir().join("src/generated"))
}
