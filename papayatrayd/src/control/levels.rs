//! Format level on the control thread: what this replica reads, whom the leader has to ask, and the raise.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::format::Census;
use papayatray_core::format::FormatLevel;
use papayatray_core::id::Term;
use papayatray_state::machine::Command;
use papayatray_state::replica::ReplicaId;
use papayatray_wire::peer::FormatReply;

use super::control_loop::ControlLoop;
use crate::observe::Level;
use crate::observe::event;

/// Version of this build, as replicas state it and logs name it.
pub(super) const BUILD: &str = env!("CARGO_PKG_VERSION");

/// What the leader knows of the format levels.
#[derive(Debug, Default)]
pub(super) struct LevelState {
    /// Levels that replicas have stated that they read.
    stated: BTreeMap<ReplicaId, FormatLevel>,
    /// Level that this leader has proposed, and its term.
    proposed: Option<(Term, FormatLevel)>,
    /// Whether it has been logged that the node has halted.
    is_halt_logged: bool,
}

/// Replicas that the leader asks which format levels they read.
#[derive(Clone, Debug)]
pub struct FormatPoll {
    /// The leader itself.
    pub leader: ReplicaId,
    /// Level in force.
    pub in_force: FormatLevel,
    /// Members and blank replicas other than the leader, with their addresses.
    pub replicas: BTreeMap<ReplicaId, String>,
}

/// Statements of the processes on the format levels that they read.
#[derive(Clone, Debug, Default)]
pub struct FormatStatements {
    /// Levels of replicas; those that have not answered are missing.
    pub replicas: BTreeMap<ReplicaId, FormatLevel>,
    /// Levels of the entries that sync with the leader.
    pub entries: Vec<FormatLevel>,
    /// Time for which the leader has led.
    pub led_for: Millis,
}

impl ControlLoop {
    pub(super) fn format_reply(&self) -> FormatReply {
        FormatReply {
            replica: self.node.replica().id().clone(),
            build: BUILD.to_owned(),
            reads: FormatLevel::HIGHEST,
        }
    }

    /// Returns whom to ask, or `None` unless this replica leads and its leader lease is current.
    pub(super) fn format_poll(&self) -> Option<FormatPoll> {
        let replica = self.node.replica();
        if !replica.is_current(self.now()) {
            return None;
        }
        let members = replica.members().iter();
        let members = members.map(|(id, member)| (id, member.address.as_str()));
        let asked = members.chain(replica.boot().blank_addresses());
        let asked = asked.filter(|(id, _)| *id != replica.id());
        Some(FormatPoll {
            leader: replica.id().clone(),
            in_force: self.node.machine().level(),
            replicas: asked
                .map(|(id, address)| (id.clone(), address.to_owned()))
                .collect(),
        })
    }

    /// Takes over what processes have stated, and raises the level if all of them read the next one.
    ///
    /// The members are compared here, on the thread that admits replicas, so that none joins in between.
    pub(super) fn apply_statements(&mut self, statements: FormatStatements) {
        let replica = self.node.replica();
        if !replica.is_current(self.now()) {
            return;
        }
        let (own, term) = (replica.id().clone(), replica.term());
        self.levels.stated = statements.replicas;
        self.levels.stated.insert(own, FormatLevel::HIGHEST);
        let stated = &self.levels.stated;
        let members = self.node.replica().members().iter();
        let replicas: Vec<Option<FormatLevel>> =
            members.map(|(id, _)| stated.get(id).copied()).collect();
        let census = Census {
            in_force: self.node.machine().level(),
            replicas: &replicas,
            entries: &statements.entries,
            led_for: statements.led_for,
        };
        let Some(next) = census.next_level() else {
            return;
        };
        if self.levels.proposed == Some((term, next)) {
            return;
        }
        self.levels.proposed = Some((term, next));
        event(Level::Info, "level_proposed", &[("level", &next)]);
        self.propose_internally(Command::RaiseLevel(next));
    }

    /// Lets only those blank replicas join that read the level in force or proposed.
    pub(super) fn bound_admission(&mut self) {
        let in_force = self.node.machine().level();
        let term = self.node.replica().term();
        let proposed = self.levels.proposed.filter(|(at, _)| *at == term);
        let required = proposed.map_or(in_force, |(_, level)| level.max(in_force));
        let admissible = (required > FormatLevel::BASE).then(|| {
            let stated = self.levels.stated.iter();
            let readers = stated.filter(|(_, level)| **level >= required);
            readers.map(|(id, _)| id.clone()).collect()
        });
        self.node.replica_mut().set_admissible(admissible);
    }

    /// Logs once that the node has halted at something that it cannot decode.
    pub(super) fn log_halt(&mut self) {
        let Some(halt) = self.node.halt() else {
            self.levels.is_halt_logged = false;
            return;
        };
        if self.levels.is_halt_logged {
            return;
        }
        event(
            Level::Error,
            "replica_halted",
            &[
                ("replica", self.node.replica().id()),
                ("index", &halt.index),
                ("build", &BUILD),
                ("reads_level", &FormatLevel::HIGHEST),
                ("lacks_level", &halt.lacks),
                ("cause", &halt.cause),
            ],
        );
        self.levels.is_halt_logged = true;
    }
}
