//! Decimal numbers in the headers of endpoints' responses.

/// Returns the thousandths of a number without sign or exponent, such as `2.5`.
///
/// Any other text gives `None`.
pub(super) fn thousandths(value: &str) -> Option<f64> {
    let value = value.trim();
    let is_number = |c: char| c.is_ascii_digit() || c == '.';
    if !value.chars().all(is_number) {
        return None;
    }
    let number: f64 = value.parse().ok()?;
    Some(number * 1_000.0)
}
