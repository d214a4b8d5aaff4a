//! Maps methods and paths to requests.

use super::ApiRequest;
use crate::protocol::job::is_job_id;
use crate::transport::Reply;
use hyper::Method;

/// The prefix of all paths that workers use.
const WORKER_PATH_PREFIX: &str = "/agent/";

/// The route of a request, by its method and path.
pub(super) enum Route {
    /// The health check.
    Health,
    /// The submission of a job; the body is its specification.
    Submit,
    /// A worker's heartbeat; the body is its status.
    Heartbeat,
    /// A query for the job with this id.
    Query(String),
    /// The cancellation of the job with this id; the body is ignored.
    Cancel(String),
}

impl Route {
    /// Whether the request's body must be read.
    pub(super) fn has_body(&self) -> bool {
        match self {
            Route::Submit | Route::Heartbeat | Route::Cancel(_) => true,
            Route::Health | Route::Query(_) => false,
        }
    }

    /// Builds the request with its body; `None` for the health check, to which the server replies
    /// without the handler.
    pub(super) fn into_request(self, body: Vec<u8>) -> Option<ApiRequest> {
        match self {
            Route::Health => None,
            Route::Submit => Some(ApiRequest::Submit(body)),
            Route::Heartbeat => Some(ApiRequest::Heartbeat(body)),
            Route::Query(job) => Some(ApiRequest::Query(job)),
            Route::Cancel(job) => Some(ApiRequest::Cancel(job)),
        }
    }
}

/// Whether a request comes from a worker, by its path.
pub(super) fn is_worker_path(path: &str) -> bool {
    path.starts_with(WORKER_PATH_PREFIX)
}

/// Finds the route of a request.
///
/// # Errors
/// If the request has no route: the reply, a 404, or a 405 if the path exists with another method.
pub(super) fn route(method: &Method, path: &str) -> Result<Route, Reply> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, &parts[..]) {
        (&Method::GET, ["healthz"]) => Ok(Route::Health),
        (&Method::POST, ["v2", "runs"]) => Ok(Route::Submit),
        (&Method::POST, ["agent", "beat"]) => Ok(Route::Heartbeat),
        (&Method::GET, ["v2", "runs", id]) if is_job_id(id) => Ok(Route::Query(id.to_string())),
        (&Method::POST, ["v2", "runs", id, "abort"]) if is_job_id(id) => {
            Ok(Route::Cancel(id.to_string()))
        }
        (&Method::GET, ["v2", "runs", _]) | (&Method::POST, ["v2", "runs", _, "abort"]) => {
            Err(Reply::error(404, "no such job"))
        }
        (_, ["healthz"] | ["v2", "runs"] | ["agent", "beat"] | ["v2", "runs", _])
        | (_, ["v2", "runs", _, "abort"]) => Err(Reply::error(405, "method not allowed")),
        _ => Err(Reply::error(404, "no such path")),
    }
}
