//! Calls to other centres: heartbeats and news by polls, and, while acting, the promise of each seat.
use crate::Centre;
use accord::Id;
use errand::Caller;
use std::sync::Arc;
use std::time::Duration;
use tidings::{Asked, Follow, News, SeatCall, SeatSay};

/// How many others a centre's heartbeats go to, besides the seats.
const FEW: usize = 3;

pub fn caller(call: u64) -> Caller {
    Caller::new(Duration::from_millis(call / 2), Duration::from_millis(call))
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
    let (caller, address) = (caller(spans.call), centre.peer_address(peer));
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
        let (follow, asked_at) = {
            let (mut state, now) = centre.lock();
            let to_primary = state.peers.get(peer).is_some_and(|p| p.standing.acting);
            let asked = if to_primary { std::mem::take(&mut state.asked) } else { Default::default() };
            let asked =
                asked.into_iter().map(|(backend, c)| Asked { backend, counts: c.into_iter().collect() });
            let standing = Some(state.standing(now, peer));
            let evidence = if to_primary { state.rollouts.relay() } else { Vec::new() };
            let (edge, area) = (state.me.clone(), String::new());
            let follow = Follow {
                edge,
                area,
                feed,
                seq,
                wait_ms: spans.round,
                asked: asked.collect(),
                evidence,
                standing,
            };
            (follow, now)
        };
        match caller.post::<_, News>(&address, "/follow", &follow) {
            Ok(news) => {
                let mut say = Vec::new();
                let (mut state, now) = centre.lock();
                (feed, seq) = (news.feed, news.seq);
                if let Some(standing) = &news.standing {
                    state.hear(now, standing);
                    // What is kept is what it holds now: it said so with the sum.
                    let kept = state.peers.get(peer).and_then(|p| p.standing.detail.as_ref());
                    let held = kept.and_then(|d| d.held.clone());
                    centre.heard_seat(&mut state, now, peer, held);
                }
                state.merge(&news);
                state.rollouts.hear(asked_at, &news.plans_seen);
                state.settle(now, &mut say);
                drop(state);
                centre.say(say);
            }
            Err(_) => {
                if !follow.evidence.is_empty() {
                    centre.lock().0.rollouts.put_back(follow.evidence);
                }
                std::thread::sleep(Duration::from_millis(spans.round / 4));
            }
        }
    }
}
