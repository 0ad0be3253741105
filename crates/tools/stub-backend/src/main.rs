//! `coppersail-stub-backend`: one host on a real socket. Decisions are in the library; this passes on what comes in and what is due.
use coppersail_stub_backend::way::location;
use coppersail_stub_backend::{Ask, Life, Plan, Reply, Verdict, Way};
use eyre::{eyre, Result, WrapErr};
use lexopt::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use slog::{info, o, warn, Logger};
use std::io::Write;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tiny_http::{Header, Request, Response, Server};

const USAGE: &str = "\
coppersail-stub-backend: a stand-in host that beats to a centre, serves requests and holds keys

coppersail-stub-backend --backend NAME --listen ADDR --centre ADDR --area NAME [options]
  --backend NAME    the service whose host this is
  --listen ADDR     where it serves, as ip:port
  --centre ADDR     a centre's admin address; may be given several times
  --area NAME       the zone it stands in
  --capacity N      requests at once (4)
  --work MS         how long one takes (50)
  --split           the service is divided by key
  --warm MS         how long it is slow after its start (0)
  --heartbeat MS    between beats (1000)
  --empty MS        how long it serves on once its leaving was heard (2000)
  --check PATH      the check path (/wellness)
  --revision TEXT   of its software (v1)
";
/// How long a call of a beat may take.
const PATIENCE: Duration = Duration::from_secs(1);
/// How often a call is sent on by 307.
const SENT_ON: usize = 2;
/// How soon a signal is seen, and how finely beats are timed.
const TICK: Duration = Duration::from_millis(20);

struct Drain;

impl slog::Drain for Drain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        // A reader that has gone is no reason to end.
        let _ = writeln!(std::io::stderr(), "coppersail-stub-backend: {}", record.msg());
        Ok(())
    }
}

struct Host {
    life: Mutex<Life>,
    born: Instant,
    ident: String,
    check: String,
    log: Logger,
}

impl Host {
    fn now(&self) -> Duration {
        self.born.elapsed()
    }

    fn life(&self) -> std::sync::MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn options() -> Result<Option<(Plan, Vec<String>, String)>> {
    let mut plan = Plan {
        ident: format!("i-{:08x}", fastrand::u32(..)),
        revision: "v1".into(),
        capacity: 4,
        work: Duration::from_millis(50),
        heartbeat: Duration::from_secs(1),
        empty: Duration::from_secs(2),
        ..Plan::default()
    };
    let (mut centres, mut check) = (Vec::new(), "/wellness".to_string());
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        let ms =
            |args: &mut lexopt::Parser| -> Result<_> { Ok(Duration::from_millis(args.value()?.parse()?)) };
        match arg {
            Long("backend") => plan.backend = args.value()?.string()?,
            Long("listen") => plan.address = args.value()?.string()?,
            Long("centre") => centres.push(args.value()?.string()?),
            Long("area") => plan.area = args.value()?.string()?,
            Long("capacity") => plan.capacity = args.value()?.parse()?,
            Long("revision") => plan.revision = args.value()?.string()?,
            Long("check") => check = args.value()?.string()?,
            Long("split") => plan.split = true,
            Long("work") => plan.work = ms(&mut args)?,
            Long("warm") => plan.warm = ms(&mut args)?,
            Long("heartbeat") => plan.heartbeat = ms(&mut args)?,
            Long("empty") => plan.empty = ms(&mut args)?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let missing = [
        ("--backend", plan.backend.is_empty()),
        ("--listen", plan.address.is_empty()),
        ("--area", plan.area.is_empty()),
        ("--centre", centres.is_empty()),
        ("--capacity above 0", plan.capacity == 0),
    ];
    match missing.iter().find(|(_, missing)| *missing) {
        Some((name, _)) => Err(eyre!("{name} has to be given; --help tells more")),
        None => Ok(Some((plan, centres, check))),
    }
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request.headers().iter().find(|h| h.field.equiv(name)).map(|h| h.value.as_str())
}

fn answer(host: &Host, request: Request, verdict: &Verdict, body: String) {
    let (status, run) = match verdict {
        Verdict::NotRun(status) => (*status, false),
        Verdict::Ran(status) => (*status, true),
        Verdict::Waits(_) | Verdict::Runs(..) => return,
    };
    let mut response = Response::from_string(body).with_status_code(status);
    let mut add = |name: &str, value: &str| {
        // What a client sent as an id may be no header; it is left out then.
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    };
    add("Server-Id", &host.ident);
    add("Server-Load", &host.life().load());
    if let Some(id) = header(&request, "Try-Id") {
        add("Try-Id", id);
        if run {
            add("Server-Seal", &format!("{}.{id}", host.ident));
        }
    }
    if !run {
        add("Not-Run", "1");
    }
    // A client that has gone gets no answer.
    let _ = request.respond(response);
}

fn work(host: &Host, mut request: Request, job: coppersail_stub_backend::life::Job) {
    let mut verdict = host.life().start(host.now(), job);
    let mut said = String::new();
    if let Verdict::Runs(id, end) = verdict {
        let mut body = Vec::new();
        let whole = request.as_reader().read_to_end(&mut body);
        std::thread::sleep(end.saturating_sub(host.now()));
        verdict = host.life().finish(host.now(), id);
        said =
            format!("{} {} with {} bytes at {}\n", request.method(), request.url(), body.len(), host.ident);
        if whole.is_err() {
            return;
        }
    }
    answer(host, request, &verdict, said);
}

fn serve(host: &Arc<Host>, server: &Server, slots: u32) {
    let (jobs, queue) = mpsc::channel::<(Request, coppersail_stub_backend::life::Job)>();
    let queue = Arc::new(Mutex::new(queue));
    for _ in 0..slots {
        let (host, queue) = (host.clone(), queue.clone());
        std::thread::spawn(move || loop {
            let next = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok((request, job)) = next else { return };
            work(&host, request, job);
        });
    }
    while let Ok(request) = server.recv() {
        let ask = Ask {
            id: header(&request, "Try-Id"),
            wanted: header(&request, "Wanted-Server"),
            key: header(&request, "Shard-Key"),
            left: header(&request, "Time-Left-Ms"),
            check: request.url() == host.check,
        };
        let verdict = host.life().admit(host.now(), &ask);
        match verdict {
            Verdict::Waits(job) => drop(jobs.send((request, job))),
            verdict => answer(host, request, &verdict, String::new()),
        }
    }
}

/// One call of a centre, followed where it sends it on.
fn call(agent: &ureq::Agent, target: &str, path: &str, body: &[u8]) -> Result<Reply> {
    let (mut target, mut path) = (target.to_string(), path.to_string());
    for _ in 0..=SENT_ON {
        let url = format!("http://{target}{path}");
        let mut response = agent.post(&url).header("Content-Type", "application/json").send(body)?;
        let status = response.status().as_u16();
        if status == 307 {
            let next =
                response.headers().get("Location").and_then(|value| value.to_str().ok()).and_then(location);
            (target, path) =
                next.map(|(a, b)| (a.into(), b.into())).ok_or_else(|| eyre!("307 to nowhere"))?;
            continue;
        }
        let body = response.body_mut().with_config().limit(Reply::MOST as u64).read_to_vec()?;
        return match status {
            200..=299 => Reply::read(&body).ok_or_else(|| eyre!("an answer that can't be read")),
            _ => Err(eyre!("{url} answered {status}")),
        };
    }
    Err(eyre!("sent on too often"))
}

/// Beats until the host may stop.
fn beats(host: &Host, mut way: Way, leave: &AtomicBool) {
    let config = ureq::Agent::config_builder().timeout_global(Some(PATIENCE)).max_redirects(0);
    let agent = config.http_status_as_error(false).max_redirects_will_error(false).build().new_agent();
    let (mut not_before, mut heard) = (Duration::ZERO, None);
    loop {
        let now = host.now();
        if leave.swap(false, Ordering::Relaxed) {
            info!(host.log, "told to leave; emptying");
            host.life().leave(now);
        }
        if host.life().over(now) {
            break;
        }
        if now < host.life().due().max(not_before) {
            std::thread::sleep(TICK);
            continue;
        }
        let beat = host.life().beat(now);
        let body = serde_json::to_vec(&beat).unwrap_or_default();
        let result = call(&agent, way.target(), &format!("/servers/{}/pulse", host.ident), &body);
        let good = result.is_ok();
        match result {
            Ok(reply) => {
                host.life().acknowledged(host.now(), &reply);
                way.answered(reply.report_to.as_deref());
                if heard != Some(true) {
                    info!(host.log, "heard by {}", way.target());
                }
            }
            Err(fault) => {
                if heard != Some(false) {
                    warn!(host.log, "not heard by {}: {fault}", way.target());
                }
                way.failed();
            }
        }
        heard = Some(good);
        not_before = way.pause().map_or(Duration::ZERO, |pause| host.now() + pause);
    }
    match call(&agent, way.target(), &format!("/servers/{}/sign-off", host.ident), b"") {
        Ok(_) => info!(host.log, "signed off"),
        Err(fault) => warn!(host.log, "could not sign off: {fault}"),
    }
}

fn run() -> Result<()> {
    let Some((plan, centres, check)) = options()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let log = Logger::root(Drain, o!());
    let leave = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, leave.clone())?;
    }
    let server = Server::http(&plan.address).map_err(|e| eyre!("{e}")).wrap_err("can't listen")?;
    let (ident, slots) = (plan.ident.clone(), plan.capacity);
    info!(log, "{ident} of {} listens on {}", plan.backend, plan.address);
    let way = Way::new(centres, fastrand::usize(..));
    let host = Arc::new(Host { life: Mutex::new(Life::new(plan)), born: Instant::now(), ident, check, log });
    let serving = host.clone();
    std::thread::spawn(move || serve(&serving, &server, slots));
    beats(&host, way, &leave);
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("coppersail-stub-backend: {fault:#}");
            ExitCode::from(2)
        }
    }
}
