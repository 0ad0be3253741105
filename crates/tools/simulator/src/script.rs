//! What happens in a day: its world, and its faults at fixed times.
use crate::Ms;
use fastrand::Rng;

/// Whom a fault meets; roles are looked up when it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    /// The machine that has this place in the core now.
    Place(usize),
    Primary,
    Backup,
    /// One that is neither.
    Witness,
}

/// What a cut takes of a machine's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    Both,
    /// What it sends is lost.
    Sends,
    /// What it should hear is lost.
    Hears,
}

/// When a fault meets its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    Now,
    /// When it next has an answer of 200 ready, before that leaves.
    Answer,
    /// Right after such an answer has left.
    Answered,
    /// Right after a call to another has left.
    Call,
    /// Right after it has answered another.
    Reply,
    /// Right after a write was asked of its disk.
    Write,
}

/// Which machines a process is told of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seeds {
    /// Three of those that run.
    Running,
    /// Those that were started last.
    Newest,
    /// Those that are in trouble, then any.
    Lost,
    Of(Vec<usize>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum What {
    Kill {
        down: Ms,
    },
    Power {
        down: Ms,
    },
    LoseDisk {
        down: Ms,
    },
    Freeze {
        ms: Ms,
    },
    /// SIGTERM, and a start with the same disk after its end.
    Term {
        down: Ms,
    },
    Hup {
        seeds: Seeds,
    },
    /// Killed, and started with other `knownPeers`.
    Reseed {
        down: Ms,
        seeds: Seeds,
    },
    /// The machine goes for good; another, empty one comes `gap` after the order. `reuse`: at the address of one that
    /// has gone before.
    Replace {
        term: bool,
        gap: Ms,
        seeds: Seeds,
        reuse: bool,
    },
    /// Power is lost, and the disk comes back in a machine at a new address.
    Move {
        down: Ms,
    },
    /// A machine that was replaced comes back as it was.
    Return,
    /// Cut off with the others named here; `clients`: from hosts, edges and operators too.
    Cut {
        with: Vec<Who>,
        way: Way,
        ms: Ms,
        clients: bool,
    },
    /// Cut off from these only.
    CutFrom {
        from: Vec<Who>,
        way: Way,
        ms: Ms,
    },
    Slow {
        extra: Ms,
        ms: Ms,
    },
    /// Messages doubled, reset, late and answers lost.
    Noise {
        ms: Ms,
    },
    DiskSlow {
        ms: Ms,
    },
    DiskHangs {
        ms: Ms,
    },
    DiskFull {
        ms: Ms,
    },
    KillAll {
        down: Ms,
    },
    PowerAll {
        down: Ms,
    },
    /// One loses its disk, all others their power.
    DiskAndPowerAll {
        down: Ms,
    },
    HostLeaves(usize),
    HostCrashes(usize),
    EdgeStarts(usize),
    EdgeCut {
        edge: usize,
        ms: Ms,
    },
    /// An order to that machine first.
    Order,
    /// So many orders by both operators.
    Storm(usize),
    /// Two contents under one number at once.
    Race,
    /// An order of before, or another content under a lower number.
    Older,
    Invalid,
    /// The last acknowledged order again, to that machine.
    Again,
}

impl What {
    pub fn name(&self) -> &'static str {
        match self {
            What::Kill { .. } => "kill",
            What::Power { .. } => "power lost",
            What::LoseDisk { .. } => "disk lost",
            What::Freeze { .. } => "freeze",
            What::Term { .. } => "SIGTERM",
            What::Hup { .. } => "SIGHUP",
            What::Reseed { .. } => "kill, other knownPeers",
            What::Replace { term: true, .. } => "replaced after SIGTERM",
            What::Replace { term: false, .. } => "replaced",
            What::Move { .. } => "disk moved to a new address",
            What::Return => "replaced machine returns",
            What::Cut { way: Way::Both, .. } => "cut off",
            What::Cut { way: Way::Sends, .. } => "cut off, hears",
            What::Cut { way: Way::Hears, .. } => "cut off, is heard",
            What::CutFrom { .. } => "cut from one",
            What::Slow { .. } => "slow links",
            What::Noise { .. } => "resets, doubles, losses",
            What::DiskSlow { .. } => "disk slow",
            What::DiskHangs { .. } => "disk hangs",
            What::DiskFull { .. } => "disk full",
            What::KillAll { .. } => "all killed",
            What::PowerAll { .. } => "all power lost",
            What::DiskAndPowerAll { .. } => "one disk, others' power lost",
            What::HostLeaves(_) => "host leaves",
            What::HostCrashes(_) => "host crashes",
            What::EdgeStarts(_) => "edge starts anew",
            What::EdgeCut { .. } => "edge cut off",
            What::Order => "order",
            What::Storm(_) => "storm of orders",
            What::Race => "two contents, one number",
            What::Older => "older order",
            What::Invalid => "invalid order",
            What::Again => "order again",
        }
    }

    /// Whether it is trouble of the core, and not of its callers.
    pub fn core(&self) -> bool {
        use What::*;
        !matches!(
            self,
            HostLeaves(_)
                | HostCrashes(_)
                | EdgeStarts(_)
                | EdgeCut { .. }
                | Order
                | Storm(_)
                | Race
                | Older
                | Invalid
                | Again
        )
    }

    /// A disk goes, or stays behind.
    pub fn loses_disk(&self) -> bool {
        use What::*;
        matches!(self, LoseDisk { .. } | Replace { .. } | DiskAndPowerAll { .. })
    }

    /// Trouble of one machine that may begin at a moment of its own.
    pub fn single(&self) -> bool {
        use What::*;
        matches!(
            self,
            Kill { .. } | Power { .. } | LoseDisk { .. } | Freeze { .. } | Cut { .. } | CutFrom { .. }
        )
    }

    /// Trouble of all machines at once.
    pub fn all(&self) -> bool {
        matches!(self, What::KillAll { .. } | What::PowerAll { .. } | What::DiskAndPowerAll { .. })
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    pub at: Ms,
    pub who: Who,
    pub what: What,
    pub when: Moment,
    /// What it draws by lot is drawn from this.
    pub lot: u64,
}

impl Fault {
    pub fn new(at: Ms, who: Who, what: What) -> Fault {
        Fault { at, who, what, when: Moment::Now, lot: at }
    }

    /// The same at another moment, the first after its time.
    pub fn when(self, when: Moment) -> Fault {
        Fault { when, ..self }
    }
}

/// A day: what is played, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Day {
    pub seed: u64,
    pub machines: usize,
    pub zones: usize,
    pub survive: usize,
    pub contact: Ms,
    pub length: Ms,
    pub hosts: usize,
    pub edges: usize,
    /// Mean time between an operator's orders.
    pub order_every: Ms,
    pub faults: Vec<Fault>,
    /// Comes right after an order was acknowledged, once `length` is over.
    pub closing: Option<What>,
    /// Faults come even where more than `survive` are lost; liveness is then not asked for.
    pub forced: bool,
    /// More may be lost at once than `survive` says, but no disk ever: nothing may be forgotten in any case.
    pub wild: bool,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            seed: 1,
            machines: 3,
            zones: 3,
            survive: 1,
            contact: 3000,
            length: 40_000,
            hosts: 8,
            edges: 4,
            order_every: 1500,
            faults: Vec::new(),
            closing: None,
            forced: false,
            wild: false,
        }
    }
}

fn between(luck: &mut Rng, low: Ms, high: Ms) -> Ms {
    luck.u64(low..=high)
}

fn who(luck: &mut Rng, machines: usize) -> Who {
    match luck.u8(0..10) {
        0..=3 => Who::Primary,
        4..=5 => Who::Backup,
        6..=7 => Who::Witness,
        _ => Who::Place(luck.usize(0..machines)),
    }
}

fn way(luck: &mut Rng) -> Way {
    match luck.u8(0..4) {
        0 => Way::Sends,
        1 => Way::Hears,
        _ => Way::Both,
    }
}

/// Short mostly, long at times.
fn span(luck: &mut Rng, longest: Ms) -> Ms {
    match luck.u8(0..4) {
        0 => between(luck, 50, 1500),
        1 | 2 => between(luck, 500, 5000),
        _ => between(luck, 4000, longest),
    }
}

fn seeds(luck: &mut Rng) -> Seeds {
    match luck.u8(0..4) {
        0 => Seeds::Newest,
        1 => Seeds::Lost,
        _ => Seeds::Running,
    }
}

fn down(luck: &mut Rng) -> Ms {
    match luck.u8(0..5) {
        0 => between(luck, 5000, 20_000),
        _ => between(luck, 300, 5000),
    }
}

fn what(luck: &mut Rng, day: &Day) -> What {
    let newcomer = |luck: &mut Rng| if luck.bool() { Seeds::Running } else { Seeds::Newest };
    match luck.u8(0..100) {
        0..=9 => What::Kill { down: down(luck) },
        10..=16 => What::Power { down: down(luck) },
        17..=22 => What::LoseDisk { down: down(luck) },
        23..=28 => What::Freeze { ms: span(luck, 15_000) },
        29..=34 => What::Term { down: down(luck) },
        35..=38 => What::Hup { seeds: seeds(luck) },
        39..=41 => What::Reseed { down: down(luck), seeds: seeds(luck) },
        42..=47 => What::Replace {
            term: luck.bool(),
            gap: between(luck, 100, 8000),
            seeds: newcomer(luck),
            reuse: false,
        },
        48..=56 => What::Cut {
            with: Vec::new(),
            way: way(luck),
            ms: span(luck, 22_000),
            clients: luck.u8(0..3) == 0,
        },
        57..=59 => {
            let with = vec![Who::Backup; usize::from(day.survive > 1)];
            What::Cut { with, way: way(luck), ms: span(luck, 22_000), clients: false }
        }
        60..=63 => {
            What::CutFrom { from: vec![who(luck, day.machines)], way: way(luck), ms: span(luck, 15_000) }
        }
        64..=66 => What::Slow { extra: between(luck, 50, 1200), ms: span(luck, 10_000) },
        67..=71 => What::Noise { ms: span(luck, 10_000) },
        72..=73 => What::DiskSlow { ms: span(luck, 10_000) },
        74..=77 => What::DiskHangs { ms: span(luck, 10_000) },
        78..=80 => What::DiskFull { ms: span(luck, 10_000) },
        81..=82 => What::KillAll { down: between(luck, 100, 1000) },
        83..=84 => What::PowerAll { down: between(luck, 300, 4000) },
        85 => What::DiskAndPowerAll { down: between(luck, 300, 4000) },
        86..=88 => What::HostLeaves(luck.usize(0..day.hosts)),
        89 => What::HostCrashes(luck.usize(0..day.hosts)),
        90 => What::EdgeStarts(luck.usize(0..day.edges)),
        91 => What::EdgeCut { edge: luck.usize(0..day.edges), ms: span(luck, 10_000) },
        92..=93 => What::Again,
        94..=95 => What::Race,
        96 => What::Older,
        97 => What::Invalid,
        98 => What::Storm(luck.usize(5..60)),
        _ => What::Storm(if luck.u8(0..4) == 0 { 300 } else { 20 }),
    }
}

impl Day {
    pub fn by_seed(seed: u64) -> Day {
        let mut luck = Rng::with_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5eed);
        let luck = &mut luck;
        let machines = [3, 3, 3, 4, 5, 5, 6, 7, 9][luck.usize(0..9)];
        let survive = if machines >= 5 && luck.u8(0..3) == 0 { 2 } else { 1 };
        let mut day = Day {
            seed,
            machines,
            zones: luck.usize(3..=4),
            survive,
            contact: if luck.u8(0..3) == 0 { 5000 } else { 3000 },
            length: between(luck, 40_000, 90_000),
            hosts: luck.usize(6..=20),
            edges: luck.usize(2..=4),
            order_every: [400, 1500, 4000][luck.usize(0..3)],
            wild: luck.u8(0..4) == 0,
            ..Day::default()
        };
        // Calm days have room for all to be well again; on others the next loss comes as soon as it may.
        let pause = [700, 2500, 9000][luck.usize(0..3)];
        let mut at = between(luck, 4500, 9000);
        while at < day.length {
            let (who, what, lot) = (who(luck, machines), what(luck, &day), luck.u64(..));
            let when = match luck.u8(0..8) {
                0 => Moment::Answer,
                1 => Moment::Answered,
                2 => Moment::Call,
                3 if luck.bool() => Moment::Reply,
                3 => Moment::Write,
                _ => Moment::Now,
            };
            day.faults.push(Fault { at, who, what, when, lot });
            at += 10 + (-(luck.f64().max(1e-9).ln()) * pause as f64) as Ms;
        }
        day.closing = match luck.u8(0..4) {
            0 => Some(What::KillAll { down: between(luck, 100, 1000) }),
            1 => Some(What::PowerAll { down: between(luck, 300, 4000) }),
            2 => Some(What::DiskAndPowerAll { down: between(luck, 300, 4000) }),
            _ => None,
        };
        day
    }
}
