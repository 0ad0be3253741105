//! The measurement windows: members are added, and after a while their calls are counted.
use crate::fleet::{Fleet, CALL_TIMEOUT};
use crate::members::{run_edge, run_endpoint};
use crate::options::MemberKind;
use coppersail_fleet_emulator::table::{self, Window};
use coppersail_fleet_emulator::{CallStats, ProcessUsage};
use eyre::{eyre, Result};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Prints the table, a window for each number of members.
pub(crate) async fn measure(fleet: Arc<Fleet>, kind: MemberKind) -> Result<()> {
    let options = &fleet.options;
    println!("{}", table::header(&options.pids));
    let mut members = JoinSet::new();
    for &count in &options.member_counts {
        add_members(&mut members, &fleet, kind, count);
        sleep(Duration::from_secs(options.warmup_seconds)).await;
        println!("{}", table::row(&measure_window(&fleet, count).await?));
    }
    fleet.stop();
    // Calls in flight end within their timeout; the sign-off of an endpoint follows.
    let longest = options.heartbeat_interval.max(Duration::from_millis(options.watch_wait_ms));
    let all_ended = async { while members.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(longest + 2 * CALL_TIMEOUT, all_ended).await;
    Ok(())
}

fn add_members(members: &mut JoinSet<()>, fleet: &Arc<Fleet>, kind: MemberKind, count: usize) {
    for number in members.len()..count {
        match kind {
            MemberKind::Endpoint => members.spawn(run_endpoint(fleet.clone(), number)),
            MemberKind::Edge => members.spawn(run_edge(fleet.clone(), number)),
        };
    }
}

async fn measure_window(fleet: &Fleet, members: usize) -> Result<Window> {
    let options = &fleet.options;
    let before = process_usage(&options.pids)?;
    fleet.bytes.take();
    *fleet.stats() = CallStats::default();
    let started_at = Instant::now();
    sleep(Duration::from_secs(options.window_seconds)).await;
    let mut calls = std::mem::take(&mut *fleet.stats());
    (calls.bytes_in, calls.bytes_out) = fleet.bytes.take();
    let usage = before.into_iter().zip(process_usage(&options.pids)?).collect();
    Ok(Window { members, seconds: started_at.elapsed().as_secs_f64(), calls, usage })
}

fn process_usage(pids: &[u32]) -> Result<Vec<ProcessUsage>> {
    pids.iter().map(|&pid| read_usage(pid)).collect()
}

fn read_usage(pid: u32) -> Result<ProcessUsage> {
    let read = |file| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
    let (stat, status) = (read("stat")?, read("status")?);
    // The message is all that is printed: its text is fixed, so the cause is not chained to it.
    ProcessUsage::parse(&stat, &status).map_err(|_| eyre!("process {pid} can't be read"))
}
