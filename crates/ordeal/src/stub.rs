use council::store::Found;
use tidings::*;
pub type Caller = u64;
pub type Token = u64;
pub type Ms = u64;
pub struct Begin {
    pub boot: terms::Boot,
    pub found: Found,
    pub life: u64,
}
pub enum Event {
    Tick,
    Admin { caller: Caller, call: Admin },
    Peer { caller: Caller, call: Peer },
    Told { token: Token, say: Option<PeerSay> },
    Disk { token: Token, ok: bool },
    Term,
    Reread(Box<terms::Boot>),
}
pub enum Admin {
    Pulse { ident: String, body: String },
    SignOff { ident: String },
    Replace { body: String },
    Read,
    Plans { post: bool, rest: String, body: String },
}
pub enum Peer {
    Follow(Box<Follow>),
    Seat(SeatCall),
    Copy(Copy),
}
pub enum PeerSay {
    News(Box<News>),
    Seat(SeatSay),
    Copy(CopySay),
}
pub enum Effect {
    Answer { caller: Caller, status: u16, body: String },
    Reply { caller: Caller, say: PeerSay },
    Call { token: Token, to: accord::Id, call: Peer, wait: Ms },
    Write { token: Token, write: Batch },
    Note(String),
    Leave,
}
pub struct Batch {
    pub state: Vec<(String, String)>,
    pub whole: bool,
    pub own: Vec<(String, String)>,
}
/// One that takes all it is told, alone.
pub struct Node {
    me: String,
    first: String,
    held: Option<(u64, String)>,
    seq: u64,
    feed: u64,
    life: u64,
    token: u64,
    wait: Vec<(u64, u64, String, u64)>,
}
impl Node {
    pub fn start(_now: Ms, b: Begin) -> (Node, Vec<Effect>) {
        let held = b.found.state.get("config").map(|c| {
            let c = terms::config::parse(c.as_bytes()).unwrap();
            (c.revision, b.found.state["config"].clone())
        });
        (
            Node {
                me: b.boot.admin.clone().unwrap(),
                first: b.boot.known_peers[0].clone(),
                held,
                seq: 1,
                feed: b.life,
                life: b.life,
                token: 0,
                wait: Vec::new(),
            },
            vec![Effect::Note("starts".into())],
        )
    }
    pub fn step(&mut self, _now: Ms, event: Event, out: &mut Vec<Effect>) {
        let _ = self.life;
        match event {
            Event::Admin { caller, call } => {
                if self.me != self.first {
                    out.push(Effect::Answer {
                        caller,
                        status: 307,
                        body: format!("http://{}/x", self.first),
                    });
                    return;
                }
                match call {
                    Admin::Replace { body } => match terms::config::parse(body.as_bytes()) {
                        Ok(c) if self.held.as_ref().is_none_or(|h| h.0 < c.revision) => {
                            self.token += 1;
                            self.wait.push((self.token, caller, body.clone(), c.revision));
                            out.push(Effect::Write {
                                token: self.token,
                                write: Batch {
                                    state: vec![("config".into(), body)],
                                    whole: false,
                                    own: vec![],
                                },
                            });
                        }
                        Ok(_) => out.push(Effect::Answer { caller, status: 200, body: "{}".into() }),
                        Err(_) => out.push(Effect::Answer { caller, status: 400, body: "{}".into() }),
                    },
                    Admin::Read => {
                        let (status, body) = self.held.clone().map_or((404, String::new()), |h| (200, h.1));
                        out.push(Effect::Answer { caller, status, body })
                    }
                    Admin::Pulse { .. } | Admin::SignOff { .. } => {
                        out.push(Effect::Answer { caller, status: 200, body: "{}".into() })
                    }
                    Admin::Plans { .. } => {}
                }
            }
            Event::Disk { token, ok } => {
                let at = self.wait.iter().position(|w| w.0 == token).unwrap();
                let (_, caller, body, rev) = self.wait.remove(at);
                if ok {
                    if self.held.as_ref().is_none_or(|h| h.0 < rev) {
                        self.held = Some((rev, body));
                        self.seq += 1;
                    }
                    out.push(Effect::Answer { caller, status: 200, body: "{}".into() })
                } else {
                    out.push(Effect::Answer { caller, status: 503, body: "{}".into() })
                }
            }
            Event::Peer { caller, call: Peer::Follow(_f) } => {
                let settings = self.held.clone().map(|(revision, body)| Settings { revision, body });
                out.push(Effect::Reply {
                    caller,
                    say: PeerSay::News(Box::new(News {
                        feed: self.feed,
                        seq: self.seq,
                        settings,
                        ..News::default()
                    })),
                });
            }
            Event::Term => out.push(Effect::Leave),
            _ => {}
        }
    }
}
