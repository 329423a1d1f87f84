//! The commands `apply` and `plan`, which activate the operators' file as a
//! whole and show what that would change.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Args;
use puffinknot_core::config::Config;
use puffinknot_core::ids::Revision;
use puffinknot_core::store::{Key, Value, Write, WriteResult};
use serde::Serialize;

use crate::error::{Error, ErrorKind, Result};
use crate::platform::Platform;

use super::{read_current, Cell, Current, Output, Report, DONE, LOST, WRONG};

/// The arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArgs {
    #[command(flatten)]
    cell: Cell,
    /// The operators' file.
    file: PathBuf,
    /// Apply only if this revision is in force; 0 if there must be none.
    /// By default, the revision in force when the command starts.
    #[arg(long)]
    expect: Option<Revision>,
}

/// The arguments of `plan`.
#[derive(Clone, Debug, Args)]
pub struct PlanArgs {
    #[command(flatten)]
    cell: Cell,
    /// The operators' file.
    file: PathBuf,
}

/// The difference between two versions of the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Changes {
    /// The new parts, each as `kind.name`.
    pub added: Vec<String>,
    /// The changed parts.
    pub changed: Vec<String>,
    /// The removed parts.
    pub removed: Vec<String>,
}

impl Changes {
    /// Compares two versions. `old` is `None` if there was no file before.
    pub fn between(old: Option<&Config>, new: &Config) -> Changes {
        let old = old.map(parts).unwrap_or_default();
        let new = parts(new);
        let mut changes = Changes::default();
        for (name, part) in &new {
            match old.get(name) {
                None => changes.added.push(name.clone()),
                Some(before) if before != part => {
                    changes.changed.push(name.clone());
                }
                Some(_) => {}
            }
        }
        let gone = old.keys().filter(|name| !new.contains_key(*name));
        changes.removed = gone.cloned().collect();
        changes
    }

    /// Whether there is no difference.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.changed.is_empty()
            && self.removed.is_empty()
    }

    fn summary(&self) -> String {
        if self.is_empty() {
            return "no changes\n".to_string();
        }
        let mut lines = String::new();
        let kinds =
            [("+", &self.added), ("~", &self.changed), ("-", &self.removed)];
        for (sign, names) in kinds {
            for name in names {
                lines.push_str(&format!("{sign} {name}\n"));
            }
        }
        lines
    }
}

/// The named parts of a file, in a form that can be compared.
fn parts(config: &Config) -> BTreeMap<String, String> {
    let mut parts = BTreeMap::new();
    let mut add = |name: String, part: String| parts.insert(name, part);
    for dc in &config.data_centres {
        add(format!("data_centre.{dc}"), String::new());
    }
    for class in &config.classes {
        add(format!("class.{}", class.name), format!("{class:?}"));
    }
    for caller in &config.callers {
        add(format!("caller.{}", caller.name), format!("{caller:?}"));
    }
    for team in &config.teams {
        add(format!("team.{}", team.name), format!("{team:?}"));
    }
    for (job, service) in config.jobs() {
        let kind = if service { "service" } else { "batch" };
        add(format!("{kind}.{}", job.name), format!("{job:?}"));
    }
    add("policy".into(), format!("{:?}", config.policy));
    add("room".into(), format!("{:?}", config.room));
    parts
}

/// Reads and validates a file. If the file is invalid, returns a report of
/// every error.
fn load_file(
    path: &PathBuf,
    cell: &str,
    output: Output,
) -> Result<std::result::Result<(String, Config), Report>> {
    let text = std::fs::read_to_string(path).map_err(|err| {
        Error::new(
            ErrorKind::File,
            format!("{} can't be read: {err}", path.display()),
            "check the name of the file",
        )
    })?;
    let file_name = path.display();
    let config = match Config::parse(&text) {
        Ok(config) => config,
        Err(errors) => {
            let text = match output {
                Output::Json => json_line(&errors),
                Output::Text => errors
                    .iter()
                    .map(|error| format!("{file_name}: {error}\n"))
                    .collect(),
            };
            return Ok(Err(Report { text, code: WRONG }));
        }
    };
    if config.cell != cell {
        let text = format!(
            "{file_name}: cell: is {:?}, not {cell:?}; correct the file or \
             --cell\n",
            config.cell
        );
        return Ok(Err(Report { text, code: WRONG }));
    }
    Ok(Ok((text, config)))
}

fn json_line<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string(value).unwrap_or_default();
    text.push('\n');
    text
}

/// The JSON output of `plan` and `apply`.
#[derive(Debug, Serialize)]
struct ApplyResult<'a> {
    applied: bool,
    revision: Revision,
    changes: &'a Changes,
}

pub(super) async fn plan(args: PlanArgs, output: Output) -> Result<Report> {
    let new = match load_file(&args.file, &args.cell.cell, output)? {
        Ok((_, config)) => config,
        Err(report) => return Ok(report),
    };
    let current = read_current(&args.cell.connect()).await?;
    let old = current.config.as_ref();
    let changes = Changes::between(old.map(|(_, _, config)| config), &new);
    let revision = old.map_or(0, |(revision, _, _)| *revision);
    let text = match output {
        Output::Json => json_line(&ApplyResult {
            applied: false,
            revision,
            changes: &changes,
        }),
        Output::Text => {
            format!("against revision {revision}:\n{}", changes.summary())
        }
    };
    Ok(Report { text, code: DONE })
}

pub(super) async fn apply(args: ApplyArgs, output: Output) -> Result<Report> {
    let (text, new) = match load_file(&args.file, &args.cell.cell, output)? {
        Ok(loaded) => loaded,
        Err(report) => return Ok(report),
    };
    let platform = args.cell.connect();
    let before = read_current(&platform).await?;
    let old = before.config.as_ref();
    let found = old.map_or(0, |(revision, _, _)| *revision);
    let expect = args.expect.unwrap_or(found);
    let write = Write {
        key: Key::Config,
        value: Value::Config(text.clone()),
        expected_revision: expect,
        expected_config_revision: None,
    };
    let revision = match platform.write(&write).await {
        WriteResult::Written(revision) => revision,
        WriteResult::Conflict => {
            return report_conflict(&platform, &before, expect, output).await;
        }
        WriteResult::Unknown => {
            match read_back(&platform, &text, expect).await? {
                Some(revision) => revision,
                None => {
                    return report_conflict(&platform, &before, expect, output)
                        .await
                }
            }
        }
        WriteResult::Failed => {
            return Err(Error::new(
                ErrorKind::Platform,
                "the key-value service could not be asked; nothing changed",
                "check --platform and apply again",
            ));
        }
    };
    let changes = Changes::between(old.map(|(_, _, config)| config), &new);
    let text = match output {
        Output::Json => json_line(&ApplyResult {
            applied: true,
            revision,
            changes: &changes,
        }),
        Output::Text => {
            format!("{}applied as revision {revision}\n", changes.summary())
        }
    };
    Ok(Report { text, code: DONE })
}

/// Reads back whether a write with a lost response took effect. Returns the
/// revision of the write, or `None` if it did not take effect or another file
/// has replaced it since.
async fn read_back(
    platform: &Platform,
    text: &str,
    expect: Revision,
) -> Result<Option<Revision>> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match read_current(platform).await {
            Ok(Current { config: Some((revision, found, _)), .. }) => {
                let is_written = found == text && revision > expect;
                return Ok(is_written.then_some(revision));
            }
            Ok(Current { config: None, .. }) => return Ok(None),
            Err(err) if attempts >= CONFIRM_ATTEMPTS => return Err(err),
            Err(_) => actix_rt::time::sleep(CONFIRM_DELAY).await,
        }
    }
}

/// The maximum number of attempts to read back a write, and the delay between
/// them.
const CONFIRM_ATTEMPTS: u32 = 20;
const CONFIRM_DELAY: std::time::Duration =
    std::time::Duration::from_millis(500);

/// The report of an apply that was not done: the revision in force, and what
/// changed since the command started.
async fn report_conflict(
    platform: &Platform,
    before: &Current,
    expect: Revision,
    output: Output,
) -> Result<Report> {
    let after = read_current(platform).await?;
    let now = after.config.as_ref();
    let revision = now.map_or(0, |(revision, _, _)| *revision);
    let old = before.config.as_ref().map(|(_, _, config)| config);
    let changes = match now {
        Some((_, _, config)) => Changes::between(old, config),
        None => Changes::default(),
    };
    let text = match output {
        Output::Json => json_line(&ApplyResult {
            applied: false,
            revision,
            changes: &changes,
        }),
        Output::Text => format!(
            "not applied: revision {revision} is in force, not {expect}; \
             it changed:\n{}look at it and apply again\n",
            changes.summary()
        ),
    };
    Ok(Report { text, code: LOST })
}
