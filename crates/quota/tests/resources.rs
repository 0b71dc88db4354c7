//! Arithmetic of amounts and resource vectors.

use lichencrank_quota::{Amount, ResourceVector};

#[test]
fn sums_of_decimals_do_not_drift() {
    let tenth = ResourceVector::rounded_up(0.1, 0.0);
    let sum: ResourceVector = std::iter::repeat_n(tenth, 1_000_000).sum();
    assert_eq!(sum, ResourceVector::from_cpus(100_000));
    assert_eq!(tenth.multiples_within(&ResourceVector::from_cpus(3)), 30);
}

#[test]
fn usage_is_rounded_up_and_limits_are_rounded_down() {
    let third = 1.0 / 3.0;
    let (usage, limit) = (
        Amount::from_decimal_rounded_up(third),
        Amount::from_decimal_rounded_down(third),
    );
    assert!(usage > limit, "usage {usage}, limit {limit}");
    assert_eq!(Amount::from_decimal_rounded_up(f64::NAN), Amount::ZERO);
}

#[test]
fn a_limit_setting_of_zero_is_unlimited() {
    assert_eq!(Amount::from_limit_setting(0.0), Amount::UNLIMITED);
    let remaining = Amount::UNLIMITED.saturating_sub(Amount::from_whole(5));
    assert_eq!(remaining, Amount::UNLIMITED);
}

#[test]
fn decimals_are_formatted_without_trailing_zeros() {
    let text = ResourceVector::rounded_up(0.25, 1.5).to_string();
    assert_eq!(text, "0.25 CPUs, 1.5 GPUs");
}
