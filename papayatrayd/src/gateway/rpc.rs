//! RPC methods of a control replica, called by the other processes of the gateway.

use std::sync::Arc;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::Params;
use jsonrpsee_types::error::INTERNAL_ERROR_CODE;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::PieceRequest;
use papayatray_wire::peer::ProposeRequest;
use papayatray_wire::peer::SpreadRequest;
use papayatray_wire::peer::SyncRequest;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;

use super::control_state::ControlState;
use crate::control::Control;
use crate::control::ControlError;
use crate::peer::ServerContext;
use crate::peer::serve;
use crate::tasks::Tasks;

/// State that the methods use.
#[derive(Debug)]
pub(super) struct RpcContext {
    pub(super) control: Control,
    pub(super) state: Arc<ControlState>,
}

/// Returns the RPC module with all methods.
pub(super) fn module(context: RpcContext) -> Result<RpcModule<RpcContext>, RegisterMethodError> {
    let state = Arc::clone(&context.state);
    let mut module = RpcModule::new(context);
    module.merge(state_module(state)?)?;
    module.register_async_method(Method::Propose.as_str(), |params, context, _| async move {
        let propose: ProposeRequest = single_param(&params)?;
        context
            .control
            .propose(propose.command)
            .await
            .map_err(to_rpc_error)
    })?;
    module.register_async_method(Method::Read.as_str(), |params, context, _| async move {
        let with_source: bool = single_param(&params)?;
        let reply = context.control.read(with_source).await;
        reply
            .map(|reply| context.state.with_processes(reply))
            .map_err(to_rpc_error)
    })?;
    module.register_async_method(Method::Format.as_str(), |_, context, _| async move {
        context.control.format().await.map_err(to_rpc_error)
    })?;
    module.register_async_method(Method::Status.as_str(), |_, context, _| async move {
        context.control.status().await.map_err(to_rpc_error)
    })?;
    Ok(module)
}

/// Returns the RPC module with the methods that need no replica, only its state.
fn state_module(
    state: Arc<ControlState>,
) -> Result<RpcModule<Arc<ControlState>>, RegisterMethodError> {
    let mut module = RpcModule::new(state);
    module.register_async_method(Method::Sync.as_str(), |params, state, _| async move {
        let sync: SyncRequest = single_param(&params)?;
        Ok::<_, ErrorObjectOwned>(state.sync(sync).await)
    })?;
    module.register_method(Method::PlanPiece.as_str(), |params, state, _| {
        let request: PieceRequest = single_param(&params)?;
        Ok::<_, ErrorObjectOwned>(state.plan_piece(&request))
    })?;
    module.register_async_method(Method::Spread.as_str(), |params, state, _| async move {
        let spread: SpreadRequest = single_param(&params)?;
        state.apply_spread(&spread);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    // `Push` is called only to probe the connection here, so its content is ignored.
    module.register_method(Method::Push.as_str(), |_, _, _| {
        Ok::<(), ErrorObjectOwned>(())
    })?;
    Ok(module)
}

/// Answers the calls of entries from the state of a control replica, until the process ends.
///
/// # Errors
///
/// Returns the error if the methods cannot be registered.
pub async fn serve_entries(
    listener: TcpListener,
    state: Arc<ControlState>,
    key: ClusterKey,
    tasks: Tasks,
) -> Result<(), RegisterMethodError> {
    let context = ServerContext {
        tasks,
        key,
        module: state_module(state)?,
        control: None,
    };
    serve(listener, context).await;
    Ok(())
}

fn single_param<T>(params: &Params<'_>) -> Result<T, ErrorObjectOwned>
where
    T: DeserializeOwned,
{
    params.one()
}

#[expect(clippy::needless_pass_by_value, reason = "fits map_err")]
fn to_rpc_error(error: ControlError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, error.to_string(), None::<()>)
}
