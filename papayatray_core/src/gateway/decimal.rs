//! Decimal numbers in the headers of endpoints' responses.

/// Returns the thousandths of a number without sign or exponent, such as `2.5`, made whole by
/// `round`.
///
/// Any other text gives `None`.
pub(super) fn thousandths(value: &str, round: fn(f64) -> f64) -> Option<u64> {
    let value = value.trim();
    let is_number = |c: char| c.is_ascii_digit() || c == '.';
    if !value.chars().all(is_number) {
        return None;
    }
    let number: f64 = value.parse().ok()?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and the cast saturates"
    )]
    let thousandths = round(number * 1_000.0) as u64;
    Some(thousandths)
}
