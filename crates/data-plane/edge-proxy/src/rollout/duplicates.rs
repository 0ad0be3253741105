//! Detection of requests that an endpoint answered twice, from the bytes of its connection.
use super::variants::AssignedVariant;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// How the head of a successful response begins.
const SUCCESS_HEAD: &[u8] = b"HTTP/1.1 2";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Wire names of the attempt's id and of the endpoint's proof that it ran the request.
const ATTEMPT_ID_HEADER: &str = "try-id";
const SEAL_HEADER: &str = "server-seal";

/// Is told of each attempt that was answered twice.
pub trait DuplicateObserver {
    /// The second answer to an attempt of this variant on this route has come.
    fn record_duplicate(&self, variant: &AssignedVariant, route: &str);
}

/// An attempt on a connection, whose answers are counted.
struct WatchedAttempt {
    id: HeaderValue,
    variant: AssignedVariant,
    route: Rc<str>,
    answers: u32,
}

/// Looks for second answers on one connection: they come behind the first, or before the next request's answer. So
/// the attempt before the current one is watched as well.
pub struct DuplicateDetector {
    observer: Rc<dyn DuplicateObserver>,
    current: WatchedAttempt,
    previous: Option<WatchedAttempt>,
}

impl DuplicateDetector {
    /// The detector for the next attempt on a connection; `last` is that of the attempt before.
    pub fn for_attempt<O: DuplicateObserver + 'static>(
        last: Option<Box<DuplicateDetector>>,
        observer: &Rc<O>,
        id: &HeaderValue,
        variant: &AssignedVariant,
        route: &str,
    ) -> Box<DuplicateDetector> {
        let current =
            WatchedAttempt { id: id.clone(), variant: variant.clone(), route: route.into(), answers: 0 };
        let previous = last.map(|last| last.current);
        Box::new(DuplicateDetector { observer: observer.clone(), current, previous })
    }

    /// Looks through bytes that the endpoint sent, as one read brought them. A second complete head with the id of a
    /// watched attempt and a seal is a second run; a head that is split between two reads is not seen.
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
            attempt.answers += 1;
            if attempt.answers == 2 {
                self.observer.record_duplicate(&attempt.variant, &attempt.route);
            }
        }
    }
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.trim().eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}
