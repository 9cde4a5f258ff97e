//! Processes on loopback: daemons and stand-ins, started and stopped by drills.

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
use eyre::WrapErr;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;

use crate::site::nodes::resident_mb;

/// First port given to processes.
const FIRST_PORT: u16 = 20_000;
/// Number of ports that may be given.
const PORT_COUNT: u16 = 10_000;
/// Longest time for all processes to be ready.
const READY_TIME: Duration = Duration::from_secs(20);
/// Time between two looks at a process.
const POLL: Duration = Duration::from_millis(50);
/// Longest time for a process to leave after SIGTERM.
const LEAVE_TIME: Duration = Duration::from_secs(30);

type ChildTable = Arc<Mutex<BTreeMap<String, Child>>>;

/// Facts of one backend server in a fleet.
#[derive(Debug, Clone)]
pub struct ServerPlan {
    /// Identity.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// `engine` or `booking`.
    pub kind: &'static str,
    /// Arguments of the stand-in.
    pub arguments: Vec<String>,
    /// Floor and ceiling of the agent's limit.
    pub limits: (u32, u32),
    /// Address of the stand-in.
    pub backend: SocketAddr,
    /// Address of the agent for entries.
    pub peers: SocketAddr,
    /// Address of the agent for operators.
    pub admin: SocketAddr,
}

/// Facts of one entry in a fleet.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Identity.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Whether to record a trace.
    pub trace: bool,
}

/// A set of processes; all are stopped when it is dropped.
pub struct Fleet {
    children: ChildTable,
    folder: PathBuf,
    binaries: PathBuf,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Entries.
    pub entries: Vec<EntryPlan>,
    /// Backend servers.
    pub servers: Vec<ServerPlan>,
}

impl Fleet {
    /// Starts the platform stand-in; other processes are added to the plans.
    pub fn start(name: &str) -> eyre::Result<Fleet> {
        let binaries = std::env::current_exe()?
            .parent()
            .map(Path::to_path_buf)
            .ok_or_else(|| eyre!("the drill runner has no folder"))?;
        let folder = std::env::temp_dir().join(format!("cuminpick-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let children = ChildTable::default();
        stop_on_signals(Arc::clone(&children))?;
        let platform = free_address()?;
        let fleet = Fleet {
            children,
            folder,
            binaries,
            platform,
            entries: Vec::new(),
            servers: Vec::new(),
        };
        let listen = platform.to_string();
        fleet.spawn("platform", "standin", &["platform", "--listen", &listen])?;
        fleet
            .wait("platform", || http_json("GET", &platform, "/standin/counters", None).is_ok())?;
        Ok(fleet)
    }

    /// Adds an entry to the plan.
    pub fn plan_entry(&mut self, id: &str, zone: &str, trace: bool) -> eyre::Result<()> {
        self.entries.push(EntryPlan {
            id: id.to_string(),
            zone: zone.to_string(),
            callers: free_address()?,
            peers: free_address()?,
            admin: free_address()?,
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
            backend: free_address()?,
            peers: free_address()?,
            admin: free_address()?,
        });
        Ok(())
    }

    /// Tells the platform of all planned VMs.
    pub fn list_vms(&self) -> eyre::Result<()> {
        let entries = self.entries.iter().map(|entry| VmEntry {
            id: entry.id.clone(),
            address: entry.peers.to_string(),
            zone: entry.zone.clone(),
            service: None,
            state: VmState::Live,
        });
        let servers = self.servers.iter().map(|server| VmEntry {
            id: server.id.clone(),
            address: server.peers.to_string(),
            zone: server.zone.clone(),
            service: Some(server.service.clone()),
            state: VmState::Live,
        });
        let client = StoreClient::new(self.platform);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(async {
            for vm in entries.chain(servers) {
                client.create(VM_KIND, &vm.id, json!(vm)).await?;
            }
            Ok(())
        })
    }

    /// Starts all planned processes and waits until they are ready.
    pub fn launch(&self) -> eyre::Result<()> {
        self.list_vms()?;
        self.launch_backends()?;
        for entry in &self.entries {
            self.start_entry(entry)?;
        }
        for server in &self.servers {
            self.start_agent(server)?;
        }
        for server in &self.servers {
            self.wait(&server.id, || ready(&server.admin))?;
        }
        for entry in &self.entries {
            let all = self.servers.len();
            self.wait(&entry.id, || ready(&entry.admin) && knows_servers(&entry.admin, all))?;
        }
        Ok(())
    }

    /// Starts all planned backend servers and waits until they answer.
    pub fn launch_backends(&self) -> eyre::Result<()> {
        for server in &self.servers {
            self.start_backend(server)?;
        }
        for server in &self.servers {
            let answers = || http_json("GET", &server.backend, "/healthz", None).is_ok();
            self.wait(&backend_id(&server.id), answers)?;
        }
        Ok(())
    }

    /// Starts the stand-in of a backend server.
    pub fn start_backend(&self, server: &ServerPlan) -> eyre::Result<()> {
        let listen = server.backend.to_string();
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
            server.backend,
            server.peers,
            server.admin,
            self.platform,
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
            entry.id, entry.zone, entry.callers, entry.peers, entry.admin, self.platform,
        );
        if entry.trace {
            let trace = self.folder.join(format!("{}.trace.jsonl", entry.id));
            settings.push_str(&format!("trace = \"{}\"\n", trace.display()));
        }
        self.spawn_daemon(&entry.id, "cuminpick-entry", &settings)
    }

    fn spawn_daemon(&self, id: &str, binary: &str, settings: &str) -> eyre::Result<()> {
        let path = self.folder.join(format!("{id}.toml"));
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

    /// Kills a process at once.
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

    /// Waits until a process that was told to leave has ended; returns its success.
    pub fn wait_end(&self, id: &str) -> eyre::Result<bool> {
        let start = Instant::now();
        while start.elapsed() < LEAVE_TIME {
            let mut children = lock(&self.children);
            let child = children.get_mut(id).ok_or_else(|| eyre!("no process {id}"))?;
            if let Some(status) = child.try_wait()? {
                children.remove(id);
                return Ok(status.success());
            }
            drop(children);
            thread::sleep(POLL);
        }
        Err(eyre!("{id} did not leave within {} s", LEAVE_TIME.as_secs()))
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

    /// Object API of the platform stand-in.
    pub fn store(&self) -> eyre::Result<Box<dyn ObjectStore>> {
        Ok(Box::new(PlatformStore::new(&format!("http://{}", self.platform))?))
    }

    /// Returns the server with an id.
    pub fn server(&self, id: &str) -> eyre::Result<&ServerPlan> {
        let server = self.servers.iter().find(|server| server.id == id);
        server.ok_or_else(|| eyre!("no backend server {id}"))
    }

    /// Path of a process's log.
    pub fn log_path(&self, id: &str) -> PathBuf {
        self.folder.join(format!("{id}.jsonl"))
    }

    /// Path of the file in which booking services note their runs.
    pub fn ledger_path(&self) -> PathBuf {
        self.folder.join("ledger.txt")
    }

    /// Ids of a zone's processes: entries, then agents, then backend servers.
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

    /// Starts a zone's processes again.
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

    /// Stops every process and reads the daemons' logs first.
    pub fn finish(self) -> Vec<String> {
        thread::sleep(POLL);
        let ids = self.entries.iter().map(|entry| &entry.id);
        let ids = ids.chain(self.servers.iter().map(|server| &server.id));
        ids.filter_map(|id| std::fs::read_to_string(self.log_path(id)).ok()).collect()
    }

    fn wait(&self, id: &str, done: impl Fn() -> bool) -> eyre::Result<()> {
        let start = Instant::now();
        while !done() {
            if start.elapsed() > READY_TIME {
                let log = std::fs::read_to_string(self.log_path(id)).unwrap_or_default();
                let tail: Vec<&str> = log.lines().rev().take(5).collect();
                return Err(eyre!("{id} is not ready; the end of its log: {}", tail.join("\n")));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        stop_all(&self.children);
        if std::env::var_os("DRILL_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Id of the stand-in process of a backend server.
pub fn backend_id(server: &str) -> String {
    format!("{server}-backend")
}

fn lock(children: &ChildTable) -> std::sync::MutexGuard<'_, BTreeMap<String, Child>> {
    children.lock().unwrap_or_else(PoisonError::into_inner)
}

fn stop_all(children: &ChildTable) {
    let mut children = lock(children);
    for child in children.values_mut() {
        let _ = child.kill();
    }
    for child in children.values_mut() {
        let _ = child.wait();
    }
    children.clear();
}

fn stop_on_signals(children: ChildTable) -> eyre::Result<()> {
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

/// Returns a loopback address whose port is free now.
///
/// Ports are taken from below the kernel's range for outgoing connections: one
/// from within it could be taken by a connection before its process binds it.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16 % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let next = first.wrapping_add(GIVEN.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + next));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(eyre!("no port from {FIRST_PORT} on is free; stop other drills"))
}

/// Calls a process's HTTP interface and reads JSON.
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

fn ready(admin: &SocketAddr) -> bool {
    ureq::get(format!("http://{admin}/readyz")).call().is_ok()
}

fn knows_servers(admin: &SocketAddr, count: usize) -> bool {
    let Ok(status) = http_json("GET", admin, "/status", None) else {
        return false;
    };
    status["servers"].as_array().is_some_and(|servers| servers.len() >= count)
}
