//! A centre as one pure machine: what comes goes in, what follows comes out. Threads, sockets and the disk are adapters
//! (`lib.rs`, `peer_rpc.rs`, `store.rs`) that decide nothing; the simulator drives the same machine.
pub use crate::messages::{AdminRequest, Effect, Event, PeerRequest, PeerResponse, Startup};
use crate::peer_links::PeerLinks;
use crate::state::{Say, State, Timeouts};
use crate::store::{FolderCondition, WriteBatch};
use coppersail_config::ProcessSettings;
use coppersail_consensus::{Core, InitialState, Ms, Output, Role};
use std::collections::VecDeque;

pub struct Node {
    pub state: State,
    links: PeerLinks,
    boot: ProcessSettings,
    round: u64,
    left: bool,
    in_touch: bool,
}

impl Node {
    pub fn start(now: Ms, begin: Startup) -> (Node, Vec<Effect>) {
        let Startup { settings: boot, recovered: found, new_incarnation: life } = begin;
        let spans = Timeouts::new(&boot);
        let mut outs = Vec::new();
        let start = InitialState {
            me: boot.admin.clone().unwrap_or_default(),
            area: boot.area.clone(),
            timeouts: spans.core,
            peers: boot.known_peers.clone(),
            bootstrap: boot.initial_boot && found.kept == FolderCondition::Fresh,
            state: found.state,
            own: found.own,
            new_incarnation: life,
        };
        let core = Core::start(now, start, &mut outs);
        let state = State::new(&boot, spans, core, life);
        let mut node =
            Node { state, links: PeerLinks::default(), boot, round: 0, left: false, in_touch: false };
        let mut out = Vec::new();
        if node.boot.survive > 1 {
            let n = 2 * node.boot.survive + 1;
            let line = format!("terms.survive.boxes is {}: that wants {n} witnesses.", node.boot.survive);
            out.push(Effect::Log(line));
        }
        node.carry(now, outs, &mut out);
        (node, out)
    }

    pub fn step(&mut self, now: Ms, event: Event, out: &mut Vec<Effect>) {
        let (mut outs, mut say) = (Vec::new(), Vec::new());
        match event {
            Event::Tick => self.tick(now, &mut outs, &mut say, out),
            Event::Admin { request_id: caller, request: call } => {
                self.state.admin(now, caller, call, &mut say, out)
            }
            Event::Peer { caller, call: PeerRequest::Watch(follow) } => {
                self.state.follow(now, &follow, caller, &mut say, &mut outs);
                // A receipt may be what an acknowledgement waits for.
                if self.state.parked.iter().any(|p| p.heard > 0) {
                    self.state.settle(now, &mut say);
                }
            }
            Event::Peer { caller, call: PeerRequest::Consensus(call) } => {
                self.state.core.handle_request(now, caller, call, &mut outs);
            }
            Event::PeerResponded { operation_id: token, response: told } => match self.links.ended(token) {
                Some(peer) => {
                    let news = match told {
                        Some(PeerResponse::Update(news)) => Some(news),
                        _ => None,
                    };
                    self.links.heard(now, &mut self.state, &peer, news, &mut say, &mut outs);
                    self.links.start(now, &mut self.state, Some(&peer), out);
                }
                None => {
                    let told = match told {
                        Some(PeerResponse::Consensus(say)) => Some(say),
                        _ => None,
                    };
                    self.state.core.handle_response(now, token, told, &mut outs);
                }
            },
            Event::WriteFinished { token, ok } => {
                self.state.core.handle_write_result(now, token, ok, &mut outs)
            }
            Event::Shutdown => {
                if !self.state.core.is_shutting_down() {
                    out.push(Effect::Log("Leaving: hands over what it holds.".into()));
                    self.state.core.begin_shutdown(now);
                    // Everybody is told at once.
                    self.state.flush_all(now, &mut say);
                }
            }
            Event::SettingsChanged(boot) => self.reread(now, *boot, &mut outs, out),
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
            out.extend(self.state.steer(now).into_iter().map(Effect::Log));
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
            out.push(Effect::Log("Left.".into()));
            out.push(Effect::Exit);
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
                    out.push(Effect::SendToPeer {
                        token,
                        peer: to,
                        call: PeerRequest::Consensus(call),
                        timeout: wait,
                    });
                }
                Output::Respond { request_id: caller, response: say } => {
                    out.push(Effect::RespondToPeer { caller, response: PeerResponse::Consensus(say) })
                }
                Output::Persist { token, state, replace: whole, metadata: own } => {
                    out.push(Effect::Persist { token, write: WriteBatch { state, whole, own } });
                }
                Output::Log(line) => out.push(Effect::Log(line)),
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
                Say::News(caller, news) => {
                    Effect::RespondToPeer { caller, response: PeerResponse::Update(news) }
                }
                Say::Text(caller, status, body) => Effect::RespondToAdmin { caller, status, body },
            });
        }
    }

    /// Takes over what can be while it runs; one line for each field, one for what needs a restart.
    fn reread(&mut self, now: Ms, boot: ProcessSettings, outs: &mut Vec<Output>, out: &mut Vec<Effect>) {
        let reread = coppersail_config::reload(&self.boot, boot);
        let line = |line: &String| Effect::Log(format!("Settings: {line}."));
        out.extend(reread.applied.iter().chain(&reread.restart).map(line));
        self.boot = reread.boot;
        self.state.respan(Timeouts::new(&self.boot));
        self.state.core.add_members(now, self.boot.known_peers.iter(), outs);
    }

    pub fn acts(&self) -> bool {
        matches!(self.state.core.role, Role::Leader(_))
    }
}
