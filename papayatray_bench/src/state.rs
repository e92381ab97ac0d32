//! State machine: memory at the target size, and recovery time after many changes.

use std::error::Error;
use std::time::Duration;
use std::time::Instant;

use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::ChangeHistory;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::Edit;
use papayatray_core::clock::Millis;
use papayatray_core::id::ChangeId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::KeyHash;
use papayatray_core::id::OperatorId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::RequestId;
use papayatray_core::id::RequestKey;
use papayatray_core::id::Revision;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_core::ledger::Bill;
use papayatray_state::machine::Command;
use papayatray_state::machine::StateMachine;
use papayatray_state::machine::TimestampedCommand;
use papayatray_state::node::Node;
use papayatray_state::replica::Entry;
use papayatray_state::replica::HardState;
use papayatray_state::replica::Members;
use papayatray_state::replica::Payload;
use papayatray_state::replica::Position;
use papayatray_state::replica::Ready;
use papayatray_state::replica::Snapshot;
use papayatray_state::storage::open_folder;

use crate::plot::Curve;
use crate::report::Report;

/// Number of organisations at the target size.
const ORGANISATION_COUNT: u64 = 10_000;
/// Number of changes per day at the target size.
const CHANGES_PER_DAY: u64 = 88_000;
/// Number of bills applied to measure the memory per bill.
const BILL_COUNT: u64 = 300_000;
/// Number of kibibytes in a mebibyte.
const KIB_PER_MIB: f64 = 1_024.0;

/// Returns a command that records the bill of request `number`.
pub(crate) fn bill(number: u64) -> Command {
    Command::Bill(vec![Bill {
        key: RequestKey {
            organisation: organisation_id("mill"),
            request: RequestId::new(format!("request-{number}")).expect("a name"),
        },
        subject: "drafter@1".to_owned(),
        tokens_in: 100,
        tokens_out: 200,
        cost: 300,
        entry: VmId::new("vm-1").expect("a name"),
    }])
}

fn organisation_id(text: &str) -> OrganisationId {
    OrganisationId::new(text).expect("a name")
}

/// Returns a change of one organisation's class, which leaves the size of the catalogue unchanged.
pub(crate) fn class_change(base: u64) -> Change {
    let class = if base.is_multiple_of(2) {
        Class::Paying
    } else {
        Class::Trial
    };
    let organisation = organisation_id(&format!("organisation-{}", base % ORGANISATION_COUNT));
    change(
        base,
        Edit::SetClass {
            organisation,
            class,
        },
    )
}

fn change(base: u64, edit: Edit) -> Change {
    Change {
        id: ChangeId::new(format!("change-{base}")).expect("a name"),
        base: Revision(base),
        author: OperatorId::new("operator").expect("a name"),
        why: "bench".to_owned(),
        edits: vec![edit],
    }
}

/// Returns a change that creates `count` organisations, the first 200 with a key.
pub(crate) fn create_organisations(count: u64) -> Change {
    let mut creation = change(
        0,
        Edit::CreateOrganisation {
            organisation: organisation_id("x"),
            class: Class::Trial,
        },
    );
    creation.edits.clear();
    for number in 0..count {
        let organisation = organisation_id(&format!("organisation-{number}"));
        creation.edits.push(Edit::CreateOrganisation {
            organisation: organisation.clone(),
            class: Class::Paying,
        });
    }
    for number in 0..count.min(200) {
        creation.edits.push(Edit::AddKey {
            organisation: organisation_id(&format!("organisation-{number}")),
            label: "first".to_owned(),
            hash: KeyHash::new(format!("{number:064x}")),
        });
    }
    creation
}

/// Measures the memory of the configuration at the target size.
pub(crate) fn memory(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let before = resident_kib();
    let mut history = ChangeHistory::default();
    history.decide(&create_organisations(ORGANISATION_COUNT), Millis::ZERO);
    let begin = Instant::now();
    let timed_changes = 2_000;
    for base in 1..=timed_changes {
        history.decide(&class_change(base), Millis::ZERO);
    }
    let ms_per_change = begin.elapsed().as_secs_f64() * 1_000.0 / timed_changes as f64;
    // The history retains the outcomes of 20,000 changes; more would not take more memory.
    for base in timed_changes + 1..=CHANGES_PER_DAY.min(20_000) {
        history.decide(&class_change(base), Millis::ZERO);
    }
    let after = resident_kib();
    report.add("state", "memory_mib", (after - before) / KIB_PER_MIB);
    report.add("state", "change_ms_at_10000_organisations", ms_per_change);
    let bytes = postcard::to_stdvec(&history)?.len();
    report.add("state", "snapshot_mib", bytes as f64 / f64::from(1 << 20));
    drop(history);
    report.add("state", "bytes_per_kept_bill", bytes_per_bill());
    Ok(())
}

/// Returns the bytes of memory per bill retained in the ledger.
fn bytes_per_bill() -> f64 {
    let before = resident_kib();
    let mut machine = StateMachine::default();
    for number in 0..BILL_COUNT {
        machine.apply(&TimestampedCommand {
            at: Millis::new(number),
            command: bill(number),
        });
    }
    let after = resident_kib();
    let billed = machine.ledger().lines().count().max(1);
    (after - before) * KIB_PER_MIB / billed as f64
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|f| f.parse().ok())
        .unwrap_or(0.0)
}

/// Measures the time to open a data folder after 1 to 100,000 changes.
pub(crate) fn recovery(report: &mut Report) -> Result<(), Box<dyn Error>> {
    let mut points = Vec::new();
    let cases = [
        (1, "one_ms"),
        (100, "hundred_ms"),
        (1_000, "thousand_ms"),
        (100_000, "hundred_thousand_ms"),
    ];
    for (changes, measure) in cases {
        let took = recover(changes)?;
        report.add("recovery", measure, took.as_secs_f64() * 1_000.0);
        points.push((changes as f64, took.as_secs_f64() * 1_000.0));
    }
    let curve = Curve {
        name: "recovery".to_owned(),
        points,
    };
    report.plot("recovery", "Time to recover", ("changes", "ms"), &[curve]);
    Ok(())
}

/// Writes a data folder with `changes` changes; returns the time to recover the state machine from
/// that folder.
fn recover(changes: u64) -> Result<Duration, Box<dyn Error>> {
    let path = std::env::temp_dir().join(format!("papayatray-recovery-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path)?;
    let vm = VmId::new("vm-1")?;
    write_log(&path, &vm, changes)?;
    let begin = Instant::now();
    let opened = open_folder(&path, &vm, Incarnation(1))?;
    let entries = opened.loaded.restored.entries.clone();
    let now = Millis::new(1_000_000);
    // The seed of the election time-outs, 7, has no effect here.
    let node = Node::new(opened.id, "vm-1", opened.store, opened.loaded, 7, now)?;
    let mut machine: StateMachine = node.machine().clone();
    // Applies the entries after the snapshot, which a node does once they are committed.
    for entry in entries {
        if let Payload::Command(bytes) = entry.payload {
            machine.apply(&postcard::from_bytes::<TimestampedCommand>(&bytes)?);
        }
    }
    let took = begin.elapsed();
    let revision = machine.catalogue().revision.0;
    std::fs::remove_dir_all(&path)?;
    if revision == changes + 1 {
        return Ok(took);
    }
    Err(format!(
        "recovered revision {revision} after {changes} changes: expected one more than the changes"
    )
    .into())
}

/// Writes a log as a replica does, with a snapshot every 20,000 entries.
fn write_log(path: &std::path::Path, vm: &VmId, changes: u64) -> Result<(), Box<dyn Error>> {
    let mut opened = open_folder(path, vm, Incarnation(1))?;
    let members = Members::founding([(opened.id.clone(), "vm-1".to_owned())]);
    let mut machine = StateMachine::default();
    let founding = Snapshot {
        position: Position {
            term: Term(0),
            index: 1,
        },
        members,
        state: Vec::new(),
    };
    let hard_state = Some(HardState {
        term: Term(1),
        vote: None,
    });
    opened.store.save(&Ready {
        hard_state,
        snapshot: Some(founding.clone()),
        ..Ready::default()
    })?;
    // Index 1 is that of the founding snapshot; the entry with index 2 creates the organisations.
    let mut entries = Vec::new();
    for index in 2..=changes + 2 {
        let change = if index == 2 {
            create_organisations(100)
        } else {
            small_change(index - 2)
        };
        let timestamped = TimestampedCommand {
            at: Millis::new(index),
            command: Command::Configure(change),
        };
        machine.apply(&timestamped);
        let position = Position {
            term: Term(1),
            index,
        };
        entries.push(Entry {
            position,
            payload: Payload::Command(postcard::to_stdvec(&timestamped)?),
        });
        let is_last = index == changes + 2;
        if entries.len() == 500 || is_last {
            let entries = std::mem::take(&mut entries);
            opened.store.save(&Ready {
                entries,
                ..Ready::default()
            })?;
        }
        if index.is_multiple_of(20_000) {
            // The snapshot may cover only entries that are saved already.
            let rest = std::mem::take(&mut entries);
            opened.store.save(&Ready {
                entries: rest,
                ..Ready::default()
            })?;
            let snapshot = Snapshot {
                position,
                state: machine.to_state()?,
                ..founding.clone()
            };
            // The log retains at least the last 2,000 entries before the snapshot.
            opened.store.save_snapshot(&snapshot, index - 2_000)?;
        }
    }
    Ok(())
}

/// Returns a class change of one of the 100 organisations that [`write_log`] creates.
fn small_change(base: u64) -> Change {
    let class = if base.is_multiple_of(2) {
        Class::Paying
    } else {
        Class::Trial
    };
    let organisation = organisation_id(&format!("organisation-{}", base % 100));
    change(
        base,
        Edit::SetClass {
            organisation,
            class,
        },
    )
}
