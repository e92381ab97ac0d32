//! Operators' queries to the control thread, and the replacement of a lost replica.

use papayatray_state::replica::ReplicaId;
use papayatray_wire::peer::BillsReply;
use papayatray_wire::peer::BillsRequest;
use papayatray_wire::peer::EntryReport;
use papayatray_wire::peer::HistoryReply;
use papayatray_wire::peer::HistoryRequest;
use papayatray_wire::peer::LeaderReply;
use papayatray_wire::peer::LevelReport;
use papayatray_wire::peer::ReadReply;
use papayatray_wire::peer::ReplaceReply;
use papayatray_wire::peer::ReplaceRequest;
use papayatray_wire::peer::ReplicaReport;
use papayatray_wire::peer::StatusReply;

use super::control_loop::ControlLoop;
use crate::observe::Level;
use crate::observe::event;

impl ControlLoop {
    /// Runs a query if this replica leads and its leader lease is current; else names the leader.
    pub(super) fn reply_if_leader<F, T>(&mut self, query: F) -> LeaderReply<T>
    where
        F: FnOnce(&mut Self) -> T,
    {
        if self.node.replica().is_current(self.now()) {
            LeaderReply::Reply(query(self))
        } else {
            LeaderReply::NotLeader(self.leader())
        }
    }

    /// Returns the gateway's roll-outs, evacuations and format level and, with `with_source`, the text of
    /// the published plan.
    pub(super) fn read(&self, with_source: bool) -> ReadReply {
        let machine = self.node.machine();
        let source = machine.publication().filter(|_| with_source);
        ReadReply {
            source: source.map(|publication| publication.source.clone()),
            rollouts: machine.rollouts().clone(),
            evacuations: machine.evacuations().clone(),
            levels: LevelReport {
                in_force: machine.level(),
                processes: Vec::new(),
            },
        }
    }

    pub(super) fn status(&self) -> StatusReply {
        let replica = self.node.replica();
        let catalogue = self.node.machine().catalogue();
        let now = self.now();
        let is_current = replica.is_current(now);
        // Without a current leader lease, the leader state may be stale.
        let leader_state = self.leader_state.as_ref().filter(|_| is_current);
        let members = replica.members().iter();
        StatusReply {
            vm: replica.id().vm.clone(),
            role: format!("{:?}", replica.role()).to_lowercase(),
            boot: replica.boot().as_str().to_owned(),
            term: replica.term().0,
            leader: self.leader(),
            commit: replica.commit(),
            failed: self.node.store().is_failed() || self.node.halt().is_some(),
            revision: catalogue.revision,
            in_force: leader_state
                .and_then(|leader_state| leader_state.leases.in_force(catalogue.revision, now)),
            replicas: members
                .map(|(id, member)| ReplicaReport {
                    id: id.to_string(),
                    is_voter: member.is_voter,
                    address: member.address.clone(),
                })
                .collect(),
            blanks: replica.boot().blanks().map(ToString::to_string).collect(),
            entries: leader_state.map_or_else(Vec::new, |leader_state| self.entries(leader_state)),
        }
    }

    fn entries(&self, leader_state: &super::leader_state::LeaderState) -> Vec<EntryReport> {
        let recorded = self.node.machine().ledger().by_entry();
        let report = |(info, revision): (&papayatray_core::lease::EntryInfo, _)| EntryReport {
            info: info.clone(),
            revision,
            billed: leader_state.billed(&info.vm),
            recorded: recorded.get(&info.vm).copied().unwrap_or(0),
        };
        leader_state.leases.entries().map(report).collect()
    }

    pub(super) fn bills(&self, request: &BillsRequest) -> BillsReply {
        let ledger = self.node.machine().ledger();
        let is_requested = |id| request.organisation.as_ref().is_none_or(|only| only == id);
        let totals = ledger
            .totals()
            .iter()
            .filter(|(a, _)| is_requested(&a.organisation));
        let lines = ledger
            .lines()
            .filter(|bill| request.lines && is_requested(&bill.key.organisation));
        BillsReply {
            totals: totals
                .map(|(account, total)| (account.clone(), *total))
                .collect(),
            lines: lines.cloned().collect(),
        }
    }

    pub(super) fn history(&self, request: HistoryRequest) -> HistoryReply {
        let history = self.node.machine().changes().history();
        let later = history
            .iter()
            .filter(|change| change.revision > request.after);
        HistoryReply {
            changes: later.cloned().collect(),
        }
    }

    pub(super) fn replace(&mut self, request: &ReplaceRequest) -> ReplaceReply {
        let replica = self.node.replica();
        let lost: Option<ReplicaId> = replica
            .members()
            .iter()
            .map(|(id, _)| id)
            .find(|id| id.vm == request.lost)
            .cloned();
        let joining: Option<ReplicaId> = replica
            .boot()
            .blanks()
            .find(|id| id.vm == request.joining)
            .cloned();
        let Some(lost) = lost else {
            return ReplaceReply::Refused(format!("{} is not a control replica", request.lost));
        };
        let Some(joining) = joining else {
            let remedy = "start papayatrayd there with role control and an empty data folder";
            return ReplaceReply::Refused(format!(
                "{} has not contacted the leader: {remedy}",
                request.joining
            ));
        };
        if self.node.replica_mut().admit(&joining, Some(&lost)) {
            event(
                Level::Info,
                "replica_replaced",
                &[("lost", &lost), ("newcomer", &joining)],
            );
            return ReplaceReply::Started;
        }
        ReplaceReply::Refused(
            "another membership change is in progress; retry once it has completed".to_owned(),
        )
    }
}
