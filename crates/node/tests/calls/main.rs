//! Calls through a mesh in one process.

mod faults;
mod large_bodies;
mod support;

use support::Told;

fn assert_told(told: &Told, status: u16, outcome: &str, reason: &str) {
    let seen = (told.status, told.outcome.as_str(), told.reason.as_str());
    assert_eq!(seen, (status, outcome, reason), "{told:?}");
}
