//! Plans on their way to the entries: bytes and processor time of a whole plan and of a change of
//! one route.

use std::collections::BTreeSet;
use std::error::Error;
use std::sync::Arc;
use std::time::Instant;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::gateway::plan::Service;
use papayatray_core::gateway::plan::Target;
use papayatray_core::gateway::plan_copy::PlanCopy;
use papayatray_core::gateway::plan_log::PlanLog;
use papayatray_core::gateway::plan_log::PlanPiece;
use papayatray_core::gateway::table::RouteTable;
use papayatray_core::id::ModelId;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use papayatray_state::machine::Command;
use papayatray_state::plan_document::PlanDocument;
use papayatray_wire::peer::PIECE_BYTES;
use papayatray_wire::peer::PieceReply;
use papayatray_wire::peer::ProposeRequest;

use crate::report::Report;

/// Sizes of plans, in routes: a large one of today, and that of the target.
const ROUTE_COUNTS: [u64; 2] = [1_400, 10_000];
/// Number of milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// Bytes and processor time of one transfer.
#[derive(Debug, Default)]
struct Cost {
    bytes: usize,
    replica_ms: f64,
    entry_ms: f64,
}

impl Cost {
    fn report(&self, report: &mut Report, measure: &str) {
        report.add("plans", &format!("{measure}_bytes"), self.bytes as f64);
        report.add("plans", &format!("{measure}_replica_ms"), self.replica_ms);
        report.add("plans", &format!("{measure}_entry_ms"), self.entry_ms);
    }
}

/// Measures plans of several sizes.
///
/// # Errors
///
/// Fails if a plan cannot be encoded or decoded.
pub(crate) fn run(report: &mut Report) -> Result<(), Box<dyn Error>> {
    for routes in ROUTE_COUNTS {
        let first = Arc::new(plan(1, routes)?);
        let mut second = plan(2, routes)?;
        second.routes[0].timeout = Millis::new(7_000);
        let second = Arc::new(second);

        whole(&first)?.report(report, &format!("whole_text_{routes}"));

        let mut log = PlanLog::default();
        log.record(&first)?;
        let mut copy = PlanCopy::default();
        pieces(&log, &mut copy)?.report(report, &format!("whole_pieces_{routes}"));

        let started_at = Instant::now();
        log.record(&second)?;
        report.add(
            "plans",
            &format!("record_{routes}_ms"),
            elapsed_ms(started_at),
        );
        pieces(&log, &mut copy)?.report(report, &format!("one_route_{routes}"));

        let publication = PublishedPlan {
            plan: Plan::clone(&second),
            source: serde_json::to_string(&*second)?,
        };
        let document = PlanDocument::try_from(publication)?;
        let text = document.clone();
        propose(report, &format!("propose_text_{routes}"), || {
            Command::PublishDocument(Box::new(text))
        })?;
        propose(report, &format!("propose_packed_{routes}"), || {
            Command::PublishPacked(Box::new(document.into()))
        })?;
    }
    Ok(())
}

/// Sends a whole plan as text, as to entries that read no pieces.
fn whole(plan: &Plan) -> Result<Cost, Box<dyn Error>> {
    let started_at = Instant::now();
    let text = serde_json::to_string(&plan.clone())?;
    let replica_ms = elapsed_ms(started_at);
    let started_at = Instant::now();
    let received: Plan = serde_json::from_str(&text)?;
    let table = RouteTable::new(received);
    let entry_ms = elapsed_ms(started_at);
    drop(table);
    Ok(Cost {
        bytes: text.len(),
        replica_ms,
        entry_ms,
    })
}

/// Sends what a copy lacks, in pieces.
fn pieces(log: &PlanLog, copy: &mut PlanCopy) -> Result<Cost, Box<dyn Error>> {
    let mut cost = Cost::default();
    loop {
        let started_at = Instant::now();
        let reply = PieceReply::from(log.piece(copy.cursor(), PIECE_BYTES));
        let text = serde_json::to_string(&reply)?;
        cost.replica_ms += elapsed_ms(started_at);
        cost.bytes += text.len();
        let started_at = Instant::now();
        let received: PieceReply = serde_json::from_str(&text)?;
        let applied = copy.apply(PlanPiece::try_from(received)?)?;
        cost.entry_ms += elapsed_ms(started_at);
        if applied.is_some() {
            return Ok(cost);
        }
    }
}

/// Measures the call by which a replica hands a plan to the leader, and which the leader decodes.
fn propose<F>(report: &mut Report, measure: &str, command: F) -> Result<(), Box<dyn Error>>
where
    F: FnOnce() -> Command,
{
    let started_at = Instant::now();
    let request = ProposeRequest { command: command() };
    let text = serde_json::to_string(&request)?;
    report.add(
        "plans",
        &format!("{measure}_replica_ms"),
        elapsed_ms(started_at),
    );
    report.add("plans", &format!("{measure}_bytes"), text.len() as f64);
    let started_at = Instant::now();
    let received: ProposeRequest = serde_json::from_str(&text)?;
    report.add(
        "plans",
        &format!("{measure}_leader_ms"),
        elapsed_ms(started_at),
    );
    drop(received);
    Ok(())
}

fn elapsed_ms(started_at: Instant) -> f64 {
    started_at.elapsed().as_secs_f64() * MS_PER_S
}

/// Returns a plan whose names have no pattern, as operators' have.
fn plan(version: u64, routes: u64) -> Result<Plan, Box<dyn Error>> {
    let service = ServiceId::new("huvo11a")?;
    let models = ["daka510000", "rada7437b5", "ravo486f6a"];
    let sizes: Result<Vec<ModelId>, _> = models.into_iter().map(ModelId::new).collect();
    let sizes = sizes?;
    let route = |number: u64| {
        let name = |purpose: u64| {
            let hash = (number * 31 + purpose).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            format!("{:07x}", hash >> 36)
        };
        Route {
            name: format!("r-{}", name(1)),
            host: format!("{}.example", name(number % 40 * 7)),
            prefix: format!("/{}/", name(2)),
            kind: RouteKind::Stream { resumable: true },
            timeout: Millis::new(15_000),
            objective: Millis::new(4_000),
            pause: Some(Millis::new(1_500)),
            rank: 1,
            sizes: sizes.clone(),
            targets: vec![Target {
                service: service.clone(),
                weight: 100,
            }],
            attempts: 3,
            public: false,
            homes: BTreeSet::new(),
        }
    };
    Ok(Plan {
        version: PlanVersion(version),
        routes: (0..routes).map(route).collect(),
        services: [(service.clone(), Service::default())].into(),
        ..Plan::default()
    })
}
