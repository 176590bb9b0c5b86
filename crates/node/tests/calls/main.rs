//! Calls through a mesh of nodes and targets in one process.

mod faults;
mod large_bodies;
mod placement;
mod support;

use support::ReceivedAnswer;

fn assert_answer(answer: &ReceivedAnswer, status: u16, outcome: &str, reason: &str) {
    let actual = (
        answer.status,
        answer.outcome.as_str(),
        answer.reason.as_str(),
    );
    assert_eq!(actual, (status, outcome, reason), "{answer:?}");
}
