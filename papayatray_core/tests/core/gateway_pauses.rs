//! Pauses that endpoints ask for with `Retry-After`.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::pauses::Pauses;
use papayatray_core::gateway::pauses::requested_pause;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use proptest::prop_assert;
use proptest::proptest;

const FIRST: Incarnation = Incarnation(1);
const START: Millis = Millis::from_secs(100);

fn endpoint() -> EndpointId {
    EndpointId::new("e-1").unwrap()
}

#[test]
fn seconds_may_have_a_fraction_and_are_rounded_up() {
    let cases = [
        ("3", 3_000),
        (" 2 ", 2_000),
        ("0.25", 250),
        ("1.2345", 1_235),
    ];
    for (value, millis) in cases {
        assert_eq!(requested_pause(value), Some(Millis::new(millis)), "{value}");
    }
}

#[test]
fn zero_dates_and_other_text_ask_for_no_pause() {
    let cases = [
        "",
        "0",
        "0.0",
        "-1",
        "inf",
        "NaN",
        "1e9",
        "1.2.3",
        "soon",
        "Wed, 21 Oct 2026 07:28:00 GMT",
    ];
    for value in cases {
        assert_eq!(requested_pause(value), None, "{value}");
    }
}

#[test]
fn absurdly_long_time_is_limited() {
    let limit = Millis::from_secs(600);
    assert_eq!(requested_pause("99999999999999999999999999"), Some(limit));
}

#[test]
fn later_end_of_two_pauses_holds() {
    let mut pauses = Pauses::default();
    pauses.record(&endpoint(), FIRST, Millis::from_secs(5), START);
    pauses.record(&endpoint(), FIRST, Millis::from_secs(1), START);
    let later = START + Millis::from_secs(4);
    assert_eq!(
        pauses.remaining(&endpoint(), FIRST, later),
        Some(Millis::from_secs(1))
    );
    assert_eq!(
        pauses.remaining(&endpoint(), FIRST, START + Millis::from_secs(5)),
        None
    );
}

#[test]
fn pause_ends_with_the_incarnation_that_asked_for_it() {
    let mut pauses = Pauses::default();
    let second = Incarnation(2);
    pauses.record(&endpoint(), FIRST, Millis::from_secs(5), START);
    assert_eq!(pauses.remaining(&endpoint(), second, START), None);
    // A late response of the former incarnation does not replace the pause of the present one.
    pauses.record(&endpoint(), second, Millis::from_secs(1), START);
    pauses.record(&endpoint(), FIRST, Millis::from_secs(9), START);
    assert_eq!(
        pauses.remaining(&endpoint(), second, START),
        Some(Millis::from_secs(1))
    );
    pauses.forget(&endpoint());
    assert_eq!(pauses.remaining(&endpoint(), second, START), None);
}

proptest! {
    #[test]
    fn arbitrary_text_asks_for_ten_minutes_at_most(value in "\\PC{0,40}") {
        let pause = requested_pause(&value);
        prop_assert!(pause.is_none_or(|pause| pause <= Millis::from_secs(600)));
    }

    #[test]
    fn endpoint_is_paused_until_the_latest_of_all_ends(
        asked in proptest::collection::vec((0_u64..10_000, 1_u64..10_000), 1..20),
    ) {
        let mut pauses = Pauses::default();
        let mut latest = Millis::ZERO;
        let mut now = START;
        for (wait, duration) in asked {
            now = now + Millis::new(wait);
            pauses.record(&endpoint(), FIRST, Millis::new(duration), now);
            latest = latest.max(now + Millis::new(duration));
            let remaining = pauses.remaining(&endpoint(), FIRST, now);
            prop_assert!(remaining == Some(latest.since(now)));
        }
    }
}
