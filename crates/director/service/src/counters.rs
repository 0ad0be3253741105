//! What was taken in, sent and answered since the start.

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {
        #[derive(Clone, Debug, Default, PartialEq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64),+ }

        impl Counters {
            /// One line, in the order in which they stand here.
            pub fn line(&self) -> String {
                let figures: Vec<String> = vec![$(format!("{}={}", stringify!($name), self.$name)),+];
                format!("counters {}", figures.join(" "))
            }
        }
    };
}

counters! {
    connections_taken,
    connections_ended,
    /// Ended by us before they had joined.
    strangers_dropped,
    /// Ended by us after they had joined.
    collectors_dropped,
    lines_in,
    /// Passed over, from collectors.
    lines_bad,
    alive_answers,
    zones_named,
    sums_of_tries,
    sums_of_calls,
    load_figures_odd,
    lists,
    lists_bad,
    entries_unsound,
    hosts_forgotten,
    watches_opened,
    watches_lost,
    news_lines,
    news_bad,
    news_opened,
    news_lost,
    proxies_joined,
    proxies_left,
    slices_given,
    slices_taken,
    receipts,
    decisions,
    calls_sent,
    calls_answered,
    calls_throttled,
    calls_repeated,
    calls_invalid,
    calls_merged,
    /// Calls that waited for the channel, and parts of calls that went before the rest.
    calls_held,
    calls_cut,
    /// Lines that may wait in the channel now, as reckoned.
    lines_may_wait,
    orders_given,
    orders_taken,
    orders_refused,
    orders_unknown,
    probes_sent,
    probes_answered,
    probes_throttled,
    probes_failed,
    probes_timed_out,
    probes_unreachable,
    probes_broken,
    configurations_taken,
    configurations_bad,
    /// Operators' commands, and those of them that were not done.
    commands,
    commands_refused,
    wishes_given,
    /// Batches of lines that the guard has judged; those that went out as less bad than what stands, that it refused, and
    /// that it let through as it had refused them too often.
    guard_judged,
    guard_least_bad,
    guard_refused,
    guard_overruled,
}
