//! `apply` and `plan`: the operators' file, put into force as a whole.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Args;
use puffinknot_core::config::Config;
use puffinknot_core::ids::Revision;
use puffinknot_core::store::{Key, Value, Write, WriteResult};
use serde::Serialize;

use crate::error::{Error, ErrorKind, Result};
use crate::platform::Platform;

use super::{current, Cell, Current, Output, Report, DONE, LOST, WRONG};

/// The arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArgs {
    #[command(flatten)]
    cell: Cell,
    /// The file.
    file: PathBuf,
    /// Apply only if this revision is in force; 0 if there must be none.
    /// Without it, the revision in force when the command starts.
    #[arg(long)]
    expect: Option<Revision>,
}

/// The arguments of `plan`.
#[derive(Clone, Debug, Args)]
pub struct PlanArgs {
    #[command(flatten)]
    cell: Cell,
    /// The file.
    file: PathBuf,
}

/// What an apply changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Changes {
    /// What is new, as `kind.name`.
    pub added: Vec<String>,
    /// What is changed.
    pub changed: Vec<String>,
    /// What is gone.
    pub removed: Vec<String>,
}

impl Changes {
    /// The difference between two files.
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

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.changed.is_empty()
            && self.removed.is_empty()
    }

    fn lines(&self) -> String {
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

/// Each named part of a file, in a form that can be compared.
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

/// Reads and checks a file. A wrong file is a report of every error.
fn load(
    path: &PathBuf,
    cell: &str,
    output: Output,
) -> Result<std::result::Result<(String, Config), Report>> {
    let text = std::fs::read_to_string(path).map_err(|err| {
        Error::new(
            ErrorKind::File,
            format!("{} can't be read: {err}", path.display()),
            "check its name",
        )
    })?;
    let shown = path.display();
    let config = match Config::parse(&text) {
        Ok(config) => config,
        Err(errors) => {
            let text = match output {
                Output::Json => json(&errors),
                Output::Text => errors
                    .iter()
                    .map(|error| format!("{shown}: {error}\n"))
                    .collect(),
            };
            return Ok(Err(Report { text, code: WRONG }));
        }
    };
    if config.cell != cell {
        let text = format!(
            "{shown}: cell: is {:?}, not {cell:?}; correct the file or \
             --cell\n",
            config.cell
        );
        return Ok(Err(Report { text, code: WRONG }));
    }
    Ok(Ok((text, config)))
}

fn json<T: Serialize>(value: &T) -> String {
    let mut text = serde_json::to_string(value).unwrap_or_default();
    text.push('\n');
    text
}

/// How an apply ended.
#[derive(Debug, Serialize)]
struct Applied<'a> {
    applied: bool,
    revision: Revision,
    changes: &'a Changes,
}

pub(super) async fn plan(args: PlanArgs, output: Output) -> Result<Report> {
    let new = match load(&args.file, &args.cell.cell, output)? {
        Ok((_, config)) => config,
        Err(report) => return Ok(report),
    };
    let current = current(&args.cell.open()).await?;
    let old = current.config.as_ref();
    let changes = Changes::between(old.map(|(_, _, config)| config), &new);
    let revision = old.map_or(0, |(revision, _, _)| *revision);
    let text = match output {
        Output::Json => {
            json(&Applied { applied: false, revision, changes: &changes })
        }
        Output::Text => {
            format!("against revision {revision}:\n{}", changes.lines())
        }
    };
    Ok(Report { text, code: DONE })
}

pub(super) async fn apply(args: ApplyArgs, output: Output) -> Result<Report> {
    let (text, new) = match load(&args.file, &args.cell.cell, output)? {
        Ok(loaded) => loaded,
        Err(report) => return Ok(report),
    };
    let platform = args.cell.open();
    let before = current(&platform).await?;
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
            return lost(&platform, &before, expect, output).await;
        }
        WriteResult::Unknown => {
            match settle(&platform, &text, expect).await? {
                Some(revision) => revision,
                None => return lost(&platform, &before, expect, output).await,
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
        Output::Json => {
            json(&Applied { applied: true, revision, changes: &changes })
        }
        Output::Text => {
            format!("{}applied as revision {revision}\n", changes.lines())
        }
    };
    Ok(Report { text, code: DONE })
}

/// The answer to the write was lost, so its end is read back. `None` means
/// that another file is in force.
async fn settle(
    platform: &Platform,
    text: &str,
    expect: Revision,
) -> Result<Option<Revision>> {
    let mut tries = 0;
    loop {
        tries += 1;
        match current(platform).await {
            Ok(Current { config: Some((revision, found, _)), .. }) => {
                let ours = found == text && revision > expect;
                return Ok(ours.then_some(revision));
            }
            Ok(Current { config: None, .. }) => return Ok(None),
            Err(err) if tries >= SETTLE_TRIES => return Err(err),
            Err(_) => actix_rt::time::sleep(SETTLE_WAIT).await,
        }
    }
}

/// How often the end of a write is looked up, and the time between.
const SETTLE_TRIES: u32 = 20;
const SETTLE_WAIT: std::time::Duration = std::time::Duration::from_millis(500);

/// Another file came into force first: says which, and what it changed.
async fn lost(
    platform: &Platform,
    before: &Current,
    expect: Revision,
    output: Output,
) -> Result<Report> {
    let after = current(platform).await?;
    let now = after.config.as_ref();
    let revision = now.map_or(0, |(revision, _, _)| *revision);
    let old = before.config.as_ref().map(|(_, _, config)| config);
    let changes = match now {
        Some((_, _, config)) => Changes::between(old, config),
        None => Changes::default(),
    };
    let text = match output {
        Output::Json => {
            json(&Applied { applied: false, revision, changes: &changes })
        }
        Output::Text => format!(
            "not applied: revision {revision} is in force, not {expect}; \
             it changed:\n{}look at it and apply again\n",
            changes.lines()
        ),
    };
    Ok(Report { text, code: LOST })
}
