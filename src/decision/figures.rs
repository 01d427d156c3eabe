//! Checks of numbers from external input.

/// Returns the number if it is finite and not negative.
pub fn finite_non_negative(number: f64) -> Option<f64> {
    Some(number).filter(|number| number.is_finite() && *number >= 0.0)
}

/// Returns the number if it is finite and greater than zero.
pub fn finite_positive(number: f64) -> Option<f64> {
    finite_non_negative(number).filter(|number| *number > 0.0)
}
