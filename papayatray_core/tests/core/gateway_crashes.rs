//! Poison requests and prompt parts at the gateway: crashes reported by all entries quarantine what
//! the crashing requests have in common, and nothing else.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::answers::AnswerReport;
use papayatray_core::gateway::crashes::CrashCause;
use papayatray_core::gateway::crashes::CrashTable;
use papayatray_core::gateway::crashes::LostRequest;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;
use papayatray_core::suspicion::EndpointIncarnation;

const NOW: Millis = Millis::from_secs(100);
const POISON: Fingerprint = Fingerprint(7);
/// Time from a request's arrival at an endpoint to the crash.
const RUN: Millis = Millis::new(200);
/// Time from the publication of suspects after which missing answers are not waited for.
const ANSWERED: Millis = Millis::new(1_000);
/// Number of the last findings that entries have received which do not answer.
const SILENT: u64 = 0;

const FIRST_PART: u64 = 0xf;
const SUBJECT_PART: u64 = 0x5;
const POISON_PART: u64 = 0xdead;

fn app() -> ServiceId {
    ServiceId::new("app").unwrap()
}

/// Returns a request with these parts that was sent [`RUN`] before endpoint `number` crashed.
fn lost(request: u128, parts: &[u64], number: u64, crashed_at: Millis) -> LostRequest {
    LostRequest {
        endpoint: EndpointIncarnation {
            endpoint: EndpointId::new(format!("e{number}")).unwrap(),
            incarnation: Incarnation(1),
        },
        service: app(),
        request: Fingerprint(request),
        parts: parts.to_vec(),
        sent_at: crashed_at.since(RUN),
        crashed_at,
        has_started: true,
    }
}

/// Returns the time of crash `number` of a series in which each request is sent after the last crash.
fn crash_time(number: u64) -> Millis {
    NOW + Millis::new(number * 300)
}

/// Evaluates twice, with time for entries to answer in between, which none does.
fn settle(table: &mut CrashTable, now: Millis) -> Vec<CrashCause> {
    table.evaluate(SILENT, now);
    table.evaluate(SILENT, now + ANSWERED);
    table.findings().quarantined.iter().copied().collect()
}

/// Returns a table of a service whose endpoints go on answering other requests.
fn table() -> CrashTable {
    let mut table = CrashTable::default();
    table.record_service_answer(&app(), NOW + Millis::from_secs(600));
    table
}

fn request(fingerprint: u128) -> CrashCause {
    CrashCause::Request(Fingerprint(fingerprint))
}

fn part(digest: u64) -> CrashCause {
    CrashCause::PromptPart(digest)
}

#[test]
fn three_crashes_at_different_entries_quarantine_a_request() {
    let mut table = table();
    for number in 0..3 {
        assert!(settle(&mut table, crash_time(number)).is_empty());
        let reported = lost(POISON.0, &[], number, crash_time(number)).report(NOW);
        table.record([&LostRequest {
            crashed_at: crash_time(number),
            sent_at: crash_time(number).since(RUN),
            ..LostRequest::from_report(&reported, NOW)
        }]);
    }
    assert_eq!(settle(&mut table, crash_time(3)), [request(7)]);
}

#[test]
fn report_keeps_the_times_by_another_clock() {
    let here = lost(7, &[FIRST_PART], 1, NOW);
    let report = here.report(NOW + Millis::new(40));
    let there = LostRequest::from_report(&report, Millis::from_secs(9));
    assert_eq!(there.crashed_at, Millis::new(8_960));
    assert_eq!(there.sent_at, Millis::new(8_760));
    assert_eq!(there.parts, here.parts);
}

#[test]
fn crash_reported_repeatedly_counts_once() {
    let mut table = table();
    for _ in 0..10 {
        table.record([&lost(POISON.0, &[], 1, NOW)]);
    }
    assert!(settle(&mut table, NOW).is_empty());
    assert!(table.findings().suspected.is_empty());
}

#[test]
fn suspects_expire() {
    let mut table = table();
    for number in 0..2 {
        table.record([&lost(POISON.0, &[], number, crash_time(number))]);
    }
    // Crashes count for 120 s.
    table.evaluate(SILENT, crash_time(2) + Millis::from_secs(121));
    assert!(table.is_empty());
}

#[test]
fn number_of_suspects_is_bounded() {
    let mut table = table();
    for number in 0..5_000_u64 {
        let crashed_at = NOW + Millis::new(number);
        table.record([&lost(number.into(), &[number], number, crashed_at)]);
    }
    assert!(table.len() <= 512);
}

/// Half of the endpoints of a large fleet crash at once with full slots; a request that crashed one
/// before must not be forgotten among those that were merely in flight.
#[test]
fn mass_crash_does_not_evict_a_request_that_crashed_endpoints_before() {
    let mut table = table();
    table.record([&lost(POISON.0, &[], 1, crash_time(0))]);
    table.record([&lost(POISON.0, &[], 2, crash_time(1))]);
    for number in 0..2_000_u64 {
        let endpoint = 3 + number % 40;
        table.record([&lost(
            u128::from(1_000 + number),
            &[],
            endpoint,
            crash_time(2),
        )]);
    }
    table.record([&lost(POISON.0, &[], 100, crash_time(3))]);
    assert_eq!(settle(&mut table, crash_time(3)), [request(7)]);
}

#[test]
fn evaluation_names_a_cause_once_when_it_becomes_quarantined() {
    let mut table = table();
    let mut named = Vec::new();
    for number in 0..8 {
        table.record([&lost(POISON.0, &[], number, crash_time(number))]);
        for _ in 0..3 {
            named.extend(
                table
                    .evaluate(SILENT, crash_time(number) + ANSWERED)
                    .quarantined,
            );
        }
    }
    assert_eq!(named.len(), 1);
}

/// Plays a series of crashes, each by another request with the poison part, with a sound request of
/// the same subject in flight at each of the endpoints.
fn play_poison_part(table: &mut CrashTable, crashes: u64) {
    for number in 0..crashes {
        let crashed_at = crash_time(number);
        let poison_parts = if number % 2 == 0 {
            vec![FIRST_PART, POISON_PART]
        } else {
            vec![FIRST_PART, SUBJECT_PART, POISON_PART]
        };
        let sound = [FIRST_PART, SUBJECT_PART];
        table.record([
            &lost(u128::from(100 + number), &poison_parts, number, crashed_at),
            &lost(u128::from(200 + number), &sound, number, crashed_at),
        ]);
    }
}

/// Endpoints that crash by themselves lose mostly requests whose answers have not started.
#[test]
fn part_that_was_lost_before_answers_started_needs_more_crashes() {
    let mut table = table();
    for number in 0..8 {
        assert!(settle(&mut table, crash_time(number)).is_empty());
        table.record([&LostRequest {
            has_started: number < 3,
            ..lost(
                u128::from(number),
                &[SUBJECT_PART],
                number,
                crash_time(number),
            )
        }]);
    }
    assert_eq!(settle(&mut table, crash_time(8)), [part(SUBJECT_PART)]);
}

#[test]
fn part_in_the_prompts_of_all_crashing_requests_is_quarantined_alone() {
    let mut table = table();
    play_poison_part(&mut table, 4);
    assert_eq!(settle(&mut table, crash_time(4)), [part(POISON_PART)]);
}

/// A part that all requests of a route share is lost in each crash, also in unrelated ones.
#[test]
fn part_with_which_requests_are_answered_is_not_quarantined() {
    let mut table = table();
    play_poison_part(&mut table, 6);
    for number in 6..9 {
        let sound = lost(
            u128::from(300 + number),
            &[FIRST_PART],
            number,
            crash_time(number),
        );
        table.record([&sound]);
    }
    table.evaluate(SILENT, crash_time(9));
    let suspects: Vec<CrashCause> = table.findings().suspected.iter().map(|s| s.0).collect();
    assert!(suspects.contains(&part(FIRST_PART)), "{suspects:?}");
    table.record_answer(part(FIRST_PART), crash_time(9));
    table.record_answer(part(SUBJECT_PART), crash_time(9));
    assert_eq!(settle(&mut table, crash_time(9)), [part(POISON_PART)]);
}

#[test]
fn entries_are_given_time_to_answer_before_a_part_is_quarantined() {
    let mut table = table();
    play_poison_part(&mut table, 4);
    table.evaluate(SILENT, crash_time(4));
    assert!(table.findings().quarantined.is_empty());
    assert!(table.findings().suspected.len() >= 2);
    let published = table.findings().number;
    table.evaluate(published - 1, crash_time(4) + Millis::new(900));
    assert!(table.findings().quarantined.is_empty());
    table.evaluate(published, crash_time(4) + Millis::new(900));
    assert_eq!(table.findings().quarantined, [part(POISON_PART)].into());
}

/// A request is sent to three endpoints in a row and loses each to the crash of another request.
#[test]
fn request_in_flight_at_crashes_of_a_poison_part_is_released() {
    let mut table = table();
    let innocent = 999;
    for number in 0..3 {
        let crashed_at = crash_time(number);
        let poison = lost(
            u128::from(100 + number),
            &[FIRST_PART, POISON_PART],
            number,
            crashed_at,
        );
        let sound = lost(innocent, &[FIRST_PART, SUBJECT_PART], number, crashed_at);
        table.record([&poison, &sound]);
    }
    assert_eq!(settle(&mut table, crash_time(3)), [request(innocent)]);
    let fourth = lost(103, &[FIRST_PART, POISON_PART], 3, crash_time(7));
    table.record([&fourth]);
    assert_eq!(settle(&mut table, crash_time(7)), [part(POISON_PART)]);
}

#[test]
fn one_request_that_crashes_endpoints_does_not_quarantine_its_parts() {
    let mut table = table();
    for number in 0..6 {
        let parts = [FIRST_PART, SUBJECT_PART];
        table.record([&lost(POISON.0, &parts, number, crash_time(number))]);
    }
    assert_eq!(settle(&mut table, crash_time(6)), [request(7)]);
}

/// 40 endpoints crash at once; requests of one subject were in flight at ten of them.
#[test]
fn endpoints_that_crash_together_quarantine_nothing() {
    let mut table = table();
    for number in 0..40 {
        let parts = [FIRST_PART, number % 4];
        table.record([&lost(u128::from(number), &parts, number, NOW)]);
    }
    assert!(settle(&mut table, NOW).is_empty());
}

/// Records crashes of three endpoints at once, with copies of one request in flight at each.
fn play_copies(table: &mut CrashTable) {
    for number in 0..3 {
        table.record([&lost(POISON.0, &[FIRST_PART], number, NOW)]);
    }
}

/// Guards against counting the crashes of copies that were in flight together as one.
#[test]
fn copies_that_crash_their_endpoints_together_quarantine_the_request() {
    let mut table = table();
    play_copies(&mut table);
    assert_eq!(settle(&mut table, NOW), [request(7)]);
}

/// Guards against holding back a popular request that was in flight when a data centre lost power.
#[test]
fn copies_in_flight_when_many_other_endpoints_crash_quarantine_nothing() {
    let mut table = table();
    play_copies(&mut table);
    for number in 3..12 {
        table.record([&lost(u128::from(number + 100), &[FIRST_PART], number, NOW)]);
    }
    assert!(settle(&mut table, NOW).is_empty());
}

/// Guards against holding back a request that entries have seen answered before the crashes.
#[test]
fn copies_of_a_request_that_was_answered_before_quarantine_nothing() {
    let mut table = table();
    play_copies(&mut table);
    table.evaluate(SILENT, NOW);
    assert_eq!(table.findings().suspected, [(request(7), NOW)]);
    let report = AnswerReport {
        earlier: vec![request(7)],
        ..AnswerReport::default()
    };
    table.record_report(&report, NOW);
    assert!(settle(&mut table, NOW + ANSWERED).is_empty());
}

/// Guards against taking requests sent just before a common crash for ones sent after it.
#[test]
fn requests_sent_just_before_endpoints_crash_together_count_once() {
    let mut table = table();
    for number in 0..3 {
        table.record([&LostRequest {
            sent_at: NOW.since(Millis::new(20)),
            ..lost(POISON.0, &[], number, NOW)
        }]);
    }
    for number in 3..12 {
        table.record([&lost(u128::from(number + 100), &[], number, NOW)]);
    }
    assert!(settle(&mut table, NOW).is_empty());
}

/// Every request crashes its endpoint, as after a bad change of the endpoints.
#[test]
fn parts_are_not_quarantined_while_no_request_at_all_is_answered() {
    let mut table = CrashTable::default();
    play_poison_part(&mut table, 8);
    assert!(settle(&mut table, crash_time(8)).is_empty());
}

#[test]
fn two_poison_parts_are_both_quarantined() {
    let mut table = table();
    play_poison_part(&mut table, 5);
    for number in 5..10 {
        let parts = [FIRST_PART, 0xbad];
        table.record([&lost(
            u128::from(400 + number),
            &parts,
            number,
            crash_time(number),
        )]);
    }
    table.record_answer(part(FIRST_PART), crash_time(11));
    let quarantined = settle(&mut table, crash_time(11));
    assert_eq!(quarantined, [part(0xbad), part(POISON_PART)]);
}

#[test]
fn answer_to_a_request_with_a_quarantined_part_releases_it() {
    let mut table = table();
    play_poison_part(&mut table, 4);
    settle(&mut table, crash_time(4));
    table.record_answer(part(POISON_PART), crash_time(5));
    let changes = table.evaluate(SILENT, crash_time(5) + ANSWERED);
    assert_eq!(changes.released, [part(POISON_PART)]);
}

#[test]
fn quarantine_outlasts_the_evidence_and_ends_after_five_minutes() {
    let mut table = table();
    play_poison_part(&mut table, 4);
    settle(&mut table, crash_time(4));
    let quarantined_at = crash_time(4) + ANSWERED;
    table.evaluate(SILENT, quarantined_at + Millis::from_secs(299));
    assert!(table.findings().quarantined.contains(&part(POISON_PART)));
    table.evaluate(SILENT, quarantined_at + Millis::from_secs(300));
    assert!(table.findings().quarantined.is_empty());
}

#[test]
fn part_that_crashes_an_endpoint_after_its_release_is_quarantined_again_at_once() {
    let mut table = table();
    play_poison_part(&mut table, 4);
    settle(&mut table, crash_time(4));
    let released_at = crash_time(4) + ANSWERED + Millis::from_secs(300);
    table.evaluate(SILENT, released_at);
    let crashed_at = released_at + Millis::from_secs(2);
    table.record([&lost(500, &[FIRST_PART, POISON_PART], 50, crashed_at)]);
    let changes = table.evaluate(SILENT, crashed_at);
    assert_eq!(changes.quarantined, [(part(POISON_PART), 1)]);
    // The second quarantine lasts ten minutes.
    table.evaluate(SILENT, crashed_at + Millis::from_secs(599));
    assert!(table.findings().quarantined.contains(&part(POISON_PART)));
}
