//! Statistics of small samples: paired differences and rank correlation.

/// 97.5% quantiles of Student's t distribution for 1 to 30 degrees of freedom.
const T_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];
/// The same quantile of the normal distribution, for more.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean of the sample.
    pub mean: f64,
    /// Half the width of the confidence interval.
    pub half_width: f64,
}

/// Mean of paired differences, with Student's t interval; the interval is infinite with fewer than two differences.
pub fn paired(differences: &[f64]) -> Estimate {
    if differences.len() < 2 {
        let mean = differences.first().copied().unwrap_or(0.0);
        return Estimate { mean, half_width: f64::INFINITY };
    }
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let variance = differences.iter().map(|d| (d - mean) * (d - mean)).sum::<f64>() / (count - 1.0);
    let t = T_QUANTILES.get(differences.len() - 2).copied().unwrap_or(NORMAL_QUANTILE);
    Estimate { mean, half_width: t * (variance / count).sqrt() }
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

/// The fewest pairs that have a rank correlation.
const MIN_PAIRS: usize = 3;

/// Spearman's rank correlation; none with fewer than three pairs, or where all values of one side are equal.
pub fn spearman(pairs: &[(f64, f64)]) -> Option<f64> {
    if pairs.len() < MIN_PAIRS {
        return None;
    }
    let first: Vec<f64> = pairs.iter().map(|pair| pair.0).collect();
    let second: Vec<f64> = pairs.iter().map(|pair| pair.1).collect();
    let first_ranks = ranks(&first);
    let second_ranks = ranks(&second);
    let first_spread = co_deviation(&first_ranks, &first_ranks);
    let second_spread = co_deviation(&second_ranks, &second_ranks);
    if first_spread <= 0.0 || second_spread <= 0.0 {
        return None;
    }
    Some(co_deviation(&first_ranks, &second_ranks) / (first_spread * second_spread).sqrt())
}

/// Sum of the products of two rankings' deviations from their common mean.
fn co_deviation(a: &[f64], b: &[f64]) -> f64 {
    let mean = (a.len() - 1) as f64 / 2.0;
    a.iter().zip(b).map(|(a, b)| (a - mean) * (b - mean)).sum()
}

#[cfg(test)]
mod tests;
