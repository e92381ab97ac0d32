//! Changes are refused as a whole, with a reason, and leave everything as it was.

use papayatray_core::catalogue::Catalogue;
use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::ChangeHistory;
use papayatray_core::catalogue::Class;
use papayatray_core::catalogue::ClassDefault;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::EditError;
use papayatray_core::catalogue::Outcome;
use papayatray_core::catalogue::Rule;
use papayatray_core::catalogue::Stage;
use papayatray_core::clock::Millis;
use papayatray_core::id::ChangeId;
use papayatray_core::id::OperatorId;
use papayatray_core::id::Revision;
use proptest::proptest;

use crate::fixture::allow;
use crate::fixture::catalogue;
use crate::fixture::create;
use crate::fixture::declare;
use crate::fixture::offer;
use crate::fixture::organisation;
use crate::fixture::version;

fn refused(edits: &[Edit]) -> EditError {
    catalogue()
        .with_edits(edits)
        .expect_err("the change breaks a rule")
}

#[test]
fn organisation_may_not_be_allowed_an_unknown_version() {
    let error = refused(&[allow("mill", &["cheap@9"])]);
    assert_eq!(error, EditError::NoGrant("cheap@9".to_owned()));
}

#[test]
fn exception_without_a_reason_is_refused() {
    let rule = Rule::Quality(900);
    let organisation = organisation("mill");
    let edit = Edit::AddException {
        organisation,
        rule,
        reason: "  ".to_owned(),
    };
    assert_eq!(refused(&[edit]), EditError::NoReason);
}

#[test]
fn default_may_not_leave_a_class_with_nothing() {
    let grants = [papayatray_core::catalogue::Grant::Model(
        "cheap".parse().unwrap(),
    )]
    .into();
    let default = ClassDefault {
        grants,
        ..ClassDefault::default()
    };
    let edits = [
        Edit::Withdraw {
            version: version("cheap@1"),
        },
        Edit::SetDefault {
            class: Class::Trial,
            default,
        },
    ];
    assert_eq!(refused(&edits), EditError::ClassWithoutVersion("trial"));
}

#[test]
fn change_with_one_bad_edit_changes_nothing() {
    let before = catalogue();
    let edits = [
        create("buyers", Class::Trial),
        create("mill", Class::Paying),
    ];
    assert!(before.with_edits(&edits).is_err());
    assert!(!before.organisations.contains_key(&organisation("buyers")));
}

#[test]
fn withdrawn_version_never_comes_back() {
    let gone = catalogue()
        .with_edits(&[Edit::Withdraw {
            version: version("cheap@1"),
        }])
        .unwrap();
    for edit in [
        offer("cheap@1"),
        Edit::Resume {
            version: version("cheap@1"),
        },
        Edit::StartRollOut {
            version: version("cheap@1"),
            steps: vec![5],
        },
        declare("cheap@1", 1, 1),
    ] {
        assert!(
            gone.with_edits(std::slice::from_ref(&edit)).is_err(),
            "{edit:?}"
        );
    }
}

#[test]
fn stopped_roll_out_goes_on_where_it_was() {
    let steps = vec![10, 100];
    let edits = [
        declare("next@1", 5, 900),
        Edit::StartRollOut {
            version: version("next@1"),
            steps: steps.clone(),
        },
        Edit::StepRollOut {
            version: version("next@1"),
        },
        Edit::Halt {
            version: version("next@1"),
            reason: "errors".to_owned(),
        },
        Edit::Resume {
            version: version("next@1"),
        },
    ];
    let stage = catalogue().with_edits(&edits).unwrap().versions[&version("next@1")]
        .stage
        .clone();
    assert_eq!(
        stage,
        Stage::RollOut {
            steps,
            step: 1,
            paused: false
        }
    );
}

#[test]
fn last_step_of_a_roll_out_serves_in_full() {
    let edits = [
        declare("next@1", 5, 900),
        Edit::StartRollOut {
            version: version("next@1"),
            steps: vec![10],
        },
        Edit::StepRollOut {
            version: version("next@1"),
        },
    ];
    let next = catalogue().with_edits(&edits).unwrap();
    assert_eq!(next.versions[&version("next@1")].stage, Stage::Offered);
}

proptest! {
    #[test]
    fn racing_operators_make_one_winner_a_revision(bases in proptest::collection::vec(0..12_u64, 1..40)) {
        let mut book = ChangeHistory::default();
        let mut winners = std::collections::BTreeMap::new();
        for (number, base) in bases.iter().enumerate() {
            let change = Change {
                id: ChangeId::new(format!("c{number}")).unwrap(),
                base: Revision(*base),
                author: OperatorId::new("a").unwrap(),
                why: String::new(),
                edits: vec![create(&format!("o{number}"), Class::Paying)],
            };
            let before = book.catalogue().revision;
            let first = book.decide(&change, Millis::ZERO);
            assert_eq!(book.decide(&change, Millis::ZERO), first, "a resend gets the first outcome");
            match first {
                Outcome::Accepted(revision) => {
                    assert_eq!(revision, before.next());
                    assert_eq!(winners.insert(revision, number), None);
                }
                Outcome::Conflict { standing, .. } => assert_eq!(standing, before),
                Outcome::Refused(why) => panic!("{why}"),
            }
        }
        let kept = book.since(Revision(0)).unwrap();
        assert_eq!(kept.len() as u64, book.catalogue().revision.0);
        let mut replayed = Catalogue::default();
        for change in kept {
            replayed = replayed.with_edits(&change.edits).unwrap();
        }
        assert_eq!(&replayed, book.catalogue(), "the changes lead to what stands");
    }
}
