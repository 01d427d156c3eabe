//! The JSON of a worker's call-back: what a worker posts, and what sibling processes forward to each other.

use crate::net::messages::{JobCall, JobState, Load};
use serde::Deserialize;

/// A call-back as it stands in JSON.
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

/// Parses a call-back. A state that this version does not know becomes [`JobState::Unknown`], and figures of the load
/// report that are not numbers are skipped; `None` if the body is not a call-back.
pub fn parse(body: &[u8]) -> Option<JobCall> {
    let body: CallbackBody = serde_json::from_slice(body).ok()?;
    let state = match body.state.as_str() {
        "started" => JobState::Started,
        "running" => JobState::Running(body.share),
        "done" => JobState::Done(body.result.into_bytes()),
        "failed" => JobState::Failed,
        "returned" => JobState::Returned,
        "lost" => JobState::Lost,
        _ => JobState::Unknown,
    };
    let load: Load = body
        .load
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.as_f64()?)))
        .collect();
    Some(JobCall {
        id: body.id,
        from: body.from,
        state,
        load,
    })
}

/// Encodes a call-back as a worker would, to forward it to a sibling process.
pub fn encode(callback: &JobCall) -> Vec<u8> {
    let state = match &callback.state {
        JobState::Started => "started",
        JobState::Running(_) => "running",
        JobState::Done(_) => "done",
        JobState::Failed => "failed",
        JobState::Returned => "returned",
        JobState::Lost => "lost",
        JobState::Unknown => "unknown",
    };
    let mut json = serde_json::json!({"id": callback.id, "from": callback.from, "state": state});
    match &callback.state {
        JobState::Running(share) => json["share"] = (*share).into(),
        JobState::Done(result) => json["result"] = String::from_utf8_lossy(result).into(),
        _ => {}
    }
    let load = callback
        .load
        .iter()
        .map(|(name, value)| (name.clone(), serde_json::Value::from(*value)));
    json["load"] = load.collect();
    json.to_string().into_bytes()
}
