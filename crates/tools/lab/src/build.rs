//! A build of ours as a process on the simulator's wire: any `coppersail-wirehost` of the history plays in the lab, so that
//! builds can be compared on days that were made long after them.

use crate::platform::{host_name, Places, Platform};
use coppersail::interface::*;
use coppersail_bench_codec as wire;
use coppersail_protocol::config::Config;
use coppersail_settings::Boot;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::Mutex;

/// The one director of a process.
const WHO: u64 = 1;
/// The simulator's clock begins anywhere.
const ORIGIN_NS: u64 = 1_000_000_000;

/// The builds that were named, by number: a policy's kind is a small value that is copied.
static NAMED: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// The number of a build; the same program has the same one.
pub fn number(path: &Path) -> u8 {
    let mut named = NAMED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let at = named.iter().position(|known| known == path).unwrap_or_else(|| {
        named.push(path.to_path_buf());
        named.len() - 1
    });
    at as u8
}

pub fn path(number: u8) -> PathBuf {
    let named = NAMED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    named.get(number as usize).cloned().unwrap_or_default()
}

pub struct Build {
    platform: Platform,
    seed: u64,
    child: Child,
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    configured: bool,
}

/// A build that cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program cannot be run.
    #[error("{}: {source}", program.display())]
    Spawn {
        /// The program's path.
        program: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The process has no standard input or output.
    #[error("{}: no pipes", program.display())]
    NoPipes {
        /// The program's path.
        program: PathBuf,
    },
}

fn ns(seconds: f64) -> u64 {
    (seconds.max(0.0) * 1e9).round() as u64
}

impl Build {
    /// Starts the program, with pipes as its standard input and output.
    ///
    /// # Errors
    /// [`StartError`]: the program cannot be run.
    pub fn start(program: &Path, platform: Platform, seed: u64) -> Result<Build, StartError> {
        let mut command = Command::new(program);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child =
            command.spawn().map_err(|source| StartError::Spawn { program: program.to_path_buf(), source })?;
        let (Some(stdin), Some(stdout)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(StartError::NoPipes { program: program.to_path_buf() });
        };
        Ok(Build { platform, seed, child, stdin, stdout: BufReader::new(stdout), configured: false })
    }

    /// One batch, and what is ordered on it. A build that ends in the middle orders nothing more.
    pub fn handle(&mut self, now: f64, inputs: &[Input]) -> Vec<Order> {
        let mut text = format!("MARK sim-time-ns={}\n", ORIGIN_NS + ns(now));
        if !std::mem::replace(&mut self.configured, true) {
            self.configure(&mut text);
        }
        for input in inputs {
            self.event(input, &mut text);
        }
        text.push_str("COMMIT\n");
        if self.stdin.write_all(text.as_bytes()).and_then(|()| self.stdin.flush()).is_err() {
            return vec![];
        }
        let (mut orders, mut line) = (Vec::new(), String::new());
        loop {
            line.clear();
            if self.stdout.read_line(&mut line).unwrap_or(0) == 0 || line.trim_end() == "READY" {
                return orders;
            }
            let read = wire::Order::parse(line.trim_end(), 0).ok();
            orders.extend(read.and_then(|order| self.order(order)));
        }
    }

    fn configure(&self, text: &mut String) {
        // The same settings as a director's configuration names, by the same code.
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let places = Places { listen: nowhere, discovery: nowhere, relay: nowhere };
        let config = self.platform.config("lab", self.seed, &places, "null");
        let Ok(config) = Config::parse(config.as_bytes()) else { return };
        let paths = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        let Ok(boot) = Boot::read(&paths) else { return };
        wire::Event::Configure { who: WHO, seed: self.seed, boot: Box::new(boot) }.write(text);
        text.push('\n');
    }

    fn telemetry(load: &Load) -> Option<wire::Telemetry> {
        let pairs: Vec<(String, f64)> =
            Platform::report(load).into_iter().map(|(name, figure)| (name.to_string(), figure)).collect();
        (!pairs.is_empty()).then_some(wire::Telemetry(pairs))
    }

    fn event(&self, input: &Input, text: &mut String) {
        use wire::Event as E;
        let (zones, routes) = (&self.platform.settings.zones, &self.platform.routes);
        let zone = |zone: ZoneId| zones[zone.0 as usize].clone();
        let who = WHO;
        let mut put = |event: E| {
            event.write(text);
            text.push('\n');
        };
        match input {
            Input::Hosts { scope, version, entries } => {
                let scope = match scope {
                    ListScope::Changes => wire::Scope::Delta,
                    ListScope::Whole => wire::Scope::Full,
                    ListScope::Remembered => wire::Scope::Cached,
                    ListScope::Failed => wire::Scope::Failed,
                };
                put(E::Members { who, scope, rev: *version, count: Some(entries.len() as u64) });
                for entry in entries {
                    let status = match entry.state {
                        HostState::Ready => wire::Status::Ready,
                        HostState::Draining => wire::Status::Draining,
                        HostState::Gone => wire::Status::Gone,
                    };
                    put(E::Item {
                        sku: self.platform.settings.kinds[entry.kind.0 as usize].clone(),
                        born_ns: entry.born.map(|born| ORIGIN_NS + ns(born)),
                        host: host_name(entry.host),
                        w: entry.weight,
                        block: entry.cell.0,
                        zone: zone(entry.zone),
                        status,
                    });
                }
            }
            Input::Given(slice) => put(E::Tenure { who, set: true, table: slice.0 }),
            Input::Taken(slice) => put(E::Tenure { who, set: false, table: slice.0 }),
            Input::StoredLine { slice, host, weight } => {
                put(E::CurrentOwner { who, table: slice.0, w: *weight, host: host_name(*host) });
            }
            Input::Demand { slice, route, calls, dropped, span } => put(E::Heat {
                who,
                covers_ns: ns(*span),
                grade: routes[route.0 as usize].clone(),
                bad: *dropped,
                many: *calls,
                table: slice.0,
            }),
            Input::Tries { host, zone: from, span, tries, dropped, rt, load } => put(E::Roundup {
                who,
                time_taken_ns: ns(*rt),
                zone: zone(*from),
                covers_ns: ns(*span),
                host: host_name(*host),
                many: *tries,
                bad: *dropped,
                telemetry: Self::telemetry(load),
            }),
            Input::Joined { proxy, zone: from, calls_per_s, fresh } => {
                let (zone, w) = (zone(*from), *calls_per_s);
                put(E::CheckedIn { who, proxy: proxy.0, zone, w, set: *fresh });
            }
            Input::Left(proxy) => put(E::DroppedOff { who, proxy: proxy.0 }),
            Input::Applied { proxy, mark, took } => {
                put(E::Receipt { who, proxy: proxy.0, time_taken_ns: ns(*took), rev: mark.0 });
            }
            Input::Probed { host, outcome, took, load } => {
                let outcome = match outcome {
                    Outcome::Answered => wire::Outcome::Success,
                    Outcome::Error => wire::Outcome::Failure,
                    Outcome::Throttled => wire::Outcome::Overloaded,
                    Outcome::TimedOut => wire::Outcome::TimedOut,
                    Outcome::Unreachable => wire::Outcome::Unreachable,
                    Outcome::Broken => wire::Outcome::Broken,
                    Outcome::Withdrawn => wire::Outcome::Withdrawn,
                    Outcome::Void => wire::Outcome::Void,
                };
                let telemetry = Self::telemetry(load);
                put(E::Pong { who, host: host_name(*host), outcome, time_taken_ns: ns(*took), telemetry });
            }
            Input::Wake(wake) => put(E::Reminder { who, token: wake.0 }),
            // The lab's world has neither; what operators want and the guard refuses is no matter of this wire.
            Input::Intake { .. }
            | Input::Heard { .. }
            | Input::Refused { .. }
            | Input::Wishes(_)
            | Input::Call(_) => {}
        }
    }

    fn order(&self, order: wire::Order) -> Option<Order> {
        use wire::Order as O;
        let host = |name: String| name.strip_prefix('h')?.parse().ok().map(HostId);
        Some(match order {
            O::SetLine { host: name, table, w, .. } => {
                Order::Line { slice: SliceId(table), host: host(name)?, weight: w }
            }
            O::ResetTable { table, .. } => Order::Clear(SliceId(table)),
            O::HoldBack { host: name, set, .. } => Order::Withdraw { host: host(name)?, out: set },
            O::Admit { table, only, level, resend, .. } => {
                let scope =
                    if table == wire::ALL_TABLES { Scope::Everywhere } else { Scope::Slice(SliceId(table)) };
                let routes = (0..self.platform.routes.len() as u16).filter(|route| only >> route & 1 == 1);
                let retry = match resend {
                    wire::Resend::None => Retry::Never,
                    wire::Resend::NeverRan => Retry::IfNeverRan,
                    wire::Resend::One => Retry::Once,
                    wire::Resend::Two => Retry::Twice,
                };
                Order::Admit { scope, routes: routes.map(RouteId).collect(), level, retry }
            }
            O::Nonce { rev, set, .. } => Order::Mark { mark: MarkId(rev), all: set },
            O::Sample { host: name, .. } => Order::Probe(host(name)?),
            O::WakeAt { token, time_ns, .. } => {
                let at = time_ns.saturating_sub(ORIGIN_NS) as f64 / 1e9;
                Order::WakeAt { wake: WakeId(token), at }
            }
            _ => return None,
        })
    }
}

impl Drop for Build {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
