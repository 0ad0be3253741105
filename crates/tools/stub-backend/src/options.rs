//! The command line.
use coppersail_stub_backend::EndpointConfig;
use eyre::{eyre, Result};
use lexopt::prelude::*;
use std::time::Duration;

pub(crate) const USAGE: &str = "\
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

/// What the command line asks for.
pub(crate) struct Options {
    pub(crate) endpoint: EndpointConfig,
    /// Admin addresses of control-plane nodes, at least one.
    pub(crate) control_plane: Vec<String>,
    pub(crate) health_check_path: String,
}

impl Default for Options {
    fn default() -> Options {
        let endpoint = EndpointConfig {
            id: format!("i-{:08x}", fastrand::u32(..)),
            revision: "v1".into(),
            capacity: 4,
            service_time: Duration::from_millis(50),
            heartbeat_interval: Duration::from_secs(1),
            drain_time: Duration::from_secs(2),
            ..EndpointConfig::default()
        };
        Options { endpoint, control_plane: Vec::new(), health_check_path: "/wellness".into() }
    }
}

fn milliseconds(args: &mut lexopt::Parser) -> Result<Duration> {
    Ok(Duration::from_millis(args.value()?.parse()?))
}

/// Parses the command line of this process; `None` if it asks for [`USAGE`].
pub(crate) fn parse() -> Result<Option<Options>> {
    let mut options = Options::default();
    let endpoint = &mut options.endpoint;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("backend") => endpoint.service = args.value()?.string()?,
            Long("listen") => endpoint.address = args.value()?.string()?,
            Long("centre") => options.control_plane.push(args.value()?.string()?),
            Long("area") => endpoint.zone = args.value()?.string()?,
            Long("capacity") => endpoint.capacity = args.value()?.parse()?,
            Long("revision") => endpoint.revision = args.value()?.string()?,
            Long("check") => options.health_check_path = args.value()?.string()?,
            Long("split") => endpoint.sharded = true,
            Long("work") => endpoint.service_time = milliseconds(&mut args)?,
            Long("warm") => endpoint.slow_start = milliseconds(&mut args)?,
            Long("heartbeat") => endpoint.heartbeat_interval = milliseconds(&mut args)?,
            Long("empty") => endpoint.drain_time = milliseconds(&mut args)?,
            Short('h') | Long("help") => return Ok(None),
            _ => return Err(arg.unexpected().into()),
        }
    }
    check_required(&options)?;
    Ok(Some(options))
}

fn check_required(options: &Options) -> Result<()> {
    let required = [
        ("--backend", !options.endpoint.service.is_empty()),
        ("--listen", !options.endpoint.address.is_empty()),
        ("--area", !options.endpoint.zone.is_empty()),
        ("--centre", !options.control_plane.is_empty()),
        ("--capacity above 0", options.endpoint.capacity > 0),
    ];
    match required.iter().find(|(_, is_given)| !is_given) {
        Some((name, _)) => Err(eyre!("{name} has to be given; --help tells more")),
        None => Ok(()),
    }
}
