//! The life of a host: what it runs and turns away, what its beats say, and how it leaves.
use crate::keys::{Grant, Keys, TOP};
use serde::{Deserialize, Serialize};
use slab::Slab;
use std::time::Duration;

/// Between beats while keys are let go; the protocol asks for 100 ms at most.
const HURRIED: Duration = Duration::from_millis(50);
/// "A little longer" than `empty`, after the acknowledgement.
const LITTLE: Duration = Duration::from_millis(500);
/// "Some seconds": how long a host that leaves waits for an acknowledgement.
const UNHEARD: Duration = Duration::from_secs(5);
/// How much slower work is while the host is new.
const COLD: u32 = 2;

/// What a host is.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub ident: String,
    pub backend: String,
    pub address: String,
    pub area: String,
    pub revision: String,
    pub capacity: u32,
    /// The service is divided by key.
    pub split: bool,
    pub work: Duration,
    /// For how long it is slow after its start.
    pub warm: Duration,
    pub heartbeat: Duration,
    /// How long it serves on after its leaving was acknowledged.
    pub empty: Duration,
}

/// The body of `POST /servers/ID/pulse`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Beat {
    pub backend: String,
    pub address: String,
    pub area: String,
    pub revision: String,
    pub capacity: u32,
    pub stage: String,
    pub warm_left: String,
    pub call_count: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held: Option<Vec<(u32, u32, u64)>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released: Option<Vec<(u32, u32, String)>>,
}

/// The answer to a beat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Reply {
    #[serde(rename = "reportTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub held: Option<Vec<Grant>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub keep_time: Option<String>,
}

impl Reply {
    /// The most that an answer to a beat may hold.
    pub const MOST: usize = 4096;

    pub fn read(body: &[u8]) -> Option<Reply> {
        match body {
            [] => Some(Reply::default()),
            _ => serde_json::from_slice(body).ok(),
        }
    }
}

/// What a request says of itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ask<'a> {
    pub id: Option<&'a str>,
    pub wanted: Option<&'a str>,
    pub key: Option<&'a str>,
    /// `Time-Left-Ms`
    pub left: Option<&'a str>,
    /// It asks for the check path.
    pub check: bool,
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    key: Option<u32>,
    deadline: Option<Duration>,
    check: bool,
}

/// What becomes of a request. `NotRun` promises that it has not run and never will.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    Waits(Job),
    /// At work under this number until the given time.
    Runs(usize, Duration),
    NotRun(u16),
    Ran(u16),
}

#[derive(Debug)]
pub struct Life {
    plan: Plan,
    keys: Keys,
    running: Slab<Job>,
    waiting: u32,
    calls: u64,
    /// When the beat under way was sent, and whether it says that the host leaves.
    sent: Option<(Duration, bool)>,
    last: Option<Duration>,
    leaving: Option<Duration>,
    /// When its leaving was acknowledged.
    heard: Option<Duration>,
}

impl Life {
    pub fn new(plan: Plan) -> Life {
        let (keys, running) = (Keys::default(), Slab::new());
        Life { plan, keys, running, waiting: 0, calls: 0, sent: None, last: None, leaving: None, heard: None }
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// A request has come: it waits for a slot, or is turned away.
    pub fn admit(&mut self, now: Duration, ask: &Ask) -> Verdict {
        if !ask.check && ask.id.is_none_or(str::is_empty) {
            return Verdict::NotRun(400);
        }
        if ask.wanted.is_some_and(|ident| ident != self.plan.ident) {
            return Verdict::NotRun(421);
        }
        let key = ask.key.and_then(|key| key.parse().ok()).filter(|key| *key <= TOP);
        if self.plan.split && !ask.check && key.is_none() {
            return Verdict::NotRun(400);
        }
        // As many may wait as run: what is beyond would be late in any case.
        if self.waiting >= self.plan.capacity {
            return Verdict::NotRun(503);
        }
        let left = ask.left.and_then(|left| left.parse().ok()).map(Duration::from_millis);
        self.waiting += 1;
        let deadline = left.map(|left| now.saturating_add(left));
        Verdict::Waits(Job { key: key.filter(|_| self.plan.split), deadline, check: ask.check })
    }

    /// A slot is free for a request that waited.
    pub fn start(&mut self, now: Duration, job: Job) -> Verdict {
        self.waiting -= 1;
        if job.deadline.is_some_and(|deadline| deadline <= now) {
            return Verdict::NotRun(503);
        }
        let work = match (job.check, now < self.plan.warm) {
            (true, _) => Duration::ZERO,
            (false, cold) => self.plan.work * if cold { COLD } else { 1 },
        };
        let (key, end) = (job.key, job.deadline.unwrap_or(Duration::MAX).min(now + work));
        let id = self.running.insert(job);
        if key.is_some_and(|key| !self.keys.start(now, id, key)) {
            self.running.remove(id);
            return Verdict::NotRun(421);
        }
        Verdict::Runs(id, end)
    }

    /// The time that [`Life::start`] gave is over.
    pub fn finish(&mut self, now: Duration, id: usize) -> Verdict {
        let job = self.running.remove(id);
        let kept = job.key.is_none() || self.keys.finish(now, id);
        Verdict::Ran(match job {
            Job { check: true, .. } if self.leaving.is_some() => 503,
            Job { deadline: Some(deadline), .. } if deadline <= now => 504,
            _ if !kept => 500,
            _ => 200,
        })
    }

    /// `Server-Load`: running, waiting, slots.
    pub fn load(&self) -> String {
        format!("{},{},{}", self.running.len(), self.waiting, self.plan.capacity)
    }

    pub fn beat(&mut self, now: Duration) -> Beat {
        self.calls += 1;
        self.sent = Some((now, self.leaving.is_some()));
        self.last = Some(now);
        let (held, released) = self.keys.told(now);
        let plan = &self.plan;
        Beat {
            backend: plan.backend.clone(),
            address: plan.address.clone(),
            area: plan.area.clone(),
            revision: plan.revision.clone(),
            capacity: plan.capacity,
            stage: if self.leaving.is_some() { "emptying" } else { "ready" }.into(),
            warm_left: coppersail_config::format_duration(plan.warm.saturating_sub(now)),
            call_count: self.calls,
            held: plan.split.then_some(held),
            released: plan.split.then_some(released),
        }
    }

    /// The beat was acknowledged. Without an acknowledgement nothing has to be told: the next beat says all anew.
    pub fn acknowledged(&mut self, now: Duration, reply: &Reply) {
        let Some((sent, leaving)) = self.sent.take() else { return };
        if leaving {
            self.heard.get_or_insert(now);
        }
        self.keys.acknowledged();
        if let (true, Some(rows)) = (self.plan.split, &reply.held) {
            let keep = reply.keep_time.as_deref().and_then(coppersail_config::duration).unwrap_or_default();
            self.keys.granted(now, sent, keep, rows);
        }
    }

    /// When the next beat is due; at once when it has just been told to leave.
    pub fn due(&self) -> Duration {
        let Some(last) = self.last else { return Duration::ZERO };
        match self.leaving {
            Some(since) if last <= since => since,
            _ if self.keys.unsettled() => last + HURRIED,
            _ => last + self.plan.heartbeat,
        }
    }

    /// Its end is planned from now on.
    pub fn leave(&mut self, now: Duration) {
        self.leaving.get_or_insert(now);
    }

    /// It may sign off and stop.
    pub fn over(&self, now: Duration) -> bool {
        match (self.heard, self.leaving) {
            (Some(heard), _) => now >= heard + self.plan.empty + LITTLE,
            (None, Some(since)) => now >= since + UNHEARD,
            _ => false,
        }
    }
}
