//! Finds the requests in the bytes that arrive on a connection.

use axum::http::{HeaderName, HeaderValue, Method, Request, Uri, Version, header};
use bytes::{Buf, BytesMut};

/// Maximum number of headers of a request that is recognized.
const MAX_HEADERS: usize = 100;

/// A request whose head has arrived.
#[derive(Debug)]
pub(crate) struct ScannedRequest {
    /// The head; `None` if the request has a body, or is one that only the HTTP server can judge.
    pub(crate) head: Option<Request<()>>,
}

#[derive(Debug)]
enum ScanState {
    /// Within a head or between two requests.
    Head,
    /// Within a body with this number of bytes left.
    Body { left: u64 },
    /// The boundaries of further requests are not known.
    Opaque,
}

/// What follows a head.
enum HeadEnd {
    Body(u64),
    Unknown,
}

/// Scans the bytes of a connection in the order in which they arrive.
#[derive(Debug)]
pub(crate) struct HeadScanner {
    state: ScanState,
    /// Bytes of a head that is not complete.
    partial: BytesMut,
    max_head_bytes: usize,
    /// Whether a request has arrived whose answer closes the connection, so that none behind it is served.
    is_last_arrived: bool,
}

impl HeadScanner {
    /// Creates a scanner that gives up at heads of more than `max_head_bytes`.
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            state: ScanState::Head,
            partial: BytesMut::new(),
            max_head_bytes,
            is_last_arrived: false,
        }
    }

    /// Whether the next byte does not belong to a body.
    pub(crate) fn is_outside_body(&self) -> bool {
        matches!(self.state, ScanState::Head)
    }

    /// Returns the requests whose heads end in `bytes`.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) -> Vec<ScannedRequest> {
        let mut requests = Vec::new();
        if let ScanState::Body { left } = &mut self.state {
            let skipped = (bytes.len() as u64).min(*left);
            *left -= skipped;
            bytes = &bytes[usize::try_from(skipped).unwrap_or(bytes.len())..];
            if *left > 0 {
                return requests;
            }
            self.state = ScanState::Head;
        }
        if matches!(self.state, ScanState::Opaque) || self.is_last_arrived {
            return requests;
        }
        self.partial.extend_from_slice(bytes);
        while matches!(self.state, ScanState::Head) && !self.partial.is_empty() {
            let Some(request) = self.scan_head() else {
                break;
            };
            requests.push(request);
            if self.is_last_arrived {
                self.partial = BytesMut::new();
            }
        }
        requests
    }

    /// Removes one head from the bytes and skips what has arrived of its body; `None` if the head is not
    /// complete.
    fn scan_head(&mut self) -> Option<ScannedRequest> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head_bytes = match parsed.parse(&self.partial) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if self.partial.len() <= self.max_head_bytes => {
                return None;
            }
            Ok(httparse::Status::Partial) | Err(_) => {
                self.give_up();
                return None;
            }
        };
        let head = build_head(&parsed);
        self.is_last_arrived = asks_to_close(&parsed);
        match head_end(&parsed) {
            HeadEnd::Body(0) => {
                self.partial.advance(head_bytes);
                Some(ScannedRequest { head })
            }
            HeadEnd::Body(length) => {
                self.partial.advance(head_bytes);
                let arrived = (self.partial.len() as u64).min(length);
                self.partial
                    .advance(usize::try_from(arrived).unwrap_or(self.partial.len()));
                if arrived < length {
                    self.state = ScanState::Body {
                        left: length - arrived,
                    };
                }
                Some(ScannedRequest { head: None })
            }
            HeadEnd::Unknown => {
                self.give_up();
                Some(ScannedRequest { head: None })
            }
        }
    }

    fn give_up(&mut self) {
        self.state = ScanState::Opaque;
        self.partial = BytesMut::new();
    }
}

/// Builds the head of a request, as the HTTP server does; `None` if it is not a plain HTTP/1.1 request.
fn build_head(parsed: &httparse::Request<'_, '_>) -> Option<Request<()>> {
    if parsed.version != Some(1) {
        return None;
    }
    let mut head = Request::new(());
    *head.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *head.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *head.version_mut() = Version::HTTP_11;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        head.headers_mut().append(name, value);
    }
    Some(head)
}

/// The headers of this name.
fn headers_named<'a>(
    parsed: &'a httparse::Request<'_, '_>,
    name: HeaderName,
) -> impl Iterator<Item = &'a httparse::Header<'a>> {
    let headers = parsed.headers.iter();
    headers.filter(move |header| header.name.eq_ignore_ascii_case(name.as_str()))
}

/// Whether the answer of a request closes the connection because the request asks for it.
fn asks_to_close(parsed: &httparse::Request<'_, '_>) -> bool {
    headers_named(parsed, header::CONNECTION)
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Tells from a head what follows it.
fn head_end(parsed: &httparse::Request<'_, '_>) -> HeadEnd {
    let values = |name| headers_named(parsed, name);
    let is_framed_otherwise = values(header::TRANSFER_ENCODING).next().is_some()
        || values(header::UPGRADE).next().is_some()
        || parsed.method == Some("CONNECT");
    if is_framed_otherwise {
        return HeadEnd::Unknown;
    }
    let mut lengths = values(header::CONTENT_LENGTH);
    let Some(length) = lengths.next() else {
        return HeadEnd::Body(0);
    };
    let length = std::str::from_utf8(length.value).ok();
    match length.and_then(|text| text.trim().parse().ok()) {
        Some(length) if lengths.next().is_none() => HeadEnd::Body(length),
        _ => HeadEnd::Unknown,
    }
}
