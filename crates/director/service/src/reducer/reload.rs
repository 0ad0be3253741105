//! Applies a reloaded configuration file.

use super::configuration::{CheckedConfig, ConfigError};
use super::event::FileError;
use super::Reducer;
use coppersail_protocol::config::Config;

/// The reloaded configuration, if all of it can be used.
fn usable(config: Result<Config, FileError>) -> Result<Config, ConfigError> {
    let config = config?;
    CheckedConfig::new(&config)?;
    Ok(config)
}

impl Reducer {
    /// Applies all of a new configuration or none of it. Connections to old addresses stay in use until those to the
    /// new addresses work.
    pub(super) fn reload(&mut self, now: f64, config: Result<Config, FileError>) {
        let config = match usable(config) {
            Ok(config) => config,
            Err(error) => {
                self.outbox.counters.configurations_bad += 1;
                self.outbox.warn(format!("configuration: not applied: {error}"));
                return;
            }
        };
        self.outbox.counters.configurations_taken += 1;
        let discovery = config.discovery;
        let relay = config.relay;
        let ignored = self.changes_that_need_a_restart(&config);
        let suffix = if ignored.is_empty() {
            String::new()
        } else {
            format!("; a restart is needed for {}", ignored.join(", "))
        };
        self.outbox.info(format!("configuration: applied, discovery {discovery}, relay {relay}{suffix}"));
        self.discovery.set_address(now, discovery, &mut self.outbox);
        self.subscription.set_address(now, relay, &mut self.outbox);
        self.calls.set_address(relay, &mut self.outbox);
    }

    /// Names of the fields that differ from those at the start and take effect only at the next start.
    fn changes_that_need_a_restart(&self, config: &Config) -> Vec<&'static str> {
        let mut changed = Vec::new();
        for (at_start, now) in self.fixed_at_start.iter().zip(config.restart_only_fields()) {
            if *at_start != now {
                changed.push(at_start.0);
            }
        }
        changed
    }
}
