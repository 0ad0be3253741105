//! One host: how it answers, how old it is, whether it is suspected.

use super::*;

impl Host {
    pub(crate) fn work(&mut self, now: f64, f: &Figures, note: Note, post: &mut Post) {
        match note {
            Note::Listed(l, place) => {
                let ready = l.state == HostState::Ready;
                let senior = if self.view.ready { self.view.senior } else { (now, place) };
                if l.born > self.born {
                    // A new process: what was measured of the old one is void.
                    (self.born, self.times, self.view.ease) = (l.born, Histogram::default(), 1.0);
                    self.view.restarted = self.met.then_some(now);
                }
                (self.unlisted, self.listed, self.gone_at) = (false, true, None);
                self.view = View { ready, senior, weight: l.weight, zone: l.zone, ..self.view.clone() };
            }
            // Where gone is advice a list may be wrong: a host that answers stays until it is suspected.
            Note::Unlisted if f.gone_is_advice && self.view.ready && self.met && !self.view.suspect => {
                self.unlisted = true;
            }
            Note::Unlisted => self.lose(),
            Note::Out => self.out = true,
            Note::In(Input::Tries { tries, dropped, rt, load, .. }) => {
                self.reported(load);
                let (tries, dropped) = (tries as f64, dropped.min(tries) as f64);
                self.times.add(BINS, rt, tries, dropped);
                if tries > dropped {
                    (self.answered_at, self.met, self.view.proven) = (now, true, true);
                }
                // What a dead host drops is no sign that the fleet can't keep up.
                if self.view.ready && !self.view.suspect {
                    post.note(To::Gate, Note::Tries { rt, tries, dropped });
                }
            }
            Note::In(Input::Probed { outcome, load, .. }) => {
                self.reported(load);
                self.probed(now, f, outcome, post);
            }
            Note::Fleet { rt, .. } => {
                // What slows all condemns none: slow is past 1.6 times the median. The power damps late sums.
                let slow = self.times.mean(BINS) / (1.6 * rt).max(0.4 * f.tightest_slo);
                let factor = if slow > 1.0 { slow.powf(-0.7) } else { 1.2 };
                self.view.ease = (self.view.ease * factor).clamp(0.05, 1.0);
            }
            // As long as its withdrawal is told to who joins. What only a store's table names is not listed.
            Note::Tick if !self.listed && now - *self.gone_at.get_or_insert(now) > 10.0 => {
                post.note(To::Channel, Note::Over(self.id));
            }
            // Two seconds: long enough for a few reports, short enough to forget a trouble that is over.
            Note::Tick if now - self.halved > 2.0 => {
                self.times.halve();
                (self.done, self.spent, self.halved) = (self.done / 2.0, self.spent / 2.0, now);
            }
            Note::Tick if f.may_probe && self.view.ready && self.probe_at.is_some_and(|at| now >= at) => {
                self.probe_at = None;
                post.orders.push(Order::Probe(self.id));
            }
            _ => {}
        }
        let age = self.born.map_or(f64::INFINITY, |born| (now - born).max(0.0));
        self.view.ramp = (f.cold_from + (1.0 - f.cold_from) * age / f.ramp_time.max(1e-9)).clamp(0.05, 1.0);
        self.view.rt = self.times.mean(BINS);
        self.view.answered = self.times.answered();
        post.note(To::Tables, Note::View(self.id, self.view.clone()));
    }

    fn reported(&mut self, load: Load) {
        // Where calls wait all cores are busy. An idle host's figures tell nothing of its speed.
        let busy = load.busy.or(load.waiting.map(|calls| if calls >= 1.0 { 1.0 } else { 0.5 }));
        let (done, spent) = match (load.answered_per_s, load.busy, load.service_time) {
            (Some(rate), Some(busy), _) if busy > 0.1 => (rate, busy),
            (_, _, Some(time)) if time > 0.0 => (1.0, time),
            _ => return,
        };
        (self.done, self.spent, self.view.busy) = (self.done + done, self.spent + spent, busy);
        self.view.speed = Some(self.done / self.spent);
    }

    pub(super) fn probed(&mut self, now: f64, f: &Figures, outcome: Outcome, post: &mut Post) {
        // Twice a second: death shows within about a second, and the price is a few hundredths of a point.
        self.probe_at = Some(now + 0.5);
        // An error or a full house still comes from a process that lives, but proves no host of ours.
        let miss = match outcome {
            Outcome::Unreachable | Outcome::Broken => 2,
            outcome => (outcome == Outcome::TimedOut) as u32,
        };
        (self.misses, self.hits) = if miss > 0 { (self.misses + miss, 0) } else { (0, self.hits + 1) };
        self.met |= outcome == Outcome::Answered;
        self.view.proven = self.met || self.view.proven && outcome == Outcome::Throttled;
        // One refusal may be chance, and a probe that times out may queue behind calls that are answered.
        let mute = self.misses >= 3 && now - self.answered_at > pace(f);
        if !self.view.suspect && (mute || miss == 2 && self.misses >= 4) {
            self.view.suspect = true;
            if self.unlisted {
                return self.lose();
            }
            post.log("suspected, probes unanswered".into(), vec![self.id]);
        }
        if self.view.suspect && self.hits >= 2 {
            self.view.suspect = false;
            // One that was out for it is taken to have restarted, before the list tells. Where so many were
            // missed that none was out, our own path failed, and the list must tell.
            if std::mem::take(&mut self.out) {
                (self.born, self.view.restarted) = (Some(now), Some(now));
            }
            post.log("trusted again, probes answered".into(), vec![self.id]);
        }
    }
}
