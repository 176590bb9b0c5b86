//! The form in which messages of the control protocol are sent.

use std::time::{Duration, Instant};

use agatedeck_wire::{ControlPlaneRequest, FloorRecord, WireMessage};
use tarpc::{ClientMessage, Request, context};

type Message = ClientMessage<ControlPlaneRequest>;

fn record() -> ControlPlaneRequest {
    ControlPlaneRequest::RecordFloor {
        record: FloorRecord {
            node: "node-17".to_owned(),
            version: 300,
        },
    }
}

fn request(remaining: Duration) -> Message {
    let mut context = context::current();
    context.deadline = Instant::now() + remaining;
    ClientMessage::Request(Request {
        context,
        id: 70_000,
        message: record(),
    })
}

/// Fails when a request arrives with another number, body or time than it was sent with.
#[test]
fn requests_come_back_as_sent() {
    let bytes = request(Duration::from_millis(200)).encode().unwrap();
    let ClientMessage::Request(read) = Message::decode(&bytes).unwrap() else {
        panic!("a request came back as something else");
    };
    assert_eq!(read.id, 70_000);
    assert_eq!(format!("{:?}", read.message), format!("{:?}", record()));
    let remaining = read
        .context
        .deadline
        .saturating_duration_since(Instant::now());
    assert!(remaining <= Duration::from_millis(200), "{remaining:?}");
    assert!(remaining > Duration::from_millis(100), "{remaining:?}");
}

/// Fails when a cancelled request goes on at its receiver.
#[test]
fn cancellations_come_back_as_sent() {
    let cancel: Message = ClientMessage::Cancel {
        trace_context: context::current().trace_context,
        request_id: 9,
    };
    let read = Message::decode(&cancel.encode().unwrap()).unwrap();
    assert!(matches!(read, ClientMessage::Cancel { request_id: 9, .. }));
}

/// Fails when the envelope of a request grows, which every probe and every change pays for at each
/// node.
#[test]
fn the_envelope_is_small() {
    let bytes = request(Duration::from_millis(200)).encode().unwrap();
    let body = "node-17".len() + 1 + 2;
    assert!(bytes.len() <= body + 8, "{} bytes", bytes.len());
}

/// Guards against a peer that ends the process with a time beyond the range of the clock, or with
/// bytes that are no message.
#[test]
fn bad_messages_are_refused_or_bounded() {
    let forever = request(Duration::from_secs(u64::from(u32::MAX)));
    let read = Message::decode(&forever.encode().unwrap()).unwrap();
    assert!(matches!(read, ClientMessage::Request(_)));
    // The greatest number where the remaining time stands: variant, number of the request, time.
    let mut bytes = vec![0, 1];
    bytes.extend([0xff; 9]);
    bytes.push(1);
    let sent = request(Duration::ZERO).encode().unwrap();
    // The body follows the variant, the number in three bytes and the time in one.
    bytes.extend(&sent[5..]);
    assert!(Message::decode(&bytes).is_ok());
    assert!(Message::decode(&[7, 7, 7]).is_err());
    assert!(Message::decode(&[]).is_err());
}
