//! Order of check, send and acknowledgement when the configuration changes.

use papayatray_core::clock::Millis;
use papayatray_core::id::Revision;
use papayatrayd::engine::SendTracker;

const OLD: Revision = Revision(4);
const NEW: Revision = Revision(5);

#[test]
fn newer_revision_is_not_acknowledged_before_an_older_send_was_written() {
    let gate = SendTracker::default();
    let pass = gate.enter(OLD);
    assert_eq!(gate.settled(NEW, Millis::from_secs(60)), OLD);
    drop(pass);
    assert_eq!(gate.settled(NEW, Millis::from_secs(60)), NEW);
}

#[test]
fn written_send_holds_the_older_revision_only_until_it_has_arrived() {
    let gate = SendTracker::default();
    let pass = gate.enter(OLD);
    pass.written(Millis::from_secs(1));
    assert_eq!(gate.settled(NEW, Millis::new(1_050)), OLD);
    assert_eq!(gate.settled(NEW, Millis::new(1_100)), NEW);
}

#[test]
fn send_checked_under_the_newest_revision_holds_nothing_back() {
    let gate = SendTracker::default();
    let _pass = gate.enter(NEW);
    assert_eq!(gate.settled(NEW, Millis::ZERO), NEW);
}
