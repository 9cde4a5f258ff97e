//! VMs of a stand-in site: their settings, and the daemons that run on them.

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
use cuminpick_platform::platform_side::encode_settings;
use cuminpick_platform::settings::NodeSettings;
use cuminpick_platform::settings::RuleBounds;

/// Bounds of the site files of the first milestone, with a shorter grace.
const BOUNDS: RuleBounds = RuleBounds {
    grace: Duration::from_secs(6),
    retry_ratio: 0.2,
    retry_window: Duration::from_secs(10),
    retry_slack: 90.0,
    stall: Duration::from_millis(1_500),
};
/// Interval at which engines renew their records, as in the site files.
const RECORD_INTERVAL: Duration = Duration::from_millis(1_200);
/// Link of a VM that callers reach, in bits per second, as in the site files.
const GATEWAY_LINK: f64 = 1e9;
/// Ports of a gateway for callers, readiness and messages, below those that the kernel
/// hands out. Ports that were tried and found free can be taken again: a process that
/// is started at that moment holds the sockets of the trial for a while.
const GATEWAY_PORTS: [u16; 3] = [20_001, 20_002, 20_003];
/// Link of a VM beside an engine.
const ENGINE_LINK: f64 = 2e7;

/// Settings of a gateway's VM at `ip`, which no other gateway uses.
pub fn gateway_settings(node: &str, zone: &str, ip: IpAddr, store: SocketAddr) -> NodeSettings {
    let [callers, readiness, internal] = GATEWAY_PORTS;
    NodeSettings {
        callers: Some(SocketAddr::new(ip, callers)),
        readiness: Some(SocketAddr::new(ip, readiness)),
        link_bits_per_second: GATEWAY_LINK,
        ..bare_settings(node, zone, ip, (internal, internal), store)
    }
}

/// Settings of a VM beside an engine of `service`; `port` and the next one are
/// for messages between agents, the same for all agents of a site.
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
        link_bits_per_second: ENGINE_LINK,
        ..bare_settings(node, "zone-0", ip, (port, port + 1), store)
    }
}

fn bare_settings(
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
        bounds: BOUNDS,
        record_interval: RECORD_INTERVAL,
        link_bits_per_second: ENGINE_LINK,
        zones: FastMap::default(),
    }
}

/// A daemon that runs on a VM; it is killed when this is dropped.
pub struct NodeProcess {
    child: Child,
    log: PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended by itself already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    /// Starts `binary` with `settings`; its files lie in `folder`, its log is
    /// continued if there is one.
    pub fn start(
        binary: &Path,
        settings: &NodeSettings,
        folder: &Path,
    ) -> std::io::Result<NodeProcess> {
        std::fs::create_dir_all(folder)?;
        let file = folder.join(format!("{}.toml", settings.node));
        std::fs::write(&file, encode_settings(settings))?;
        let log = folder.join(format!("{}.jsonl", settings.node));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(output)
            .spawn()?;
        Ok(NodeProcess { child, log })
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) -> std::io::Result<()> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(format!("-{name}")).arg(id).status()?;
        if sent.success() { Ok(()) } else { Err(std::io::Error::other("no such process")) }
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> std::io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Text of the log as far as it is written.
    pub fn read_log(&self) -> std::io::Result<String> {
        std::fs::read_to_string(&self.log)
    }

    /// Resident memory in MB.
    pub fn resident_mb(&self) -> std::io::Result<f64> {
        resident_mb(self.child.id())
    }
}

/// Returns the resident memory of a process in MB.
pub fn resident_mb(process: u32) -> std::io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes
        .map(|kilobytes| kilobytes / 1_024.0)
        .ok_or_else(|| std::io::Error::other("the process states no resident memory"))
}
