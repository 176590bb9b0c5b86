//! Configuration of property tests. The tests of other crates include this file.

use proptest::test_runner::{Config, RngSeed};

/// Value of an environment variable, or `default` if it is not set.
fn env_or_default(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|error| panic!("{name}={text}: {error}")),
        Err(_) => default,
    }
}

/// Runs `cases` cases from a fixed seed, unless `AGATEDECK_PROPTEST_CASES` and
/// `AGATEDECK_PROPTEST_SEED` state others. Failed cases are not written to a file.
pub(crate) fn property_config(cases: u32, seed: u64) -> Config {
    let cases = env_or_default("AGATEDECK_PROPTEST_CASES", cases.into());
    Config {
        cases: u32::try_from(cases).expect("the number of cases fits 32 bits"),
        rng_seed: RngSeed::Fixed(env_or_default("AGATEDECK_PROPTEST_SEED", seed)),
        failure_persistence: None,
        ..Config::default()
    }
}
