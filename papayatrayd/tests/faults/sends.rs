//! An entry acknowledges a new revision only once no request checked against an older one can still
//! reach an endpoint.

use papayatray_core::clock::Millis;
use papayatray_core::id::Revision;
use papayatrayd::engine::SendTracker;

const OLD_REVISION: Revision = Revision(4);
const NEW_REVISION: Revision = Revision(5);

#[test]
fn newer_revision_is_not_acknowledged_before_an_older_send_was_written() {
    let tracker = SendTracker::default();
    let send = tracker.begin(OLD_REVISION);
    // An unwritten send counts however much time has passed.
    assert_eq!(
        tracker.acknowledgeable_revision(NEW_REVISION, Millis::from_secs(60)),
        OLD_REVISION
    );
    drop(send);
    assert_eq!(
        tracker.acknowledgeable_revision(NEW_REVISION, Millis::from_secs(60)),
        NEW_REVISION
    );
}

#[test]
fn written_send_holds_the_older_revision_only_until_it_has_arrived() {
    let tracker = SendTracker::default();
    let send = tracker.begin(OLD_REVISION);
    send.mark_written(Millis::from_secs(1));
    // The request counts as received 100 ms after it was written.
    assert_eq!(
        tracker.acknowledgeable_revision(NEW_REVISION, Millis::new(1_050)),
        OLD_REVISION
    );
    assert_eq!(
        tracker.acknowledgeable_revision(NEW_REVISION, Millis::new(1_100)),
        NEW_REVISION
    );
}

#[test]
fn send_checked_against_the_newest_revision_delays_no_acknowledgement() {
    let tracker = SendTracker::default();
    let _send = tracker.begin(NEW_REVISION);
    assert_eq!(
        tracker.acknowledgeable_revision(NEW_REVISION, Millis::ZERO),
        NEW_REVISION
    );
}
