//! Rate limits that endpoints state, and how entries share them without asking one another.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::entry_roster::EntryRoster;
use papayatray_core::gateway::entry_roster::EntryShare;
use papayatray_core::gateway::rate_limits::RateLimits;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::gateway::slot_reservation;
use papayatray_core::gateway::slot_reservation::SlotReservation;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::id::VmId;
use proptest::prop_assert;
use proptest::proptest;

const FIRST: Incarnation = Incarnation(1);
const START: Millis = Millis::from_secs(100);
/// Wall-clock time of [`START`] less the monotonic one.
const EPOCH: Millis = Millis::from_secs(1_700_000_000);
/// Interval at which each entry of the tests has a request to send.
const STEP: Millis = Millis::new(50);
/// Span over which requests are compared with the limit.
const WINDOW: Millis = Millis::from_secs(4);

fn endpoint() -> EndpointId {
    EndpointId::new("e-1").unwrap()
}

fn rate(thousandths: u64) -> RequestRate {
    RequestRate::from_thousandths(thousandths)
}

fn vm(index: usize) -> VmId {
    VmId::new(format!("vm-{index}")).unwrap()
}

/// Requests that may reach an endpoint within [`WINDOW`]: one and a half times its limit, and five.
fn allowed(rate: RequestRate) -> usize {
    let thousandths = rate.thousandths() * WINDOW.as_u64() / 1_000 * 3 / 2;
    usize::try_from(thousandths / 1_000).unwrap() + 5
}

/// Entries that all have been told the limit of one endpoint.
struct Site {
    entries: Vec<RateLimits>,
    sent: Vec<Millis>,
    now: Millis,
}

impl Site {
    fn start(count: usize, rate: RequestRate) -> Self {
        let entries = (0..count).map(|index| {
            let mut limits = RateLimits::default();
            limits.set_wall_offset(EPOCH, START);
            let share = EntryShare {
                index: index as u64,
                count: count as u64,
            };
            limits.set_share(share, START);
            assert!(limits.record(&endpoint(), FIRST, rate, START).is_some());
            limits
        });
        Self {
            entries: entries.collect(),
            sent: Vec::new(),
            now: START,
        }
    }

    /// Lets each entry send as often as it may.
    fn saturate(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            for limits in &mut self.entries {
                while limits.remaining(&endpoint(), FIRST, self.now).is_none() {
                    limits.take(&endpoint(), FIRST, self.now);
                    self.sent.push(self.now);
                }
            }
        }
    }

    fn idle(&mut self, duration: Millis) {
        self.now = self.now + duration;
    }

    fn set_wall_offset(&mut self, offset: Millis) {
        for limits in &mut self.entries {
            limits.set_wall_offset(offset, self.now);
        }
    }

    fn most_in_window(&self) -> usize {
        let counts = self.sent.iter().enumerate().map(|(index, start)| {
            let rest = self.sent[index..].iter();
            rest.take_while(|time| time.since(*start) < WINDOW).count()
        });
        counts.max().unwrap_or(0)
    }
}

#[test]
fn rate_is_a_number_that_may_have_a_fraction() {
    let cases = [("1", 1_000), (" 2.5 ", 2_500), ("0", 0), ("0.0019", 1)];
    for (value, thousandths) in cases {
        assert_eq!(RequestRate::parse(value), Some(rate(thousandths)));
    }
    for value in ["", "-1", "inf", "NaN", "1e3", "1.2.3", "ten"] {
        assert_eq!(RequestRate::parse(value), None, "{value}");
    }
}

#[test]
fn entries_use_the_whole_limit_and_no_more() {
    for count in [1, 7, 195, 860] {
        for thousandths in [250, 1_000, 3_700, 20_000] {
            let rate = rate(thousandths);
            let mut site = Site::start(count, rate);
            site.saturate(Millis::from_secs(40));
            let most = site.most_in_window();
            assert!(most <= allowed(rate), "{count} at {rate}: {most}");
            let expected = thousandths * 40 / 1_000;
            let used = site.sent.len() as u64;
            assert!(used + 1 >= expected, "{count} at {rate}: {used}");
        }
    }
}

#[test]
fn idle_entries_save_up_no_requests() {
    let rate = rate(10_000);
    let mut site = Site::start(195, rate);
    site.idle(Millis::from_secs(600));
    site.saturate(Millis::from_secs(10));
    assert!(site.most_in_window() <= allowed(rate));
}

#[test]
fn step_of_the_leaders_clock_neither_exceeds_nor_ends_the_limit() {
    let rate = rate(5_000);
    let steps = [
        EPOCH + Millis::from_secs(5),
        EPOCH,
        EPOCH.since(Millis::from_secs(5)),
        EPOCH.since(Millis::from_secs(86_400)),
    ];
    for offset in steps {
        let mut site = Site::start(7, rate);
        site.saturate(Millis::from_secs(8));
        site.set_wall_offset(offset);
        let before = site.sent.len();
        site.saturate(Millis::from_secs(10));
        assert!(site.most_in_window() <= allowed(rate));
        assert!(site.sent.len() - before >= 45);
    }
}

#[test]
fn limit_of_zero_leaves_a_request_now_and_then() {
    let mut site = Site::start(7, rate(0));
    site.saturate(Millis::from_secs(100));
    assert!((9..=11).contains(&site.sent.len()), "{}", site.sent.len());
    assert!(site.most_in_window() <= allowed(rate(0)));
}

#[test]
fn response_that_was_overtaken_does_not_lift_the_limit() {
    let mut limits = RateLimits::default();
    limits.record(&endpoint(), FIRST, rate(1_000), START);
    let before = START.since(Millis::new(1));
    assert_eq!(limits.lift(&endpoint(), FIRST, before, START), None);
    assert_eq!(limits.rate(&endpoint(), FIRST), Some(rate(1_000)));
    assert!(limits.lift(&endpoint(), FIRST, START, START).is_some());
    assert_eq!(limits.rate(&endpoint(), FIRST), None);
    assert_eq!(limits.remaining(&endpoint(), FIRST, START), None);
}

#[test]
fn limit_ends_with_the_incarnation_that_stated_it() {
    let mut limits = RateLimits::default();
    limits.record(&endpoint(), Incarnation(2), rate(1_000), START);
    assert_eq!(limits.record(&endpoint(), FIRST, rate(9_000), START), None);
    assert_eq!(limits.rate(&endpoint(), Incarnation(2)), Some(rate(1_000)));
    assert_eq!(limits.rate(&endpoint(), Incarnation(3)), None);
    assert_eq!(limits.remaining(&endpoint(), Incarnation(3), START), None);
}

#[test]
fn statements_of_other_entries_hold_in_the_order_in_which_they_were_made() {
    let [mut teller, mut learner] = [RateLimits::default(), RateLimits::default()];
    // The clocks of the two processes count from different times.
    let learner_start = Millis::from_secs(7);
    teller.set_wall_offset(EPOCH, START);
    learner.set_wall_offset(EPOCH + START.since(learner_start), learner_start);
    let second = Millis::from_secs(1);
    let limited = teller
        .record(&endpoint(), FIRST, rate(2_000), START)
        .unwrap();
    let lifted = teller
        .lift(&endpoint(), FIRST, START + second, START + second)
        .unwrap();
    let later = learner_start + second + second;
    assert!(learner.learn(&limited, later));
    assert_eq!(learner.rate(&endpoint(), FIRST), Some(rate(2_000)));
    assert!(learner.learn(&lifted, later));
    assert_eq!(learner.rate(&endpoint(), FIRST), None);
    assert!(!learner.learn(&limited, later));
    assert_eq!(learner.rate(&endpoint(), FIRST), None);
}

#[test]
fn statement_of_another_entry_that_arrives_very_late_is_ignored() {
    let [mut teller, mut learner] = [RateLimits::default(), RateLimits::default()];
    let limited = teller
        .record(&endpoint(), FIRST, rate(2_000), START)
        .unwrap();
    assert!(!learner.learn(&limited, START + Millis::from_secs(11)));
}

#[test]
fn entry_keeps_its_share_while_a_restarted_replica_lists_few_entries() {
    let all: Vec<VmId> = (0..9).map(vm).collect();
    let mut roster = EntryRoster::default();
    roster.update(&all, START);
    let share = roster.share(&vm(4));
    assert_eq!(share, EntryShare { index: 4, count: 9 });
    let restarted = START + Millis::from_secs(3);
    roster.update(&all[4..5], restarted);
    assert_eq!(roster.share(&vm(4)), share);
    roster.update(&all, restarted + Millis::from_secs(2));
    assert_eq!(roster.share(&vm(4)), share);
    // The other entries are gone for good.
    roster.update(&all[4..5], restarted + Millis::from_secs(30));
    assert_eq!(roster.share(&vm(4)), EntryShare::default());
}

/// Returns the work, in milliseconds, that 30 s of slots take off the other endpoints.
///
/// Each of seven entries sends six requests a second, of which about one in three is long.
fn relieved_work(leaves_new_slots: bool) -> f64 {
    let service = ServiceId::new("llm").unwrap();
    let mut site = Site::start(7, rate(2_000));
    let mut reservation = SlotReservation::default();
    let mut relieved = 0.0;
    for request in 0..7 * 6 * 30_u64 {
        site.now = START + Millis::new(request * 1_000 / 42);
        // Bits of a multiplicative hash, so that long requests do not fall into step with slots.
        let draw = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let work_ms = if draw.is_multiple_of(3) { 400.0 } else { 25.0 };
        reservation.record(&service, work_ms);
        let limits = &mut site.entries[usize::try_from(request % 7).unwrap()];
        let Some(age) = limits.slot_age(&endpoint(), FIRST, site.now) else {
            continue;
        };
        let is_light = reservation.is_light(&service, work_ms);
        if leaves_new_slots && is_light && slot_reservation::is_reserved(age) {
            continue;
        }
        limits.take(&endpoint(), FIRST, site.now);
        relieved += work_ms;
    }
    relieved
}

#[test]
fn slots_of_limited_endpoints_go_to_the_requests_with_most_work() {
    let any = relieved_work(false);
    let reserved = relieved_work(true);
    assert!(reserved > 1.5 * any, "{reserved} of {any}");
}

proptest! {
    /// Entries that start and stop having traffic, and a leader whose clock steps.
    #[test]
    fn no_window_exceeds_the_limit(
        count in 1_usize..60,
        thousandths in 0_u64..30_000,
        phases in proptest::collection::vec((0_u64..3_000, 0_u64..3_000, 0_u64..10_000), 1..6),
    ) {
        let rate = rate(thousandths);
        let mut site = Site::start(count, rate);
        for (busy, idle, step) in phases {
            site.saturate(Millis::new(busy));
            site.idle(Millis::new(idle));
            // A step every few seconds is more than clocks do; one within each window is allowed.
            site.saturate(WINDOW);
            site.set_wall_offset(EPOCH + Millis::new(step));
        }
        let most = site.most_in_window();
        prop_assert!(most <= allowed(rate), "{} of {}", most, allowed(rate));
    }
}
