/*!
The settings of the daemon, from flags and environment variables.
*/

use std::net::{IpAddr, SocketAddr};

use clap::Parser;
use puffinknot_core::ids::{DcName, VmId};
use puffinknot_core::node::NodeConfig;

use crate::error::{Error, ErrorKind, Result};
use crate::resources::Resources;

/// The entry daemon of puffinknot.
///
/// Every setting is a flag or an environment variable; a flag takes
/// precedence.
#[derive(Clone, Debug, Parser)]
#[command(name = "puffinknotd", version, after_help = EXAMPLES)]
pub struct Settings {
    /// The cell; all VMs of one user and region belong to the same one.
    #[arg(long, env = "PUFFINKNOT_CELL")]
    pub cell: String,
    /// The data centre of this VM.
    #[arg(long, env = "PUFFINKNOT_DC")]
    pub dc: String,
    /// The name of this VM. A restarted daemon may use it again.
    #[arg(long, env = "PUFFINKNOT_VM")]
    pub vm: String,
    /// The address that callers connect to, as IP:PORT.
    #[arg(long, env = "PUFFINKNOT_LISTEN")]
    pub listen: SocketAddr,
    /// The address that other entry VMs connect to, as IP:PORT.
    #[arg(long, env = "PUFFINKNOT_LINK")]
    pub link: SocketAddr,
    /// The address that operators connect to, as IP:PORT.
    #[arg(long, env = "PUFFINKNOT_ADMIN")]
    pub admin: SocketAddr,
    /// The platform's key-value service, as http://IP:PORT.
    #[arg(long, env = "PUFFINKNOT_PLATFORM")]
    pub platform: String,
    /// The VM list, as http://IP:PORT/PATH.
    #[arg(long, env = "PUFFINKNOT_VM_LIST")]
    pub vm_list: String,
    /// The link address of another entry VM, as IP:PORT, for a start while
    /// the platform is down. May be given several times.
    #[arg(long = "peer", env = "PUFFINKNOT_PEERS", value_delimiter = ',')]
    pub peers: Vec<SocketAddr>,
    /// The secret that all VMs of the cell and its operators share.
    #[arg(long, env = "PUFFINKNOT_SECRET", hide_env_values = true)]
    pub secret: String,
    /// The number of call contracts of the data centre. Used only by the
    /// first VM that ever starts in it.
    #[arg(long, env = "PUFFINKNOT_CALL_SCOPES", default_value_t = 1)]
    pub call_scopes: u16,
    /// The duration of this VM's lease from the platform, in seconds.
    #[arg(long, env = "PUFFINKNOT_TTL", default_value_t = 3)]
    pub ttl: u64,
    /// The number of threads that serve callers.
    #[arg(long, env = "PUFFINKNOT_THREADS", default_value_t = 2)]
    pub threads: usize,
    /// The maximum number of calls in progress.
    #[arg(long, env = "PUFFINKNOT_MAX_CALLS", default_value_t = 10_000)]
    pub max_calls: usize,
    /// The memory that the daemon may use, in MiB. Limits what callers have
    /// open and what their requests buffer.
    #[arg(long, env = "PUFFINKNOT_MEMORY_MB", default_value_t = 1_024)]
    pub memory_mb: usize,
    /// The number of descriptors that the daemon may open. Limits what callers
    /// and other entry VMs have open.
    #[arg(long, env = "PUFFINKNOT_MAX_FDS", default_value_t = 16_384)]
    pub max_fds: usize,
    /// How long a planned shutdown waits for the load balancer to notice it,
    /// in milliseconds.
    #[arg(long, env = "PUFFINKNOT_DRAIN_MS", default_value_t = 1_000)]
    pub drain_ms: u64,
    /// The address that metrics are sent to, as IP:PORT, by the StatsD
    /// protocol over UDP.
    #[arg(long, env = "PUFFINKNOT_STATSD")]
    pub statsd: Option<SocketAddr>,
    /// The least severe log level that is logged: error, warn, info or debug.
    #[arg(long, env = "PUFFINKNOT_LOG", default_value = "info")]
    pub log: log::LevelFilter,
    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}

const EXAMPLES: &str = "\
Example:
  PUFFINKNOT_SECRET=... puffinknotd --cell litoral --dc goya --vm goya-1 \\
    --listen 10.1.0.1:8080 --link 10.1.0.1:8081 --admin 10.1.0.1:8082 \\
    --platform http://10.0.0.5:2379 --vm-list http://10.0.0.5:9000/vms

Signals: SIGTERM and SIGINT start a planned shutdown; a second one has no
effect.
Exit codes: 0 stopped as planned, 1 failed, 2 invalid settings.";

impl Settings {
    /// Checks what the types of the flags can't express.
    ///
    /// # Errors
    ///
    /// The first invalid setting, with its remedy.
    pub fn validate(&self) -> Result<()> {
        check_name("--cell", &self.cell)?;
        check_name("--dc", &self.dc)?;
        check_name("--vm", &self.vm)?;
        check_url("--platform", &self.platform)?;
        check_url("--vm-list", &self.vm_list)?;
        if self.secret.len() < MIN_SECRET_BYTES {
            let problem = "--secret is too short";
            let remedy = format!("use at least {MIN_SECRET_BYTES} characters");
            return Err(Error::new(ErrorKind::Setting, problem, remedy));
        }
        check_range("--ttl", self.ttl, 1, 60)?;
        check_range("--threads", self.threads as u64, 1, 64)?;
        check_range("--call-scopes", self.call_scopes.into(), 1, 64)?;
        check_range("--max-calls", self.max_calls as u64, 1, 1_000_000)?;
        check_range("--memory-mb", self.memory_mb as u64, 16, 1 << 20)?;
        check_range("--max-fds", self.max_fds as u64, 256, 1 << 20)?;
        Ok(())
    }

    /// The IP address that this VM connects from.
    pub fn ip(&self) -> IpAddr {
        self.link.ip()
    }

    /// What the daemon may use.
    pub fn resources(&self) -> Resources {
        Resources {
            memory_bytes: self.memory_mb << 20,
            descriptors: self.max_fds,
        }
    }

    /// The settings of the core, for the incarnation of this VM with this
    /// suffix.
    pub fn node_config(&self, incarnation: &str) -> NodeConfig {
        let vm = VmId(format!("{}.{incarnation}", self.vm));
        let mut config = NodeConfig::new(vm, DcName(self.dc.clone()));
        config.call_scopes = self.call_scopes;
        config.member_ttl = self.ttl * 1_000;
        config
    }
}

const MIN_SECRET_BYTES: usize = 8;

fn check_name(flag: &str, value: &str) -> Result<()> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_".contains(&b);
    if (1..=40).contains(&value.len()) && value.bytes().all(allowed) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Setting,
        format!("{flag} {value:?} is not a name"),
        "use 1 to 40 letters, digits, dashes or underscores",
    ))
}

fn check_url(flag: &str, value: &str) -> Result<()> {
    let rest = value.strip_prefix("http://");
    let host = rest.map(|r| r.split('/').next().unwrap_or_default());
    if host.is_some_and(|h| h.parse::<SocketAddr>().is_ok()) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Setting,
        format!("{flag} {value:?} is not usable"),
        "write it as http://IP:PORT",
    ))
}

fn check_range(flag: &str, value: u64, low: u64, high: u64) -> Result<()> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::Setting,
        format!("{flag} {value} is out of range"),
        format!("choose {low} to {high}"),
    ))
}
