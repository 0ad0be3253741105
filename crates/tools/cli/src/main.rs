//! `coppersail`, the operators' command line. Exit status: 0 done, 1 refused, 2 what was given cannot be read or
//! nobody can be asked.

mod offline;
mod show;
mod talk;

use clap::{Args, CommandFactory, Parser, Subcommand};
use coppersail_admin_socket::{Answer, Request, Status};
use coppersail_changes::{Stage, Submission, Version, EXPIRES};
use coppersail_operator_config::{sheet, Edits, Fault, Field, Known, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "coppersail",
    version,
    about = "Changes what coppersail directors do, checked, on trial, and undone by themselves when they do harm",
    after_help = "On a bad night:\n  \
        coppersail status                                    what is set, what is on trial\n  \
        coppersail change submit --set hosts.h-7.drained=true --why 'h-7 loses calls' --wait\n  \
        coppersail change undo 41 --why 'made it worse'\n  \
        coppersail change freeze --why 'until Monday'\n\n\
        Exit status: 0 done, 1 refused, 2 unreadable input or no director to ask."
)]
struct Cli {
    /// Answers as JSON, one object a line
    #[arg(long, global = true)]
    json: bool,
    /// The director's socket, as `control.socket` of its operators' file names it
    #[arg(long, global = true, env = "COPPERSAIL_SOCKET")]
    socket: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks an operators' file and tells every fault of it, with file, line and field
    Check {
        file: PathBuf,
        /// A director's configuration, whose zones, routes and slices the file must fit
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Changes: submitted, looked at, confirmed, undone
    #[command(subcommand)]
    Change(Change),
    /// Judges tables as a director's guard does: 0 accepted, 1 refused with every reason and the smallest repair found
    Guard {
        /// Hosts, and what they can do
        #[arg(long)]
        pool: PathBuf,
        /// Slices: what is asked of them, and their lines as they stand
        #[arg(long)]
        tables: PathBuf,
        /// What is to be told, call by call; without it the tables are judged as they stand
        #[arg(long)]
        orders: Option<PathBuf>,
        /// What is known to happen to hosts
        #[arg(long)]
        pending: Option<PathBuf>,
    },
    /// Tells the director when hosts will leave, so that what they serve has moved by then
    Announce {
        /// Hosts in the order in which they leave, with commas between them
        #[arg(long, value_delimiter = ',', required = true)]
        hosts: Vec<String>,
        /// Seconds until the first ones leave
        #[arg(long = "in", default_value_t = 20.0)]
        lead: f64,
        /// Seconds between one and the next
        #[arg(long, default_value_t = 0.0)]
        every: f64,
        /// They do not leave after all
        #[arg(long)]
        cancel: bool,
        #[command(flatten)]
        who: Who,
        /// Why, for whoever reads the history
        #[arg(long)]
        why: String,
    },
    /// Plans what takes several steps
    #[command(subcommand)]
    Plan(Plan),
    /// What is in force, what is on trial, and what the director has heard
    Status,
    /// Prints a shell's completions
    Completions { shell: clap_complete::Shell },
    /// Prints what a template evaluates to, as JSON
    #[command(hide = true)]
    Evaluate { file: PathBuf },
}

#[derive(Subcommand)]
enum Plan {
    /// How many hosts at a time, in which order, and how long to wait: 0, or 1 if a step is taken by force
    Drain {
        #[arg(long)]
        pool: PathBuf,
        #[arg(long)]
        tables: PathBuf,
        /// Hosts to drain, with commas between them; `all` for all
        #[arg(long, value_delimiter = ',', required = true)]
        hosts: Vec<String>,
        /// Seconds after which each is back, cold; without it they stay away
        #[arg(long)]
        back_after: Option<f64>,
        /// At most so many at a time
        #[arg(long)]
        most: Option<usize>,
        /// Tells the director's socket when each step will be, if no step is taken by force
        #[arg(long)]
        announce: bool,
        /// With --announce: seconds until the first step
        #[arg(long = "in", default_value_t = 20.0)]
        lead: f64,
        #[command(flatten)]
        who: Who,
    },
}

#[derive(Args)]
struct Wanted {
    /// Sets a field: hosts.NAME.weight=0.5, hosts.NAME.drained=true, zones.NAME.weight=2, routes.NAME.ceiling=0.8,
    /// routes.NAME.again=once, apart.SLICE.HOST=true
    #[arg(long = "set", value_name = "FIELD=VALUE")]
    set: Vec<String>,
    /// Gives a field back to the director
    #[arg(long = "unset", value_name = "FIELD")]
    unset: Vec<String>,
}

#[derive(Args)]
struct Who {
    /// Who does this
    #[arg(long, env = "USER", default_value = "operator")]
    who: String,
}

#[derive(Subcommand)]
enum Change {
    /// Submits a change: checked, applied at once, on trial, then kept or undone
    Submit {
        #[command(flatten)]
        wanted: Wanted,
        #[command(flatten)]
        who: Who,
        /// Why, for whoever reads the history
        #[arg(long)]
        why: String,
        /// The version that you have looked at; what others changed since then is not overwritten
        #[arg(long)]
        base: Option<u64>,
        /// Seconds on trial; 0 keeps it at once and nobody judges it
        #[arg(long)]
        trial: Option<f64>,
        /// Points of service, of 100, that you know it to cost what it touches
        #[arg(long, default_value_t = 0.0)]
        expect_loss: f64,
        /// Only drafts it; `change stage` applies it
        #[arg(long)]
        draft: bool,
        /// Waits until it is kept or undone: exit status 1 if undone
        #[arg(long)]
        wait: bool,
    },
    /// Shows what a submission would change now, and the version to base it on
    Diff {
        #[command(flatten)]
        wanted: Wanted,
    },
    /// Lists changes from the newest back
    List {
        /// Only those before this one
        #[arg(long)]
        before: Option<u64>,
    },
    /// Shows one change whole
    Show { number: u64 },
    /// Applies a draft, if what it is based on still holds
    Stage { number: u64 },
    /// Ends a trial well, whatever the judge has heard
    Confirm {
        number: u64,
        #[command(flatten)]
        who: Who,
    },
    /// Makes a trial longer
    Extend {
        number: u64,
        /// Seconds more
        #[arg(long)]
        by: f64,
        #[command(flatten)]
        who: Who,
    },
    /// Undoes a change by a new one, made of what is true now; drops a draft
    Undo {
        number: u64,
        #[arg(long, default_value = "")]
        why: String,
        #[command(flatten)]
        who: Who,
    },
    /// Takes no changes until they are thawed; trials go on and may still be undone
    Freeze {
        #[arg(long)]
        why: String,
        #[command(flatten)]
        who: Who,
    },
    /// Takes changes again
    Thaw {
        #[command(flatten)]
        who: Who,
    },
}

/// Why there is no result: refused, or what was given or said cannot be read.
enum End {
    Refused(String),
    Unreadable(String),
}

type Done = Result<(), End>;

fn unreadable<T, E: std::fmt::Display>(found: Result<T, E>) -> Result<T, End> {
    found.map_err(|error| End::Unreadable(error.to_string()))
}

fn edits(wanted: &Wanted) -> Result<Edits, End> {
    let mut edits = Edits::new();
    for set in &wanted.set {
        let (field, value) =
            unreadable(set.split_once('=').ok_or(format!("--set {set}: expected FIELD=VALUE")))?;
        let field: Field = unreadable(field.parse())?;
        let value = field.value(value).map_err(|expected| format!("field {field}: expected {expected}"));
        let value = unreadable(value)?;
        edits.insert(field, value);
    }
    for unset in &wanted.unset {
        edits.insert(unreadable(unset.parse())?, None);
    }
    if edits.is_empty() {
        return Err(End::Unreadable("--set or --unset: expected at least one".to_string()));
    }
    Ok(edits)
}

/// What a director's configuration names, by the same code that the director reads it with.
fn known(path: &Path) -> Result<Known, String> {
    let fault = |what: String| format!("{}: {what}", path.display());
    let bytes = std::fs::read(path).map_err(|wrong| fault(wrong.to_string()))?;
    let config =
        coppersail_protocol::config::Config::parse(&bytes).map_err(|wrong| fault(wrong.to_string()))?;
    let paths = config.settings.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
    let boot = coppersail_settings::Boot::read(&paths)
        .map_err(|bad| fault(format!("field settings.{}: expected {}", bad.field, bad.expected)))?;
    Ok(coppersail_settings::known(&boot))
}

fn check(file: &Path, config: Option<&Path>, json: bool) -> Done {
    let known = unreadable(config.map(known).transpose())?;
    let name = file.display().to_string();
    let fault = |wrong: std::io::Error| format!("{name}: the file: expected a text ({wrong})");
    let source = unreadable(std::fs::read_to_string(file).map_err(fault))?;
    let plain = file.extension().is_some_and(|ending| ending == "json");
    let text = if plain { source.clone() } else { unreadable(coppersail_jsonnet::evaluate(file))? };
    match sheet(&name, &source, &text, known.as_ref()) {
        Ok(sheet) if json => {
            say(&serde_json::json!({"is": "sound", "fields": sheet.document.len()}).to_string());
            Ok(())
        }
        Ok(sheet) => {
            say(&format!("{name}: sound, {} fields", sheet.document.len()));
            Ok(())
        }
        Err(faults) => {
            let faults: Vec<String> = faults.iter().map(Fault::to_string).collect();
            Err(End::Unreadable(faults.join("\n")))
        }
    }
}

/// Whoever reads may have left; that is no fault of ours.
fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

struct Asking {
    socket: PathBuf,
    json: bool,
}

impl Asking {
    fn ask(&self, request: &Request) -> Result<Answer, End> {
        match unreadable(talk::ask(&self.socket, request))? {
            Answer::Rejected { reason: why } => Err(End::Refused(why)),
            Answer::Unreadable { reason: why } => Err(End::Unreadable(why)),
            answer => Ok(answer),
        }
    }

    fn status(&self) -> Result<Status, End> {
        match self.ask(&Request::Status)? {
            Answer::Status(status) => Ok(*status),
            other => Err(End::Unreadable(format!("expected a status, got {other:?}"))),
        }
    }

    /// Shows what a director answered.
    fn tell(&self, answer: &Answer) {
        if self.json {
            return say(&serde_json::to_string(answer).unwrap_or_default());
        }
        match answer {
            Answer::Status(status) => say(&show::status(status)),
            Answer::Accepted { number, durable: true } => say(&format!("change {number} is in the history")),
            Answer::Accepted { number, .. } => say(&format!("change {number} is taken, in memory alone")),
            Answer::Done => say("done"),
            Answer::Diff { differs } if differs.is_empty() => say("nothing would change"),
            Answer::Diff { differs } => say(&show::differs(differs)),
            Answer::Changes { changes, more } => {
                let rows: String = changes.iter().map(show::row).collect();
                let more =
                    changes.last().filter(|_| *more).map(|last| format!("more: --before {}", last.number));
                say(&(rows + &more.unwrap_or_default()));
            }
            Answer::Change(change) => say(&show::change(change)),
            Answer::Rejected { .. } | Answer::Unreadable { .. } => {}
        }
    }

    /// A submission whose answer was lost is sent again: by its token it is taken once.
    fn submit(&self, mut submission: Submission, base: Option<u64>) -> Result<Version, End> {
        submission.base = match base {
            Some(base) => Version(base),
            None => self.status()?.version,
        };
        submission.token = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
        let request = Request::Submit { submission };
        let answer = match self.ask(&request) {
            Err(End::Unreadable(_)) => self.ask(&request)?,
            answered => answered?,
        };
        self.tell(&answer);
        match answer {
            Answer::Accepted { number, .. } => Ok(number),
            other => Err(End::Unreadable(format!("expected a number, got {other:?}"))),
        }
    }

    /// Announces when hosts leave, seconds from now; none: they do not. What was announced long ago is cleared away.
    fn announce(&self, leave: &[(String, Option<f64>)], who: &str, why: &str) -> Done {
        let since_1970 = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = since_1970.map_or(0.0, |since| since.as_secs_f64());
        let status = self.status()?;
        let over = |(field, value): &&(Field, Value)| match (field, value) {
            (Field::HostLeaves(_), Value::Number(at)) => now > at + EXPIRES,
            _ => false,
        };
        let mut edits: Edits =
            status.in_force.iter().filter(over).map(|(field, _)| (field.clone(), None)).collect();
        for (host, lead) in leave {
            let field: Field = unreadable(format!("hosts.{host}.leaves").parse())?;
            edits.insert(field, lead.map(|lead| Value::Number((now + lead).round())));
        }
        let (who, why) = (who.to_string(), why.to_string());
        // Nothing comes of it before its time, so there is nothing to try.
        let submission = Submission { who, why, edits, trial: Some(0.0), ..Submission::default() };
        self.submit(submission, Some(status.version.0)).map(drop)
    }

    fn wait(&self, number: Version) -> Done {
        loop {
            match self.ask(&Request::Show { number })? {
                Answer::Change(change) if change.stage.ended() => {
                    self.tell(&Answer::Change(change.clone()));
                    return match change.stage {
                        Stage::Kept(_) => Ok(()),
                        Stage::Undone(why) | Stage::Dropped(why) => {
                            Err(End::Refused(format!("change {number}: {why}")))
                        }
                        _ => Ok(()),
                    };
                }
                // Half a second: an operator does not see the difference, and the director does not feel it.
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
    }

    fn change(&self, change: Change) -> Done {
        let request = match change {
            Change::Submit { wanted, who, why, base, trial, expect_loss: expected_loss, draft, wait } => {
                let (edits, who) = (edits(&wanted)?, who.who);
                let submission =
                    Submission { who, why, edits, trial, expected_loss, draft, ..Submission::default() };
                let number = self.submit(submission, base)?;
                return if wait && !draft { self.wait(number) } else { Ok(()) };
            }
            Change::Diff { wanted } => {
                let version = self.status()?.version;
                self.tell(&self.ask(&Request::Diff { edits: edits(&wanted)? })?);
                if !self.json {
                    say(&format!("to submit it if nothing else changes meanwhile: --base {version}"));
                }
                return Ok(());
            }
            Change::List { before } => Request::List { before: before.map(Version) },
            Change::Show { number } => Request::Show { number: Version(number) },
            Change::Stage { number } => Request::Stage { number: Version(number) },
            Change::Confirm { number, who } => Request::Confirm { number: Version(number), who: who.who },
            Change::Extend { number, by, who } => {
                Request::Extend { number: Version(number), by, who: who.who }
            }
            Change::Undo { number, why, who } => Request::Undo { number: Version(number), who: who.who, why },
            Change::Freeze { why, who } => Request::Freeze { who: who.who, why },
            Change::Thaw { who } => Request::Thaw { who: who.who },
        };
        self.tell(&self.ask(&request)?);
        Ok(())
    }
}

fn run(cli: Cli) -> Done {
    let json = cli.json;
    let asking = || match &cli.socket {
        Some(socket) => Ok(Asking { socket: socket.clone(), json }),
        None => {
            Err(End::Unreadable("--socket or COPPERSAIL_SOCKET: expected the director's socket".to_string()))
        }
    };
    match cli.command {
        Command::Check { file, config } => check(&file, config.as_deref(), json),
        Command::Evaluate { file } => {
            say(&unreadable(coppersail_jsonnet::evaluate(&file))?);
            Ok(())
        }
        Command::Guard { pool, tables, orders, pending } => {
            let told = unreadable(offline::judge(&pool, &tables, orders.as_deref(), pending.as_deref()))?;
            say(&if json { told.json } else { told.text });
            if told.passes {
                Ok(())
            } else {
                Err(End::Refused(told.short))
            }
        }
        Command::Announce { hosts, lead, every, cancel, who, why } => {
            let at = |k: usize| (!cancel).then_some(lead + every * k as f64);
            let leave: Vec<(String, Option<f64>)> =
                hosts.into_iter().enumerate().map(|(k, host)| (host, at(k))).collect();
            asking()?.announce(&leave, &who.who, &why)
        }
        Command::Plan(Plan::Drain { pool, tables, hosts, back_after, most, announce, lead, who }) => {
            let told = unreadable(offline::drain(&pool, &tables, &hosts, back_after, most))?;
            say(&if json { told.json } else { told.text });
            if !told.passes {
                return Err(End::Refused(told.short));
            }
            let steps = told
                .steps
                .into_iter()
                .flat_map(|(at, hosts)| hosts.into_iter().map(move |host| (host, Some(lead + at))));
            if announce {
                return asking()?.announce(&steps.collect::<Vec<_>>(), &who.who, "a planned drain");
            }
            Ok(())
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "coppersail", &mut std::io::stdout());
            Ok(())
        }
        Command::Status => {
            let asking = asking()?;
            asking.tell(&asking.ask(&Request::Status)?);
            Ok(())
        }
        Command::Change(change) => asking()?.change(change),
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let json = cli.json;
    let (is, text, code) = match run(cli) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(End::Refused(why)) => ("refused", why, 1),
        Err(End::Unreadable(why)) => ("unreadable", why, 2),
    };
    if json {
        eprintln!("{}", serde_json::json!({"is": is, "why": text}));
    } else {
        text.lines().for_each(|line| eprintln!("coppersail: {line}"));
    }
    ExitCode::from(code)
}
