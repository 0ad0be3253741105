//! Detects requests that an endpoint answered twice, by scanning the bytes received on its connection.
use super::variants::AssignedVariant;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// How the head of a successful response begins.
const SUCCESS_HEAD: &[u8] = b"HTTP/1.1 2";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Names of the header fields with the request's id and with the endpoint's proof that it processed the
/// request.
const ATTEMPT_ID_HEADER: &str = "try-id";
const SEAL_HEADER: &str = "server-seal";

/// Notified of each attempt that was answered twice.
pub trait DuplicateObserver {
    /// Called when the second response to an attempt of this variant on this route has arrived.
    fn record_duplicate(&self, variant: &AssignedVariant, route: &str);
}

/// An attempt on a connection and the number of responses to it.
struct WatchedAttempt {
    id: HeaderValue,
    variant: AssignedVariant,
    route: Rc<str>,
    response_count: u32,
}

/// Detects duplicate responses on one connection. A duplicate arrives right after the first response or just
/// before the response to the next request, so the previous attempt is watched together with the current one.
pub struct DuplicateDetector {
    observer: Rc<dyn DuplicateObserver>,
    current: WatchedAttempt,
    previous: Option<WatchedAttempt>,
}

impl DuplicateDetector {
    /// Creates the detector for the next attempt on a connection. `last` is the detector of the previous
    /// attempt.
    pub fn for_attempt<O: DuplicateObserver + 'static>(
        last: Option<Box<DuplicateDetector>>,
        observer: &Rc<O>,
        id: &HeaderValue,
        variant: &AssignedVariant,
        route: &str,
    ) -> Box<DuplicateDetector> {
        let current = WatchedAttempt {
            id: id.clone(),
            variant: variant.clone(),
            route: route.into(),
            response_count: 0,
        };
        let previous = last.map(|last| last.current);
        Box::new(DuplicateDetector { observer: observer.clone(), current, previous })
    }

    /// Scans the bytes of one read from the endpoint. A second complete response head with the id of a
    /// watched attempt and a seal means that the endpoint processed the request twice. A head that is split
    /// across two reads is not detected.
    pub fn scan(&mut self, bytes: &[u8]) {
        let windows = bytes.windows(SUCCESS_HEAD.len()).enumerate();
        let starts = windows.filter(|(_, window)| *window == SUCCESS_HEAD).map(|(start, _)| start);
        for start in starts {
            let rest = &bytes[start..];
            let Some(end) = rest.windows(HEAD_END.len()).position(|window| window == HEAD_END) else {
                continue;
            };
            self.scan_head(&String::from_utf8_lossy(&rest[..end]));
        }
    }

    fn scan_head(&mut self, head: &str) {
        let (Some(id), Some(_)) = (header_value(head, ATTEMPT_ID_HEADER), header_value(head, SEAL_HEADER))
        else {
            return;
        };
        let mut attempts = std::iter::once(&mut self.current).chain(&mut self.previous);
        if let Some(attempt) = attempts.find(|attempt| attempt.id.as_bytes() == id.as_bytes()) {
            attempt.response_count += 1;
            if attempt.response_count == 2 {
                self.observer.record_duplicate(&attempt.variant, &attempt.route);
            }
        }
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.trim().eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}
