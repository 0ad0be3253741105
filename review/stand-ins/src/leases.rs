//! The keys that a host holds, as the pages say: granted by the answers to its beats, for a time that counts
//! from when the beat was sent; released once no request runs on them.
use std::time::{Duration, Instant};

const KEYS: usize = 65536;

#[derive(Clone, Copy, Default, PartialEq)]
struct Key {
    /// The fence of the hold; 0: not held.
    fence: u64,
    /// Left out of the last answer: no request starts on it any more.
    left_out: bool,
    highest_fence: u64,
    until: Option<Instant>,
    active: u32,
}

pub struct Leases {
    keys: Vec<Key>,
    /// Releases that no acknowledged beat has told yet.
    released: Vec<(usize, usize, String)>,
    /// How many of them the beat in flight tells.
    told: usize,
    releases: u64,
}

impl Leases {
    pub fn new() -> Leases {
        Leases { keys: vec![Key::default(); KEYS], released: Vec::new(), told: 0, releases: 0 }
    }

    /// Whether a request on the key may start.
    pub fn begin(&mut self, key: usize) -> bool {
        self.expire();
        let Some(entry) = self.keys.get_mut(key) else { return false };
        let held = entry.fence > 0 && !entry.left_out;
        entry.active += u32::from(held);
        held
    }

    /// Ends a request; whether its key is held still.
    pub fn finish(&mut self, key: usize) -> bool {
        self.expire();
        self.keys[key].active -= 1;
        let held = self.keys[key].fence > 0;
        self.release();
        held
    }

    fn expire(&mut self) {
        let now = Instant::now();
        for key in &mut self.keys {
            if key.fence > 0 && key.until.is_none_or(|until| until <= now) {
                (key.fence, key.left_out) = (0, false);
            }
        }
    }

    fn release(&mut self) {
        let is_idle = |key: &Key| key.fence > 0 && key.left_out && key.active == 0;
        let mut at = 0;
        while at < KEYS {
            let (first, fence) = (at, self.keys[at].fence);
            while at < KEYS && is_idle(&self.keys[at]) && self.keys[at].fence == fence {
                (self.keys[at].fence, self.keys[at].left_out) = (0, false);
                at += 1;
            }
            if at > first {
                self.releases += 1;
                self.released.push((first, at - 1, format!("{fence:08x}{:08x}", self.releases)));
            } else {
                at += 1;
            }
        }
    }

    pub fn must_release(&self) -> bool {
        !self.released.is_empty() || self.keys.iter().any(|key| key.left_out)
    }

    /// How many keys are held.
    pub fn count(&mut self) -> usize {
        self.expire();
        self.keys.iter().filter(|key| key.fence > 0).count()
    }

    /// The fields of a beat.
    pub fn report(&mut self) -> String {
        self.expire();
        self.told = self.released.len();
        let (mut rows, mut at) = (Vec::new(), 0);
        while at < KEYS {
            let (first, fence) = (at, self.keys[at].fence);
            while at < KEYS && self.keys[at].fence == fence {
                at += 1;
            }
            if fence > 0 {
                rows.push(format!("[{first},{},{fence}]", at - 1));
            }
        }
        let released: Vec<String> = self
            .released
            .iter()
            .map(|(from, to, handover)| format!("[{from},{to},\"{handover}\"]"))
            .collect();
        format!(r#","held":[{}],"released":[{}]"#, rows.join(","), released.join(","))
    }

    /// Takes the answer to a beat that was sent at `sent`.
    pub fn acknowledge(&mut self, sent: Instant, body: &str) {
        self.released.drain(..self.told);
        self.told = 0;
        self.expire();
        let Some(rows) = held_rows(body) else { return };
        let until = sent + keep_time(body);
        let mut granted = vec![false; KEYS];
        for (from, to, fence) in rows {
            if from > to || to >= KEYS {
                continue;
            }
            granted[from..=to].fill(true);
            if self.keys[from..=to].iter().any(|key| key.highest_fence > fence) {
                continue;
            }
            for key in &mut self.keys[from..=to] {
                (key.fence, key.highest_fence, key.left_out, key.until) = (fence, fence, false, Some(until));
            }
        }
        for (key, granted) in self.keys.iter_mut().zip(granted) {
            key.left_out |= key.fence > 0 && !granted;
        }
        self.release();
    }
}

fn keep_time(body: &str) -> Duration {
    let text =
        body.split("\"keep_time\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or_default();
    let number = |text: &str| text.parse::<f64>().unwrap_or(0.0);
    match text.strip_suffix("ms") {
        Some(ms) => Duration::from_secs_f64(number(ms) / 1000.0),
        None => Duration::from_secs_f64(number(text.trim_end_matches('s'))),
    }
}

/// The rows of `"held":[[from,to,fence,"handover"],...]`; `None` if the answer has none.
fn held_rows(body: &str) -> Option<Vec<(usize, usize, u64)>> {
    let list = body.split("\"held\":[").nth(1)?;
    let end = if list.starts_with(']') { 0 } else { list.find("]]")? + 1 };
    let rows = list[..end].split('[').skip(1).map(|row| {
        let mut fields = row.split([',', ']']);
        let from = fields.next()?.parse().ok()?;
        let to = fields.next()?.parse().ok()?;
        Some((from, to, fields.next()?.parse().ok()?))
    });
    rows.collect()
}
