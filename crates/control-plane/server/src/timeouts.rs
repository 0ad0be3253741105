//! Durations that follow from the process settings.
use coppersail_config::ProcessSettings;
use coppersail_consensus::Ms;

/// How long a pending reply may wait for followers to acknowledge, in ms. Callers time out after a second.
const ACKNOWLEDGEMENT_WAIT: Ms = 600;

/// The limits of the leader lease, in ms.
const MIN_LEADER_LEASE: Ms = 300;
const MAX_LEADER_LEASE: Ms = 3000;

/// Durations, in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    pub(crate) core: coppersail_consensus::Timeouts,
    /// How long an endpoint holds a shard lease without a renewal. It is half of the configured maximum,
    /// which is longer than a restart of all members takes. It is not longer because the shards of a lost
    /// endpoint are not served until the lease expires.
    pub(crate) lease_duration: Ms,
    /// How often endpoints send heartbeats.
    pub(crate) heartbeat_interval: Ms,
    /// How long a reply may wait for followers to acknowledge.
    pub(crate) acknowledgement_wait: Ms,
}

impl Timeouts {
    pub(crate) fn new(settings: &ProcessSettings) -> Timeouts {
        let ms = |time: std::time::Duration| time.as_millis() as Ms;
        let limits = &settings.limits;
        // A failover and the heartbeats after it have to end within the time after which members count as in
        // contact.
        let lease = (ms(limits.min_contact_time) * 2 / 5).clamp(MIN_LEADER_LEASE, MAX_LEADER_LEASE);
        let core = coppersail_consensus::Timeouts {
            lease,
            heartbeat_interval: lease / 3,
            rpc_timeout: lease / 2,
            // A lost member is replaced after half of `sync_time`. The other half is left to restore
            // redundancy, because another member may fail after `sync_time`.
            replace_after: ms(limits.sync_time) / 2,
            shutdown_grace: ms(limits.shutdown_grace) / 2,
            max_failures: settings.max_machine_failures as usize,
        };
        Timeouts {
            core,
            lease_duration: ms(limits.max_lease_duration) / 2,
            heartbeat_interval: ms(settings.heartbeat),
            acknowledgement_wait: ACKNOWLEDGEMENT_WAIT,
        }
    }

    /// These timeouts, but with the lease timeouts of the running process: leases in force were granted by
    /// them, so they stay until the process ends.
    pub(crate) fn keeping_leases_of(self, running: &Timeouts) -> Timeouts {
        let core = coppersail_consensus::Timeouts {
            lease: running.core.lease,
            heartbeat_interval: running.core.heartbeat_interval,
            rpc_timeout: running.core.rpc_timeout,
            ..self.core
        };
        Timeouts { core, lease_duration: running.lease_duration, ..self }
    }

    /// The time without a heartbeat after which an endpoint is suspect, in ms.
    pub(crate) fn suspect_after(&self) -> Ms {
        self.heartbeat_interval * 5 / 2
    }
}
