/*!
The HTTP interface for operators: `GET /status` and `POST /drain`, each with
the cell's secret as a bearer token.
*/

use actix_http::{HttpMessage, Method, Request, StatusCode};

use crate::control::{Control, Input};
use crate::http::{header, json, text, Reply};

/// Handles a request of an operator.
pub async fn handle(
    control: Control,
    secret: String,
    request: Request,
) -> Reply {
    let token = header(request.headers(), "authorization");
    let token = token.and_then(|t| t.strip_prefix("Bearer "));
    if token != Some(secret.as_str()) {
        let remedy = "send the cell's secret as a bearer token";
        return text(StatusCode::UNAUTHORIZED, remedy);
    }
    match (request.method(), request.path()) {
        (&Method::GET, "/status") => status(&control).await,
        (&Method::POST, "/drain") => {
            control.send(Input::Drain);
            text(StatusCode::ACCEPTED, "draining")
        }
        _ => text(StatusCode::NOT_FOUND, "use GET /status or POST /drain"),
    }
}

async fn status(control: &Control) -> Reply {
    match control.query(Input::Status).await {
        Ok(status) => json(StatusCode::OK, &status),
        Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}
