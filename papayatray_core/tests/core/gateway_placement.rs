//! Placement and sizing, each against the load that it answers.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::placement;
use papayatray_core::gateway::placement::Backlog;
use papayatray_core::gateway::placement::Candidate;
use papayatray_core::gateway::placement::Condition;
use papayatray_core::gateway::placement::SharedPrefix;
use papayatray_core::gateway::placement::Work;
use papayatray_core::gateway::sizing::Progress;
use papayatray_core::gateway::sizing::next_size;
use papayatray_core::gateway::speed::PrefillSpeed;
use papayatray_core::health::HealthStatus;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;

fn ids(count: usize) -> Vec<EndpointId> {
    let names = (0..count).map(|n| EndpointId::new(format!("e{n}")).unwrap());
    names.collect()
}

fn idle(id: &EndpointId) -> Candidate<'_> {
    Candidate {
        id,
        slots: 64,
        own: Backlog::default(),
        others: Backlog::default(),
        is_near: true,
        condition: Condition::Steady,
        standing: HealthStatus::Normal,
        failures: 0.0,
        has_prefix: false,
    }
}

const fn prefix(digest: u64, reading: f64) -> SharedPrefix {
    SharedPrefix { digest, reading }
}

fn pick<'a>(
    candidates: &[Candidate<'a>],
    prefix: Option<SharedPrefix>,
    draw: u64,
) -> Option<&'a EndpointId> {
    let work = Work {
        prefix,
        reading: 0.0,
    };
    placement::pick(candidates, &work, 1, draw).map(|pick| pick.id)
}

#[test]
fn long_prompt_is_kept_away_from_endpoints_with_many_streams() {
    let ids = ids(2);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    candidates[0].others.running = 20;
    candidates[1].own.reading = 300.0;
    let of = |reading| {
        let work = Work {
            prefix: None,
            reading,
        };
        placement::pick(&candidates, &work, 1, 1).map(|pick| pick.id)
    };
    assert_eq!(of(5.0), Some(&ids[0]), "a short one does little harm");
    assert_eq!(of(800.0), Some(&ids[1]), "a long one delays twenty streams");
}

#[test]
fn requests_with_a_common_prefix_meet_at_every_entry() {
    let ids = ids(18);
    let candidates: Vec<_> = ids.iter().map(idle).collect();
    let mut turned = candidates.clone();
    turned.reverse();
    for digest in 0..50 {
        let shared = Some(prefix(digest, 200.0));
        assert_eq!(pick(&candidates, shared, 1), pick(&turned, shared, 2));
    }
}

#[test]
fn prefixes_are_spread_over_all_endpoints() {
    let ids = ids(18);
    let candidates: Vec<_> = ids.iter().map(idle).collect();
    let used: std::collections::BTreeSet<_> = (0..400)
        .filter_map(|digest| pick(&candidates, Some(prefix(digest, 200.0)), 0))
        .collect();
    assert_eq!(used.len(), 18);
}

#[test]
fn warm_endpoint_is_left_once_waiting_costs_more_than_reading_anew() {
    let ids = ids(6);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    let shared = Some(prefix(7, 200.0));
    let home = pick(&candidates, shared, 0).unwrap().clone();
    let at = candidates.iter().position(|c| *c.id == home).unwrap();
    candidates[at].has_prefix = true;
    candidates[at].own.reading = 90.0;
    assert_eq!(pick(&candidates, shared, 0), Some(&home));
    candidates[at].others.reading = 300.0;
    assert_ne!(pick(&candidates, shared, 0), Some(&home));
}

#[test]
fn request_follows_its_prefix_to_any_endpoint() {
    let ids = ids(18);
    for at in 0..ids.len() {
        let mut candidates: Vec<_> = ids.iter().map(idle).collect();
        candidates[at].has_prefix = true;
        candidates[at].own.reading = 100.0;
        assert_eq!(pick(&candidates, Some(prefix(7, 200.0)), 0), Some(&ids[at]));
    }
}

#[test]
fn reading_a_prefix_anew_is_expected_unless_it_is_kept() {
    let ids = ids(4);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    let work = Work {
        prefix: Some(prefix(7, 600.0)),
        reading: 100.0,
    };
    let cold = placement::pick(&candidates, &work, 1, 0).unwrap();
    assert!((cold.expected - 700.0).abs() < 1.0, "{cold:?}");
    for candidate in &mut candidates {
        candidate.has_prefix = true;
    }
    let warm = placement::pick(&candidates, &work, 1, 0).unwrap();
    assert!((warm.expected - 100.0).abs() < 1.0, "{warm:?}");
}

/// Plays entries that all work by the loads of the last exchange, when one endpoint fell idle.
///
/// The baseline takes the endpoint with the shortest wait, as every entry sees it.
#[test]
fn entries_with_the_same_loads_do_not_all_send_to_one_endpoint() {
    let ids = ids(18);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    for (at, candidate) in candidates.iter_mut().enumerate() {
        candidate.others.reading = 200.0 + 10.0 * at as f64;
    }
    candidates[5].others.reading = 0.0;
    let sent = 60;
    let to_idle = (0..sent).filter(|n| {
        let work = Work {
            prefix: Some(prefix(*n, 50.0)),
            reading: 50.0,
        };
        placement::pick(&candidates, &work, 7, *n).is_some_and(|pick| *pick.id == ids[5])
    });
    // By the baseline all 60 would meet there.
    let to_idle = to_idle.count();
    assert!((3..=20).contains(&to_idle), "{to_idle}");
}

#[test]
fn short_request_does_not_queue_behind_a_long_prompt() {
    let ids = ids(2);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    candidates[0].own = Backlog {
        running: 1,
        reading: 900.0,
    };
    candidates[1].own = Backlog {
        running: 9,
        reading: 40.0,
    };
    for draw in 0..20 {
        assert_eq!(pick(&candidates, None, draw), Some(&ids[1]));
    }
}

#[test]
fn failing_silent_and_cold_endpoints_come_last() {
    let ids = ids(4);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    candidates[0].failures = 0.4;
    candidates[1].condition = Condition::Silent;
    candidates[2].condition = Condition::Starting;
    for draw in 0..20 {
        assert_eq!(pick(&candidates, None, draw), Some(&ids[3]));
    }
}

#[test]
fn endpoint_set_aside_is_used_only_where_all_are() {
    let ids = ids(2);
    let mut candidates: Vec<_> = ids.iter().map(idle).collect();
    candidates[0].standing = HealthStatus::Ejected;
    assert_eq!(pick(&candidates, None, 3), Some(&ids[1]));
    candidates[1].standing = HealthStatus::Ejected;
    assert!(pick(&candidates, None, 3).is_some());
}

/// Plays an hour's worth of mixed prompts in miniature: one in twelve is forty times as long.
///
/// Placing by waits must keep short requests from queueing behind long ones; placing by counts of
/// requests, as the pools of the chat interface do, is the baseline.
#[test]
fn mixed_prompts_wait_less_than_by_counting_requests() {
    let by_wait = play(|candidates, draw| pick(candidates, None, draw).cloned());
    let by_count = play(|candidates, _| {
        let least = candidates.iter().min_by_key(|c| c.own.running);
        least.map(|c| c.id.clone())
    });
    assert!(by_wait * 1.5 < by_count, "{by_wait} against {by_count} ms");
}

/// Returns the mean wait in milliseconds; each endpoint reads one prompt after another.
fn play<F>(choose: F) -> f64
where
    F: Fn(&[Candidate<'_>], u64) -> Option<EndpointId>,
{
    let ids = ids(6);
    let mut free_at = vec![0.0_f64; ids.len()];
    let mut running: Vec<Vec<f64>> = vec![Vec::new(); ids.len()];
    let mut waited = 0.0;
    let requests = 6_000_u32;
    let mut now = 0.0;
    let mut random = 88_172_645_463_325_252_u64;
    for _ in 0..requests {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        now += (random % 50) as f64;
        let candidates: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(at, id)| {
                running[at].retain(|end| *end > now);
                Candidate {
                    own: Backlog {
                        running: u32::try_from(running[at].len()).unwrap(),
                        reading: (free_at[at] - now).max(0.0),
                    },
                    ..idle(id)
                }
            })
            .collect();
        let chosen = choose(&candidates, random).unwrap();
        let at = ids.iter().position(|id| *id == chosen).unwrap();
        let work = if (random >> 32).is_multiple_of(12) {
            1_200.0
        } else {
            30.0
        };
        let begin = free_at[at].max(now);
        waited += begin - now;
        free_at[at] = begin + work;
        running[at].push(begin + work);
    }
    waited / f64::from(requests)
}

#[test]
fn reading_speed_follows_the_fastest_first_events() {
    let llm = ServiceId::new("llm").unwrap();
    let mut speed = PrefillSpeed::default();
    for round in 0..200_u64 {
        // One in four is read at once, the others wait behind something.
        let wait = if round % 4 == 0 { 0 } else { 900 };
        speed.learn(&llm, 2, 4_000, Millis::new(200 + wait));
    }
    let reading = speed.reading(&llm, 2, 4_000);
    assert!((200.0..420.0).contains(&reading), "{reading}");
}

/// Plays a fast model whose prompts mostly wait behind those of a slow one.
#[test]
fn reading_speed_is_not_that_of_the_prompts_in_front() {
    let llm = ServiceId::new("llm").unwrap();
    let mut speed = PrefillSpeed::default();
    for round in 0..300_u64 {
        let wait = if round % 8 == 0 { 0 } else { 200 + 13 * round };
        speed.learn(&llm, 0, 4_000, Millis::new(40 + wait));
    }
    let reading = speed.reading(&llm, 0, 4_000);
    assert!((36.0..60.0).contains(&reading), "{reading}");
}

/// A service whose endpoints are exchanged for slower ones is not taken for fast for long.
#[test]
fn reading_speed_follows_slower_endpoints() {
    let llm = ServiceId::new("llm").unwrap();
    let mut speed = PrefillSpeed::default();
    for latency in [100_u64, 300] {
        for _ in 0..150 {
            speed.learn(&llm, 0, 4_000, Millis::new(latency));
        }
    }
    let reading = speed.reading(&llm, 0, 4_000);
    assert!((290.0..310.0).contains(&reading), "{reading}");
}

fn progress() -> Progress {
    Progress {
        size: 0,
        sizes: 3,
        confidence: Some(20),
        elapsed: Millis::new(300),
        objective: Millis::new(4_000),
        attempts: 2,
    }
}

#[test]
fn doubtful_answer_of_the_smallest_model_is_asked_of_the_largest() {
    assert_eq!(next_size(&progress(), |_| Some(Millis::new(900))), Some(2));
}

#[test]
fn confident_late_last_and_largest_answers_are_kept() {
    let kept = [
        Progress {
            confidence: Some(80),
            ..progress()
        },
        Progress {
            confidence: None,
            ..progress()
        },
        Progress {
            elapsed: Millis::new(4_800),
            ..progress()
        },
        Progress {
            attempts: 0,
            ..progress()
        },
        Progress {
            size: 2,
            ..progress()
        },
        Progress {
            sizes: 0,
            ..progress()
        },
    ];
    for own in kept {
        let next = next_size(&own, |_| Some(Millis::new(900)));
        assert_eq!(next, None, "{own:?}");
    }
    for expected in [Some(Millis::new(5_400)), None] {
        let next = next_size(&progress(), |_| expected);
        assert_eq!(next, None, "{expected:?}");
    }
}
