/*!
The operators' file: what it may say, and the check of the whole.

A file is read and checked as one thing. Every error is reported, each with
the key it is about and the remedy, and a file with any error changes
nothing.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, DcName, Millis, TargetId};

/// An amount of what a worker has.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Whether `need` fits into this.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// The sum.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left without `other`; never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The lesser of each.
    pub fn component_min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// This amount `n` times.
    pub fn times(&self, n: u32) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

/// Whether a call or task may be run again when it is not known to have run.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run again.
    #[default]
    Allowed,
    /// It runs at most once.
    Never,
}

/// How calls of a class wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// A free slot now, or a refusal at once.
    Immediate,
    /// Calls may wait in a bounded queue, earliest deadline first and
    /// fairly between callers.
    Waiting,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How its calls wait.
    pub kind: ClassKind,
    /// Whether its calls may be run again.
    #[serde(default)]
    pub repeat: Repeat,
    /// The longest deadline of a call, and the one it has if it names none,
    /// in milliseconds.
    pub deadline_ms: Millis,
    /// Whether a call may run in another data centre.
    #[serde(default)]
    pub other_data_centres: bool,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Its name.
    pub name: CallerId,
    /// The data centre that is home to its keys.
    pub data_centre: DcName,
    /// The SHA-256 of its token, in hexadecimal.
    pub token_sha256: String,
    /// The classes it may use.
    pub classes: Vec<String>,
    /// The largest part of the slots its immediate calls may hold at once,
    /// in percent.
    #[serde(default = "default_share")]
    pub share_percent: u32,
    /// The number of its calls that may wait in each queue.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_share() -> u32 {
    50
}

fn default_queue() -> usize {
    200
}

/// A team and what its tasks may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The most that its tasks may hold in one data centre.
    pub quota: Resources,
}

/// What comes first when there is not room for all.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Runs when there is room, and is stopped to make room.
    #[default]
    Batch,
    /// Runs before batch work.
    Service,
    /// Runs before all else.
    Urgent,
}

/// A job: a service that is kept running or batch work that ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// Where it runs.
    pub data_centre: DcName,
    /// The number of its tasks.
    pub tasks: u32,
    /// What each task needs.
    pub need: Resources,
    /// What comes first. Services have `service` if they name none.
    pub priority: Option<Priority>,
    /// Whether a task may be run again.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether a task can be checkpointed before it is stopped.
    #[serde(default)]
    pub checkpoint: bool,
    /// How long a batch task runs, in milliseconds, as far as is known.
    #[serde(default)]
    pub run_ms: Millis,
    /// `false` only watches the job: the old scripts run it, and its tasks
    /// are shown by `plan` and `status` but never started.
    #[serde(default = "yes")]
    pub enabled: bool,
}

fn yes() -> bool {
    true
}

/// What is left to the old scripts.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Room {
    /// On each worker that has no entry of its own.
    #[serde(default)]
    pub default: Resources,
    /// On single workers.
    #[serde(default)]
    pub worker: BTreeMap<TargetId, Resources>,
}

impl Room {
    /// What is left to the old scripts on this worker.
    pub fn reserved_on(&self, worker: &TargetId) -> Resources {
        self.worker.get(worker).copied().unwrap_or(self.default)
    }
}

/// How the system decides.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The most slots kept free for immediate calls, in percent. How many
    /// are kept follows from how many such calls come.
    pub reserve_percent: u32,
    /// The slots kept free in each call contract even if no immediate call
    /// has come lately.
    pub reserve_least: u32,
    /// Retries may make up this part of first tries, in percent.
    pub retry_percent: u32,
    /// The number of calls that may wait in each queue, over all callers.
    pub queue: usize,
    /// The largest body of a call and of its answer, in bytes.
    pub body_bytes: usize,
    /// How long a worker runs its tasks without word from the holder, in
    /// milliseconds.
    pub task_lease_ms: Millis,
    /// How often one batch task may be stopped to make room.
    pub max_preemptions: u32,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            reserve_percent: 60,
            reserve_least: 1,
            retry_percent: 20,
            queue: 1_000,
            body_bytes: 65_536,
            task_lease_ms: 10_000,
            max_preemptions: 3,
        }
    }
}

/// A file that passed the check.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The cell the file is for.
    pub cell: String,
    /// The data centres.
    #[serde(default)]
    pub data_centres: Vec<DcName>,
    /// The classes of calls.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// The callers.
    #[serde(default, rename = "caller")]
    pub callers: Vec<Caller>,
    /// The teams.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
    /// The services.
    #[serde(default, rename = "service")]
    pub services: Vec<Job>,
    /// The batch work.
    #[serde(default, rename = "batch")]
    pub batch: Vec<Job>,
    /// How the system decides.
    #[serde(default)]
    pub policy: Policy,
    /// What is left to the old scripts.
    #[serde(default)]
    pub room: Room,
}

impl Config {
    /// The largest file, in bytes. The platform holds values of up to 1 MB.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Reads a file and checks the whole of it.
    ///
    /// # Errors
    ///
    /// Every error that was found, each with its key and remedy.
    pub fn parse(text: &str) -> Result<Config, ConfigErrors> {
        if text.len() > Config::MAX_BYTES {
            return Err(ConfigErrors::one(
                "(file)",
                format!("is {} bytes long", text.len()),
                format!("keep it under {} bytes", Config::MAX_BYTES),
            ));
        }
        let config: Config = toml::from_str(text).map_err(|err| {
            let start = err.span().map_or(0, |span| span.start);
            let before = &text.as_bytes()[..start.min(text.len())];
            let line = 1 + before.iter().filter(|b| **b == b'\n').count();
            ConfigErrors::one(
                &format!("line {line}"),
                err.message().to_string(),
                "write it as docs/REFERENCE.md shows".to_string(),
            )
        })?;
        let errors = Checker::new(&config).run();
        if errors.is_empty() {
            Ok(config)
        } else {
            Err(ConfigErrors { errors })
        }
    }

    /// The class with this name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The caller with this name.
    pub fn caller(&self, name: &CallerId) -> Option<&Caller> {
        self.callers.iter().find(|caller| caller.name == *name)
    }

    /// Every job with whether it is a service.
    pub fn jobs(&self) -> impl Iterator<Item = (&Job, bool)> {
        let services = self.services.iter().map(|job| (job, true));
        services.chain(self.batch.iter().map(|job| (job, false)))
    }
}

impl Job {
    /// What comes first, with the default for services and batch work.
    pub fn priority(&self, service: bool) -> Priority {
        self.priority.unwrap_or(if service {
            Priority::Service
        } else {
            Priority::Batch
        })
    }
}

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigError {
    /// The key, as in `class.vent-check.kind`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.key, self.problem, self.remedy)
    }
}

/// Everything that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    fn one(key: &str, problem: String, remedy: String) -> ConfigErrors {
        let key = key.to_string();
        ConfigErrors { errors: vec![ConfigError { key, problem, remedy }] }
    }

    /// The single errors, in the order of the file's parts.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.errors.iter()
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.errors.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// The check of one file.
struct Checker<'a> {
    config: &'a Config,
    errors: Vec<ConfigError>,
}

impl<'a> Checker<'a> {
    fn new(config: &'a Config) -> Checker<'a> {
        Checker { config, errors: Vec::new() }
    }

    fn run(mut self) -> Vec<ConfigError> {
        self.top();
        self.names();
        self.classes();
        self.callers();
        self.jobs();
        self.policy();
        self.errors
    }

    fn error(&mut self, key: String, problem: &str, remedy: &str) {
        let problem = problem.to_string();
        let remedy = remedy.to_string();
        self.errors.push(ConfigError { key, problem, remedy });
    }

    fn top(&mut self) {
        if self.config.cell.is_empty() {
            self.error("cell".into(), "is empty", "name the cell");
        }
        if self.config.data_centres.is_empty() {
            self.error(
                "data_centres".into(),
                "names no data centre",
                "list at least one, as in data_centres = [\"goya\"]",
            );
        }
    }

    fn names(&mut self) {
        let config = self.config;
        let dcs = config.data_centres.iter().map(|dc| dc.as_str());
        self.unique("data_centres", dcs);
        let classes = config.classes.iter().map(|c| c.name.as_str());
        self.unique("class", classes);
        let callers = config.callers.iter().map(|c| c.name.as_str());
        self.unique("caller", callers);
        self.unique("team", config.teams.iter().map(|t| t.name.as_str()));
        let jobs = config.jobs().map(|(job, _)| job.name.as_str());
        self.unique("service or batch", jobs);
    }

    fn unique<'b>(&mut self, key: &str, names: impl Iterator<Item = &'b str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            if !is_name(name) {
                self.error(
                    format!("{key}.{name}"),
                    "is not a name",
                    "use 1 to 63 letters, digits, dots, dashes or \
                     underscores",
                );
            }
            if !seen.insert(name) {
                self.error(
                    format!("{key}.{name}"),
                    "is there twice",
                    "rename or remove one",
                );
            }
        }
    }

    fn classes(&mut self) {
        for class in &self.config.classes {
            let key = format!("class.{}", class.name);
            if !(1..=86_400_000).contains(&class.deadline_ms) {
                self.error(
                    format!("{key}.deadline_ms"),
                    "is out of range",
                    "choose 1 to 86400000 (a day)",
                );
            }
            if class.repeat == Repeat::Never && class.other_data_centres {
                self.error(
                    format!("{key}.other_data_centres"),
                    "clashes with repeat = \"never\"",
                    "a key has one home data centre: leave it out",
                );
            }
        }
    }

    fn callers(&mut self) {
        for caller in &self.config.callers {
            let key = format!("caller.{}", caller.name);
            self.dc(&key, &caller.data_centre);
            let token = &caller.token_sha256;
            let hex = token.bytes().all(|b| b.is_ascii_hexdigit());
            if token.len() != 64 || !hex {
                self.error(
                    format!("{key}.token_sha256"),
                    "is not a SHA-256 in hexadecimal",
                    "write the output of `printf %s TOKEN | sha256sum`",
                );
            }
            for class in &caller.classes {
                if self.config.class(class).is_none() {
                    self.error(
                        format!("{key}.classes"),
                        &format!("names {class:?}, which is no class"),
                        "add the [[class]] or remove the name",
                    );
                }
            }
            if !(1..=100).contains(&caller.share_percent) {
                self.error(
                    format!("{key}.share_percent"),
                    "is out of range",
                    "choose 1 to 100",
                );
            }
        }
    }

    fn dc(&mut self, key: &str, dc: &DcName) {
        if !self.config.data_centres.contains(dc) {
            self.error(
                format!("{key}.data_centre"),
                &format!("names {:?}, which is not listed", dc.as_str()),
                "add it to data_centres or correct the name",
            );
        }
    }

    fn jobs(&mut self) {
        for (job, service) in self.config.jobs() {
            let kind = if service { "service" } else { "batch" };
            let key = format!("{kind}.{}", job.name);
            self.dc(&key, &job.data_centre);
            self.quota(&key, job);
            if !(1..=100_000).contains(&job.tasks) {
                self.error(
                    format!("{key}.tasks"),
                    "is out of range",
                    "choose 1 to 100000",
                );
            }
            if job.need == Resources::default() {
                self.error(
                    format!("{key}.need"),
                    "is nothing",
                    "give cpu_millis, memory_mb or accelerators",
                );
            }
            if service && job.repeat == Repeat::Never {
                self.error(
                    format!("{key}.repeat"),
                    "is \"never\", but a service is kept running",
                    "make it a [[batch]] or leave repeat out",
                );
            }
        }
    }

    fn quota(&mut self, key: &str, job: &Job) {
        let teams = &self.config.teams;
        match teams.iter().find(|team| team.name == job.team) {
            None => self.error(
                format!("{key}.team"),
                &format!("names {:?}, which is no team", job.team),
                "add the [[team]] or correct the name",
            ),
            Some(team) if !team.quota.fits(&job.need) => self.error(
                format!("{key}.need"),
                "is more than the whole quota of the team",
                "lower the need or raise the quota",
            ),
            Some(_) => {}
        }
    }

    fn policy(&mut self) {
        let policy = &self.config.policy;
        self.range("reserve_percent", policy.reserve_percent.into(), 0, 100);
        self.range("retry_percent", policy.retry_percent.into(), 0, 100);
        self.range("queue", policy.queue as u64, 0, 1_000_000);
        self.range("body_bytes", policy.body_bytes as u64, 1, 1 << 24);
        self.range("task_lease_ms", policy.task_lease_ms, 1_000, 600_000);
    }

    fn range(&mut self, key: &str, value: u64, low: u64, high: u64) {
        if !(low..=high).contains(&value) {
            self.error(
                format!("policy.{key}"),
                "is out of range",
                &format!("choose {low} to {high}"),
            );
        }
    }
}

/// Whether a name can stand in paths, headers and listings as it is.
fn is_name(s: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=63).contains(&s.len()) && s.bytes().all(plain)
}
