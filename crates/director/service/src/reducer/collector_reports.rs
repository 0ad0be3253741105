//! Messages of collectors: joining, liveness probes, and reports of calls and attempts.

use super::collector_connections::Sender;
use super::message_fields::{resolved, unexpected};
use super::{ConnectionId, Reducer};
use crate::framing::FramedLine;
use coppersail::interface::{Input, LoadReport};
use coppersail_protocol::collector::{is_message, CollectorMessage, HEALTH_CHECK_RESPONSE};
use coppersail_protocol::load::Report;
use coppersail_protocol::ParseError;
use coppersail_settings::load_from_report;

impl Reducer {
    /// Handles bytes from an accepted connection. The connection of a peer that has not joined is closed at its first
    /// invalid line; a collector's invalid line is skipped.
    pub(super) fn bytes_received(&mut self, now: f64, conn: ConnectionId, mut bytes: &[u8]) {
        while let Some((sender, line)) = self.collectors.next_line(now, conn, &mut bytes, &mut self.outbox) {
            let handled = match &line {
                FramedLine::Line(line) => self.handle_collector_line(now, conn, sender, line),
                FramedLine::TooLong => Err(ParseError::LineTooLong),
            };
            let Err(fault) = handled else {
                self.collectors.line_checked(now, conn, true, &mut self.outbox);
                continue;
            };
            if sender == Sender::New {
                self.collectors.drop(now, conn, &fault.to_string(), &mut self.outbox);
                return;
            }
            self.outbox.counters.lines_bad += 1;
            let text = format!("collector: line ignored: {fault}");
            self.bad_lines_log.warn(now, text, &mut self.outbox);
            let is_message = matches!(&line, FramedLine::Line(line) if is_message(line));
            self.collectors.line_checked(now, conn, is_message, &mut self.outbox);
        }
    }

    fn handle_collector_line(
        &mut self,
        now: f64,
        conn: ConnectionId,
        sender: Sender,
        line: &[u8],
    ) -> Result<(), ParseError> {
        match CollectorMessage::parse(line)? {
            CollectorMessage::HealthCheck => {
                self.collectors.answer(conn, HEALTH_CHECK_RESPONSE, &mut self.outbox)
            }
            CollectorMessage::Register(zone) => {
                let zone = resolved("az", self.names.zone(&zone))?;
                self.collectors.joined(now, conn, zone, &mut self.outbox);
            }
            // Peers that have not joined must not influence the decisions.
            _ if sender == Sender::New => return Err(ParseError::ReportBeforeJoining),
            CollectorMessage::AttemptReport {
                zone,
                host,
                attempts,
                dropped,
                mean_response_time,
                window,
                report,
            } => {
                let zone = resolved("az", self.names.zone(&zone))?;
                let host = self.names.known_host_id(&host);
                let host = host.ok_or_else(|| unexpected("host", "a host that was listed"))?;
                let mean_response_time = self.plausible.response_time(mean_response_time)?;
                self.plausible.calls(attempts, dropped, window)?;
                let load = self.plausible_load(now, &report);
                self.outbox.counters.sums_of_tries += 1;
                self.outbox.inputs.push(Input::AttemptStats {
                    host,
                    zone,
                    window,
                    attempts,
                    dropped,
                    mean_response_time,
                    load,
                });
            }
            CollectorMessage::DemandReport { slice, route, requests: calls, dropped, window } => {
                let slice = self.id_ranges.slice(slice)?;
                let route = resolved("kind", self.names.route(&route))?;
                self.plausible.calls(calls, dropped, window)?;
                self.outbox.counters.sums_of_calls += 1;
                self.outbox.inputs.push(Input::SliceDemand {
                    slice,
                    route,
                    requests: calls,
                    dropped,
                    window,
                });
            }
        }
        Ok(())
    }

    /// Returns the plausible figures of a load report.
    pub(super) fn plausible_load(&mut self, now: f64, report: &Report) -> LoadReport {
        let reported = load_from_report(|name| report.get(name));
        self.plausible.load(now, reported, report.invalid_entries, &mut self.outbox)
    }
}
