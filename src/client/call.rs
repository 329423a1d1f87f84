//! The command `call`, which sends one call as a caller would.

use std::time::Duration;

use awc::Client;
use clap::Args;
use serde::Serialize;
use uuid::Uuid;

use crate::error::{Error, ErrorKind, Result};
use crate::http::header;

use super::{Output, Report, DONE, NOT_RUN, UNKNOWN, WRONG};

/// The arguments of `call`.
#[derive(Clone, Debug, Args)]
pub struct CallArgs {
    /// The entry VM, as IP:PORT of its --listen.
    #[arg(long)]
    entry: String,
    /// The class of the call.
    #[arg(long)]
    class: String,
    /// The caller's token.
    #[arg(long, env = "PUFFINKNOT_TOKEN", hide_env_values = true)]
    token: String,
    /// The idempotency key of an earlier call, to retry it. By default, a new
    /// key.
    #[arg(long)]
    key: Option<Uuid>,
    /// The deadline, in milliseconds.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// The body of the call.
    #[arg(long, default_value = "")]
    body: String,
}

/// The JSON output of `call`.
#[derive(Debug, Serialize)]
struct CallResult {
    outcome: String,
    status: u16,
    key: String,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
    body: String,
}

pub(super) async fn call(args: CallArgs, output: Output) -> Result<Report> {
    let key = args.key.unwrap_or_else(Uuid::now_v7);
    let mut request = Client::default()
        .post(format!("http://{}/call/{}", args.entry, args.class))
        .timeout(Duration::from_secs(3_600))
        .insert_header(("authorization", format!("Bearer {}", args.token)))
        .insert_header((crate::target::KEY, key.to_string()));
    if let Some(deadline) = args.deadline_ms {
        request = request.insert_header(("puffinknot-deadline-ms", deadline));
    }
    let failed = |problem: String| {
        Error::new(
            ErrorKind::Link,
            format!("the call may have run: {problem}"),
            format!("retry with --key {key}"),
        )
    };
    let response = request.send_body(args.body).await;
    let mut response = response.map_err(|err| failed(err.to_string()))?;
    let body = response.body().limit(1 << 25).await;
    let body = body.map_err(|err| failed(err.to_string()))?;
    let text =
        |name: &str| header(response.headers(), name).map(str::to_string);
    let result = CallResult {
        outcome: text("puffinknot-outcome").unwrap_or_default(),
        status: response.status().as_u16(),
        key: key.to_string(),
        reason: text("puffinknot-reason"),
        retry_after_ms: text("puffinknot-retry-after-ms")
            .and_then(|ms| ms.parse().ok()),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let code = match result.outcome.as_str() {
        "answered" => DONE,
        "unknown" => UNKNOWN,
        _ if result.status < 500 && result.status != 429 => WRONG,
        _ => NOT_RUN,
    };
    let text = match output {
        Output::Json => {
            let text = serde_json::to_string(&result).unwrap_or_default();
            format!("{text}\n")
        }
        Output::Text => {
            let body = result.body.trim_end();
            format!("{} key {}: {body}\n", result.outcome, result.key)
        }
    };
    Ok(Report { text, code })
}
