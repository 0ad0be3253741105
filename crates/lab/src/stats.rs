//! What a few pairs of figures tell.

/// Mean of the differences, and half of its 95% confidence interval by Student's t.
pub fn paired(differences: &[f64]) -> (f64, f64) {
    let many = differences.len() as f64;
    if differences.len() < 2 {
        return (differences.first().copied().unwrap_or(0.0), f64::INFINITY);
    }
    let mean = differences.iter().sum::<f64>() / many;
    let variance = differences.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / (many - 1.0);
    // 97.5% quantiles of Student's t for 1 to 30 degrees of freedom, from any table.
    const T: [f64; 30] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131, 2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048,
        2.045, 2.042,
    ];
    let t = T.get(differences.len() - 2).copied().unwrap_or(1.96);
    (mean, t * (variance / many).sqrt())
}

pub fn median(figures: &[f64]) -> f64 {
    let mut sorted = figures.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_covers_and_narrows() {
        let (mean, half) = paired(&[1.0, 2.0, 3.0, 4.0]);
        assert_eq!(mean, 2.5);
        assert!((half - 3.182 * (5.0_f64 / 3.0 / 4.0).sqrt()).abs() < 1e-9);
        assert_eq!(paired(&[0.3]).1, f64::INFINITY);
    }
}
