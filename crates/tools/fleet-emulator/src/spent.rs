//! What a process has spent, as the kernel tells it.

/// The kernel gives processor time to user space in hundredths of a second, whatever its own tick.
const TICKS: f64 = 100.0;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spent {
    /// Processor time since its start, in seconds.
    pub cpu: f64,
    /// Memory that is resident now, and at its peak, in MB.
    pub rss: f64,
    pub peak: f64,
}

impl Spent {
    /// From the texts of `/proc/PID/stat` and `/proc/PID/status`.
    ///
    /// ```
    /// let stat = "7 (a b) c) S 1 7 7 0 -1 4194560 200 0 0 0 250 150 0 0 20 0 3 0";
    /// let spent = coppersail_fleet_emulator::Spent::read(stat, "VmHWM:\t  4096 kB\nVmRSS:\t  2048 kB\n").unwrap();
    /// assert_eq!((spent.cpu, spent.rss, spent.peak), (4.0, 2.0, 4.0));
    /// ```
    pub fn read(stat: &str, status: &str) -> Option<Spent> {
        // The program's name may hold spaces and brackets; what follows it does not.
        let mut rest = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
        let mut ticks = || rest.next()?.parse::<f64>().ok();
        let cpu = (ticks()? + ticks()?) / TICKS;
        let mb = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim_start_matches(':').split_whitespace().next()?.parse::<f64>().ok()? / 1024.0)
        };
        Some(Spent { cpu, rss: mb("VmRSS")?, peak: mb("VmHWM")? })
    }
}
