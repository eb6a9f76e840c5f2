//! Least squares over two slopes: processor time = per token × tokens + per call × calls.

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// Tokens streamed.
    pub tokens: f64,
    /// Calls made.
    pub calls: f64,
    /// Processor time in microseconds.
    pub cost: f64,
}

/// The slopes.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct Slopes {
    /// Microseconds for a token.
    pub per_token: f64,
    /// Microseconds for a call.
    pub per_call: f64,
}

/// Fits both slopes through the origin; none if the points don't tell them apart.
///
/// Each point counts by its relative error, so that the largest does not decide alone.
pub fn fit(points: &[Point]) -> Option<Slopes> {
    let (mut tokens_tokens, mut tokens_calls, mut calls_calls) = (0.0, 0.0, 0.0);
    let (mut tokens_cost, mut calls_cost) = (0.0, 0.0);
    for point in points.iter().filter(|point| point.cost > 0.0) {
        let weight = 1.0 / (point.cost * point.cost);
        tokens_tokens += weight * point.tokens * point.tokens;
        tokens_calls += weight * point.tokens * point.calls;
        calls_calls += weight * point.calls * point.calls;
        tokens_cost += weight * point.tokens * point.cost;
        calls_cost += weight * point.calls * point.cost;
    }
    let determinant = tokens_tokens * calls_calls - tokens_calls * tokens_calls;
    if determinant <= f64::EPSILON * tokens_tokens * calls_calls {
        return None;
    }
    Some(Slopes {
        per_token: (tokens_cost * calls_calls - calls_cost * tokens_calls) / determinant,
        per_call: (calls_cost * tokens_tokens - tokens_cost * tokens_calls) / determinant,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn point(tokens: f64, calls: f64) -> Point {
        Point {
            tokens,
            calls,
            cost: 7.0 * tokens + 300.0 * calls,
        }
    }

    #[test]
    fn slopes_are_found_again() {
        let points = [
            point(1_000.0, 10.0),
            point(50_000.0, 500.0),
            point(1_000.0, 1_000.0),
        ];
        let slopes = fit(&points).expect("they differ");
        assert!((slopes.per_token - 7.0).abs() < 1e-6, "{slopes:?}");
        assert!((slopes.per_call - 300.0).abs() < 1e-6, "{slopes:?}");
    }

    #[test]
    fn points_of_one_shape_tell_nothing() {
        assert_eq!(fit(&[point(100.0, 1.0), point(1_000.0, 10.0)]), None);
        assert_eq!(fit(&[]), None);
    }
}
