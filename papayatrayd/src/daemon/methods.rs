//! Methods that the system's other processes call.

use std::sync::Arc;

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use jsonrpsee_types::error::INTERNAL_ERROR_CODE;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::Propose;
use papayatray_wire::peer::Push;
use papayatray_wire::peer::TraceRequest;
use serde::de::DeserializeOwned;

use super::DaemonError;
use super::Methods;
use crate::control::Control;
use crate::control::ControlError;
use crate::entry::Entry;
use crate::observe::Traces;

/// What the methods work on.
#[derive(Debug)]
pub(super) struct Local {
    pub(super) control: Option<Control>,
    pub(super) entry: Option<Arc<Entry>>,
    pub(super) traces: Traces,
}

impl Local {
    fn control(&self) -> Result<&Control, ErrorObjectOwned> {
        self.control
            .as_ref()
            .ok_or_else(|| refuse("this VM does not play the role control"))
    }

    fn entry(&self) -> Result<&Arc<Entry>, ErrorObjectOwned> {
        self.entry
            .as_ref()
            .ok_or_else(|| refuse("this VM does not play the role entry"))
    }
}

/// Returns the methods.
pub(super) fn module(local: Local) -> Result<Methods, DaemonError> {
    let mut module = RpcModule::new(local);
    add_control(&mut module)?;
    add_entry(&mut module)?;
    Ok(module)
}

fn add_control(module: &mut Methods) -> Result<(), DaemonError> {
    let name = Method::Renew.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let renew = one(&params)?;
        local.control()?.renew(renew).await.map_err(ended)
    })?;
    let name = Method::Propose.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let propose: Propose = one(&params)?;
        local
            .control()?
            .propose(propose.command)
            .await
            .map_err(ended)
    })?;
    let name = Method::Status.as_str();
    module.register_async_method(name, |_, local, _| async move {
        local.control()?.status().await.map_err(ended)
    })?;
    let name = Method::Bills.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let request = one(&params)?;
        local.control()?.bills(request).await.map_err(ended)
    })?;
    let name = Method::History.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let request = one(&params)?;
        local.control()?.history(request).await.map_err(ended)
    })?;
    let name = Method::Replace.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let request = one(&params)?;
        local.control()?.replace(request).await.map_err(ended)
    })?;
    Ok(())
}

fn add_entry(module: &mut Methods) -> Result<(), DaemonError> {
    let name = Method::Push.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let push: Push = one(&params)?;
        if let Some(entry) = &local.entry {
            entry.apply_push(&push);
        }
        Ok::<(), ErrorObjectOwned>(())
    })?;
    let name = Method::Trace.as_str();
    module.register_async_method(name, |params, local, _| async move {
        let request: TraceRequest = one(&params)?;
        Ok::<_, ErrorObjectOwned>(local.traces.find(&request.trace))
    })?;
    let name = Method::Drain.as_str();
    module.register_async_method(name, |_, local, _| async move {
        local.entry()?.request_drain();
        Ok::<bool, ErrorObjectOwned>(true)
    })?;
    Ok(())
}

fn one<T>(params: &Params<'static>) -> Result<T, ErrorObjectOwned>
where
    T: DeserializeOwned,
{
    params.one()
}

fn refuse(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn ended(error: ControlError) -> ErrorObjectOwned {
    refuse(&error.to_string())
}
