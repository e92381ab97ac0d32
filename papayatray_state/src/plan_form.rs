//! Binary form of a published plan in log entries and snapshots of format level 0.
//!
//! The form stores no field names, so its types are fixed: a field that is added to a plan is not
//! added here. The conversions to the plan give such a field its default.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::plan::ApiKey;
use papayatray_core::gateway::plan::CallerLimits;
use papayatray_core::gateway::plan::Organisation;
use papayatray_core::gateway::plan::Plan;
use papayatray_core::gateway::plan::PublishedPlan;
use papayatray_core::gateway::plan::Route;
use papayatray_core::gateway::plan::RouteKind;
use papayatray_core::gateway::plan::Service;
use papayatray_core::gateway::plan::Target;
use papayatray_core::id::ModelId;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::PlanVersion;
use papayatray_core::id::ServiceId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Form of a [`PublishedPlan`]; the order of the fields must stay.
#[derive(Serialize, Deserialize)]
pub(crate) struct PublishedPlanForm {
    plan: PlanForm,
    source: String,
}

#[derive(Serialize, Deserialize)]
struct PlanForm {
    version: PlanVersion,
    routes: Vec<RouteForm>,
    services: BTreeMap<ServiceId, ServiceForm>,
    organisations: BTreeMap<OrganisationId, OrganisationForm>,
    limits: CallerLimitsForm,
}

#[derive(Serialize, Deserialize)]
struct RouteForm {
    name: String,
    host: String,
    prefix: String,
    kind: RouteKindForm,
    timeout: Millis,
    objective: Millis,
    pause: Option<Millis>,
    rank: u8,
    sizes: Vec<ModelId>,
    targets: Vec<TargetForm>,
    attempts: u32,
    public: bool,
}

#[derive(Serialize, Deserialize)]
enum RouteKindForm {
    Idempotent,
    NonIdempotent,
    Stream { resumable: bool },
}

#[derive(Serialize, Deserialize)]
struct TargetForm {
    service: ServiceId,
    weight: u32,
}

#[derive(Serialize, Deserialize)]
struct ServiceForm {
    connections: Option<u32>,
    costs: BTreeMap<ModelId, u64>,
}

#[derive(Serialize, Deserialize)]
struct OrganisationForm {
    keys: BTreeSet<ApiKey>,
    rank: Option<u8>,
}

#[derive(Serialize, Deserialize)]
struct CallerLimitsForm {
    head: usize,
    body: usize,
    header_timeout: Millis,
    idle_timeout: Millis,
}

impl From<&PublishedPlan> for PublishedPlanForm {
    fn from(publication: &PublishedPlan) -> Self {
        Self {
            plan: PlanForm::from(&publication.plan),
            source: publication.source.clone(),
        }
    }
}

impl From<PublishedPlanForm> for PublishedPlan {
    fn from(form: PublishedPlanForm) -> Self {
        Self {
            plan: form.plan.into(),
            source: form.source,
        }
    }
}

impl From<&Plan> for PlanForm {
    fn from(plan: &Plan) -> Self {
        let services = plan.services.iter();
        let organisations = plan.organisations.iter();
        Self {
            version: plan.version,
            routes: plan.routes.iter().map(RouteForm::from).collect(),
            services: services
                .map(|(id, service)| (id.clone(), ServiceForm::from(service)))
                .collect(),
            organisations: organisations
                .map(|(id, organisation)| (id.clone(), OrganisationForm::from(organisation)))
                .collect(),
            limits: CallerLimitsForm::from(&plan.limits),
        }
    }
}

impl From<PlanForm> for Plan {
    fn from(form: PlanForm) -> Self {
        let services = form.services.into_iter();
        let organisations = form.organisations.into_iter();
        Self {
            version: form.version,
            routes: form.routes.into_iter().map(Route::from).collect(),
            services: services.map(|(id, service)| (id, service.into())).collect(),
            organisations: organisations
                .map(|(id, organisation)| (id, organisation.into()))
                .collect(),
            limits: form.limits.into(),
        }
    }
}

impl From<&Route> for RouteForm {
    fn from(route: &Route) -> Self {
        Self {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            kind: route.kind.into(),
            timeout: route.timeout,
            objective: route.objective,
            pause: route.pause,
            rank: route.rank,
            sizes: route.sizes.clone(),
            targets: route.targets.iter().map(TargetForm::from).collect(),
            attempts: route.attempts,
            public: route.public,
        }
    }
}

impl From<RouteForm> for Route {
    fn from(form: RouteForm) -> Self {
        Self {
            name: form.name,
            host: form.host,
            prefix: form.prefix,
            kind: form.kind.into(),
            timeout: form.timeout,
            objective: form.objective,
            pause: form.pause,
            rank: form.rank,
            sizes: form.sizes,
            targets: form.targets.into_iter().map(Target::from).collect(),
            attempts: form.attempts,
            public: form.public,
            homes: BTreeSet::new(),
        }
    }
}

impl From<RouteKind> for RouteKindForm {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Idempotent => Self::Idempotent,
            RouteKind::NonIdempotent => Self::NonIdempotent,
            RouteKind::Stream { resumable } => Self::Stream { resumable },
        }
    }
}

impl From<RouteKindForm> for RouteKind {
    fn from(form: RouteKindForm) -> Self {
        match form {
            RouteKindForm::Idempotent => Self::Idempotent,
            RouteKindForm::NonIdempotent => Self::NonIdempotent,
            RouteKindForm::Stream { resumable } => Self::Stream { resumable },
        }
    }
}

impl From<&Target> for TargetForm {
    fn from(target: &Target) -> Self {
        Self {
            service: target.service.clone(),
            weight: target.weight,
        }
    }
}

impl From<TargetForm> for Target {
    fn from(form: TargetForm) -> Self {
        Self {
            service: form.service,
            weight: form.weight,
        }
    }
}

impl From<&Service> for ServiceForm {
    fn from(service: &Service) -> Self {
        Self {
            connections: service.connections,
            costs: service.costs.clone(),
        }
    }
}

impl From<ServiceForm> for Service {
    fn from(form: ServiceForm) -> Self {
        Self {
            connections: form.connections,
            costs: form.costs,
            cold: None,
        }
    }
}

impl From<&Organisation> for OrganisationForm {
    fn from(organisation: &Organisation) -> Self {
        Self {
            keys: organisation.keys.clone(),
            rank: organisation.rank,
        }
    }
}

impl From<OrganisationForm> for Organisation {
    fn from(form: OrganisationForm) -> Self {
        Self {
            keys: form.keys,
            rank: form.rank,
            homes: BTreeSet::new(),
        }
    }
}

impl From<&CallerLimits> for CallerLimitsForm {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            head: limits.head,
            body: limits.body,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }
}

impl From<CallerLimitsForm> for CallerLimits {
    fn from(form: CallerLimitsForm) -> Self {
        Self {
            head: form.head,
            body: form.body,
            header_timeout: form.header_timeout,
            idle_timeout: form.idle_timeout,
        }
    }
}

/// Serialises a boxed plan in its binary form.
pub(crate) mod boxed {
    use super::Deserialize;
    use super::Deserializer;
    use super::PublishedPlan;
    use super::PublishedPlanForm;
    use super::Serialize;
    use super::Serializer;

    pub(crate) fn serialize<S>(plan: &PublishedPlan, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        PublishedPlanForm::from(plan).serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Box<PublishedPlan>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let form = PublishedPlanForm::deserialize(deserializer)?;
        Ok(Box::new(form.into()))
    }
}

/// Serialises an optional boxed plan in its binary form.
pub(crate) mod optional {
    use super::Deserialize;
    use super::Deserializer;
    use super::PublishedPlan;
    use super::PublishedPlanForm;
    use super::Serialize;
    use super::Serializer;

    #[expect(
        clippy::ref_option,
        reason = "the signature that `serde(with)` calls for"
    )]
    pub(crate) fn serialize<S>(
        plan: &Option<Box<PublishedPlan>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let form = plan.as_deref().map(PublishedPlanForm::from);
        form.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D>(
        deserializer: D,
    ) -> Result<Option<Box<PublishedPlan>>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let form: Option<PublishedPlanForm> = Option::deserialize(deserializer)?;
        Ok(form.map(|form| Box::new(form.into())))
    }
}
