//! Messages of collectors: joining, liveness checks, and reports of calls and attempts.

use super::collector_connections::Sender;
use super::message_fields::{resolved, unexpected};
use super::{ConnId, Reducer};
use crate::framing::Framed;
use coppersail::interface::{Input, Load};
use coppersail_protocol::collector::{readable, Line, ALIVE};
use coppersail_protocol::load::Report;
use coppersail_protocol::Fault;
use coppersail_settings::load;

impl Reducer {
    /// Handles bytes from an accepted connection. A peer that has not joined is dropped at its first fault; a
    /// collector only loses the line.
    pub(super) fn bytes_received(&mut self, now: f64, conn: ConnId, mut bytes: &[u8]) {
        while let Some((sender, line)) = self.collectors.next_line(now, conn, &mut bytes, &mut self.outbox) {
            let handled = match &line {
                Framed::Line(line) => self.handle_collector_line(now, conn, sender, line),
                Framed::TooLong => Err(Fault::LineTooLong),
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
            let text = format!("collector: line passed over, {fault}");
            self.bad_lines_log.warn(now, text, &mut self.outbox);
            let is_message = matches!(&line, Framed::Line(line) if readable(line));
            self.collectors.line_checked(now, conn, is_message, &mut self.outbox);
        }
    }

    fn handle_collector_line(
        &mut self,
        now: f64,
        conn: ConnId,
        sender: Sender,
        line: &[u8],
    ) -> Result<(), Fault> {
        match Line::parse(line)? {
            Line::Probe => self.collectors.answer(conn, ALIVE, &mut self.outbox),
            Line::Zone(zone) => {
                let zone = resolved("az", self.names.zone(&zone))?;
                self.collectors.joined(now, conn, zone, &mut self.outbox);
            }
            // Peers that have not joined must not influence the decisions.
            _ if sender == Sender::New => return Err(Fault::ReportBeforeJoining),
            Line::Tries { zone, host, tries, dropped, rt, span, report } => {
                let zone = resolved("az", self.names.zone(&zone))?;
                let host = self.names.known_host(&host);
                let host = host.ok_or_else(|| unexpected("host", "a host that was listed"))?;
                let rt = self.plausible.response_time(rt)?;
                self.plausible.calls(tries, dropped, span)?;
                let load = self.plausible_load(now, &report);
                self.outbox.counters.sums_of_tries += 1;
                self.outbox.inputs.push(Input::Tries { host, zone, span, tries, dropped, rt, load });
            }
            Line::Demand { slice, route, calls, dropped, span } => {
                let slice = self.id_ranges.slice(slice)?;
                let route = resolved("kind", self.names.route(&route))?;
                self.plausible.calls(calls, dropped, span)?;
                self.outbox.counters.sums_of_calls += 1;
                self.outbox.inputs.push(Input::Demand { slice, route, calls, dropped, span });
            }
        }
        Ok(())
    }

    /// The figures of a load report that are plausible.
    pub(super) fn plausible_load(&mut self, now: f64, report: &Report) -> Load {
        let reported = load(|name| report.get(name));
        self.plausible.load(now, reported, report.odd, &mut self.outbox)
    }
}
