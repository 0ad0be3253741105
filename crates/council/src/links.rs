//! Calls to other centres: heartbeats and news by polls, and, while acting, the promise of each seat.
use crate::Centre;
use accord::Id;
use serde::{de::DeserializeOwned, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tidings::{Asked, Follow, News, SeatCall, SeatSay};

/// How many others a centre's heartbeats go to, besides the seats.
const FEW: usize = 3;

pub struct Caller {
    agent: ureq::Agent,
}

impl Caller {
    pub fn new(call: Duration) -> Caller {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(call))
            .timeout_connect(Some(call / 2))
            .http_status_as_error(false)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .input_buffer_size(4096)
            .output_buffer_size(4096)
            .proxy(None)
            .build();
        Caller { agent: config.new_agent() }
    }

    pub fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &T,
    ) -> Result<R, String> {
        let text = serde_json::to_string(body).map_err(|e| e.to_string())?;
        let call = self.agent.post(format!("http://{address}{path}")).content_type("application/json");
        let mut answer = call.send(text).map_err(|e| e.to_string())?;
        if answer.status() != 200 {
            return Err(format!("status {}", answer.status()));
        }
        let body =
            answer.body_mut().with_config().limit(64 << 20).read_to_string().map_err(|e| e.to_string())?;
        serde_json::from_str(&body).map_err(|e| e.to_string())
    }
}

/// One thread for each centre that this one keeps in touch with.
pub fn start(centre: &Arc<Centre>, known: &mut Vec<Id>) {
    let (wanted, me): (Vec<Id>, Id) = {
        let (state, now) = centre.lock();
        let all: Vec<Id> = state.members.iter().cloned().collect();
        let mut wanted = accord::watchers(&state.me, &all, FEW);
        wanted.extend(state.seats.iter().cloned());
        wanted.extend(state.primary(now).cloned());
        (wanted, state.me.clone())
    };
    for peer in wanted {
        if peer != me && !known.contains(&peer) {
            known.push(peer.clone());
            let centre = centre.clone();
            let run = move || link(&centre, &peer);
            let _ = std::thread::Builder::new().name("link".into()).stack_size(256 * 1024).spawn(run);
        }
    }
}

fn link(centre: &Centre, peer: &Id) {
    let spans = centre.spans;
    let call = Duration::from_millis(spans.call);
    let (caller, address) = (Caller::new(call), centre.peer_address(peer));
    let (mut feed, mut seq) = (0, 0);
    loop {
        let renew = {
            let (state, now) = centre.lock();
            let record = match &state.role {
                crate::state::Role::Acting(record) if state.seats.contains(peer) => Some(record.clone()),
                _ => None,
            };
            record.map(|r| (r, now))
        };
        if let Some((record, asked)) = renew {
            let say =
                caller.post::<_, SeatSay>(&address, "/seat", &SeatCall::Renew(record.clone(), spans.promise));
            let (mut state, _) = centre.lock();
            if say.is_ok_and(|s| s.no.is_none()) && state.record == record {
                state.promises.add(peer, asked, spans.promise);
            }
        }
        let follow = {
            let (mut state, now) = centre.lock();
            let to_primary = state.peers.get(peer).is_some_and(|p| p.standing.acting);
            let asked = if to_primary { std::mem::take(&mut state.asked) } else { Default::default() };
            let asked =
                asked.into_iter().map(|(backend, c)| Asked { backend, counts: c.into_iter().collect() });
            let standing = Some(state.standing(now));
            let (edge, area) = (state.me.clone(), String::new());
            Follow { edge, area, feed, seq, wait_ms: spans.round, asked: asked.collect(), standing }
        };
        match caller.post::<_, News>(&address, "/follow", &follow) {
            Ok(news) => {
                let mut say = Vec::new();
                let (mut state, now) = centre.lock();
                (feed, seq) = (news.feed, news.seq);
                if let Some(standing) = &news.standing {
                    state.hear(now, standing);
                    let held = standing.held.clone();
                    centre.heard_seat(&mut state, now, peer, held);
                }
                state.merge(&news);
                state.settle(now, &mut say);
                drop(state);
                centre.say(say);
            }
            Err(_) => std::thread::sleep(Duration::from_millis(spans.round / 2)),
        }
    }
}
