//! Statistics of small samples: paired differences and rank correlation.

/// 97.5% quantiles of Student's t distribution for 1 to 30 degrees of freedom.
const T_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];
/// The same quantile of the normal distribution, for more.
const NORMAL_QUANTILE: f64 = 1.96;

/// Mean of the differences, and half the width of its 95% confidence interval (Student's t, paired samples). Infinite with
/// fewer than two differences.
pub fn paired(differences: &[f64]) -> (f64, f64) {
    let count = differences.len() as f64;
    if differences.len() < 2 {
        return (differences.first().copied().unwrap_or(0.0), f64::INFINITY);
    }
    let mean = differences.iter().sum::<f64>() / count;
    let variance = differences.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / (count - 1.0);
    let t = T_QUANTILES.get(differences.len() - 2).copied().unwrap_or(NORMAL_QUANTILE);
    (mean, t * (variance / count).sqrt())
}

/// Ranks from 0 in ascending order; equal values share the mean of their ranks.
fn ranks(values: &[f64]) -> Vec<f64> {
    let rank = |value: &f64| {
        let below = values.iter().filter(|other| *other < value).count() as f64;
        let equal = values.iter().filter(|other| *other == value).count() as f64;
        below + (equal - 1.0) / 2.0
    };
    values.iter().map(rank).collect()
}

/// Spearman's rank correlation; none with fewer than three pairs, or where all values of one side are equal.
pub fn spearman(pairs: &[(f64, f64)]) -> Option<f64> {
    if pairs.len() < 3 {
        return None;
    }
    let side = |of: fn(&(f64, f64)) -> f64| ranks(&pairs.iter().map(of).collect::<Vec<f64>>());
    let (a, b) = (side(|pair| pair.0), side(|pair| pair.1));
    let mean = (pairs.len() - 1) as f64 / 2.0;
    let product =
        |x: &[f64], y: &[f64]| -> f64 { x.iter().zip(y).map(|(x, y)| (x - mean) * (y - mean)).sum() };
    let (aa, bb) = (product(&a, &a), product(&b, &b));
    (aa > 0.0 && bb > 0.0).then(|| product(&a, &b) / (aa * bb).sqrt())
}

#[cfg(test)]
mod tests;
