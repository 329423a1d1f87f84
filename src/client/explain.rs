/*!
The command `explain`, which prints the history of one job from the logs of
all nodes, and the cause of its outcome.

The history has the log lines about the job, its requests and its calls for
advice, and the events of the cell in that time: changes of the leader, store
outages, cordons of data centres, lost links to the leader, and the job's
account going over its share. The last line is the cause.
*/

use std::collections::BTreeSet;
use std::path::PathBuf;

use clap::Args;
use serde_json::{json, Map, Value};

use crate::client::{Output, Report, DONE, WRONG};
use crate::error::{Error, ErrorKind, Result};

/// Explain the outcome of a job.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// The id of the job: 16 hex digits.
    pub id: String,
    /// The log files, of all nodes if possible.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

/// The kinds of log lines that concern every job that is live at the time.
const CONTEXT: [&str; 11] = [
    "lead_claimed",
    "lead_offered",
    "lead_reclaimed",
    "lead_ended",
    "taken_over",
    "settled",
    "dc_cordoned",
    "dc_opened",
    "store_lost",
    "store_regained",
    "leader_link_lost",
];
/// How long before the job's first log line the context begins, in seconds.
const CONTEXT_BEFORE_S: f64 = 5.0;

/// A log line.
#[derive(Clone, Debug)]
struct Line {
    /// The time, in seconds since an arbitrary start.
    at: f64,
    node: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. Some log collectors write a time in seconds and a node
    /// before the JSON object. Otherwise the time is the object's timestamp,
    /// and the node is `file`.
    fn parse(text: &str, file: &str) -> Option<Line> {
        let (before, object) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut words = before.split_whitespace();
        let stamp = words.next().and_then(|word| word.parse().ok());
        let node = words.next().unwrap_or(file).to_string();
        let own = fields.get("timestamp").and_then(Value::as_str);
        let at = stamp.or_else(|| parse_timestamp(own?))?;
        Some(Line { at, node, fields })
    }

    fn kind(&self) -> &str {
        self.text("message")
    }

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Whether the line names the job, or one of its steps or tasks.
    fn names_job(&self, id: &str) -> bool {
        let part = |text: &str| {
            text.strip_prefix(id).is_some_and(|rest| rest.starts_with('.'))
        };
        self.text("job") == id
            || part(self.text("task"))
            || part(self.text("step"))
    }

    fn render(&self) -> String {
        let hidden = ["message", "level", "timestamp"];
        let fields = self.fields.iter();
        let fields = fields.filter(|(k, _)| !hidden.contains(&k.as_str()));
        let fields: Vec<String> = fields
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key}={text}"),
                other => format!("{key}={other}"),
            })
            .collect();
        let fields = fields.join(" ");
        format!("{:12.4} {:24} {} {fields}", self.at, self.node, self.kind())
    }
}

/// The seconds since the start of the month of a timestamp such as
/// 2026-12-02T11:30:14.123Z, plus one day. Logs that span two months are
/// sorted wrongly.
fn parse_timestamp(stamp: &str) -> Option<f64> {
    let (date, time) = stamp.split_once('T')?;
    let days: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let mut part = || parts.next()?.parse::<f64>().ok();
    let (hours, minutes, seconds) = (part()?, part()?, part()?);
    Some(((days * 24.0 + hours) * 60.0 + minutes) * 60.0 + seconds)
}

/// Reports a job's history and the cause of its outcome.
///
/// # Errors
///
/// If a file can't be read.
pub fn explain(args: ExplainArgs, output: Output) -> Result<Report> {
    let mut lines = Vec::new();
    for path in &args.files {
        let text = std::fs::read_to_string(path).map_err(|err| {
            let problem = format!("{} can't be read: {err}", path.display());
            Error::new(ErrorKind::File, problem, "name a log file")
        })?;
        let file = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(text.lines().filter_map(|l| Line::parse(l, &file)));
    }
    lines.sort_by(|one, two| one.at.total_cmp(&two.at));
    Ok(report(&args.id, &lines, output))
}

fn report(id: &str, lines: &[Line], output: Output) -> Report {
    let own = own_lines(id, lines);
    let Some(first) = own.first().map(|line| line.at) else {
        let text = format!(
            "no line names {id}; check the id, and name the logs of all \
             nodes\n"
        );
        return Report { text, code: WRONG };
    };
    let last = own.last().map_or(first, |line| line.at);
    let account = own.iter().map(|line| line.text("account"));
    let account = account.max().unwrap_or_default();
    let concerns = |line: &Line| match line.kind() {
        "account_over_share" => {
            !account.is_empty() && line.text("account") == account
        }
        kind => CONTEXT.contains(&kind),
    };
    let context = lines.iter().filter(|line| {
        concerns(line) && (first - CONTEXT_BEFORE_S..=last).contains(&line.at)
    });
    let context: Vec<&Line> = context.collect();
    let cause = cause(&own, &context);
    let mut all: Vec<&Line> = own.iter().chain(&context).copied().collect();
    all.sort_by(|one, two| one.at.total_cmp(&two.at));
    let text = match output {
        Output::Text => {
            let mut text: String =
                all.iter().map(|line| line.render() + "\n").collect();
            text += &format!("cause: {cause}\n");
            text
        }
        Output::Json => {
            let lines: Vec<Value> = all
                .iter()
                .map(|line| {
                    json!({
                        "at": line.at,
                        "node": line.node,
                        "line": line.fields,
                    })
                })
                .collect();
            json!({ "job": id, "lines": lines, "cause": cause }).to_string()
                + "\n"
        }
    };
    Report { text, code: DONE }
}

/// The lines that name the job, and the replies to its requests and its calls
/// for advice.
fn own_lines<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let named: Vec<&Line> = lines.iter().filter(|l| l.names_job(id)).collect();
    let requests: BTreeSet<(u64, u64)> = named
        .iter()
        .filter(|line| matches!(line.kind(), "submit" | "cancel"))
        .filter_map(|l| Some((l.number("token")?, l.number("request")?)))
        .collect();
    let calls: BTreeSet<(u64, u64)> = named
        .iter()
        .filter(|line| line.kind() == "advice_asked")
        .filter_map(|l| Some((l.number("token")?, l.number("call")?)))
        .collect();
    let first = named.first().map_or(f64::MAX, |line| line.at);
    let belongs = |line: &&Line| {
        if line.names_job(id) {
            return true;
        }
        if line.at < first {
            return false;
        }
        let answer = line.number("token").zip(line.number("request"));
        let advice = line.number("token").zip(line.number("call"));
        match line.kind() {
            "replied" => answer.is_some_and(|key| requests.contains(&key)),
            "advised" | "advice_failed" => {
                advice.is_some_and(|key| calls.contains(&key))
            }
            _ => false,
        }
    };
    lines.iter().filter(belongs).collect()
}

/// The cause of the job's outcome.
fn cause(own: &[&Line], context: &[&Line]) -> String {
    let ended = own.iter().rev().find(|l| l.kind() == "job_ended");
    let Some(ended) = ended else { return not_ended(own, context) };
    match ended.text("state") {
        "Failed" => failed(own),
        "Cancelled" => "its client cancelled it".to_string(),
        _ => match ended.fields.get("in_time") {
            Some(Value::Bool(true)) => "it succeeded in time".to_string(),
            _ => late(own, context),
        },
    }
}

fn failed(own: &[&Line]) -> String {
    let given_up = own.iter().find(|l| l.kind() == "task_given_up");
    if let Some(line) = given_up {
        return gave_up(line);
    }
    // An executor repeats the report of an end until it is acknowledged, so
    // the log may have it several times.
    let runs = own.iter().filter(|line| line.text("how") == "Failed");
    let runs: BTreeSet<(&str, Option<u64>, &str)> = runs
        .map(|line| {
            let executor = line.text("executor");
            (line.text("task"), line.number("run"), executor)
        })
        .collect();
    let runs: Vec<String> = runs
        .into_iter()
        .map(|(task, _, executor)| format!("{task} on {executor}"))
        .collect();
    format!("it failed {} times: {}", runs.len(), runs.join(", "))
}

/// The cause when a task was given up because it crashes executors. Names the
/// account that submitted the job, or else its queue, as a contact.
fn gave_up(line: &Line) -> String {
    let of = match line.text("account") {
        "" => format!("handed in to {}", line.text("queue")),
        account => format!("handed in by {account}"),
    };
    format!(
        "it was given up: executors crashed under {} {} times, at {}; {of}",
        line.text("task"),
        line.number("runs").unwrap_or_default(),
        line.text("crashed"),
    )
}

/// The cause when a job succeeded late: an overdue run, a long run, or the
/// longest gap between two of its log lines with the events of the cell in
/// that gap.
fn late(own: &[&Line], context: &[&Line]) -> String {
    if let Some(line) = own.iter().find(|l| l.kind() == "run_overdue") {
        let ms = |field| line.number(field).unwrap_or_default() as f64;
        return format!(
            "it succeeded later than guessed: {} on {} had run for {:.1} s \
             of {:.1} s and went on",
            line.text("task"),
            line.text("executor"),
            ms("ran") / 1e3,
            ms("should") / 1e3,
        );
    }
    let pairs = own.windows(2);
    let longest = pairs.max_by(|one, two| {
        let gap = |pair: &[&Line]| pair[1].at - pair[0].at;
        gap(one).total_cmp(&gap(two))
    });
    let Some([from, to]) = longest else {
        return "it succeeded late".to_string();
    };
    let lost = own.iter().find(|line| {
        matches!(line.text("how"), "Lapsed" | "Broken" | "Failed")
            || line.kind() == "start_failed"
    });
    if to.kind() == "run_ended" && from.kind() == "start_ordered" {
        return format!(
            "it succeeded later than guessed: its longest run took {:.1} s \
             on {}",
            to.at - from.at,
            to.text("executor"),
        );
    }
    let between: Vec<&str> = context
        .iter()
        .filter(|line| (from.at - 1.0..=to.at).contains(&line.at))
        .map(|line| line.kind())
        .collect();
    let mut text = format!(
        "it succeeded late: nothing happened for {:.1} s between {} and {}",
        to.at - from.at,
        from.kind(),
        to.kind(),
    );
    if !between.is_empty() {
        text += &format!("; meanwhile {}", between.join(", "));
    }
    if own.iter().any(|line| line.kind() == "held_back") {
        text += "; room was kept free for urgent work";
    }
    if let Some(lost) = lost {
        let how = match lost.kind() {
            "start_failed" => lost.text("error"),
            _ => lost.text("how"),
        };
        let executor = lost.text("executor");
        text += &format!("; a run on {executor} ended as {how}");
    }
    text
}

/// The cause when a job was refused because it would not have ended while it
/// was still useful.
fn admission_refused(line: &Line) -> String {
    let seconds = |number: u64| number as f64 / 1e3;
    let of_use_for = line.number("of_use_for").unwrap_or_default();
    let earliest = match line.number("ends_in") {
        Some(ends_in) => format!("{:.1} s at the least", seconds(ends_in)),
        None => "newer jobs take all capacity".to_string(),
    };
    let whose = match line.text("account") {
        "" => "what waited".to_string(),
        account => format!("what waited of {account}"),
    };
    format!(
        "it was refused and never ran: {whose} left it no end within {:.1} s, \
         after which it was of no use; {earliest}",
        seconds(of_use_for),
    )
}

fn not_ended(own: &[&Line], context: &[&Line]) -> String {
    let submitted = own.iter().any(|line| line.kind() == "submit");
    let refused = own.iter().rev().find(|line| {
        line.kind() == "refused" || line.text("outcome").contains("Refused")
    });
    match refused.map(|line| line.text("why")) {
        Some("NoSuchKey") => {
            return "it was refused and never ran: its key is of no account"
                .to_string();
        }
        Some("OverLimit") => {
            return "it was refused and never ran: tasks that run together \
                    need more than its account may have running"
                .to_string();
        }
        _ => {}
    }
    if let Some(line) = own.iter().rfind(|l| l.kind() == "not_admitted") {
        return admission_refused(line);
    }
    let trouble = context.iter().rev().find(|line| {
        matches!(line.kind(), "store_lost" | "lead_ended" | "leader_link_lost")
    });
    let why = match (trouble.map(|line| line.kind()), submitted) {
        (Some("store_lost"), _) => "the store did not answer",
        (Some(_), _) => "nobody led",
        (None, true) => "the leader could not take it",
        (None, false) => "no leader was reached",
    };
    if refused.is_some() {
        return format!("it was refused and never ran: {why}");
    }
    match own.last() {
        Some(last) => format!(
            "it has not ended in these logs; the last known is {} on {}",
            last.kind(),
            last.node
        ),
        None => "nothing is known of it".to_string(),
    }
}
