//! Changes of the catalogue are atomic: a refused change names its reason and has no effect.

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

use crate::fixture::catalogue;
use crate::fixture::create_organisation;
use crate::fixture::declare_version;
use crate::fixture::offer_version;
use crate::fixture::organisation;
use crate::fixture::set_grants;
use crate::fixture::version;

/// Returns why the fixture's catalogue refuses `edits`.
fn refusal(edits: &[Edit]) -> EditError {
    catalogue()
        .with_edits(edits)
        .expect_err("the change must be refused")
}

#[test]
fn grant_of_an_unknown_version_is_refused() {
    let error = refusal(&[set_grants("mill", &["cheap@9"])]);
    assert_eq!(error, EditError::UnknownGrant("cheap@9".to_owned()));
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
    assert_eq!(refusal(&[edit]), EditError::MissingReason);
}

#[test]
fn default_without_a_usable_version_is_refused() {
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
    assert_eq!(refusal(&edits), EditError::ClassWithoutVersion("trial"));
}

#[test]
fn change_with_one_invalid_edit_has_no_effect() {
    let before = catalogue();
    let edits = [
        create_organisation("buyers", Class::Trial),
        create_organisation("mill", Class::Paying),
    ];
    assert!(before.with_edits(&edits).is_err());
    assert!(!before.organisations.contains_key(&organisation("buyers")));
}

#[test]
fn withdrawn_version_cannot_be_reinstated() {
    let withdrawn = catalogue()
        .with_edits(&[Edit::Withdraw {
            version: version("cheap@1"),
        }])
        .unwrap();
    for edit in [
        offer_version("cheap@1"),
        Edit::Resume {
            version: version("cheap@1"),
        },
        Edit::StartRollOut {
            version: version("cheap@1"),
            steps: vec![5],
        },
        declare_version("cheap@1", 1, 1),
    ] {
        assert!(
            withdrawn.with_edits(std::slice::from_ref(&edit)).is_err(),
            "{edit:?}"
        );
    }
}

#[test]
fn halted_roll_out_resumes_at_its_step() {
    let steps = vec![10, 100];
    let edits = [
        declare_version("next@1", 5, 900),
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
fn roll_out_ends_in_a_full_offer_after_its_last_step() {
    let edits = [
        declare_version("next@1", 5, 900),
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
    fn concurrent_changes_produce_one_accepted_change_per_revision(bases in proptest::collection::vec(0..12_u64, 1..40)) {
        let mut history = ChangeHistory::default();
        let mut accepted = std::collections::BTreeMap::new();
        for (number, base) in bases.iter().enumerate() {
            let change = Change {
                id: ChangeId::new(format!("c{number}")).unwrap(),
                base: Revision(*base),
                author: OperatorId::new("a").unwrap(),
                why: String::new(),
                edits: vec![create_organisation(&format!("o{number}"), Class::Paying)],
            };
            let before = history.catalogue().revision;
            let first = history.decide(&change, Millis::ZERO);
            assert_eq!(history.decide(&change, Millis::ZERO), first, "a repeated change gets the first outcome");
            match first {
                Outcome::Accepted(revision) => {
                    assert_eq!(revision, before.next());
                    assert_eq!(accepted.insert(revision, number), None);
                }
                Outcome::Conflict { standing, .. } => assert_eq!(standing, before),
                Outcome::Refused(why) => panic!("{why}"),
            }
        }
        let changes = history.since(Revision(0)).unwrap();
        assert_eq!(changes.len() as u64, history.catalogue().revision.0);
        let mut replayed = Catalogue::default();
        for change in changes {
            replayed = replayed.with_edits(&change.edits).unwrap();
        }
        assert_eq!(&replayed, history.catalogue(), "replaying the changes gives the current catalogue");
    }
}
