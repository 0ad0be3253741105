//! A centre as one pure machine: what comes goes in, what follows comes out. Threads, sockets and the disk are adapters
//! (`lib.rs`, `lanes.rs`, `store.rs`) that decide nothing; the simulator drives the same machine.
use crate::links::Links;
use crate::state::{Say, Spans, State};
use crate::store::{Batch, Found, Kept};
use coppersail_config::ProcessSettings;
use coppersail_consensus::{Core, Id, InitialState, KeyValue, Ms, OperationId, Output, RequestId, Role};
use coppersail_peer_protocol::{Update, WatchRequest};
use std::collections::VecDeque;

/// What a centre begins with.
pub struct Begin {
    pub boot: ProcessSettings,
    pub found: Found,
    /// Drawn by lot, from 1 to below 2^53.
    pub life: u64,
}

pub enum Event {
    /// About twenty times a second.
    Tick,
    /// A host or an operator calls.
    Admin { caller: RequestId, call: Admin },
    /// A director calls.
    Peer { caller: RequestId, call: Peer },
    /// What came of [`Effect::Call`]; none: refused, cut off, reset or silent.
    Told { token: OperationId, say: Option<PeerSay> },
    /// What came of [`Effect::Write`], in the order of the writes.
    Disk { token: OperationId, ok: bool },
    /// SIGTERM.
    Term,
    /// The settings file was read again, and is sound.
    Reread(Box<ProcessSettings>),
}

/// Calls of hosts and operators. Bodies are JSON.
pub enum Admin {
    Pulse { ident: String, body: String },
    SignOff { ident: String },
    Replace { body: String },
    Read,
    Plans { post: bool, rest: String, body: String },
}

/// Calls of directors.
pub enum Peer {
    Follow(Box<WatchRequest>),
    Core(coppersail_consensus::Request),
}

pub enum PeerSay {
    News(Box<Update>),
    Core(coppersail_consensus::Response),
}

pub enum Effect {
    /// With 307 the body is where to.
    Answer {
        caller: RequestId,
        status: u16,
        body: String,
    },
    Reply {
        caller: RequestId,
        say: PeerSay,
    },
    /// `to`: where the member serves hosts and operators, "ip:port".
    Call {
        token: OperationId,
        to: Id,
        call: Peer,
        wait: Ms,
    },
    /// Synced, whole or not at all, one after the other.
    Write {
        token: OperationId,
        write: Batch,
    },
    Note(String),
    /// The process may end.
    Leave,
}

pub struct Node {
    pub state: State,
    links: Links,
    boot: ProcessSettings,
    round: u64,
    left: bool,
    in_touch: bool,
}

impl Node {
    pub fn start(now: Ms, begin: Begin) -> (Node, Vec<Effect>) {
        let Begin { boot, found, life } = begin;
        let spans = Spans::new(&boot);
        let mut outs = Vec::new();
        let start = InitialState {
            me: boot.admin.clone().unwrap_or_default(),
            area: boot.area.clone(),
            timeouts: spans.core,
            peers: boot.known_peers.clone(),
            bootstrap: boot.initial_boot && found.kept == Kept::Fresh,
            state: found.state,
            own: found.own,
            new_incarnation: life,
        };
        let core = Core::start(now, start, &mut outs);
        let state = State::new(&boot, spans, core, life);
        let mut node = Node { state, links: Links::default(), boot, round: 0, left: false, in_touch: false };
        let mut out = Vec::new();
        if node.boot.survive > 1 {
            let n = 2 * node.boot.survive + 1;
            let line = format!("terms.survive.boxes is {}: that wants {n} witnesses.", node.boot.survive);
            out.push(Effect::Note(line));
        }
        node.carry(now, outs, &mut out);
        (node, out)
    }

    pub fn step(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        let (mut outs, mut say) = (Vec::new(), Vec::new());
        match event {
            Event::Tick => self.tick(now, &mut outs, &mut say, out),
            Event::Admin { caller, call } => self.state.admin(now, caller, call, &mut say, out),
            Event::Peer { caller, call: Peer::Follow(follow) } => {
                self.state.follow(now, &follow, caller, &mut say, &mut outs);
                // A receipt may be what an acknowledgement waits for.
                if self.state.parked.iter().any(|p| p.heard > 0) {
                    self.state.settle(now, &mut say);
                }
            }
            Event::Peer { caller, call: Peer::Core(call) } => {
                self.state.core.handle_request(now, caller, call, &mut outs);
            }
            Event::Told { token, say: told } => match self.links.ended(token) {
                Some(peer) => {
                    let news = match told {
                        Some(PeerSay::News(news)) => Some(news),
                        _ => None,
                    };
                    self.links.heard(now, &mut self.state, &peer, news, &mut say, &mut outs);
                    self.links.start(now, &mut self.state, Some(&peer), out);
                }
                None => {
                    let told = match told {
                        Some(PeerSay::Core(say)) => Some(say),
                        _ => None,
                    };
                    self.state.core.handle_response(now, token, told, &mut outs);
                }
            },
            Event::Disk { token, ok } => self.state.core.handle_write_result(now, token, ok, &mut outs),
            Event::Term => {
                if !self.state.core.is_shutting_down() {
                    out.push(Effect::Note("Leaving: hands over what it holds.".into()));
                    self.state.core.begin_shutdown(now);
                    // Everybody is told at once.
                    self.state.flush_all(now, &mut say);
                }
            }
            Event::Reread(boot) => self.reread(now, *boot, &mut outs, out),
        }
        self.carry(now, outs, out);
        self.speak(say, out);
    }

    /// Twenty times a second: what has waited long enough, who fell silent, where keys should be.
    fn tick(&mut self, now: Ms, outs: &mut Vec<Output>, say: &mut Vec<Say>, out: &mut Vec<Effect>) {
        self.round += 1;
        self.state.core.tick(now, outs);
        if self.round.is_multiple_of(4) {
            self.state.listen(now);
            self.state.place(now);
            out.extend(self.state.steer(now).into_iter().map(Effect::Note));
        }
        if self.round.is_multiple_of(100) {
            self.state.keys.decay_counts();
        }
        // Edges are not left waiting for news of a centre that has none.
        let in_touch = self.state.core.has_quorum_contact(now);
        if self.in_touch && !in_touch {
            self.state.flush_edges(now, say);
        }
        self.in_touch = in_touch;
        self.state.settle(now, say);
        if self.round % 10 == 1 {
            self.links.choose(now, &self.state);
        }
        self.links.start(now, &mut self.state, None, out);
        if !self.left && self.state.core.may_exit(now) {
            self.left = true;
            out.push(Effect::Note("Left.".into()));
            out.push(Effect::Leave);
        }
    }

    /// Carries out what the core says, and what follows from it in turn.
    fn carry(&mut self, now: Ms, outs: Vec<Output>, out: &mut Vec<Effect>) {
        let (mut todo, mut say): (VecDeque<Output>, Vec<Say>) = (outs.into(), Vec::new());
        loop {
            for change in std::mem::take(&mut self.state.todo) {
                let mut more = Vec::new();
                self.state.core.propose(now, change, &mut more);
                todo.extend(more);
            }
            let Some(one) = todo.pop_front() else { break };
            match one {
                Output::Send { operation_id: token, to, call, timeout: wait } => {
                    out.push(Effect::Call { token, to, call: Peer::Core(call), wait });
                }
                Output::Respond { request_id: caller, response: say } => {
                    out.push(Effect::Reply { caller, say: PeerSay::Core(say) })
                }
                Output::Persist { token, state, replace: whole, metadata: own } => {
                    out.push(Effect::Write { token, write: Batch { state, whole, own } });
                }
                Output::Log(line) => out.push(Effect::Note(line)),
                Output::BecameLeader { newly_elected: fresh } => self.state.acts(now, fresh),
                Output::SteppedDown => self.state.stops(),
                Output::Committed(changes) => self.state.wrote(now, &changes),
                Output::Failed(tickets) => self.state.failed(&tickets),
            }
            if todo.is_empty() {
                self.state.settle_if_due(now, &mut say);
            }
        }
        self.speak(say, out);
    }

    fn speak(&mut self, say: Vec<Say>, out: &mut Vec<Effect>) {
        for say in say {
            out.push(match say {
                Say::News(caller, news) => Effect::Reply { caller, say: PeerSay::News(news) },
                Say::Text(caller, status, body) => Effect::Answer { caller, status, body },
            });
        }
    }

    /// Takes over what can be while it runs; one line for each field, one for what needs a restart.
    fn reread(&mut self, now: Ms, boot: ProcessSettings, outs: &mut Vec<Output>, out: &mut Vec<Effect>) {
        let reread = coppersail_config::reload(&self.boot, boot);
        let line = |line: &String| Effect::Note(format!("Settings: {line}."));
        out.extend(reread.applied.iter().chain(&reread.restart).map(line));
        self.boot = reread.boot;
        self.state.respan(Spans::new(&self.boot));
        self.state.core.add_members(now, self.boot.known_peers.iter(), outs);
    }

    pub fn acts(&self) -> bool {
        matches!(self.state.core.role, Role::Leader(_))
    }
}

/// A change of the control state.
pub fn put(name: &str, value: String) -> KeyValue {
    (name.into(), value)
}
