//! RPC methods that other processes of the deployment call.

use std::sync::Arc;

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use jsonrpsee_types::error::INTERNAL_ERROR_CODE;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::ProposeRequest;
use papayatray_wire::peer::PushRequest;
use papayatray_wire::peer::TraceRequest;
use serde::de::DeserializeOwned;

use super::DaemonError;
use super::Methods;
use crate::control::Control;
use crate::control::ControlError;
use crate::entry::Entry;
use crate::observe::Traces;

/// State that the methods work on.
#[derive(Debug)]
pub(super) struct RpcContext {
    pub(super) control: Option<Control>,
    pub(super) entry: Option<Arc<Entry>>,
    pub(super) traces: Traces,
}

impl RpcContext {
    fn control(&self) -> Result<&Control, ErrorObjectOwned> {
        self.control
            .as_ref()
            .ok_or_else(|| rpc_error("this VM does not run the control role"))
    }

    fn entry(&self) -> Result<&Arc<Entry>, ErrorObjectOwned> {
        self.entry
            .as_ref()
            .ok_or_else(|| rpc_error("this VM does not run the entry role"))
    }
}

/// Registers the methods of both roles.
pub(super) fn register_methods(context: RpcContext) -> Result<Methods, DaemonError> {
    let mut module = RpcModule::new(context);
    add_control_methods(&mut module)?;
    add_entry_methods(&mut module)?;
    Ok(module)
}

fn add_control_methods(module: &mut Methods) -> Result<(), DaemonError> {
    let name = Method::Renew.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let renew = parse_params(&params)?;
        context.control()?.renew(renew).await.map_err(control_error)
    })?;
    let name = Method::Propose.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let propose: ProposeRequest = parse_params(&params)?;
        context
            .control()?
            .propose(propose.command)
            .await
            .map_err(control_error)
    })?;
    let name = Method::Status.as_str();
    module.register_async_method(name, |_, context, _| async move {
        context.control()?.status().await.map_err(control_error)
    })?;
    let name = Method::Bills.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let request = parse_params(&params)?;
        context
            .control()?
            .bills(request)
            .await
            .map_err(control_error)
    })?;
    let name = Method::History.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let request = parse_params(&params)?;
        context
            .control()?
            .history(request)
            .await
            .map_err(control_error)
    })?;
    let name = Method::Replace.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let request = parse_params(&params)?;
        context
            .control()?
            .replace(request)
            .await
            .map_err(control_error)
    })?;
    Ok(())
}

fn add_entry_methods(module: &mut Methods) -> Result<(), DaemonError> {
    let name = Method::Push.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let push: PushRequest = parse_params(&params)?;
        if let Some(entry) = &context.entry {
            entry.apply_push(&push);
        }
        Ok::<(), ErrorObjectOwned>(())
    })?;
    let name = Method::Trace.as_str();
    module.register_async_method(name, |params, context, _| async move {
        let request: TraceRequest = parse_params(&params)?;
        Ok::<_, ErrorObjectOwned>(context.traces.find(&request.trace))
    })?;
    let name = Method::Drain.as_str();
    module.register_async_method(name, |_, context, _| async move {
        context.entry()?.request_drain();
        Ok::<bool, ErrorObjectOwned>(true)
    })?;
    Ok(())
}

fn parse_params<T>(params: &Params<'static>) -> Result<T, ErrorObjectOwned>
where
    T: DeserializeOwned,
{
    params.one()
}

fn rpc_error(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn control_error(error: ControlError) -> ErrorObjectOwned {
    rpc_error(&error.to_string())
}
