//! VMs of a stand-in site: the settings of each VM, and the daemon process that runs with them.

use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::ids::ServiceName;
use cuminpick::return_load::StoreRates;
use cuminpick_platform::platform_side::encode_settings;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::settings::RuleBounds;

/// Rule bounds of the first site files, with a shorter grace period.
const RULE_BOUNDS: RuleBounds = RuleBounds {
    grace: Duration::from_secs(6),
    drain: Duration::from_secs(2),
    config_apply: Duration::from_secs(2),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    retry_slack: 90.0,
    stall: Duration::from_millis(1_500),
};
/// Rate limits of the store, as in the first site files.
const STORE_RATES: StoreRates = StoreRates { reads: 2_000.0, writes: 400.0 };
/// Interval at which engines renew their records, as in the site files.
const RECORD_INTERVAL: Duration = Duration::from_millis(1_200);
/// Bandwidth of the network link of a gateway's VM, as in the site files.
const GATEWAY_LINK_BITS_PER_SECOND: f64 = 1e9;
/// Ports of a gateway for callers, readiness checks and internal messages, below the range
/// that the kernel assigns. They are fixed because a port that was probed and found free
/// can be taken again: a process that is spawned during the probe inherits its socket and
/// holds it for a while.
const GATEWAY_PORTS: [u16; 3] = [20_001, 20_002, 20_003];
/// Bandwidth of the network link of a VM with an engine.
const ENGINE_LINK_BITS_PER_SECOND: f64 = 2e7;

/// Returns the settings of a gateway's VM at `ip`, which no other gateway may use.
pub fn gateway_settings(node: &str, zone: &str, ip: IpAddr, store: SocketAddr) -> NodeSettings {
    let [callers, readiness, internal] = GATEWAY_PORTS;
    NodeSettings {
        callers: Some(SocketAddr::new(ip, callers)),
        readiness: Some(SocketAddr::new(ip, readiness)),
        link_bits_per_second: GATEWAY_LINK_BITS_PER_SECOND,
        ..common_settings(node, zone, ip, (internal, internal), store)
    }
}

/// Returns the settings of a rank agent's VM with a local engine, given by its service and
/// address. `port` and the next one carry messages between agents and are the same for all
/// agents of a site.
pub fn agent_settings(
    node: &str,
    ip: IpAddr,
    port: u16,
    engine: (ServiceName, SocketAddr),
    store: SocketAddr,
) -> NodeSettings {
    NodeSettings {
        local_service: Some(engine.0),
        local_engine: Some(engine.1),
        link_bits_per_second: ENGINE_LINK_BITS_PER_SECOND,
        ..common_settings(node, "zone-0", ip, (port, port + 1), store)
    }
}

/// Returns the settings that gateways and agents share.
fn common_settings(
    node: &str,
    zone: &str,
    ip: IpAddr,
    internal_ports: (u16, u16),
    store: SocketAddr,
) -> NodeSettings {
    NodeSettings {
        node: node.to_string(),
        zone: zone.to_string(),
        ip,
        first_internal_port: internal_ports.0,
        last_internal_port: internal_ports.1,
        callers: None,
        readiness: None,
        local_engine: None,
        local_service: None,
        store,
        store_rates: STORE_RATES,
        bounds: RULE_BOUNDS,
        record_interval: RECORD_INTERVAL,
        link_bits_per_second: ENGINE_LINK_BITS_PER_SECOND,
        zones: FastMap::default(),
    }
}

/// Daemon process of a VM; it is killed when the value is dropped.
pub struct NodeProcess {
    child: Child,
    log_path: PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Errors are expected if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts `binary` with `settings`. The settings file and the log are in `directory`; an
    /// existing log is appended to.
    pub fn start(
        binary: &Path,
        settings: &NodeSettings,
        directory: &Path,
    ) -> std::io::Result<NodeProcess> {
        std::fs::create_dir_all(directory)?;
        let settings_path = directory.join(format!("{}.toml", settings.node));
        std::fs::write(&settings_path, encode_settings(settings))?;
        let log_path = directory.join(format!("{}.jsonl", settings.node));
        let output = File::options().create(true).append(true).open(&log_path)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&settings_path)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()?;
        Ok(NodeProcess { child, log_path })
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(pid).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(std::io::Error::other("cannot send the signal: no such process"))
        }
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> std::io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Reads the log written so far.
    pub fn read_log(&self) -> std::io::Result<String> {
        std::fs::read_to_string(&self.log_path)
    }

    /// Returns the resident memory in MB.
    pub fn resident_mb(&self) -> std::io::Result<f64> {
        resident_mb(self.child.id())
    }

    /// Returns the most resident memory until now, in MB.
    pub fn peak_mb(&self) -> std::io::Result<f64> {
        memory_mb(self.child.id(), "VmHWM:")
    }
}

/// Returns the resident memory of the process with id `pid`, in MB; fails if `/proc` has no
/// such process or states no `VmRSS` for it.
pub fn resident_mb(pid: u32) -> std::io::Result<f64> {
    memory_mb(pid, "VmRSS:")
}

/// Reads a line of a process's status in `/proc` that states memory.
fn memory_mb(pid: u32, name: &str) -> std::io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with(name));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes
        .map(|kilobytes| kilobytes / 1_024.0)
        .ok_or_else(|| std::io::Error::other(format!("/proc has no {name} line for the process")))
}
