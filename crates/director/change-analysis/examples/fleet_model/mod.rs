//! A random model of the reports of a fleet: calls arrive at random by slice and route, loss rates of the
//! fleet and of each slice drift, reports are delayed, and an outage may affect all slices to different
//! degrees.

use coppersail::interface::{RouteId, SliceId};
use coppersail_change_analysis::{ChangeAnalysis, ChangeScope, HarmFinding, TrialId};
use fastrand::Rng;
use std::collections::VecDeque;

/// Losses of the fleet without the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Noise {
    /// Each call is lost independently with the same probability.
    Independent,
    /// Loss rates drift, for the fleet and for each slice.
    Drifting,
    /// As `Drifting`, with an outage of the whole fleet near the change.
    FleetOutage,
}

/// A fleet and its random numbers.
pub(crate) struct Fleet {
    pub(crate) slices: u16,
    pub(crate) calls_per_s: f64,
    /// Each route's share of the calls.
    pub(crate) route_shares: Vec<f64>,
    /// The share of calls that is lost without harm by the change.
    pub(crate) base_loss: f64,
    pub(crate) noise: Noise,
    /// Delay of the reports, in seconds.
    pub(crate) report_delay: f64,
    rng: Rng,
}

/// The harm of a change: the share of calls that is lost, by slice, route and seconds since the change came into force.
pub(crate) type Harm<'a> = &'a dyn Fn(u16, usize, f64) -> f64;

/// The outcome of a trial. Times are in seconds since the change.
#[derive(Default)]
pub(crate) struct Outcome {
    /// When the change was first taken out of force, and why.
    pub(crate) first_finding: Option<(f64, HarmFinding)>,
    /// When it came into force again after it was suspended.
    pub(crate) resumed_at: Option<f64>,
    /// When it was finally undone, and why.
    pub(crate) undone: Option<(f64, HarmFinding)>,
    pub(crate) seconds_in_force: f64,
}

/// Time at which the change comes into force, in seconds since the start of the run.
const CHANGE_AT: f64 = 60.0;
/// Length of the interval in which the outage begins at a random time, in seconds.
const OUTAGE_SPREAD: f64 = 20.0;
/// Time before the change at which this interval starts, in seconds.
const OUTAGE_LEAD: f64 = 5.0;
/// Duration of the outage, in seconds.
const OUTAGE_LENGTH: f64 = 15.0;
/// Mean share of calls that are lost in an outage.
const OUTAGE_LOSS: f64 = 0.2;
/// Time for which a suspended change is still in force, until the orders have reached the proxies, in
/// seconds.
const SUSPENSION_DELAY: f64 = 1.0;
/// Time after which a suspended change is undone if service does not recover, as in `coppersail-changes`, in
/// seconds.
const MAX_SUSPENSION: f64 = 300.0;
const IMPORTANCE: [f64; 2] = [3.0, 9.0];
const SLO_TIME: f64 = 1.5;
const TRIAL: TrialId = TrialId(1);

fn normal(rng: &mut Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

fn poisson(rng: &mut Rng, mean: f64) -> u64 {
    let bound = (-mean).exp();
    let mut product = rng.f64();
    let mut count = 0;
    while product > bound {
        product *= rng.f64();
        count += 1;
    }
    count
}

struct Report {
    arrives_at: f64,
    slice: SliceId,
    route: RouteId,
    calls: u64,
    lost: u64,
}

/// When the change is in force, and when the run ends, in seconds since the start of the run.
struct Schedule {
    in_force_from: f64,
    in_force_until: f64,
    end: f64,
}

impl Schedule {
    fn in_force(from: f64, trial_seconds: f64) -> Self {
        Schedule { in_force_from: from, in_force_until: f64::INFINITY, end: from + trial_seconds }
    }

    fn is_in_force(&self, now: f64) -> bool {
        (self.in_force_from..self.in_force_until).contains(&now)
    }
}

/// Loss rates without the effect of the change.
struct BackgroundLoss {
    base: f64,
    noise: Noise,
    fleet_drift: f64,
    slice_drift: Vec<f64>,
    outage_weights: Vec<f64>,
    outage_at: f64,
}

impl BackgroundLoss {
    fn new(fleet: &mut Fleet) -> Self {
        let outage_weights = (0..fleet.slices).map(|_| 0.6 + 0.8 * fleet.rng.f64()).collect();
        BackgroundLoss {
            base: fleet.base_loss,
            noise: fleet.noise,
            fleet_drift: 0.0,
            slice_drift: vec![0.0; usize::from(fleet.slices)],
            outage_weights,
            outage_at: CHANGE_AT - OUTAGE_LEAD + OUTAGE_SPREAD * fleet.rng.f64(),
        }
    }

    fn drift_fleet(&mut self, rng: &mut Rng) {
        self.fleet_drift = 0.9 * self.fleet_drift + 0.004 * normal(rng);
    }

    fn drift_slice(&mut self, slice: u16, rng: &mut Rng) {
        let drift = &mut self.slice_drift[usize::from(slice)];
        *drift = 0.9 * *drift + 0.2 * normal(rng);
    }

    /// The share of a slice's calls that is served despite noise and outage.
    fn served_share(&self, slice: u16, now: f64) -> f64 {
        let slice = usize::from(slice);
        let noise = match self.noise {
            Noise::Independent => self.base,
            _ => (self.base * self.slice_drift[slice].exp() + f64::abs(self.fleet_drift)).min(0.5),
        };
        let outage = match self.noise {
            Noise::FleetOutage if (self.outage_at..self.outage_at + OUTAGE_LENGTH).contains(&now) => {
                OUTAGE_LOSS * self.outage_weights[slice]
            }
            _ => 0.0,
        };
        (1.0 - noise) * (1.0 - outage)
    }
}

impl Fleet {
    pub(crate) fn new(seed: u64, noise: Noise, report_delay: f64) -> Self {
        Fleet {
            slices: 150,
            calls_per_s: 160.0,
            route_shares: vec![0.7, 0.3],
            base_loss: 0.015,
            noise,
            report_delay,
            rng: Rng::with_seed(seed),
        }
    }

    /// Runs a minute before the change and a trial of `trial_seconds`. The analysis is evaluated each second;
    /// an uncertain first finding suspends the change, as in `coppersail-changes`.
    pub(crate) fn run_trial(&mut self, scope: &ChangeScope, harm: Harm, trial_seconds: usize) -> Outcome {
        let mut analysis = ChangeAnalysis::new(1.0, IMPORTANCE[..self.route_shares.len()].to_vec(), SLO_TIME);
        let mut background = BackgroundLoss::new(self);
        let mut schedule = Schedule::in_force(CHANGE_AT, trial_seconds as f64);
        let mut reports: VecDeque<Report> = VecDeque::new();
        let mut outcome = Outcome::default();
        for second in 0.. {
            let now = f64::from(second);
            if now >= schedule.end {
                break;
            }
            self.serve_second(now, &mut background, &schedule, harm, &mut reports);
            if now == CHANGE_AT {
                analysis.start_trial(TRIAL, scope.clone(), 0.0);
            }
            deliver_reports(&mut analysis, &mut reports, now + 1.0);
            outcome.seconds_in_force += f64::from(schedule.is_in_force(now));
            let finding = analysis.close_periods(now + 1.0).into_iter().next();
            if let Some((_, finding)) = finding.filter(|_| schedule.is_in_force(now)) {
                let at = now + 1.0 - CHANGE_AT;
                outcome.first_finding.get_or_insert((at, finding.clone()));
                if outcome.resumed_at.is_some() || !finding.is_uncertain() {
                    outcome.undone = Some((at, finding));
                    return outcome;
                }
                analysis.suspend(TRIAL);
                schedule.in_force_until = now + 1.0 + SUSPENSION_DELAY;
                schedule.end = now + MAX_SUSPENSION;
            }
            if now > schedule.in_force_until && analysis.has_recovered(TRIAL) {
                analysis.resume(TRIAL);
                outcome.resumed_at = Some(now + 1.0 - CHANGE_AT);
                schedule = Schedule::in_force(now + 1.0, trial_seconds as f64);
            }
        }
        outcome
    }

    /// Draws the calls and losses of one second. Their reports arrive `report_delay` after its end.
    fn serve_second(
        &mut self,
        now: f64,
        background: &mut BackgroundLoss,
        schedule: &Schedule,
        harm: Harm,
        reports: &mut VecDeque<Report>,
    ) {
        background.drift_fleet(&mut self.rng);
        for slice in 0..self.slices {
            background.drift_slice(slice, &mut self.rng);
            for (route, route_share) in self.route_shares.iter().enumerate() {
                let mean_calls = self.calls_per_s * route_share / f64::from(self.slices);
                let calls = poisson(&mut self.rng, mean_calls);
                let since = now - schedule.in_force_from;
                let harmed = if schedule.is_in_force(now) { harm(slice, route, since) } else { 0.0 };
                let loss = 1.0 - background.served_share(slice, now) * (1.0 - harmed);
                let lost = (0..calls).filter(|_| self.rng.f64() < loss).count() as u64;
                let arrives_at = now + 1.0 + self.report_delay;
                let (slice, route) = (SliceId(slice), RouteId(route as u16));
                reports.push_back(Report { arrives_at, slice, route, calls, lost });
            }
        }
    }

    /// The scope of a change that touches one in `one_in` slices, starting with the first.
    pub(crate) fn touch_one_in(&self, one_in: u16) -> ChangeScope {
        ChangeScope { slices: (0..self.slices / one_in).map(SliceId).collect(), ..ChangeScope::default() }
    }
}

fn deliver_reports(analysis: &mut ChangeAnalysis, reports: &mut VecDeque<Report>, before: f64) {
    while reports.front().is_some_and(|report| report.arrives_at < before) {
        let Some(report) = reports.pop_front() else { break };
        analysis.report_calls(report.slice, report.route, report.calls, report.lost);
    }
}
