//! `coppersail-edge-proxy`: the edge of the gateway.
use std::process::ExitCode;

const HELP: &str = "\
coppersail-edge-proxy: the edge of the gateway; takes requests of clients and passes them to hosts

Usage: coppersail-edge-proxy [--check] [--sessions FILE]

  --check          read the settings, say what is wrong with them, and end
  --sessions FILE  sessions travel between edges as FILE says (docs/sessions.md)

The settings file is named by COPPERSAIL_SETTINGS. SIGHUP reads it again; SIGTERM ends in order.
";

fn main() -> ExitCode {
    let (mut check, mut sessions) = (false, None);
    let mut args = lexopt::Parser::from_env();
    loop {
        match args.next() {
            Ok(None) => break,
            Ok(Some(lexopt::Arg::Long("check"))) => check = true,
            Ok(Some(lexopt::Arg::Long("sessions"))) => match args.value().map(|path| path.into_string()) {
                Ok(Ok(path)) => sessions = Some(path),
                _ => return wrong("--sessions lacks a file"),
            },
            Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                print!("{HELP}");
                return ExitCode::SUCCESS;
            }
            Ok(Some(other)) => return wrong(&other.unexpected().to_string()),
            Err(fault) => return wrong(&fault.to_string()),
        }
    }
    let boot = match coppersail_config::ProcessSettings::read() {
        Ok(boot) => boot,
        Err(fault) => return wrong(&fault.to_string()),
    };
    if let Err(fault) = coppersail_edge_proxy::able(&boot) {
        return wrong(&fault);
    }
    if let Some(Err(fault)) = sessions.as_deref().map(coppersail_config::SessionSettings::read) {
        return wrong(&fault.to_string());
    }
    if check {
        return ExitCode::SUCCESS;
    }
    match coppersail_edge_proxy::run(boot, sessions, coppersail_edge_proxy::log::root()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("edge: {fault:#}");
            ExitCode::FAILURE
        }
    }
}

fn wrong(line: &str) -> ExitCode {
    eprintln!("edge: {line}");
    ExitCode::from(2)
}
