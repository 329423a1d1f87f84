/*!
The operators' file: its format, and the validation of it.

A file is parsed and checked as a whole. All errors are reported, each with
the key that it concerns and a remedy, and a file with any error is not
applied.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, DcName, Millis, TargetId};

/// Amounts of the resources of a worker.
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
    /// CPU time, in thousandths of a core.
    #[serde(default)]
    pub cpu_millis: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// The number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// Whether `need` fits into these resources.
    pub fn fits(&self, need: &Resources) -> bool {
        need.cpu_millis <= self.cpu_millis
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// The sum of each resource.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of each resource, at least zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The minimum of each resource.
    pub fn component_min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// The maximum of each resource.
    pub fn component_max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Each resource, multiplied by `n`.
    pub fn times(&self, n: u32) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
            accelerators: self.accelerators.saturating_mul(n),
        }
    }
}

/// Whether a call or task may run again when it is unknown whether it ran.
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

/// Whether calls of a class may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// A call gets a free slot at once or is refused.
    Immediate,
    /// Calls may wait in a bounded queue, which is ordered by deadline and
    /// shared fairly between callers.
    Waiting,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Whether its calls may wait.
    pub kind: ClassKind,
    /// Whether its calls may run again.
    #[serde(default)]
    pub repeat: Repeat,
    /// The longest deadline that a call may set, and the default, in
    /// milliseconds.
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
    /// The home data centre of its idempotency keys.
    pub data_centre: DcName,
    /// The SHA-256 hash of its token, in hexadecimal.
    pub token_sha256: String,
    /// The names of the classes that it may use.
    pub classes: Vec<String>,
    /// The largest part of the slots that its immediate calls may occupy at
    /// once, in percent.
    #[serde(default = "default_share")]
    pub share_percent: u32,
    /// The maximum number of its calls that wait in each queue.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_share() -> u32 {
    50
}

fn default_queue() -> usize {
    200
}

/// A team, and the resources that its tasks may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// The most resources that its tasks may use in one data centre.
    pub quota: Resources,
}

/// The priority of a job when capacity does not suffice for all.
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
    /// Runs when capacity is free, and may be preempted.
    #[default]
    Batch,
    /// Placed before batch jobs.
    Service,
    /// Placed before all other jobs.
    Urgent,
}

/// A job: either a service, which is kept running, or a batch job, which ends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Its name.
    pub name: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// The data centre in which it runs.
    pub data_centre: DcName,
    /// The number of its tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub need: Resources,
    /// The priority. The default is `service` for services and `batch` for
    /// batch jobs.
    pub priority: Option<Priority>,
    /// Whether a task may run again.
    #[serde(default)]
    pub repeat: Repeat,
    /// Whether a task can be checkpointed before it is stopped.
    #[serde(default)]
    pub checkpoint: bool,
    /// The expected run time of a batch task, in milliseconds; zero if
    /// unknown.
    #[serde(default)]
    pub run_ms: Millis,
    /// Whether the scheduler runs the job. If `false`, legacy scripts run it:
    /// `plan` and `status` show its tasks, but they are never started.
    #[serde(default = "yes")]
    pub enabled: bool,
}

fn yes() -> bool {
    true
}

/// The resources of workers that are reserved for legacy scripts, which run
/// work there outside the scheduler's control.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Room {
    /// Reserved on each worker that has no entry in `worker`.
    #[serde(default)]
    pub default: Resources,
    /// Reserved on single workers.
    #[serde(default)]
    pub worker: BTreeMap<TargetId, Resources>,
}

impl Room {
    /// The resources reserved on this worker.
    pub fn reserved_on(&self, worker: &TargetId) -> Resources {
        self.worker.get(worker).copied().unwrap_or(self.default)
    }
}

/// Settings of how the system schedules calls and tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The largest part of the slots that is reserved for immediate calls, in
    /// percent. The number reserved depends on the rate of such calls.
    pub reserve_percent: u32,
    /// The number of slots reserved in each call contract even if there were
    /// no immediate calls lately.
    pub reserve_least: u32,
    /// The maximum number of retries, in percent of first attempts.
    pub retry_percent: u32,
    /// The maximum number of calls of all callers that wait in each queue.
    pub queue: usize,
    /// The largest body of a call and of its reply, in bytes.
    pub body_bytes: usize,
    /// How long a worker runs its tasks without a lease renewal from the
    /// holder, in milliseconds.
    pub task_lease_ms: Millis,
    /// How often one batch task may be preempted.
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

/// The contents of a file that passed the validation.
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
    /// The batch jobs.
    #[serde(default, rename = "batch")]
    pub batch: Vec<Job>,
    /// Settings of how the system schedules calls and tasks.
    #[serde(default)]
    pub policy: Policy,
    /// The resources of workers that are reserved for legacy scripts.
    #[serde(default)]
    pub room: Room,
}

impl Config {
    /// The largest file, in bytes. The platform holds values of up to 1 MB.
    pub const MAX_BYTES: usize = 1_000_000;

    /// Parses and validates a file.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found, each with its key and a remedy.
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

    /// All jobs, each with whether it is a service.
    pub fn jobs(&self) -> impl Iterator<Item = (&Job, bool)> {
        let services = self.services.iter().map(|job| (job, true));
        services.chain(self.batch.iter().map(|job| (job, false)))
    }
}

impl Job {
    /// The priority, or the default for services or batch jobs.
    pub fn priority(&self, service: bool) -> Priority {
        self.priority.unwrap_or(if service {
            Priority::Service
        } else {
            Priority::Batch
        })
    }
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigError {
    /// The key, as in `class.vent-check.kind`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.key, self.problem, self.remedy)
    }
}

/// All errors in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    fn one(key: &str, problem: String, remedy: String) -> ConfigErrors {
        let key = key.to_string();
        ConfigErrors { errors: vec![ConfigError { key, problem, remedy }] }
    }

    /// The errors, in the order of the checks.
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

/// The validation of one file.
struct Checker<'a> {
    config: &'a Config,
    errors: Vec<ConfigError>,
}

impl<'a> Checker<'a> {
    fn new(config: &'a Config) -> Checker<'a> {
        Checker { config, errors: Vec::new() }
    }

    fn run(mut self) -> Vec<ConfigError> {
        self.check_cell();
        self.check_names();
        self.check_classes();
        self.check_callers();
        self.check_jobs();
        self.check_policy();
        self.errors
    }

    fn add_error(&mut self, key: String, problem: &str, remedy: &str) {
        let problem = problem.to_string();
        let remedy = remedy.to_string();
        self.errors.push(ConfigError { key, problem, remedy });
    }

    fn check_cell(&mut self) {
        if self.config.cell.is_empty() {
            self.add_error("cell".into(), "is empty", "name the cell");
        }
        if self.config.data_centres.is_empty() {
            self.add_error(
                "data_centres".into(),
                "lists no data centre",
                "list at least one, as in data_centres = [\"goya\"]",
            );
        }
    }

    fn check_names(&mut self) {
        let config = self.config;
        let dcs = config.data_centres.iter().map(|dc| dc.as_str());
        self.check_unique("data_centres", dcs);
        let classes = config.classes.iter().map(|c| c.name.as_str());
        self.check_unique("class", classes);
        let callers = config.callers.iter().map(|c| c.name.as_str());
        self.check_unique("caller", callers);
        self.check_unique(
            "team",
            config.teams.iter().map(|t| t.name.as_str()),
        );
        let jobs = config.jobs().map(|(job, _)| job.name.as_str());
        self.check_unique("service or batch", jobs);
    }

    fn check_unique<'b>(
        &mut self,
        key: &str,
        names: impl Iterator<Item = &'b str>,
    ) {
        let mut seen = BTreeSet::new();
        for name in names {
            if !is_valid_name(name) {
                self.add_error(
                    format!("{key}.{name}"),
                    "is not a valid name",
                    "use 1 to 63 letters, digits, dots, dashes or \
                     underscores",
                );
            }
            if !seen.insert(name) {
                self.add_error(
                    format!("{key}.{name}"),
                    "is defined twice",
                    "rename or remove one",
                );
            }
        }
    }

    fn check_classes(&mut self) {
        for class in &self.config.classes {
            let key = format!("class.{}", class.name);
            if !(1..=86_400_000).contains(&class.deadline_ms) {
                self.add_error(
                    format!("{key}.deadline_ms"),
                    "is out of range",
                    "choose 1 to 86400000 (a day)",
                );
            }
            if class.repeat == Repeat::Never && class.other_data_centres {
                self.add_error(
                    format!("{key}.other_data_centres"),
                    "clashes with repeat = \"never\"",
                    "a key has one home data centre: leave it out",
                );
            }
        }
    }

    fn check_callers(&mut self) {
        for caller in &self.config.callers {
            let key = format!("caller.{}", caller.name);
            self.check_dc(&key, &caller.data_centre);
            let token = &caller.token_sha256;
            let hex = token.bytes().all(|b| b.is_ascii_hexdigit());
            if token.len() != 64 || !hex {
                self.add_error(
                    format!("{key}.token_sha256"),
                    "is not a SHA-256 in hexadecimal",
                    "write the output of `printf %s TOKEN | sha256sum`",
                );
            }
            for class in &caller.classes {
                if self.config.class(class).is_none() {
                    self.add_error(
                        format!("{key}.classes"),
                        &format!("names {class:?}, which is no class"),
                        "add the [[class]] or remove the name",
                    );
                }
            }
            if !(1..=100).contains(&caller.share_percent) {
                self.add_error(
                    format!("{key}.share_percent"),
                    "is out of range",
                    "choose 1 to 100",
                );
            }
        }
    }

    fn check_dc(&mut self, key: &str, dc: &DcName) {
        if !self.config.data_centres.contains(dc) {
            self.add_error(
                format!("{key}.data_centre"),
                &format!("names {:?}, which is not listed", dc.as_str()),
                "add it to data_centres or correct the name",
            );
        }
    }

    fn check_jobs(&mut self) {
        for (job, service) in self.config.jobs() {
            let kind = if service { "service" } else { "batch" };
            let key = format!("{kind}.{}", job.name);
            self.check_dc(&key, &job.data_centre);
            self.check_quota(&key, job);
            if !(1..=100_000).contains(&job.tasks) {
                self.add_error(
                    format!("{key}.tasks"),
                    "is out of range",
                    "choose 1 to 100000",
                );
            }
            if job.need == Resources::default() {
                self.add_error(
                    format!("{key}.need"),
                    "asks for no resources",
                    "give cpu_millis, memory_mb or accelerators",
                );
            }
            if service && job.repeat == Repeat::Never {
                self.add_error(
                    format!("{key}.repeat"),
                    "is \"never\", but a service is kept running",
                    "make it a [[batch]] or leave repeat out",
                );
            }
        }
    }

    fn check_quota(&mut self, key: &str, job: &Job) {
        let teams = &self.config.teams;
        match teams.iter().find(|team| team.name == job.team) {
            None => self.add_error(
                format!("{key}.team"),
                &format!("names {:?}, which is no team", job.team),
                "add the [[team]] or correct the name",
            ),
            Some(team) if !team.quota.fits(&job.need) => self.add_error(
                format!("{key}.need"),
                "is more than the whole quota of the team",
                "lower the need or raise the quota",
            ),
            Some(_) => {}
        }
    }

    fn check_policy(&mut self) {
        let policy = &self.config.policy;
        self.check_range(
            "reserve_percent",
            policy.reserve_percent.into(),
            0,
            100,
        );
        self.check_range("retry_percent", policy.retry_percent.into(), 0, 100);
        self.check_range("queue", policy.queue as u64, 0, 1_000_000);
        self.check_range("body_bytes", policy.body_bytes as u64, 1, 1 << 24);
        self.check_range(
            "task_lease_ms",
            policy.task_lease_ms,
            1_000,
            600_000,
        );
    }

    fn check_range(&mut self, key: &str, value: u64, low: u64, high: u64) {
        if !(low..=high).contains(&value) {
            self.add_error(
                format!("policy.{key}"),
                "is out of range",
                &format!("choose {low} to {high}"),
            );
        }
    }
}

/// Whether a name can be used in paths, headers and listings without escaping.
fn is_valid_name(s: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    (1..=63).contains(&s.len()) && s.bytes().all(is_allowed)
}
