//! Watches whether the host of a peer still acknowledges.
//!
//! A host that is lost or cut off answers no connection attempt. One whose process is suspended, or does not
//! read, answers them in its kernel, so that work which is in progress there is not given up.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Pause between two checks. Together with the unanswered ones, a lost host is noticed after about as
/// long as without an acknowledgement on a connection (`CallSettings::user_timeout`).
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Time that a host has to answer a check. Many times the round trip between regions.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Checks in a row without an answer after which a host counts as lost. A single packet may be lost.
const MAX_UNANSWERED_CHECKS: u32 = 3;

/// Waits until the host at `address` no longer answers.
pub(super) async fn wait_until_lost(address: SocketAddr) {
    loop {
        sleep_until(Instant::now() + CHECK_PERIOD).await;
        if !answers_some_check(address).await {
            return;
        }
    }
}

async fn answers_some_check(address: SocketAddr) -> bool {
    for _ in 0..MAX_UNANSWERED_CHECKS {
        let deadline = Instant::now() + CHECK_TIMEOUT;
        // A refusal is an answer of the host.
        if timeout_at(deadline, TcpStream::connect(address))
            .await
            .is_ok()
        {
            return true;
        }
    }
    false
}
