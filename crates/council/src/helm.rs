//! Taking over and handing over, and the writing of changes to both disks.
use crate::links::caller;
use crate::state::{Change, Role, State};
use crate::store::Batch;
use crate::Centre;
use accord::{majority, Ballot, Id, Ms, Record};
use errand::Caller;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::Duration;
use tidings::{Copy, CopySay, SeatCall, SeatSay};

fn wait<T>(from: &Receiver<T>, ms: Ms) -> Option<T> {
    from.recv_timeout(Duration::from_millis(ms)).ok()
}

/// Asks all seats at once. With each answer: when it was asked.
fn ask(centre: &Arc<Centre>, caller: &Arc<Caller>, call: &SeatCall) -> Vec<(Id, Ms, SeatSay)> {
    let (seats, me, asked) = {
        let (state, now) = centre.lock();
        (state.seats.clone(), state.me.clone(), now)
    };
    let (tell, told) = channel();
    for seat in &seats {
        let (tell, seat, call) = (tell.clone(), seat.clone(), call.clone());
        if seat == me {
            let done = move |say| drop(tell.send((seat, asked, say)));
            centre.seat(call, Box::new(done));
        } else {
            let (caller, address) = (caller.clone(), centre.peer_address(&seat));
            let run = move || {
                if let Ok(say) = caller.post(&address, "/seat", &call) {
                    let _ = tell.send((seat, asked, say));
                }
            };
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(run);
        }
    }
    drop(tell);
    let (mut all, until) = (Vec::new(), asked + centre.spans.call);
    while all.len() < seats.len() {
        let left = until.saturating_sub(centre.now());
        let Some(one) = wait(&told, left) else { break };
        all.push(one);
        // A majority that agrees is enough; the slowest is not waited for.
        if all.iter().filter(|(_, _, s)| s.no.is_none()).count() >= majority(seats.len()) {
            break;
        }
    }
    all
}

/// Whether it is up to this centre to try, now.
fn due(state: &State, now: Ms, unheard: Ms) -> bool {
    let record = &state.record;
    if !state.fit || state.alone(now) || state.primary(now).is_some() || !record.lets(&state.me, &state.floor)
    {
        return false;
    }
    if record.primary == state.me {
        return true;
    }
    // The primary of the record comes first where it is there: it need not wait for promises to end.
    let there = |p: &crate::state::Peer| now < p.seen + state.spans.round * 2 && p.standing.fit;
    !state.peers.get(&record.primary).is_some_and(there) || unheard > 2 * state.spans.promise
}

/// Who may be the backup, of those that are there and whose disk takes writes; best first: of another zone, which may
/// be lost whole; named already, as it holds all; with a seat.
fn partners(state: &State, now: Ms, base: &Record, shunned: &[(Id, Ms)]) -> Vec<Id> {
    let near = |id: &Id| {
        state.peers.get(id).is_some_and(|p| now < p.seen + state.spans.promise && p.standing.fit)
            && *id != state.me
    };
    let beside = |id: &Id| {
        let detail = state.peers.get(id).and_then(|p| p.standing.detail.as_ref());
        detail.is_some_and(|d| d.area == state.area)
    };
    let shun = |id: &Id| shunned.iter().any(|(s, until)| s == id && now < *until);
    let mut all: Vec<Id> = state.members.iter().filter(|id| near(id)).cloned().collect();
    all.sort_by_key(|id| (shun(id), beside(id), !base.names(id), !state.seats.contains(id), id.clone()));
    all
}

pub fn run(centre: Arc<Centre>) {
    let caller = Arc::new(caller(centre.spans.call));
    let mut shunned: Vec<(Id, Ms)> = Vec::new();
    let mut idle_since = 0;
    loop {
        std::thread::sleep(Duration::from_millis(centre.spans.round / 5));
        let fit = centre.scribe.sound() && centre.scribe.stuck() < centre.spans.call;
        let (try_now, own) = {
            let (mut state, now) = centre.lock();
            state.fit = fit;
            if let Some(bad) = state.bad_backup.take() {
                shunned.retain(|(_, until)| now < *until);
                shunned.push((bad, now + 4 * centre.spans.promise));
            }
            match &state.role {
                Role::Acting(record) => {
                    idle_since = now;
                    let (record, me) = (record.clone(), state.me.clone());
                    let backup = state.peers.get(&record.backup);
                    let gone = backup.is_none_or(|p| now > p.seen + centre.spans.promise || !p.standing.fit);
                    if !fit || !state.acting(now) {
                        centre.note("The promises are over or the disk fails: steps down.");
                        state.step_down();
                        (false, None)
                    } else if gone
                        && record.backup != me
                        && !partners(&state, now, &record, &shunned).is_empty()
                    {
                        (true, None)
                    } else {
                        (false, state.seats.contains(&me).then_some((record, me, now)))
                    }
                }
                Role::Idle => (due(&state, now, now.saturating_sub(idle_since)), None),
            }
        };
        if let Some((record, me, asked)) = own {
            let (tell, told) = channel();
            centre.seat(
                SeatCall::Renew(record, centre.spans.promise),
                Box::new(move |say| drop(tell.send(say))),
            );
            if wait(&told, centre.spans.call).is_some_and(|s: SeatSay| s.no.is_none()) {
                let (mut state, _) = centre.lock();
                state.promises.add(&me, asked, centre.spans.promise);
            }
        }
        if try_now {
            if let Err(why) = stand(&centre, &caller, &shunned) {
                centre.note(&format!("Could not take over: {why}."));
                std::thread::sleep(Duration::from_millis(fastrand::u64(0..centre.spans.round)));
            }
        }
    }
}

/// Stands for the next epoch: ballot, record, own disk, backup's disk, record written.
fn stand(centre: &Arc<Centre>, caller: &Arc<Caller>, shunned: &[(Id, Ms)]) -> Result<(), String> {
    let spans = centre.spans;
    let (ballot, me, seats) = {
        let (state, _) = centre.lock();
        let held = state.seat.as_ref().map_or(0, |s| s.held.promised.n);
        let top = state.record.epoch.n.max(held).max(state.top).max(state.floor.n);
        (Ballot::new(top + 1, &state.me), state.me.clone(), state.seats.len())
    };
    let says = ask(centre, caller, &SeatCall::Prepare(ballot.clone()));
    let promised: Vec<Record> = says.iter().filter_map(|(_, _, s)| s.record.clone()).collect();
    if promised.len() < majority(seats) {
        let refused: Vec<_> = says.iter().filter_map(|(id, _, s)| s.no.as_ref().map(|no| (id, no))).collect();
        let top = refused.iter().map(|(_, no)| no.promised.n).max().unwrap_or(0);
        let why: Vec<_> = refused.iter().map(|(id, no)| format!("{id} {}", no.why)).collect();
        let (mut state, _) = centre.lock();
        state.top = state.top.max(top);
        return Err(format!("no ballot: {}", why.join(", ")));
    }
    let base = promised.into_iter().max_by(|a, b| a.epoch.cmp(&b.epoch)).unwrap_or_default();
    let (tell, told) = channel();
    let (puts, able) = {
        let (mut state, now) = centre.lock();
        if base.epoch > state.record.epoch {
            state.record = base.clone();
        }
        if !base.lets(&me, &state.floor) || state.floor > ballot {
            return Err("another stands in the record".into());
        }
        // From here on nothing of an earlier epoch is taken: what goes to the backup is all there is.
        state.step_down();
        state.floor = ballot.clone();
        state.seq = 0;
        let puts: Vec<_> = state.held.iter().map(|(n, v)| (n.clone(), v.clone())).collect();
        let own = vec![("floor".to_string(), serde_json::to_string(&ballot).unwrap_or_default())];
        let done = Box::new(move |ok| tell.send(ok).unwrap_or(()));
        centre.scribe.write(Batch { state: puts.clone(), whole: true, own }, done);
        (puts, partners(&state, now, &base, shunned))
    };
    if wait(&told, 2 * spans.call) != Some(true) {
        return Err("the disk does not take it".into());
    }
    let copy = Copy { epoch: ballot.clone(), seq: 0, whole: true, puts };
    let takes = |id: &&Id| {
        let say = caller.post::<_, CopySay>(&centre.peer_address(id), "/copy", &copy);
        say.is_ok_and(|s| s.ok)
    };
    let alone = centre.survive == 0;
    let backup = able.iter().take(3).find(takes).cloned().or(alone.then(|| me.clone()));
    let backup = backup.ok_or("nobody to be the backup")?;
    let record = Record { epoch: ballot.clone(), primary: me, backup };
    let says = ask(centre, caller, &SeatCall::Accept(record.clone(), spans.promise));
    let (mut state, now) = centre.lock();
    state.promises.clear();
    for (id, asked, _) in says.iter().filter(|(_, _, s)| s.no.is_none()) {
        state.promises.add(id, *asked, spans.promise);
    }
    if state.promises.until(&state.seats) <= now || state.floor != ballot {
        return Err("the record was not written by most seats".into());
    }
    centre.note(&format!("Acts in epoch {} with backup {}.", ballot.n, record.backup));
    state.took_over(now, record);
    Ok(())
}

/// Writes what is queued, all of it at a time, to both disks.
pub fn write(centre: Arc<Centre>) {
    let caller = caller(centre.spans.call);
    loop {
        let Some((record, changes, copy)) = next(&centre) else { continue };
        let (tell, told) = channel();
        let own = Vec::new();
        let done = Box::new(move |ok| tell.send(ok).unwrap_or(()));
        centre.scribe.write(Batch { state: copy.puts.clone(), whole: false, own }, done);
        let alone = record.backup == record.primary;
        let mut there = alone;
        for _ in 0..2 {
            if !there {
                let say = caller.post::<_, CopySay>(&centre.peer_address(&record.backup), "/copy", &copy);
                there = say.is_ok_and(|s| s.ok);
            }
        }
        let here = wait(&told, centre.spans.call) == Some(true);
        let mut say = Vec::new();
        let (mut state, now) = centre.lock();
        let mine = matches!(&state.role, Role::Acting(r) if *r == record);
        // The write has taken its time: only who still holds the promises may say that it is done.
        if here && there && mine && state.acting(now) {
            state.wrote(now, &changes);
        } else if mine {
            centre.note(&format!("A change is not on both disks (here {here}, there {there}): steps down."));
            state.bad_backup = (!there).then(|| record.backup.clone());
            state.step_down();
        }
        state.settle(now, &mut say);
        drop(state);
        centre.say(say);
    }
}

fn next(centre: &Arc<Centre>) -> Option<(Record, Vec<Change>, Copy)> {
    let (mut state, now) = centre.lock_for_work();
    let Role::Acting(record) = &state.role else { return None };
    let record = record.clone();
    if state.queue.is_empty() || !state.acting(now) {
        return None;
    }
    let mut changes: Vec<Change> = state.queue.drain(..).collect();
    let mut puts: Vec<_> = changes.iter().flat_map(|c| c.puts.clone()).collect();
    // Of several configurations only the highest comes into force, and only above the one held.
    let held = state.feed.settings().map_or(0, |s| s.revision);
    let best = changes.iter().filter_map(|c| c.settings.clone()).max_by_key(|s| s.revision);
    let best = best.filter(|s| s.revision > held || state.feed.settings().is_none());
    changes.iter_mut().for_each(|c| c.settings = None);
    if let Some(settings) = best {
        let put = ("config".to_string(), serde_json::to_string(&settings).unwrap_or_default());
        puts.push(put.clone());
        if let Some(last) = changes.last_mut() {
            last.settings = Some(settings);
            last.puts.push(put);
        }
    }
    state.seq += 1;
    let copy = Copy { epoch: record.epoch.clone(), seq: state.seq, whole: false, puts };
    Some((record, changes, copy))
}
