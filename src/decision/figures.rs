//! Checks of the figures that come from outside.

/// Returns the figure if it is finite and not below zero.
pub fn sound(figure: f64) -> Option<f64> {
    Some(figure).filter(|figure| figure.is_finite() && *figure >= 0.0)
}

/// Returns the figure if it is finite and above zero.
pub fn finite_positive(figure: f64) -> Option<f64> {
    sound(figure).filter(|figure| *figure > 0.0)
}
