//! The JSON encoding of a worker's callback, which workers post and sibling processes forward to
//! each other.

use crate::net::messages::{CallbackState, Load, WorkerCallback};
use serde::Deserialize;

/// The JSON object of a callback.
#[derive(Deserialize)]
struct CallbackBody {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: String,
    #[serde(default)]
    load: serde_json::Map<String, serde_json::Value>,
}

/// Parses a callback; returns `None` if the body is not a callback. A state that this version does
/// not know becomes [`CallbackState::Unknown`], and values of the load report that are not numbers
/// are skipped.
pub fn parse(body: &[u8]) -> Option<WorkerCallback> {
    let body: CallbackBody = serde_json::from_slice(body).ok()?;
    let state = match body.state.as_str() {
        "started" => CallbackState::Started,
        "running" => CallbackState::Running(body.share),
        "done" => CallbackState::Done(body.result.into_bytes()),
        "failed" => CallbackState::Failed,
        "returned" => CallbackState::Returned,
        "lost" => CallbackState::Lost,
        _ => CallbackState::Unknown,
    };
    let load: Load = body
        .load
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.as_f64()?)))
        .collect();
    Some(WorkerCallback {
        id: body.id,
        from: body.from,
        state,
        load,
    })
}

/// Encodes a callback as a worker does, to forward it to a sibling process.
pub fn encode(callback: &WorkerCallback) -> Vec<u8> {
    let state = match &callback.state {
        CallbackState::Started => "started",
        CallbackState::Running(_) => "running",
        CallbackState::Done(_) => "done",
        CallbackState::Failed => "failed",
        CallbackState::Returned => "returned",
        CallbackState::Lost => "lost",
        CallbackState::Unknown => "unknown",
    };
    let mut json = serde_json::json!({"id": callback.id, "from": callback.from, "state": state});
    match &callback.state {
        CallbackState::Running(share) => json["share"] = (*share).into(),
        CallbackState::Done(result) => json["result"] = String::from_utf8_lossy(result).into(),
        _ => {}
    }
    let load = callback
        .load
        .iter()
        .map(|(name, value)| (name.clone(), serde_json::Value::from(*value)));
    json["load"] = load.collect();
    json.to_string().into_bytes()
}
