//! Module and call queue together against a plain model of the true channel, which lives here alone: a line of messages
//! that pass one after the other at a pace that nobody tells. Whatever becomes of calls, receipts and proxies, what
//! really waits keeps to the backlog, and no withdrawal waits for ever.

use super::super::*;
use super::{lines, CONFIG};
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeSet;
use std::collections::{BTreeMap, VecDeque};
use test_case::test_case;

const SLICES: u16 = 48;
const HOSTS: usize = 12;
const OVERHEAD: f64 = 12.0;
/// Lines a second for each proxy, and how many seconds of them may wait.
const LINES_EACH: f64 = 40.0;
const BACKLOG_S: f64 = 2.0;
const BEAT: f64 = 0.02;
const MESSAGES_MOST: usize = 40;
const MESSAGES_SPAN: f64 = 4.0;
/// The orders of a call, and what stands round them.
const CALL_MOST: usize = coppersail_protocol::relay::MOST + "txn \r\n".len();

/// What becomes of a call, in hundredths; the others are answered.
#[derive(Clone, Copy, Debug)]
struct Odds {
    silent: u32,
    broken: u32,
    spoilt: u32,
    throttled: u32,
}

#[derive(Clone, Debug)]
struct Script {
    seed: u64,
    proxies: u16,
    /// When troubles and the release end, and the play.
    trouble: f64,
    end: f64,
    odds: Odds,
    /// The pace as a part of the stated one, by spells of two seconds.
    paces: Vec<f64>,
    /// When crowds leave, how many hundredths of the proxies, and how long they stay away.
    crowds: Vec<(f64, u32, f64)>,
    /// What waits for one that leaves stays in the channel.
    stays: bool,
    /// Receipts lost, in hundredths; and how late news may be, in seconds.
    lost: u32,
    late: f64,
    /// When the news break off, all at once.
    breaks: Vec<f64>,
    /// Messages are counted, and receipts come in bulk.
    counted: bool,
    /// The backlog that the director is told, as a part of the true one.
    told: f64,
    /// When four directors are lost, whose slices come to this one.
    takeover: Option<f64>,
    /// When these are back, and take their slices.
    returned: Option<f64>,
    /// When this director is stopped and starts again from nothing.
    restart: Option<f64>,
    /// Bytes of a host's name: long ones make calls that are cut by their length.
    name: usize,
}

struct Draw(u64);

impl Draw {
    fn share(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }

    fn of_100(&mut self, many: u32) -> bool {
        self.share() * 100.0 < f64::from(many)
    }
}

/// The true channel, and the relay before it.
struct Truth {
    waits: VecDeque<(u16, f64, Option<String>)>,
    waiting: f64,
    most: f64,
    joined: BTreeSet<u16>,
    returns: Vec<(f64, u16)>,
    receipts: VecDeque<(f64, u16, String)>,
    messages: BTreeMap<u16, VecDeque<f64>>,
    messages_most: usize,
    tables: BTreeMap<u16, BTreeMap<String, String>>,
    /// Who was shut out, when first and when last.
    out: BTreeMap<String, (f64, f64)>,
    /// Bytes of the longest call.
    longest: usize,
    feeds: BTreeMap<LinkId, VecDeque<(f64, String)>>,
    late: f64,
    bulk: bool,
}

impl Truth {
    /// What the call does; its answer.
    fn carry_out(&mut self, now: f64, text: &str) -> String {
        self.longest = self.longest.max(text.len());
        let orders: Vec<&str> = text.trim_start_matches("txn ").trim_end().split(';').collect();
        let mark = orders.iter().find_map(|order| order.strip_prefix("SYNC,")?.split(',').next());
        for order in &orders {
            let parts: Vec<&str> = order.split(',').collect();
            match parts[..] {
                ["SET", slice, host, "0"] => {
                    let table = self.tables.get_mut(&slice.parse().unwrap());
                    table.into_iter().for_each(|table| _ = table.remove(host));
                }
                ["SET", slice, host, weight] => {
                    // A slice that is no longer ours counts as taken and changes nothing.
                    let table = self.tables.get_mut(&slice.parse().unwrap());
                    table
                        .into_iter()
                        .for_each(|table| _ = table.insert(host.to_string(), weight.to_string()));
                }
                ["OUT", host] => self.out.entry(host.to_string()).or_insert((now, now)).1 = now,
                _ => {}
            }
        }
        let each = OVERHEAD + orders.len() as f64;
        for proxy in self.joined.clone() {
            self.waits.push_back((proxy, each, mark.map(str::to_string)));
            self.waiting += each;
            let times = self.messages.entry(proxy).or_default();
            times.push_back(now);
            times.retain(|at| now - at <= MESSAGES_SPAN);
            self.messages_most = self.messages_most.max(times.len());
        }
        self.most = self.most.max(self.waiting);
        format!("OK {}", orders.len())
    }

    fn names(&self, host: &str) -> bool {
        self.tables.values().any(|table| table.contains_key(host))
    }

    /// The host was shut out since, or no table names it.
    fn told(&self, since: f64, host: &str) -> bool {
        self.out.get(host).is_some_and(|(_, last)| *last > since) || !self.names(host)
    }

    /// The longest time from a drain to its call.
    fn slowest(&self, drained: &[(f64, String)]) -> f64 {
        let told = drained.iter().filter_map(|(at, host)| Some(self.out.get(host)?.0 - at));
        told.fold(0.0, f64::max)
    }

    fn tell(&mut self, now: f64, draw: &mut Draw, text: &str) {
        let due = now + self.late * draw.share();
        self.feeds.values_mut().for_each(|feed| feed.push_back((due, text.to_string())));
    }

    fn standing(&self) -> Vec<String> {
        let mut news = vec!["OK".to_string()];
        news.extend(self.joined.iter().map(|proxy| format!("* hello {proxy} a 1.5 0")));
        for (slice, table) in &self.tables {
            news.push(format!("* lease {slice} 1"));
            news.extend(table.iter().map(|(host, weight)| format!("* line {slice} {host} {weight}")));
        }
        news.push("*".to_string());
        news
    }

    fn pass(&mut self, now: f64, mut lines: f64, lost: u32, draw: &mut Draw) {
        while let Some((proxy, each, mark)) = self.waits.front_mut() {
            let part = each.min(lines);
            (*each, lines, self.waiting) = (*each - part, lines - part, self.waiting - part);
            if *each > 1e-9 {
                break;
            }
            if let (Some(mark), true) = (mark.take(), self.joined.contains(proxy)) {
                if !draw.of_100(lost) {
                    self.receipts.push_back((now + 0.05 + 0.4 * draw.share(), *proxy, mark));
                }
            }
            self.waits.pop_front();
        }
        // In bulk: all that came within a second, at its end.
        let until = if self.bulk { now.floor() } else { now };
        let (come, later) = self.receipts.drain(..).partition(|(at, ..)| *at <= until);
        self.receipts = later;
        let come: VecDeque<(f64, u16, String)> = come;
        for (_, proxy, mark) in come.into_iter().filter(|(_, proxy, _)| self.joined.contains(proxy)) {
            self.feeds
                .values_mut()
                .for_each(|feed| feed.push_back((now, format!("* ack {proxy} {mark} 90.0"))));
        }
    }

    fn leave(&mut self, now: f64, proxy: u16, stays: bool, draw: &mut Draw) {
        if self.joined.remove(&proxy) {
            self.messages.remove(&proxy);
            self.tell(now, draw, &format!("* bye {proxy}"));
            if !stays {
                let gone: f64 =
                    self.waits.iter().filter(|(of, ..)| *of == proxy).map(|(_, each, _)| each).sum();
                self.waits.retain(|(of, ..)| *of != proxy);
                self.waiting -= gone;
            }
        }
    }

    fn join(&mut self, now: f64, proxy: u16, draw: &mut Draw) {
        if self.joined.insert(proxy) {
            self.tell(now, draw, &format!("* hello {proxy} a 1.5 0"));
        }
    }
}

fn entry(name: &str, state: &str, born: f64) -> String {
    let started = if born > 0.0 { (1e3 * born) as u64 } else { 0 };
    format!(
        r#"{{"id":"{name}","addr":"127.0.0.1:9","zone":"a","kind":"m2","cell":0,"state":"{state}","weight":1.0,"started_ms":{started}}}"#
    )
}

fn listed(version: usize, full: bool, entries: &[String]) -> String {
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

impl Script {
    fn lines_per_s(&self) -> f64 {
        LINES_EACH * f64::from(self.proxies)
    }

    fn host(&self, n: usize) -> String {
        format!("h{n:0>width$}", width = self.name - 1)
    }

    fn backlog(&self) -> f64 {
        BACKLOG_S * self.lines_per_s()
    }
}

#[derive(Debug)]
struct Played {
    /// Most lines that waited, and messages to a proxy in a span.
    most: f64,
    messages: usize,
    /// Drained hosts that a table still names at the end, and of which nobody was told.
    untold: Vec<String>,
    /// The longest time from a drain to its call, where the host was in a table; and from a slice given that names a host
    /// that went to that call, or until no table names it.
    slowest: f64,
    /// Bytes of the longest call.
    longest: usize,
}

fn play(script: &Script) -> Played {
    let (lines_per_s, backlog) = (script.lines_per_s(), script.backlog());
    let messages = if script.counted { MESSAGES_MOST } else { 0 };
    let text = CONFIG.replace(
        "\"slices\":1,\"proxy-count\":2",
        &format!(
            "\"slices\":{},\"proxy-count\":{},\"lines-per-s\":{lines_per_s:?},\"backlog\":{:?},\
             \"overhead\":{OVERHEAD:?},\"transit-max-ns\":500000000,\"reloads-max\":{messages},\
             \"update-window-ns\":{}",
            5 * SLICES,
            script.proxies,
            script.told * backlog,
            (MESSAGES_SPAN * 1e9) as u64
        ),
    );
    let start = || Reducer::new(&Config::parse(text.as_bytes()).unwrap(), 0).unwrap();
    let mut reducer = start();
    let mut draw = Draw(script.seed);
    let table = |slice: u16| BTreeMap::from([(script.host(slice as usize % 9), "1".to_string())]);
    let tables = (0..SLICES).map(|slice| (slice, table(slice)));
    let mut truth = Truth {
        waits: VecDeque::new(),
        waiting: 0.0,
        most: 0.0,
        joined: (0..script.proxies).collect(),
        returns: Vec::new(),
        receipts: VecDeque::new(),
        messages: BTreeMap::new(),
        messages_most: 0,
        tables: tables.collect(),
        out: BTreeMap::new(),
        longest: 0,
        feeds: BTreeMap::new(),
        late: script.late,
        bulk: script.counted,
    };
    let mut hosts: BTreeMap<usize, String> =
        (0..HOSTS).map(|n| (n, entry(&script.host(n), "in_service", 0.0))).collect();
    let whole = |version, hosts: &BTreeMap<usize, String>| {
        let entries: Vec<String> = hosts.values().cloned().collect();
        Event::WatchLines(LinkId(1), lines(&[&listed(version, true, &entries)]))
    };
    let mut events = VecDeque::from([Event::Settle, whole(1, &hosts)]);
    let (mut drained, mut up, mut answers) = (Vec::new(), BTreeSet::new(), Vec::<(f64, Event)>::new());
    let (mut owed, mut slowest, mut version) = (Vec::new(), 0.0f64, 1);
    let (mut crowds, mut breaks) = (script.crowds.clone(), script.breaks.clone());
    for beat in 0..(script.end / BEAT) as usize {
        let now = beat as f64 * BEAT;
        let trouble = now < script.trouble;
        let pace = script.paces.get((now / 2.0) as usize).copied().unwrap_or(1.0);
        truth.pass(now, BEAT * pace * lines_per_s, if trouble { script.lost } else { 0 }, &mut draw);
        // A release: every second a host drains, goes two seconds later, and another one comes.
        if beat % 50 == 10 && trouble {
            let n = beat / 50;
            let mut changes = vec![entry(&script.host(n), "terminating", 0.0)];
            drained.push((now, script.host(n)));
            changes.push(entry(&script.host(n + HOSTS), "in_service", now));
            hosts.extend([(n, changes[0].clone()), (n + HOSTS, changes[1].clone())]);
            if n >= 2 {
                changes.push(entry(&script.host(n - 2), "terminated", 0.0));
                hosts.remove(&(n - 2));
            }
            version = 2 + n;
            events.push_back(Event::WatchLines(LinkId(1), lines(&[&listed(version, false, &changes)])));
        }
        if script.restart.is_some_and(|at| now >= at && at > now - BEAT) {
            // Nothing is left of it but what stands at the relay, and its time for drains begins anew.
            slowest = slowest.max(truth.slowest(&drained));
            drained.iter_mut().for_each(|(at, _)| *at = now);
            (truth.waiting, reducer) = (0.0, start());
            (truth.waits, truth.receipts, truth.feeds) = Default::default();
            (truth.messages, truth.out) = Default::default();
            (answers, owed, up) = Default::default();
            events = VecDeque::from([Event::Settle, whole(version, &hosts)]);
        }
        for (at, of_100, away) in std::mem::take(&mut crowds) {
            if now < at {
                crowds.push((at, of_100, away));
                continue;
            }
            for proxy in 0..script.proxies {
                if draw.of_100(of_100) {
                    truth.leave(now, proxy, script.stays, &mut draw);
                    truth.returns.push((now + away + 0.6 * draw.share(), proxy));
                }
            }
        }
        let (back, away) = std::mem::take(&mut truth.returns).into_iter().partition(|(at, _)| *at <= now);
        truth.returns = away;
        let back: Vec<(f64, u16)> = back;
        back.into_iter().for_each(|(_, proxy)| truth.join(now, proxy, &mut draw));
        let away = |at: f64| now >= at && script.returned.is_none_or(|back| now < back);
        if script.returned.is_some_and(|at| now >= at) && truth.tables.len() > SLICES as usize {
            for slice in SLICES..5 * SLICES {
                truth.tables.remove(&slice);
                truth.tell(now, &mut draw, &format!("* lease {slice} 0"));
            }
        }
        if script.takeover.is_some_and(away) && truth.tables.len() == SLICES as usize {
            // Their director had not come to clear them of all that went.
            owed.extend(drained.iter().map(|(_, host)| (now, host.clone())));
            for slice in SLICES..5 * SLICES {
                truth.tables.insert(slice, table(slice));
                truth.tell(now, &mut draw, &format!("* lease {slice} 1"));
                truth.tell(now, &mut draw, &format!("* line {slice} {} 1", script.host(slice as usize % 9)));
            }
        }
        if breaks.first().is_some_and(|at| *at <= now) {
            breaks.remove(0);
            for link in std::mem::take(&mut truth.feeds).into_keys() {
                events.push_back(Event::RelayDown(link, "broken".to_string()));
            }
        }
        if beat % 50 == 0 {
            truth.tell(now, &mut draw, "*");
        }
        if beat % 50 == 25 {
            events.push_back(Event::WatchLines(LinkId(1), lines(&[""])));
        }
        for (link, feed) in &mut truth.feeds {
            let mut said = Vec::new();
            while feed.front().is_some_and(|(at, _)| *at <= now) {
                said.extend(feed.pop_front().map(|(_, text)| text));
            }
            let said: Vec<&str> = said.iter().map(String::as_str).collect();
            if !said.is_empty() {
                events.push_back(Event::RelayLines(*link, lines(&said)));
            }
        }
        let (due, later) = std::mem::take(&mut answers).into_iter().partition(|(at, _)| *at <= now);
        answers = later;
        let due: Vec<(f64, Event)> = due;
        events.extend(due.into_iter().map(|(_, event)| event));
        events.extend([Event::Time, Event::Settle]);
        while let Some(event) = events.pop_front() {
            let effects = reducer.reduce(now, event);
            for effect in effects {
                match effect {
                    Effect::Dial(link, _) => {
                        up.insert(link);
                        answers.push((now + BEAT, Event::RelayUp(link)));
                    }
                    Effect::HangUp(link) => {
                        up.remove(&link);
                        truth.feeds.remove(&link);
                    }
                    Effect::Probe { host, .. } => answers.push((
                        now + BEAT,
                        Event::Probed { host, end: ProbeEnd::Status(200), took: 0.01, body: vec![] },
                    )),
                    Effect::Send(link, bytes) if bytes.starts_with(b"txn ") => {
                        let text = String::from_utf8(bytes).unwrap();
                        let odds = script.odds;
                        let dice = if trouble { (draw.share() * 100.0) as u32 } else { 100 };
                        let carried = draw.of_100(70);
                        let down = |why: &str| Event::RelayDown(link, why.to_string());
                        if dice < odds.throttled {
                            answers.push((now, Event::RelayLines(link, lines(&["Throttling"]))));
                            continue;
                        }
                        let faulty = dice < odds.throttled + odds.silent + odds.broken + odds.spoilt;
                        let answer =
                            if carried || !faulty { truth.carry_out(now, &text) } else { String::new() };
                        match dice.saturating_sub(odds.throttled) {
                            _ if !faulty => {
                                let at = now + 0.05 * draw.share();
                                answers.push((at, Event::RelayLines(link, lines(&[&answer]))));
                            }
                            dice if dice < odds.silent => {}
                            dice if dice < odds.silent + odds.broken => answers.push((now, down("reset"))),
                            _ => answers.push((now, Event::RelayLines(link, lines(&["O?"])))),
                        }
                    }
                    Effect::Send(link, _) => {
                        truth.feeds.insert(link, VecDeque::new());
                        let news = truth.standing();
                        let news: Vec<&str> = news.iter().map(String::as_str).collect();
                        events.extend([Event::RelayLines(link, lines(&news)), Event::Settle]);
                    }
                    _ => {}
                }
            }
        }
        for (at, _) in owed.extract_if(.., |(at, host): &mut (f64, String)| truth.told(*at, host)) {
            slowest = slowest.max(now - at);
        }
    }
    let untold = drained.iter().filter(|(_, host)| !truth.out.contains_key(host) && truth.names(host));
    let untold = untold.chain(&owed).map(|(_, host)| host.clone()).collect();
    let slowest = slowest.max(truth.slowest(&drained));
    Played { most: truth.most, messages: truth.messages_most, untold, slowest, longest: truth.longest }
}

fn script() -> impl Strategy<Value = Script> {
    let pace = prop_oneof![Just(1.0), Just(0.5), Just(0.12), Just(0.02)];
    let odds = (0..15u32, 0..15u32, 0..15u32, 0..4u32).prop_map(|(silent, broken, spoilt, throttled)| Odds {
        silent,
        broken,
        spoilt,
        throttled,
    });
    let crowd = (1.0..14.0, 10..100u32, 0.2..2.0);
    let crowds = proptest::collection::vec(crowd, 0..3);
    let breaks = proptest::collection::vec(1.0..14.0, 0..2);
    let paces = proptest::collection::vec(pace, 8);
    // Another director is away for a while; this one restarts. Long names make calls past their length.
    let taken = proptest::option::of((1.0..20.0, 2.0..6.0));
    let restart = proptest::option::of(1.0..20.0);
    let restarts = (taken, restart, prop_oneof![Just(3usize), Just(3000)]);
    let channel = (odds, paces, crowds, any::<bool>(), 0..6u32, 0.0..0.06, breaks, any::<bool>());
    (any::<u64>(), channel, restarts).prop_map(|(seed, channel, (taken, restart, name))| {
        let (odds, paces, crowds, stays, lost, late, mut breaks, counted) = channel;
        breaks.sort_by(f64::total_cmp);
        let (takeover, returned) = (taken.map(|(at, _)| at), taken.map(|(at, away)| at + away));
        let played = Script { trouble: 16.0, end: 36.0, ..calm(seed, 120, odds) };
        let played = Script { paces, crowds, stays, lost, late, breaks, counted, ..played };
        Script { takeover, returned, restart, name, ..played }
    })
}

/// So many scripts, the same each time.
fn runner(cases: u32) -> TestRunner {
    let cases = Cases { cases, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(cases, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn what_really_waits_keeps_to_the_backlog() {
    let kept = runner(24).run(&script(), |script| {
        let played = play(&script);
        prop_assert!(played.most <= script.backlog(), "{played:?}, {} may wait", script.backlog());
        prop_assert!(!script.counted || played.messages <= MESSAGES_MOST, "{played:?}");
        prop_assert!(played.untold.is_empty() && played.longest <= CALL_MOST, "{played:?}");
        Ok(())
    });
    kept.unwrap_or_else(|broken| panic!("{broken}"));
}

/// One found on the build before the ledger: answers that cannot be read, on a channel far slower than stated. The call
/// queue repeated by a count of its own at the stated pace, and receipts of one copy were taken for another's.
fn slow_and_spoilt() -> Script {
    let odds = Odds { silent: 0, broken: 0, spoilt: 7, throttled: 0 };
    Script {
        paces: vec![0.02, 0.12, 0.5, 0.02, 1.0, 0.5, 1.0, 1.0],
        lost: 3,
        stays: false,
        trouble: 16.0,
        end: 36.0,
        ..calm(1753894968421311801, 120, odds)
    }
}

/// Ten seconds of a release on a channel as stated.
fn calm(seed: u64, proxies: u16, odds: Odds) -> Script {
    Script {
        seed,
        proxies,
        trouble: 10.0,
        end: 13.0,
        odds,
        paces: vec![],
        crowds: vec![],
        stays: true,
        lost: 0,
        late: 0.0,
        breaks: vec![],
        counted: false,
        told: 1.0,
        takeover: None,
        returned: None,
        restart: None,
        name: 3,
    }
}

const NONE: Odds = Odds { silent: 0, broken: 0, spoilt: 0, throttled: 0 };

#[test]
fn repeats_on_a_slow_channel_keep_to_the_backlog() {
    let script = slow_and_spoilt();
    let played = play(&script);
    assert!(played.most <= script.backlog() && played.most > 0.5 * script.backlog(), "{played:?}");
    assert!(played.untold.is_empty(), "{played:?}");
}

/// The check can fail: who believes in a longer queue breaks the rule.
#[test]
fn the_model_notices_what_is_over() {
    let script = Script { told: 2.0, ..slow_and_spoilt() };
    assert!(play(&script).most > script.backlog());
}

// At the size of a whole fleet, on a channel as stated: drains are told in time whatever else goes on.
#[test_case(Script { crowds: vec![(4.0, 100, 0.2)], late: 0.05, ..calm(1, 1600, NONE) }, 1.0 ; "all come back within a second")]
#[test_case(Script { breaks: vec![4.7], ..calm(2, 1600, NONE) }, 1.0 ; "the news break in the middle of it")]
#[test_case(calm(3, 1600, Odds { broken: 30, ..NONE }), 2.0 ; "a third of the calls are reset")]
#[test_case(Script { crowds: vec![(4.0, 70, 1.5)], ..calm(4, 1600, Odds { spoilt: 20, ..NONE }) }, 2.0 ; "seven in ten are away, and answers are spoilt")]
#[test_case(Script { takeover: Some(4.6), ..calm(5, 1600, NONE) }, 1.0 ; "all slices of four directors come as well")]
#[test_case(Script { takeover: Some(4.6), paces: vec![1.0, 1.0, 0.5, 0.25, 0.25], ..calm(6, 1600, NONE) }, 2.0 ; "the same on a channel that is slow")]
#[test_case(Script { takeover: Some(15.1), trouble: 16.0, end: 20.0, ..calm(7, 400, NONE) }, 1.0 ; "slices come whose tables name hosts that went long ago")]
#[test_case(Script { takeover: Some(4.6), returned: Some(7.3), ..calm(8, 400, NONE) }, 1.0 ; "slices come, and go back")]
#[test_case(Script { restart: Some(6.3), ..calm(9, 400, NONE) }, 1.0 ; "it restarts")]
#[test_case(Script { takeover: Some(4.6), name: 3000, ..calm(10, 400, NONE) }, 2.0 ; "calls are cut by their length")]
fn drains_are_told_in_time(script: Script, within: f64) {
    let played = play(&script);
    assert!(played.most <= script.backlog() && played.untold.is_empty(), "{played:?}");
    // Half of the time that a drain has, so that what is told can also arrive; limits wait where a call
    // is reset or its answer cannot be read, and stretch on a slow channel.
    assert!(played.slowest > 0.0 && played.slowest <= within, "{played:?}");
    assert!(played.longest <= CALL_MOST, "{played:?}");
    // Long names make more of a take-over than a call holds, to which not one more order could be added.
    assert!(script.name < 100 || played.longest > CALL_MOST - 2 * script.name, "{played:?}");
}
