//! The text form of durations in settings, configurations and the protocol.
use std::time::Duration;

const MS_PER_SECOND: f64 = 1000.0;

/// Reads a duration: a number and its unit, `ms` or `s`.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(coppersail_config::parse_duration("1500ms"), Some(Duration::from_millis(1500)));
/// assert_eq!(coppersail_config::parse_duration("2.5s"), Some(Duration::from_millis(2500)));
/// assert_eq!(coppersail_config::parse_duration("-1s"), None);
/// assert_eq!(coppersail_config::parse_duration("1500"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, units_per_second) = match text.strip_suffix("ms") {
        Some(number) => (number, MS_PER_SECOND),
        None => (text.strip_suffix('s')?, 1.0),
    };
    // Only digits and a point: other texts that `f64` parses ("inf", "1e9", "-0") are not durations.
    if !number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    Duration::try_from_secs_f64(number.parse::<f64>().ok()? / units_per_second).ok()
}

/// Writes a duration in milliseconds, rounded down to a tenth of one.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(coppersail_config::format_duration(Duration::from_millis(4000)), "4000ms");
/// assert_eq!(coppersail_config::format_duration(Duration::from_micros(1500)), "1.5ms");
/// ```
pub fn format_duration(time: Duration) -> String {
    match (time.as_micros() / 1000, time.as_micros() / 100 % 10) {
        (ms, 0) => format!("{ms}ms"),
        (ms, tenth) => format!("{ms}.{tenth}ms"),
    }
}
