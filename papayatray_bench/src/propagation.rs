//! Propagation of changes from accepted to in force: with nine daemons, and simulated in this
//! process with up to 860 entries.

use std::collections::BTreeMap;
use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::catalogue::Class;
use papayatray_core::clock::Millis;
use papayatray_core::id::DataCentre;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;
use papayatray_state::machine::Command;
use papayatray_state::machine::StateMachine;
use papayatray_state::machine::TimestampedCommand;
use papayatray_state::replica::Members;
use papayatray_wire::peer::RenewReply;
use papayatray_wire::peer::RenewRequest;
use papayatrayd::control::LeaderState;
use papayatrayd::entry::View;
use serde_json::json;
use smol::Timer;

use crate::daemons::change;
use crate::daemons::start_site;
use crate::daemons::wait_in_force;
use crate::plot::Curve;
use crate::report::Report;
use crate::report::percentile;
use crate::state::class_change;
use crate::state::create_organisations;

/// Number of changes submitted to the daemons.
const CHANGES: u64 = 30;
/// Numbers of entries simulated.
const ENTRY_COUNTS: [usize; 5] = [9, 30, 100, 300, 860];
/// Seconds simulated, with one change in each.
const SECONDS: u64 = 10;
/// Second in which an entry restarts.
const RESTART_SECOND: u64 = 5;
/// Time for which the leader delays its reply to a renewal while it has no updates for the entry.
const POLL_TIMEOUT_MS: u64 = 700;

pub(crate) async fn run(report: &mut Report) -> Result<(), Box<dyn Error>> {
    measure_processes(report).await?;
    let mut bytes = Vec::new();
    let mut cores = Vec::new();
    for entry_count in ENTRY_COUNTS {
        let cost = simulate(entry_count)?;
        report.add(
            "propagation",
            &format!("entry_bytes_per_second_at_{entry_count}"),
            cost.entry_bytes,
        );
        report.add(
            "propagation",
            &format!("entry_messages_per_second_at_{entry_count}"),
            cost.entry_messages,
        );
        report.add(
            "propagation",
            &format!("leader_core_percent_at_{entry_count}"),
            cost.leader_core_percent,
        );
        bytes.push((entry_count as f64, cost.entry_bytes));
        cores.push((entry_count as f64, cost.leader_core_percent));
    }
    // Increase from the smallest to the largest number of entries.
    let slope = (cores[4].1 - cores[0].1) / (cores[4].0 - cores[0].0);
    report.add("propagation", "leader_core_percent_per_entry", slope);
    let axes = ("entries", "bytes a second and entry");
    let curve = Curve {
        name: "bytes".to_owned(),
        points: bytes,
    };
    report.plot("propagation-bytes", "Traffic of one entry", axes, &[curve]);
    let axes = ("entries", "percent of a core");
    let curve = Curve {
        name: "leader".to_owned(),
        points: cores,
    };
    report.plot(
        "propagation-leader",
        "Leader, one change a second",
        axes,
        &[curve],
    );
    Ok(())
}

/// Measures the time until a change is in force at nine entries, each a separate process.
async fn measure_processes(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let site = start_site("propagation", 9).await?;
    let mut times = Vec::new();
    for base in 0..CHANGES {
        let edits = json!([{"create-organisation": {"organisation": format!("o{base}"), "class": "trial"}}]);
        let revision = change(&site, base, edits).await?;
        let accepted = Instant::now();
        wait_in_force(&site, revision).await?;
        // The first three changes only warm up the site.
        if base >= 3 {
            times.push(accepted.elapsed().as_secs_f64() * 1_000.0);
        }
        Timer::after(Duration::from_millis(50)).await;
    }
    report.add(
        "propagation",
        "in_force_p50_ms",
        percentile(&mut times, 0.5),
    );
    report.add(
        "propagation",
        "in_force_p95_ms",
        percentile(&mut times, 0.95),
    );
    Ok(())
}

/// Cost of one simulated second: bytes and messages per entry, and the leader's use of a core.
struct Cost {
    entry_bytes: f64,
    entry_messages: f64,
    leader_core_percent: f64,
}

/// Simulates a leader and its entries, with a change in each second.
fn simulate(entry_count: usize) -> Result<Cost, Box<dyn Error>> {
    let mut machine = StateMachine::default();
    let mut leader = LeaderState::new(Term(1), Millis::ZERO);
    let members = Members::default();
    let command = Command::Configure(create_organisations(100));
    machine.apply(&TimestampedCommand {
        at: Millis::ZERO,
        command,
    });
    let mut entries: Vec<(EntryInfo, View)> = (0..entry_count)
        .map(|number| (entry_info(number), View::default()))
        .collect();
    // Exchanges the initial state, which does not count.
    for _ in 0..2 {
        renew_all(
            &mut leader,
            &machine,
            &members,
            &mut entries,
            Millis::new(1),
        )?;
    }
    let (mut bytes, mut messages, mut leader_time) = (0, 0, Duration::ZERO);
    for second in 0..SECONDS {
        let now = Millis::from_secs(second + 1);
        if second == RESTART_SECOND {
            // One restart in 10 s is more churn than the target of 1,320 VMs a day.
            entries[0].0.incarnation = Incarnation(2);
        }
        let base = machine.catalogue().revision.0;
        let begin = Instant::now();
        let command = Command::Configure(bounded_class_change(base));
        machine.apply(&TimestampedCommand { at: now, command });
        leader_time += begin.elapsed();
        // The first round propagates the change, the second acknowledges it; in the rest of the
        // second, renewals time out without updates.
        let rounds = 2 + 1_000 / POLL_TIMEOUT_MS;
        for round in 0..rounds {
            let at = now + Millis::new(round * 10);
            let (round_bytes, round_time) =
                renew_all(&mut leader, &machine, &members, &mut entries, at)?;
            bytes += round_bytes;
            messages += 2 * entry_count;
            leader_time += round_time;
        }
    }
    let seconds = SECONDS as f64;
    Ok(Cost {
        entry_bytes: bytes as f64 / entry_count as f64 / seconds,
        entry_messages: messages as f64 / entry_count as f64 / seconds,
        leader_core_percent: leader_time.as_secs_f64() / seconds * 100.0,
    })
}

/// Returns a class change of one of the organisations that [`simulate`] creates.
fn bounded_class_change(base: u64) -> papayatray_core::catalogue::Change {
    let mut change = class_change(base);
    if let Some(papayatray_core::catalogue::Edit::SetClass {
        organisation,
        class,
    }) = change.edits.first_mut()
    {
        // The simulated catalogue has only the first hundred organisations.
        let number = base % 100;
        if let Ok(name) = format!("organisation-{number}").parse() {
            *organisation = name;
        }
        *class = if (base / 100).is_multiple_of(2) {
            Class::Trial
        } else {
            Class::Paying
        };
    }
    change
}

fn entry_info(number: usize) -> EntryInfo {
    EntryInfo {
        vm: VmId::new(format!("vm-{number}")).expect("a name"),
        incarnation: Incarnation(1),
        data_centre: DataCentre::new("palermo-a").expect("a name"),
        caller_address: format!("10.0.{}.{}:8000", number / 250, number % 250),
        peer_address: format!("10.0.{}.{}:7000", number / 250, number % 250),
        draining: false,
        is_cut_off: false,
        size: 0,
    }
}

/// Renews the leases of all entries once; returns the bytes sent and the processing time of the
/// leader.
fn renew_all(
    leader: &mut LeaderState,
    machine: &StateMachine,
    members: &Members,
    entries: &mut [(EntryInfo, View)],
    now: Millis,
) -> Result<(usize, Duration), Box<dyn Error>> {
    let (mut bytes, mut leader_time) = (0, Duration::ZERO);
    for (info, view) in entries {
        let renew_request = RenewRequest {
            info: info.clone(),
            versions: view.part_versions,
            acknowledged: view.part_versions.revision,
            tallies: BTreeMap::new(),
            evidence: None,
            billed: 0,
        };
        let request = serde_json::to_string(&renew_request)?;
        let begin = Instant::now();
        let renew_request: RenewRequest = serde_json::from_str(&request)?;
        leader.renew(&renew_request, now);
        leader.maintain(machine, now);
        let reply =
            serde_json::to_string(&leader.renew_reply(&renew_request, machine, members, now))?;
        leader_time += begin.elapsed();
        bytes += request.len() + reply.len();
        let renew_reply: RenewReply = serde_json::from_str(&reply)?;
        let next = view.renewed(&renew_reply);
        *view = next.ok_or("the reply to a renewal does not match the view")?;
    }
    Ok((bytes, leader_time))
}
