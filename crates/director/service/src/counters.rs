//! What the director has received, sent and answered since its start.

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        /// Counts of events since the start. The fields' names and their order are those of the log line, which other
        /// programs read.
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),+ }

        impl Counters {
            /// The log line: `counters` and all of them as `name=count`, in the order of the fields.
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
    /// Connections that their peer has ended, or that broke.
    connections_ended,
    /// Connections closed by the director before the peer had joined as a collector.
    strangers_dropped,
    /// Connections of collectors closed by the director.
    collectors_dropped,
    /// Lines on accepted connections.
    lines_in,
    /// Lines of collectors that were skipped as invalid.
    lines_bad,
    /// Requests for a sign of life that were answered.
    alive_answers,
    /// Collectors that have joined, by naming their zone.
    zones_named,
    /// Reports of the attempts at one host.
    sums_of_tries,
    /// Reports of the calls to one slice.
    sums_of_calls,
    /// Figures of hosts' load reports that were skipped as invalid.
    load_figures_odd,
    /// Lists of hosts, full ones and updates, that were applied.
    lists,
    /// Lists of hosts that were skipped as invalid or outdated.
    lists_bad,
    /// Entries that were skipped as invalid in lists that were applied.
    entries_unsound,
    /// Hosts of which nothing is kept any more.
    hosts_forgotten,
    /// Watches of discovery that were opened.
    watches_opened,
    /// Watches of discovery that ended.
    watches_lost,
    /// Lines of the relay's news.
    news_lines,
    /// Lines of news that were invalid or named something unknown.
    news_bad,
    /// News connections that were opened.
    news_opened,
    /// News connections that ended after they had been established.
    news_lost,
    /// Proxies that have joined.
    proxies_joined,
    /// Proxies that have left.
    proxies_left,
    /// Slices that were assigned to this director.
    slices_given,
    /// Slices that were taken from this director.
    slices_taken,
    /// Acknowledgements by proxies of the tables that they have.
    receipts,
    /// Times that the decisions were asked for.
    decisions,
    /// Calls written to the relay, repeats included.
    calls_sent,
    /// Calls that the relay has answered as done, wholly or in part.
    calls_answered,
    /// Calls that the relay has turned away as too many.
    calls_throttled,
    /// Calls that were repeated as their outcome was unknown.
    calls_repeated,
    /// Calls that were dropped as the relay has called them invalid twice.
    calls_invalid,
    /// Waiting calls that were merged into one.
    calls_merged,
    /// Calls that waited for room in the channel to the proxies.
    calls_held,
    /// Parts of calls that were sent before the rest, as the channel had no room for the whole.
    calls_cut,
    /// Lines that may be queued in the channel now, by the director's estimate.
    lines_may_wait,
    /// Orders that the decisions have given.
    orders_given,
    /// Orders that the relay has carried out.
    orders_taken,
    /// Orders that the relay has refused.
    orders_refused,
    /// Orders of a kind that the relay has no call for.
    orders_unknown,
    /// Probes of hosts that were started.
    probes_sent,
    /// Probes answered with status 200.
    probes_answered,
    /// Probes answered with status 503.
    probes_throttled,
    /// Probes answered with another status, or unreadably.
    probes_failed,
    /// Probes without an answer in time.
    probes_timed_out,
    /// Probes for which no connection was established.
    probes_unreachable,
    /// Probes whose connection broke.
    probes_broken,
    /// Configurations that were read again and applied.
    configurations_taken,
    /// Configurations and operators' files that were read again and found invalid.
    configurations_bad,
    /// Operators' commands.
    commands,
    /// Operators' commands that were not carried out.
    commands_refused,
    /// Times that what operators' changes ask for was handed to the decisions.
    wishes_given,
    /// Batches of table lines that the capacity guard has judged.
    guard_judged,
    /// Batches that went out as they were less harmful than the present tables.
    guard_least_bad,
    /// Batches that the capacity guard has refused.
    guard_refused,
    /// Batches that went out as the capacity guard had refused them too often.
    guard_overruled,
}
