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
mod tests;

/// Places of figures from the least up; equal ones share the mean of their places.
fn ranks(figures: &[f64]) -> Vec<f64> {
    let place = |figure: &f64| {
        let below = figures.iter().filter(|other| *other < figure).count() as f64;
        let same = figures.iter().filter(|other| *other == figure).count() as f64;
        below + (same - 1.0) / 2.0
    };
    figures.iter().map(place).collect()
}

/// Spearman's rank correlation; none: fewer than three pairs, or all alike on a side.
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
mod rank_tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[(1.0, 10.0), (2.0, 20.0), (3.0, 900.0)], Some(1.0) ; "the same order")]
    #[test_case(&[(1.0, 3.0), (2.0, 2.0), (3.0, 1.0)], Some(-1.0) ; "the other way round")]
    #[test_case(&[(1.0, 1.0), (2.0, 1.0), (3.0, 1.0)], None ; "all alike")]
    #[test_case(&[(1.0, 1.0), (2.0, 2.0)], None ; "too few")]
    fn order_is_told(pairs: &[(f64, f64)], expected: Option<f64>) {
        assert_eq!(spearman(pairs), expected);
    }

    #[test]
    fn equal_ones_share_their_place() {
        assert_eq!(ranks(&[5.0, 1.0, 5.0, 9.0]), [1.5, 0.0, 1.5, 3.0]);
    }
}
