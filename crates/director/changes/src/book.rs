//! All changes, and every step that one can take.

use crate::change::{Change, Keep, Refusal, Stage, Submission, Version, Why};
use crate::pool::Pool;
use crate::record::Record;
use crate::stacks::Stacks;
use coppersail_operator_config::{check_edit, Document, Edits, Field, Known, Value};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A change whose orders are not settled so long after it was applied goes back whole: far past any call that is
/// repeated, and half of the time within which harm must be undone.
pub const APPLY_MOST: f64 = 15.0;
/// A change waits so long for the judge to have heard enough of the time before it; then it goes on without.
pub const BASELINE_MOST: f64 = 20.0;
/// One that was set aside is undone when service has not come back for so long: whoever made it will have gone on to
/// other things, and a change that comes into force by itself must not surprise anybody.
pub const ASIDE_MOST: f64 = 300.0;
/// A trial without the sums to judge it goes on so many times as long before the change is undone.
const PATIENCE: f64 = 2.0;
/// Seconds on trial where nobody says anything else: twice the time within which harm of five points shows.
const TRIAL: f64 = 60.0;
/// Changes under way at a time; each costs its judge, and more hide each other's effects.
pub const LIVE_MOST: usize = 8;
/// Drafts that wait for their authors.
const DRAFTS_MOST: usize = 64;
/// Ended changes that are remembered one by one; older ones have become ground that nobody can undo.
const ENDED_MOST: usize = 1000;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// To be put into the history; `Book::written` or `Book::unwritten` is owed for `Accepted`.
    Write(Record),
    /// The decisions are to go by this from now on; `Book::settled` is owed when their orders are.
    Give {
        by: Version,
        document: Document,
    },
    /// The judge is to watch what the change does, or no more.
    Watch(Version),
    Unwatch(Version),
    /// The change is out of force for the time being, and the judge is to tell when all is as before it...
    SetAside(Version),
    /// ...and is in force again.
    Resume(Version),
    Say {
        about: Option<Version>,
        text: String,
    },
}

/// What the judge can say of its own state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// It has heard enough of the time until now to compare with.
    pub baseline: bool,
    /// It has heard enough of this change's trial.
    pub heard: bool,
    /// Without this change, which is set aside, all is as before it.
    pub calm: bool,
}

/// Times of a change that has not ended, by the monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Clock {
    since: f64,
    /// How long its trial is.
    trial: f64,
    /// Added by hand.
    extended: f64,
    /// It was set aside before: what is found now is the second time.
    again: bool,
    /// The orders that took it back are settled.
    settled: bool,
}

impl Clock {
    fn new(since: f64, trial: f64) -> Self {
        Clock { since, trial, extended: 0.0, again: false, settled: false }
    }
}

/// What could be undone and confirmed, drafts and all: see the crate.
#[derive(Clone, Debug, Default)]
pub struct Book {
    changes: BTreeMap<Version, Change>,
    newest: Version,
    stacks: Stacks,
    document: Document,
    /// What the operators' file held when it was last taken.
    file: Document,
    frozen: Option<(String, String)>,
    tokens: BTreeMap<String, Version>,
    clocks: BTreeMap<Version, Clock>,
    staged: VecDeque<Version>,
    ended: VecDeque<Version>,
    /// The history has failed; nothing new is taken before a start.
    broken: Option<String>,
}

fn edits_of(document: &Document) -> Edits {
    document.iter().map(|(field, value)| (field.clone(), Some(*value))).collect()
}

impl Book {
    /// The first of all starts: what the file holds is in force, and nobody can undo it but by the file.
    pub fn found(document: Document, wall: f64) -> (Self, Record) {
        let record = Record::Founded { wall, document: document.clone().into_iter().collect() };
        let mut book = Book::default();
        book.founded(document);
        (book, record)
    }

    fn founded(&mut self, document: Document) {
        self.stacks.claim(Version(0), &edits_of(&document));
        self.stacks.enforce(Version(0), &edits_of(&document));
        (self.file, self.document) = (document.clone(), document);
    }

    pub fn head(&self) -> Version {
        self.newest
    }
    pub fn document(&self) -> &Document {
        &self.document
    }
    /// What the operators' file held when it was last taken.
    pub fn file(&self) -> &Document {
        &self.file
    }
    pub fn frozen(&self) -> Option<&(String, String)> {
        self.frozen.as_ref()
    }
    pub fn change(&self, number: Version) -> Option<&Change> {
        self.changes.get(&number)
    }
    /// From the newest back.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.values().rev()
    }
    /// Those on trial, and how many seconds their trials last.
    pub fn trials(&self) -> impl Iterator<Item = (Version, f64)> + '_ {
        let trials = self.clocks.iter().filter(|(number, _)| self.stage(**number) == Some(&Stage::Trial));
        trials.map(|(number, clock)| (*number, clock.trial))
    }
    /// Nothing is under way, nor waits for anything but an operator.
    pub fn idle(&self) -> bool {
        self.clocks.is_empty() && self.staged.is_empty()
    }
    pub fn trial_left(&self, now: f64, number: Version) -> Option<f64> {
        let clock = self.clocks.get(&number).filter(|_| self.stage(number) == Some(&Stage::Trial))?;
        Some((clock.since + clock.trial + clock.extended - now).max(0.0))
    }

    fn stage(&self, number: Version) -> Option<&Stage> {
        self.changes.get(&number).map(|change| &change.stage)
    }

    fn found_change(&self, number: Version) -> Result<&Change, Refusal> {
        self.changes.get(&number).ok_or(Refusal::NoSuch(number))
    }

    fn conflict(&self, base: Version, edits: &Edits, but: Option<Version>) -> Result<(), Refusal> {
        for field in edits.keys() {
            let Some(holder) = self.stacks.newest(field).filter(|holder| Some(*holder) != but) else {
                continue;
            };
            let (who, stage) = match self.changes.get(&holder) {
                Some(change) => (change.submission.who.clone(), &change.stage),
                None => (String::new(), &Stage::Kept(Keep::Judged)),
            };
            // One that is known but not settled is no ground to build on either: it may be undone by itself.
            if holder > base || !stage.ended() {
                let (field, stage) = (field.clone(), stage.name());
                return Err(Refusal::Conflict { field, holder, who, stage });
            }
        }
        Ok(())
    }

    /// The document if these edits were in force.
    fn with(&self, edits: &Edits) -> Document {
        let mut document = self.document.clone();
        for (field, value) in edits {
            match value {
                Some(value) => drop(document.insert(field.clone(), *value)),
                None => drop(document.remove(field)),
            }
        }
        document
    }

    /// What would come of a submission: the fields that it changes, as they are and as they would be.
    pub fn preview(&self, edits: &Edits) -> Vec<(Field, Option<Value>, Option<Value>)> {
        let now = |field: &Field| self.document.get(field).copied();
        let differs = edits.iter().filter(|(field, value)| now(field) != **value);
        differs.map(|(field, value)| (field.clone(), now(field), *value)).collect()
    }

    fn sound(
        &self,
        wanted: &Submission,
        known: &Known,
        pool: &Pool,
        but: Option<Version>,
    ) -> Result<(), Refusal> {
        if let Some((who, why)) = &self.frozen {
            return Err(Refusal::Frozen { who: who.clone(), why: why.clone() });
        }
        if let Some(why) = &self.broken {
            return Err(Refusal::History(why.clone()));
        }
        if wanted.base > self.newest {
            return Err(Refusal::BaseAhead { base: wanted.base, head: self.newest });
        }
        let check = |(field, value): (&Field, &Option<Value>)| {
            check_edit(field, value.as_ref(), Some(known)).err().map(|error| error.to_string())
        };
        let mut faults: Vec<String> = wanted.edits.iter().filter_map(check).collect();
        if wanted.trial.is_some_and(|trial| trial != 0.0 && !(5.0..=3600.0).contains(&trial)) {
            faults.push("trial: expected 0 or seconds from 5 to 3600".to_string());
        }
        if !(0.0..=100.0).contains(&wanted.expected_loss) {
            faults.push("expected loss: expected points from 0 to 100".to_string());
        }
        if !faults.is_empty() {
            return Err(Refusal::Unsound(faults));
        }
        self.conflict(wanted.base, &wanted.edits, but)?;
        if self.preview(&wanted.edits).is_empty() {
            return Err(Refusal::Empty);
        }
        // What is as bad already is not made so by this one.
        let bad_now = pool.emptied_by(&self.document).map_or(0.0, |(much, _)| much);
        match pool.emptied_by(&self.with(&wanted.edits)) {
            Some((much, what)) if much > bad_now => Err(Refusal::Pool(what)),
            _ => Ok(()),
        }
    }

    /// Takes a wish or refuses it whole. One that was taken before, by its token, is only named again.
    pub fn submit(
        &mut self,
        now: f64,
        wall: f64,
        wanted: Submission,
        known: &Known,
        pool: &Pool,
    ) -> Result<(Version, Vec<Act>), Refusal> {
        if let Some(number) = self.tokens.get(&wanted.token).filter(|_| !wanted.token.is_empty()) {
            return Ok((*number, vec![]));
        }
        self.sound(&wanted, known, pool, None)?;
        let drafts = self.changes.values().filter(|change| change.stage == Stage::Drafted).count();
        if wanted.draft && drafts >= DRAFTS_MOST {
            return Err(Refusal::Crowded(DRAFTS_MOST));
        }
        if !wanted.draft && self.clocks.len() + self.staged.len() >= LIVE_MOST {
            return Err(Refusal::Crowded(LIVE_MOST));
        }
        let number = Version(self.newest.0 + 1);
        let fields: Vec<String> = wanted.edits.keys().map(Field::to_string).collect();
        let drafted = if wanted.draft { "drafted" } else { "checked" };
        let text = format!("{drafted}, by {}: {}; sets {}", wanted.who, wanted.why, fields.join(" "));
        let record = Record::Accepted { number, wall, submission: wanted };
        self.accepted(number, wall, &record);
        if self.stage(number) == Some(&Stage::Checked) {
            self.clock(number, now);
        }
        Ok((number, vec![Act::Say { about: Some(number), text }, Act::Write(record)]))
    }

    fn clock(&mut self, number: Version, now: f64) {
        let standard = match self.document.get(&Field::Trial) {
            Some(Value::Number(trial)) => *trial,
            _ => TRIAL,
        };
        let own = self.changes.get(&number).and_then(|change| change.submission.trial);
        self.clocks.insert(number, Clock::new(now, own.unwrap_or(standard)));
    }

    fn accepted(&mut self, number: Version, wall: f64, record: &Record) {
        let Record::Accepted { submission, .. } = record else { return };
        let submission = submission.clone();
        self.newest = self.newest.max(number);
        if !submission.token.is_empty() {
            self.tokens.insert(submission.token.clone(), number);
        }
        let stage = if submission.draft { Stage::Drafted } else { Stage::Checked };
        if stage == Stage::Checked {
            self.stacks.claim(number, &submission.edits);
        }
        let change = Change { number, wall, submission, stage, undoes: None, before: Edits::new() };
        self.changes.insert(number, change);
    }

    /// The one place where a change's stage changes, at work and when a history is read.
    fn move_to(&mut self, number: Version, stage: Stage) -> Result<(), String> {
        let change =
            self.changes.get_mut(&number).ok_or(format!("change {number} that was never accepted"))?;
        if !change.stage.leads_to(&stage) {
            return Err(format!("change {number} {} that was {}", stage.name(), change.stage.name()));
        }
        let (was, edits) =
            (std::mem::replace(&mut change.stage, stage.clone()), change.submission.edits.clone());
        match (&was, &stage) {
            (Stage::Drafted, Stage::Checked) => self.stacks.claim(number, &edits),
            (Stage::Checked, Stage::Staged) => self.staged.push_back(number),
            (Stage::Staged | Stage::Aside { .. }, Stage::Applied) => {
                self.staged.retain(|staged| *staged != number);
                let before = edits.keys().map(|field| (field.clone(), self.document.get(field).copied()));
                let (before, file) = (before.collect(), change.submission.document());
                change.before = before;
                self.stacks.enforce(number, &edits);
                self.file = file.unwrap_or(std::mem::take(&mut self.file));
                self.renew(&edits);
            }
            (_, Stage::Aside { .. }) => {
                self.stacks.rest(number, &edits);
                self.renew(&edits);
            }
            (_, Stage::Dropped(_) | Stage::Undone(_)) => {
                self.staged.retain(|staged| *staged != number);
                self.stacks.remove(number, &edits);
                self.renew(&edits);
            }
            _ => {}
        }
        if stage.ended() {
            self.clocks.remove(&number);
            if !was.ended() {
                self.ended.push_back(number);
            }
            self.forget();
        }
        Ok(())
    }

    fn renew(&mut self, edits: &Edits) {
        for field in edits.keys() {
            match self.stacks.value(field) {
                Some(value) => drop(self.document.insert(field.clone(), value)),
                None => drop(self.document.remove(field)),
            }
        }
    }

    /// A history without end must not fill the memory: what ended long ago becomes ground.
    fn forget(&mut self) {
        while self.ended.len() > ENDED_MOST {
            let Some(change) = self.ended.pop_front().and_then(|number| self.changes.remove(&number)) else {
                continue;
            };
            self.tokens.remove(&change.submission.token);
            if change.stage.in_force() {
                self.stacks.settle(change.number, &change.submission.edits);
            }
        }
    }

    fn step(&mut self, wall: f64, number: Version, stage: Stage, acts: &mut Vec<Act>) {
        let text = match &stage {
            Stage::Kept(Keep::Confirmed { who }) => format!("kept, confirmed by {who}"),
            Stage::Kept(Keep::Judged) => "kept, its trial showed no harm".to_string(),
            Stage::Dropped(why) => format!("dropped, {why}"),
            Stage::Undone(why) => format!("undone while it was set aside, {why}"),
            Stage::Aside { found } => format!("set aside until the fleet is well, {found}"),
            stage => stage.name().to_string(),
        };
        if self.move_to(number, stage.clone()).is_ok() {
            acts.push(Act::Write(Record::Moved { number, wall, stage }));
            acts.push(Act::Say { about: Some(number), text });
        }
    }

    /// A draft is to be applied. Its base must still hold.
    pub fn stage_draft(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        known: &Known,
        pool: &Pool,
    ) -> Result<Vec<Act>, Refusal> {
        let change = self.found_change(number)?;
        if change.stage != Stage::Drafted {
            return Err(Refusal::NotIn { number, stage: change.stage.name(), wanted: "drafted" });
        }
        if self.clocks.len() + self.staged.len() >= LIVE_MOST {
            return Err(Refusal::Crowded(LIVE_MOST));
        }
        self.sound(&change.submission.clone(), known, pool, Some(number))?;
        let mut acts = Vec::new();
        self.step(wall, number, Stage::Checked, &mut acts);
        self.clock(number, now);
        self.step(wall, number, Stage::Staged, &mut acts);
        Ok(acts)
    }

    /// The history holds the change: whoever submitted it may be told so.
    pub fn written(&mut self, wall: f64, number: Version) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.stage(number) == Some(&Stage::Checked) {
            self.step(wall, number, Stage::Staged, &mut acts);
        }
        acts
    }

    /// The history does not hold it and will hold nothing more. What is on trial may still be undone.
    pub fn unwritten(&mut self, wall: f64, number: Option<Version>, why: &str) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.broken.is_none() {
            self.broken = Some(why.to_string());
            let text = format!("history: cannot be written, no change is taken before a start: {why}");
            acts.push(Act::Say { about: None, text });
        }
        let Some(number) = number else { return acts };
        if matches!(self.stage(number), Some(Stage::Checked | Stage::Drafted)) {
            self.step(wall, number, Stage::Dropped(Why::Unwritten { why: why.to_string() }), &mut acts);
        }
        acts
    }

    /// The orders that came of the change are settled.
    pub fn settled(&mut self, now: f64, wall: f64, number: Version) -> Vec<Act> {
        let mut acts = Vec::new();
        if matches!(self.stage(number), Some(Stage::Aside { .. })) {
            self.clocks.entry(number).and_modify(|clock| clock.settled = true);
        }
        if self.stage(number) != Some(&Stage::Applied) {
            return acts;
        }
        let undoes = self.changes.get(&number).is_some_and(|change| change.undoes.is_some());
        let untried = self.clocks.get(&number).is_none_or(|clock| clock.trial == 0.0);
        match (undoes, untried) {
            (true, _) => self.step(wall, number, Stage::Kept(Keep::Undoing), &mut acts),
            (_, true) => self.step(wall, number, Stage::Kept(Keep::Untried), &mut acts),
            _ => {
                self.step(wall, number, Stage::Trial, &mut acts);
                self.clocks.entry(number).and_modify(|clock| clock.since = now);
            }
        }
        acts
    }

    /// What has become due. `ready` tells what the judge has heard, for a change on trial or, with none, at all.
    pub fn tick(
        &mut self,
        now: f64,
        wall: f64,
        pool: &Pool,
        ready: &dyn Fn(Option<Version>) -> Ready,
    ) -> Vec<Act> {
        let mut acts = Vec::new();
        let clocks: Vec<(Version, Clock)> = self.clocks.iter().map(|(n, clock)| (*n, *clock)).collect();
        for (number, clock) in clocks {
            let undoes = self.changes.get(&number).is_some_and(|change| change.undoes.is_some());
            let end = clock.since + clock.trial + clock.extended;
            match self.stage(number) {
                // What undoes goes on until it is settled; there is nothing to go back to.
                Some(Stage::Applied) if !undoes && now - clock.since > APPLY_MOST => {
                    acts.extend(self.undone(now, wall, number, Why::Unsettled, pool));
                }
                Some(Stage::Trial) if now >= end && ready(Some(number)).heard => {
                    self.step(wall, number, Stage::Kept(Keep::Judged), &mut acts);
                    acts.push(Act::Unwatch(number));
                }
                Some(Stage::Aside { .. }) if now - clock.since > ASIDE_MOST => {
                    acts.extend(self.given_up(wall, number, Why::NeverCalm));
                }
                Some(Stage::Aside { .. }) if clock.settled && ready(Some(number)).calm => {
                    acts.extend(self.apply_again(now, wall, number, pool));
                }
                Some(Stage::Trial) if now >= end + (PATIENCE - 1.0) * clock.trial => {
                    acts.extend(self.undone(now, wall, number, Why::Unjudged, pool));
                }
                _ => {}
            }
        }
        acts.extend(self.apply_next(now, wall, ready(None)));
        acts
    }

    /// Orders of a change are under way to the proxies: those that bring it, or those that take it back.
    fn busy(&self) -> bool {
        self.clocks.iter().any(|(number, clock)| match self.stage(*number) {
            Some(Stage::Applied) => true,
            Some(Stage::Aside { .. }) => !clock.settled,
            _ => false,
        })
    }

    /// What was set aside gets its second trial, on what is true now. While changes are frozen it waits.
    fn apply_again(&mut self, now: f64, wall: f64, number: Version, pool: &Pool) -> Vec<Act> {
        let Some(change) = self.changes.get(&number).filter(|_| !self.busy() && self.frozen.is_none()) else {
            return Vec::new();
        };
        let edits = change.submission.edits.clone();
        let bad_now = pool.emptied_by(&self.document).map_or(0.0, |(much, _)| much);
        if let Some((_, why)) = pool.emptied_by(&self.with(&edits)).filter(|(much, _)| *much > bad_now) {
            return self.given_up(wall, number, Why::Stale { why });
        }
        let mut acts = Vec::new();
        self.step(wall, number, Stage::Applied, &mut acts);
        self.clocks.entry(number).and_modify(|clock| (clock.since, clock.again) = (now, true));
        acts.push(Act::Resume(number));
        acts.push(Act::Give { by: number, document: self.document.clone() });
        acts
    }

    /// One that is set aside ends so: nothing of it is in force, so there is nothing to take back.
    fn given_up(&mut self, wall: f64, number: Version, why: Why) -> Vec<Act> {
        let mut acts = Vec::new();
        self.step(wall, number, Stage::Undone(why), &mut acts);
        acts.push(Act::Unwatch(number));
        acts
    }

    /// One change at a time is under way to the proxies, so that what comes of it can be told apart.
    fn apply_next(&mut self, now: f64, wall: f64, ready: Ready) -> Vec<Act> {
        let mut acts = Vec::new();
        let Some(number) = self.staged.front().copied().filter(|_| !self.busy()) else { return acts };
        let waited = self.clocks.get(&number).map_or(f64::INFINITY, |clock| now - clock.since);
        let untried = self.clocks.get(&number).is_some_and(|clock| clock.trial == 0.0);
        if !ready.baseline && waited < BASELINE_MOST && !untried {
            return acts;
        }
        self.step(wall, number, Stage::Applied, &mut acts);
        self.clocks.entry(number).and_modify(|clock| clock.since = now);
        if !untried {
            acts.push(Act::Watch(number));
        }
        acts.push(Act::Give { by: number, document: self.document.clone() });
        acts
    }

    /// The judge has found harm; `unsure`: a trouble of the fleet may be at fault, as nothing untouched was there to compare
    /// with, or that has become worse as well. Such a change is taken back as any other, but only set aside: harm that comes back with it
    /// is its own. What this costs is that callers of a harmful one meet the harm twice, for as long as it takes to find.
    pub fn harmful(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        (found, unsure): (String, bool),
        pool: &Pool,
    ) -> Vec<Act> {
        let Some(Stage::Applied | Stage::Trial) = self.stage(number) else { return Vec::new() };
        let again = self.clocks.get(&number).is_some_and(|clock| clock.again);
        if again {
            let found = format!("a second time, after all was well without it: {found}");
            return self.undone(now, wall, number, Why::Harm { found }, pool);
        }
        if !unsure {
            return self.undone(now, wall, number, Why::Harm { found }, pool);
        }
        let mut acts = Vec::new();
        self.step(wall, number, Stage::Aside { found }, &mut acts);
        self.clocks.entry(number).and_modify(|clock| (clock.since, clock.settled) = (now, false));
        // Safety does not wait for a disk, here as when it is undone.
        acts.push(Act::SetAside(number));
        acts.push(Act::Give { by: number, document: self.document.clone() });
        acts
    }

    /// An operator wants it undone, or a draft dropped.
    pub fn undo(
        &mut self,
        now: f64,
        wall: f64,
        number: Version,
        (who, why): (String, String),
        pool: &Pool,
    ) -> Result<Vec<Act>, Refusal> {
        let change = self.found_change(number)?;
        let (why, stage) = (Why::Asked { who, why }, change.stage.name());
        match change.stage {
            Stage::Drafted | Stage::Checked | Stage::Staged => {
                let mut acts = Vec::new();
                self.step(wall, number, Stage::Dropped(why), &mut acts);
                Ok(acts)
            }
            Stage::Aside { .. } => Ok(self.given_up(wall, number, why)),
            Stage::Applied | Stage::Trial | Stage::Kept(_) if change.undoes.is_none() => {
                Ok(self.undone(now, wall, number, why, pool))
            }
            _ => Err(Refusal::NotIn { number, stage, wanted: "in force and undoes nothing itself" }),
        }
    }

    /// A new change is made of what is true now: what the undone one still holds goes back to what lies below it;
    /// what others have set since stands; what is below but is about hosts that left is given up.
    fn undone(&mut self, now: f64, wall: f64, of: Version, why: Why, pool: &Pool) -> Vec<Act> {
        let Some(change) = self.changes.get(&of) else { return Vec::new() };
        let edits = change.submission.edits.clone();
        let stands = |field: &&Field| self.stacks.holder(field) != Some(of);
        let stand: Vec<String> = edits
            .keys()
            .filter(stands)
            .filter_map(|field| Some(format!("{field} (change {})", self.stacks.holder(field)?)))
            .collect();
        let number = Version(self.newest.0 + 1);
        let mut text = format!("undone by change {number}, {why}");
        if !stand.is_empty() {
            text += &format!("; later changes stand: {}", stand.join(" "));
        }
        let gone = |field: &&Field| field.host().is_some_and(|host| !pool.knows(host));
        let lost: Vec<Field> = edits.keys().filter(gone).cloned().collect();
        let record = Record::Undo { number, of, wall, why, lost };
        if self.undo_made(&record).is_err() {
            return Vec::new();
        }
        // Applied, so that it is settled like any other; its clock tells how long it has been under way.
        self.clocks.insert(number, Clock::new(now, 0.0));
        vec![
            Act::Say { about: Some(of), text },
            Act::Unwatch(of),
            // Safety does not wait for a disk: the orders go out whether or not this can be written.
            Act::Give { by: number, document: self.document.clone() },
            Act::Write(record),
        ]
    }

    fn undo_made(&mut self, record: &Record) -> Result<(), String> {
        let Record::Undo { number, of, wall, why, lost } = record else { return Ok(()) };
        let change = self.changes.get(of).ok_or(format!("undoing of change {of} that was never accepted"))?;
        let keys: Vec<Field> = change.submission.edits.keys().cloned().collect();
        let was: Edits =
            keys.iter().map(|field| (field.clone(), self.document.get(field).copied())).collect();
        let held: BTreeSet<&Field> =
            keys.iter().filter(|field| self.stacks.holder(field) == Some(*of)).collect();
        self.move_to(*of, Stage::Undone(why.clone()))?;
        self.newest = self.newest.max(*number);
        for field in keys.iter().filter(|field| held.contains(field)) {
            self.stacks.mark(*number, field, lost.contains(field));
        }
        self.renew(&was);
        let edits: Edits =
            held.into_iter().map(|field| (field.clone(), self.document.get(field).copied())).collect();
        let before = was.into_iter().filter(|(field, _)| edits.contains_key(field)).collect();
        let submission = Submission {
            base: *of,
            who: "coppersail".to_string(),
            why: format!("undoes change {of}, {why}"),
            edits,
            ..Submission::default()
        };
        let (number, wall, undoes, stage) = (*number, *wall, Some(*of), Stage::Applied);
        self.changes.insert(number, Change { number, wall, submission, stage, undoes, before });
        Ok(())
    }

    pub fn confirm(&mut self, wall: f64, number: Version, who: String) -> Result<Vec<Act>, Refusal> {
        let stage = &self.found_change(number)?.stage;
        if *stage != Stage::Trial {
            return Err(Refusal::NotIn { number, stage: stage.name(), wanted: "on trial" });
        }
        let mut acts = Vec::new();
        self.step(wall, number, Stage::Kept(Keep::Confirmed { who }), &mut acts);
        acts.push(Act::Unwatch(number));
        Ok(acts)
    }

    pub fn extend(&mut self, number: Version, by: f64, who: &str) -> Result<Vec<Act>, Refusal> {
        let stage = self.found_change(number)?.stage.name();
        let clock = self.clocks.get_mut(&number).filter(|_| stage == "on trial");
        let clock = clock.ok_or(Refusal::NotIn { number, stage, wanted: "on trial" })?;
        if !(1.0..=3600.0).contains(&by) {
            return Err(Refusal::Unsound(vec!["by: expected seconds from 1 to 3600".to_string()]));
        }
        clock.extended += by;
        let text = format!("trial extended by {by} s, by {who}");
        Ok(vec![Act::Say { about: Some(number), text }])
    }

    /// Nothing is taken until it is thawed; trials go on and may still be undone.
    pub fn freeze(&mut self, wall: f64, who: String, why: String) -> Vec<Act> {
        let text = format!("changes frozen by {who}: {why}");
        self.frozen = Some((who.clone(), why.clone()));
        vec![Act::Write(Record::Frozen { wall, who, why }), Act::Say { about: None, text }]
    }

    pub fn thaw(&mut self, wall: f64, who: String) -> Vec<Act> {
        self.frozen = None;
        let text = format!("changes thawed by {who}");
        vec![Act::Write(Record::Thawed { wall, who }), Act::Say { about: None, text }]
    }

    /// The book as it was when the last of these records was written.
    pub fn recover(records: impl IntoIterator<Item = Record>) -> Result<Self, String> {
        let mut book = Book::default();
        for record in records {
            match &record {
                Record::Founded { document, .. } => book.founded(document.iter().cloned().collect()),
                Record::Accepted { number, .. } if *number <= book.newest => {
                    return Err(format!("change {number} accepted twice"));
                }
                Record::Accepted { number, wall, .. } => book.accepted(*number, *wall, &record),
                Record::Moved { number, stage, .. } => book.move_to(*number, stage.clone())?,
                Record::Undo { .. } => book.undo_made(&record)?,
                Record::Frozen { who, why, .. } => book.frozen = Some((who.clone(), why.clone())),
                Record::Thawed { .. } => book.frozen = None,
            }
        }
        Ok(book)
    }

    /// A start with what was recovered. What was staged goes on. What was on trial is undone: the time before it, with
    /// which it is compared, is forgotten, and the director may have ended because of it.
    pub fn resume(&mut self, now: f64, wall: f64, pool: &Pool) -> Vec<Act> {
        let mut acts = Vec::new();
        let stages: Vec<(Version, Stage)> =
            self.changes.values().map(|c| (c.number, c.stage.clone())).collect();
        for (number, stage) in stages {
            let undoes = self.changes.get(&number).is_some_and(|change| change.undoes.is_some());
            match stage {
                Stage::Checked => {
                    self.clock(number, now);
                    self.step(wall, number, Stage::Staged, &mut acts);
                }
                Stage::Staged => self.clock(number, now),
                // The whole document is given at a start, so this is done with it.
                Stage::Applied if undoes => self.step(wall, number, Stage::Kept(Keep::Undoing), &mut acts),
                Stage::Applied | Stage::Trial => {
                    acts.extend(self.undone(now, wall, number, Why::Restarted, pool));
                }
                Stage::Aside { .. } => acts.extend(self.given_up(wall, number, Why::Restarted)),
                _ => {}
            }
        }
        acts
    }

    /// The state as far as a history tells it, for tests.
    #[cfg(test)]
    fn told(&self) -> (Version, Document, Vec<Change>, Option<(String, String)>) {
        let changes = self.changes.values().cloned().collect();
        (self.newest, self.stacks.document(), changes, self.frozen.clone())
    }
}

#[cfg(test)]
#[path = "book_tests.rs"]
mod tests;
