//! Counters of what the director has received, sent and answered since its start.

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counters since the start. Other programs read the log line, which has the fields under these names and in
        /// this order.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),+ }

        impl Counters {
            /// The log line: `counters`, then each counter as `name=count` in the order of the fields.
            pub fn log_line(&self) -> String {
                let pairs: Vec<String> = vec![$(format!("{}={}", stringify!($name), self.$name)),+];
                format!("counters {}", pairs.join(" "))
            }
        }
    };
}

counters! {
    /// Accepted connections.
    connections_taken,
    /// Accepted connections that the peer closed, or that broke.
    connections_ended,
    /// Connections closed by the director before the peer had joined as a collector.
    strangers_dropped,
    /// Connections of collectors closed by the director.
    collectors_dropped,
    /// Lines received on accepted connections.
    lines_in,
    /// Lines of collectors that were skipped as invalid.
    lines_bad,
    /// Liveness probes of the director that were answered.
    alive_answers,
    /// Collectors that have joined by naming their zone.
    zones_named,
    /// Reports of the attempts to call one host.
    sums_of_tries,
    /// Reports of the calls to one slice.
    sums_of_calls,
    /// Figures in hosts' load reports that were ignored as invalid.
    load_figures_odd,
    /// Host lists, complete or incremental, that were applied.
    lists,
    /// Host lists that were skipped as invalid or outdated.
    lists_bad,
    /// Invalid entries that were skipped in lists that were applied.
    entries_unsound,
    /// Hosts that have left and whose state was released.
    hosts_forgotten,
    /// Watches of the discovery service that were opened.
    watches_opened,
    /// Watches of the discovery service that ended.
    watches_lost,
    /// Lines received on the relay's update streams.
    news_lines,
    /// Lines of update streams that were invalid or named something unknown.
    news_bad,
    /// Update streams that were opened.
    news_opened,
    /// Update streams that ended after they had been established.
    news_lost,
    /// Proxies that have joined.
    proxies_joined,
    /// Proxies that have left.
    proxies_left,
    /// Slices that were assigned to this director.
    slices_given,
    /// Slices that were revoked from this director.
    slices_taken,
    /// Acknowledgements by proxies of a round of messages.
    receipts,
    /// Batches of inputs that were given to the decision logic.
    decisions,
    /// Calls written to the relay, repeats included.
    calls_sent,
    /// Calls that the relay has answered as carried out, wholly or in part.
    calls_answered,
    /// Calls that the relay has rejected by its rate limit.
    calls_throttled,
    /// Calls that were retried because their outcome was unknown.
    calls_repeated,
    /// Calls that were dropped because the relay answered twice that they are invalid.
    calls_invalid,
    /// Waiting calls that were merged into one.
    calls_merged,
    /// Calls that waited for capacity of the channel to the proxies.
    calls_held,
    /// Parts of calls that were sent before the rest, because the channel had no capacity for the whole call.
    calls_cut,
    /// The director's upper estimate of the lines that are queued in the channel now.
    lines_may_wait,
    /// Orders for the relay that the decision logic has given.
    orders_given,
    /// Orders that the relay has carried out.
    orders_taken,
    /// Orders that the relay has refused.
    orders_refused,
    /// Orders that cannot be expressed in a call to the relay.
    orders_unknown,
    /// Probes of hosts that were started.
    probes_sent,
    /// Probes answered with status 200.
    probes_answered,
    /// Probes answered with status 503.
    probes_throttled,
    /// Probes answered with another status, or unreadably.
    probes_failed,
    /// Probes that were not answered within the timeout.
    probes_timed_out,
    /// Probes for which no connection was established.
    probes_unreachable,
    /// Probes whose connection broke.
    probes_broken,
    /// Configurations that were reloaded and applied.
    configurations_taken,
    /// Configurations and operators' files that were reloaded and could not be used.
    configurations_bad,
    /// Operators' commands.
    commands,
    /// Operators' commands that were rejected.
    commands_refused,
    /// Times that the operators' overrides were given to the decision logic.
    wishes_given,
    /// Batches of table lines that the capacity guard has judged.
    guard_judged,
    /// Batches that were sent because they are less harmful than the present tables.
    guard_least_bad,
    /// Batches that the capacity guard has refused.
    guard_refused,
    /// Batches that were sent because the capacity guard had refused them too often.
    guard_overruled,
}
