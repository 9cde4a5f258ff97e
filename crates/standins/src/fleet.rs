//! Fleet of processes on loopback addresses: the daemons and stand-ins that drills start,
//! signal and stop.
//!
//! Processes are planned first, which assigns their addresses, and then started together.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cuminpick_objects::ObjectStore;
use cuminpick_objects::PlatformStore;
use cuminpick_objects::VmEntry;
use cuminpick_objects::VmState;
use cuminpick_platform::store::StoreClient;
use cuminpick_platform::store::VM_KIND;
use cuminpick_platform::store_era::EraTracker;
use eyre::WrapErr;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;

use crate::site::nodes::resident_mb;

/// Lowest port assigned to processes.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that may be assigned.
const PORT_COUNT: u16 = 10_000;
/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for a process to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);

type ChildProcesses = Arc<Mutex<BTreeMap<String, Child>>>;

/// Configuration of a backend server and its agent.
#[derive(Debug, Clone)]
pub struct ServerPlan {
    /// Id of the process.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Service that it runs.
    pub service: String,
    /// Kind of the stand-in: `engine` or `booking`.
    pub kind: &'static str,
    /// Command-line arguments of the stand-in.
    pub arguments: Vec<String>,
    /// Floor and ceiling of the agent's concurrency limit.
    pub limits: (u32, u32),
    /// Address of the stand-in server.
    pub backend_address: SocketAddr,
    /// Address at which the agent serves entries.
    pub peer_address: SocketAddr,
    /// Address at which the agent serves operators.
    pub admin_address: SocketAddr,
}

/// Configuration of an entry.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Id of the process.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address at which the entry serves callers.
    pub caller_address: SocketAddr,
    /// Address at which the entry serves its peers.
    pub peer_address: SocketAddr,
    /// Address at which the entry serves operators.
    pub admin_address: SocketAddr,
    /// Whether the entry records a trace.
    pub trace: bool,
}

/// Set of processes; all of them are killed when it is dropped.
pub struct Fleet {
    children: ChildProcesses,
    directory: PathBuf,
    binaries: PathBuf,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Planned entries.
    pub entries: Vec<EntryPlan>,
    /// Planned backend servers.
    pub servers: Vec<ServerPlan>,
}

impl Fleet {
    /// Starts the platform stand-in. The other processes have to be planned and started.
    pub fn start(name: &str) -> eyre::Result<Fleet> {
        let binaries =
            std::env::current_exe()?.parent().map(Path::to_path_buf).ok_or_else(|| {
                eyre!("cannot determine the directory of the drill runner's executable")
            })?;
        let directory =
            std::env::temp_dir().join(format!("cuminpick-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let children = ChildProcesses::default();
        stop_on_signals(Arc::clone(&children))?;
        let platform_address = free_address()?;
        let fleet = Fleet {
            children,
            directory,
            binaries,
            platform_address,
            entries: Vec::new(),
            servers: Vec::new(),
        };
        let listen = platform_address.to_string();
        fleet.spawn("platform", "standin", &["platform", "--listen", &listen])?;
        fleet.wait_until("platform", || {
            http_json("GET", &platform_address, "/standin/counters", None).is_ok()
        })?;
        Ok(fleet)
    }

    /// Adds an entry to the plan.
    pub fn plan_entry(&mut self, id: &str, zone: &str, trace: bool) -> eyre::Result<()> {
        self.entries.push(EntryPlan {
            id: id.to_string(),
            zone: zone.to_string(),
            caller_address: free_address()?,
            peer_address: free_address()?,
            admin_address: free_address()?,
            trace,
        });
        Ok(())
    }

    /// Adds a backend server to the plan.
    pub fn plan_server(
        &mut self,
        id: &str,
        zone: &str,
        service: &str,
        kind: &'static str,
        arguments: Vec<String>,
        limits: (u32, u32),
    ) -> eyre::Result<()> {
        self.servers.push(ServerPlan {
            id: id.to_string(),
            zone: zone.to_string(),
            service: service.to_string(),
            kind,
            arguments,
            limits,
            backend_address: free_address()?,
            peer_address: free_address()?,
            admin_address: free_address()?,
        });
        Ok(())
    }

    /// Registers the VMs of all planned processes with the platform.
    pub fn register_vms(&self) -> eyre::Result<()> {
        let entries = self.entries.iter().map(|entry| VmEntry {
            id: entry.id.clone(),
            address: entry.peer_address.to_string(),
            zone: entry.zone.clone(),
            service: None,
            state: VmState::Live,
        });
        let servers = self.servers.iter().map(|server| VmEntry {
            id: server.id.clone(),
            address: server.peer_address.to_string(),
            zone: server.zone.clone(),
            service: Some(server.service.clone()),
            state: VmState::Live,
        });
        let client = StoreClient::new(self.platform_address, EraTracker::default());
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            for vm in entries.chain(servers) {
                client.create(VM_KIND, &vm.id, json!(vm)).await?;
            }
            Ok(())
        })
    }

    /// Starts all planned processes and waits until they are ready.
    pub fn start_planned(&self) -> eyre::Result<()> {
        self.register_vms()?;
        self.start_backends()?;
        for entry in &self.entries {
            self.start_entry(entry)?;
        }
        for server in &self.servers {
            self.start_agent(server)?;
        }
        for server in &self.servers {
            self.wait_until(&server.id, || is_ready(&server.admin_address))?;
        }
        for entry in &self.entries {
            let server_count = self.servers.len();
            self.wait_until(&entry.id, || {
                is_ready(&entry.admin_address) && knows_servers(&entry.admin_address, server_count)
            })?;
        }
        Ok(())
    }

    /// Starts all planned backend servers and waits until they answer.
    pub fn start_backends(&self) -> eyre::Result<()> {
        for server in &self.servers {
            self.start_backend(server)?;
        }
        for server in &self.servers {
            let answers = || http_json("GET", &server.backend_address, "/healthz", None).is_ok();
            self.wait_until(&backend_id(&server.id), answers)?;
        }
        Ok(())
    }

    /// Starts the stand-in of a backend server.
    pub fn start_backend(&self, server: &ServerPlan) -> eyre::Result<()> {
        let listen = server.backend_address.to_string();
        let mut arguments = vec![server.kind, "--listen", &listen];
        arguments.extend(server.arguments.iter().map(String::as_str));
        let ledger = self.ledger_path().display().to_string();
        if server.kind == "booking" {
            arguments.extend(["--ledger", &ledger]);
        }
        self.spawn(&backend_id(&server.id), "standin", &arguments)
    }

    /// Starts the agent of a backend server.
    pub fn start_agent(&self, server: &ServerPlan) -> eyre::Result<()> {
        let settings = format!(
            "id = \"{}\"\nzone = \"{}\"\nservice = \"{}\"\nbackend = \"http://{}\"\n\
             peers = \"{}\"\nadmin = \"{}\"\nplatform = \"http://{}\"\n\
             cold_floor = {}\nceiling = {}\n",
            server.id,
            server.zone,
            server.service,
            server.backend_address,
            server.peer_address,
            server.admin_address,
            self.platform_address,
            server.limits.0,
            server.limits.1,
        );
        self.spawn_daemon(&server.id, "cuminpick-agent", &settings)
    }

    /// Starts an entry.
    pub fn start_entry(&self, entry: &EntryPlan) -> eyre::Result<()> {
        let mut settings = format!(
            "id = \"{}\"\nzone = \"{}\"\ncallers = \"{}\"\npeers = \"{}\"\nadmin = \"{}\"\n\
             platform = \"http://{}\"\n",
            entry.id,
            entry.zone,
            entry.caller_address,
            entry.peer_address,
            entry.admin_address,
            self.platform_address,
        );
        if entry.trace {
            let trace = self.directory.join(format!("{}.trace.jsonl", entry.id));
            settings.push_str(&format!("trace = \"{}\"\n", trace.display()));
        }
        self.spawn_daemon(&entry.id, "cuminpick-entry", &settings)
    }

    fn spawn_daemon(&self, id: &str, binary: &str, settings: &str) -> eyre::Result<()> {
        let path = self.directory.join(format!("{id}.toml"));
        std::fs::write(&path, settings)?;
        self.spawn(id, binary, &["--settings", &path.display().to_string()])
    }

    fn spawn(&self, id: &str, binary: &str, arguments: &[&str]) -> eyre::Result<()> {
        let path = self.binaries.join(binary);
        let log = File::options().create(true).append(true).open(self.log_path(id))?;
        let errors = log.try_clone()?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| {
                format!("cannot start {}; run `cargo build --release` first", path.display())
            })?;
        lock(&self.children).insert(id.to_string(), child);
        Ok(())
    }

    /// Kills a process and waits until it has exited.
    pub fn kill(&self, id: &str) {
        if let Some(mut child) = lock(&self.children).remove(id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, id: &str, signal: &str) -> eyre::Result<()> {
        let pid = self.pid(id)?;
        let status =
            Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status()?;
        if !status.success() {
            return Err(eyre!("cannot send {signal} to {id}"));
        }
        Ok(())
    }

    /// Waits until a process that received SIGTERM has exited; returns whether it exited
    /// successfully. Fails after `EXIT_TIMEOUT`.
    pub fn wait_exit(&self, id: &str) -> eyre::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < EXIT_TIMEOUT {
            let mut children = lock(&self.children);
            let child = children.get_mut(id).ok_or_else(|| eyre!("no process {id}"))?;
            if let Some(status) = child.try_wait()? {
                children.remove(id);
                return Ok(status.success());
            }
            drop(children);
            thread::sleep(POLL_INTERVAL);
        }
        Err(eyre!("{id} did not exit within {} s", EXIT_TIMEOUT.as_secs()))
    }

    /// Returns the process id of a process.
    pub fn pid(&self, id: &str) -> eyre::Result<u32> {
        let children = lock(&self.children);
        children.get(id).map(Child::id).ok_or_else(|| eyre!("no process {id}"))
    }

    /// Returns a process's resident memory in MB.
    pub fn resident_mb(&self, id: &str) -> eyre::Result<f64> {
        Ok(resident_mb(self.pid(id)?)?)
    }

    /// Returns a client of the platform stand-in's object API.
    pub fn store(&self) -> eyre::Result<Box<dyn ObjectStore>> {
        Ok(Box::new(PlatformStore::new(&format!("http://{}", self.platform_address))?))
    }

    /// Returns the server with an id.
    pub fn server(&self, id: &str) -> eyre::Result<&ServerPlan> {
        let server = self.servers.iter().find(|server| server.id == id);
        server.ok_or_else(|| eyre!("no backend server {id}"))
    }

    /// Returns the path of a process's log.
    pub fn log_path(&self, id: &str) -> PathBuf {
        self.directory.join(format!("{id}.jsonl"))
    }

    /// Returns the path of the file to which booking services append their runs.
    pub fn ledger_path(&self) -> PathBuf {
        self.directory.join("ledger.txt")
    }

    /// Returns the ids of a zone's processes: entries, then agents, then backend servers.
    pub fn zone_processes(&self, zone: &str) -> Vec<String> {
        let entries = self.entries.iter().filter(|entry| entry.zone == zone);
        let servers: Vec<&ServerPlan> =
            self.servers.iter().filter(|server| server.zone == zone).collect();
        entries
            .map(|entry| entry.id.clone())
            .chain(servers.iter().map(|server| server.id.clone()))
            .chain(servers.iter().map(|server| backend_id(&server.id)))
            .collect()
    }

    /// Starts the processes of a zone again.
    pub fn start_zone(&self, zone: &str) -> eyre::Result<()> {
        for server in self.servers.iter().filter(|server| server.zone == zone) {
            self.start_backend(server)?;
            self.start_agent(server)?;
        }
        for entry in self.entries.iter().filter(|entry| entry.zone == zone) {
            self.start_entry(entry)?;
        }
        Ok(())
    }

    /// Returns the daemons' logs and kills all processes.
    pub fn into_logs(self) -> Vec<String> {
        thread::sleep(POLL_INTERVAL);
        let ids = self.entries.iter().map(|entry| &entry.id);
        let ids = ids.chain(self.servers.iter().map(|server| &server.id));
        ids.filter_map(|id| std::fs::read_to_string(self.log_path(id)).ok()).collect()
    }

    /// Polls `condition` until it holds; fails with the end of the log of `id` after a timeout.
    fn wait_until(&self, id: &str, condition: impl Fn() -> bool) -> eyre::Result<()> {
        let start = Instant::now();
        while !condition() {
            if start.elapsed() > READY_TIMEOUT {
                let log = std::fs::read_to_string(self.log_path(id)).unwrap_or_default();
                let tail: Vec<&str> = log.lines().rev().take(5).collect();
                return Err(eyre!("{id} is not ready; last lines of its log: {}", tail.join("\n")));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        stop_all(&self.children);
        if std::env::var_os("DRILL_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Returns the id of the stand-in process of a backend server.
pub fn backend_id(server: &str) -> String {
    format!("{server}-backend")
}

fn lock(children: &ChildProcesses) -> std::sync::MutexGuard<'_, BTreeMap<String, Child>> {
    children.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Kills all processes and waits until they have exited.
fn stop_all(children: &ChildProcesses) {
    let mut children = lock(children);
    for child in children.values_mut() {
        let _ = child.kill();
    }
    for child in children.values_mut() {
        let _ = child.wait();
    }
    children.clear();
}

/// Stops all processes and exits when the drill receives SIGINT or SIGTERM.
fn stop_on_signals(children: ChildProcesses) -> eyre::Result<()> {
    use signal_hook::consts::SIGINT;
    use signal_hook::consts::SIGTERM;
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
    thread::Builder::new().name("signals".to_string()).spawn(move || {
        if signals.forever().next().is_some() {
            stop_all(&children);
            std::process::exit(130);
        }
    })?;
    Ok(())
}

/// Returns a loopback address whose port is currently free.
///
/// Ports are below the kernel's range for outgoing connections: a port within it could be
/// taken by a connection before the process binds it.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let first_offset = std::process::id() as u16 % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let offset =
            first_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(eyre!("no port is free among the {PORT_COUNT} from {FIRST_PORT} on; stop other drills"))
}

/// Calls a process's HTTP interface and returns the JSON answer.
pub fn http_json(
    method: &str,
    address: &SocketAddr,
    path: &str,
    body: Option<Value>,
) -> eyre::Result<Value> {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(2))).build().into();
    let url = format!("http://{address}{path}");
    let mut response = match (method, body) {
        ("POST", Some(body)) => agent.post(&url).send_json(body)?,
        _ => agent.get(&url).call()?,
    };
    Ok(response.body_mut().read_json()?)
}

fn is_ready(admin: &SocketAddr) -> bool {
    ureq::get(format!("http://{admin}/readyz")).call().is_ok()
}

/// Returns whether an entry lists at least `count` backend servers.
fn knows_servers(admin: &SocketAddr, count: usize) -> bool {
    let Ok(status) = http_json("GET", admin, "/status", None) else {
        return false;
    };
    status["servers"].as_array().is_some_and(|servers| servers.len() >= count)
}
