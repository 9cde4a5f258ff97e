//! HTTP/1.1 over plain sockets, a JSON reader for the few fields that are needed, the record of a
//! run and the processes under test.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Head of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// First line.
    pub start: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.start = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads a body by its length or in chunks; without either it is empty for a request and lasts to
/// the end of the connection for an answer.
pub fn read_body(
    reader: &mut impl BufRead,
    head: &Head,
    is_answer: bool,
) -> std::io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let digits = line.trim().split(';').next().unwrap_or("").to_string();
            let length = usize::from_str_radix(&digits, 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|value| value.parse::<usize>().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if is_answer {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Returns the text of the value under a key of a JSON object.
pub fn json_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut index = text.find('{')? + 1;
    loop {
        index += bytes[index..].iter().take_while(|byte| b" ,\n\r\t".contains(byte)).count();
        if bytes.get(index) != Some(&b'"') {
            return None;
        }
        let key_end = index + value_length(&text[index..]);
        let name = &text[index + 1..key_end - 1];
        index = key_end;
        index += bytes[index..].iter().take_while(|byte| b" :\n\r\t".contains(byte)).count();
        let length = value_length(&text[index..]);
        if name == key {
            return Some(&text[index..index + length]);
        }
        index += length;
    }
}

/// Returns the length of the JSON value with which a text begins.
fn value_length(text: &str) -> usize {
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    for (index, byte) in text.bytes().enumerate() {
        if quoted {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => quoted = false,
                _ => {}
            }
            if !quoted && depth == 0 {
                return index + 1;
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return index,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return index + 1;
                }
            }
            b',' if depth == 0 => return index,
            _ => {}
        }
    }
    text.len()
}

/// Accepts connections on threads of their own, for as long as the process runs.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handler(stream);
            });
        }
    });
}

/// Lines on what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the record of a case in its folder.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Returns a loopback address on which the ports of a machine are free.
pub fn free_address(number: u8) -> Option<IpAddr> {
    let process = std::process::id();
    (0..40u8).find_map(|attempt| {
        let (high, low) = ((process >> 8) as u8 & 0x3f, process as u8);
        let address = Ipv4Addr::new(127, 64 + high, low, 2 + number * 5 + attempt % 5);
        let ports = [FRONT_PORT, READY_PORT, METRICS_PORT, INTERNAL_PORT, INTERNAL_PORT + 1];
        let listeners: Vec<TcpListener> =
            ports.iter().filter_map(|port| TcpListener::bind((address, *port)).ok()).collect();
        (listeners.len() == ports.len()).then_some(IpAddr::V4(address))
    })
}

unsafe extern "C" {
    fn prctl(option: i32, value: usize, third: usize, fourth: usize, fifth: usize) -> i32;
}

/// Has the kernel end a process when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

/// Has a process that is started by `command` killed when this one ends.
pub fn end_with_parent(command: &mut Command) {
    // SAFETY: the call only sets an attribute of the new process.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
}

const FRONT_PORT: u16 = 18_227;
const READY_PORT: u16 = 18_220;
const METRICS_PORT: u16 = 9_464;
const INTERNAL_PORT: u16 = 17_340;

/// A machine with a gateway, started by the command of the deploy file.
pub struct GatewayNode {
    /// Address at which callers connect.
    pub front: SocketAddr,
    /// Address of the readiness checks.
    pub ready: SocketAddr,
    child: Child,
}

/// Bounds of `sites/endcap-hub.toml`, and the limits of its `edge` machines.
const BOUNDS: &str = r#"
[limits]
cpuShare = 0.19
cpuCores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
strictRevocation = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 90
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
stall_ms = 1500
enforceFencing = true
"#;

impl GatewayNode {
    /// Starts a gateway and waits until it is ready.
    pub fn start(number: u8, store: SocketAddr, folder: &Path) -> Result<GatewayNode, String> {
        let ip = free_address(number).ok_or("no free loopback address")?;
        let zones = ["bole", "merkato", "kazanchis"];
        let zone = zones[usize::from(number) % zones.len()];
        let text = format!(
            "nodeName = \"edge-{zone}-{number}\"\nrole = \"gateway\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"addis\"\n\
             internalPorts = [{INTERNAL_PORT},{}]\nseeds = []\nfirstStart = true\n\
             countsInBudget = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             [zones]\nbole = \"addis\"\nmerkato = \"addis\"\nkazanchis = \"addis\"\n\
             [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n{BOUNDS}\
             [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
             readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
            INTERNAL_PORT + 15
        );
        let settings = folder.join(format!("edge-{number}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = folder.join(format!("edge-{number}.jsonl"));
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/cuminpick-gateway");
        command
            .args(["--metrics-port", "9464"])
            .env("CUMINPICK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(output);
        end_with_parent(&mut command);
        let child =
            command.spawn().map_err(|error| format!("cannot start the gateway: {error}"))?;
        let front = SocketAddr::new(ip, FRONT_PORT);
        let ready = SocketAddr::new(ip, READY_PORT);
        let mut node = GatewayNode { front, ready, child };
        let started = Instant::now();
        while !node.is_ready() {
            if started.elapsed() > Duration::from_secs(15) || node.has_exited() {
                return Err("the gateway did not become ready".to_string());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(node)
    }

    /// Asks whether the gateway accepts new connections.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(700)))?;
            stream.write_all(b"GET /cuminpick/readyz HTTP/1.1\r\nHost: x\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    /// Returns whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory of the process in MB; 0 once it has ended.
    pub fn resident_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        kilobytes.unwrap_or_default() / 1_024.0
    }

    /// Returns the processor time of the process, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks: f64 =
            [11, 12].iter().filter_map(|index| fields.get(*index)?.parse::<f64>().ok()).sum();
        ticks / 100.0
    }
}

impl Drop for GatewayNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Method and path.
    pub target: (String, String),
    /// Id of the attempt.
    pub id: String,
    /// Time that the caller gives it.
    pub deadline: Duration,
    /// Further header lines, each ended by CR LF.
    pub extra: String,
    /// Body.
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Returns the bytes of the head.
    pub fn head_bytes(&self) -> Vec<u8> {
        let (method, path) = &self.target;
        let length = match method.as_str() {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", self.body.len()),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Attempt-Id: {}\r\n\
             X-Deadline-Ms: {}\r\nAuthorization: Token {KEY}\r\n{}{length}\r\n",
            self.id,
            self.deadline.as_millis(),
            self.extra
        )
        .into_bytes()
    }
}

/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a configuration with routes and services in the platform's format.
pub fn config_text(version: u64, routes: &str, services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":400,\
                 \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\
         \"priority\":1}}]}}",
        services.join(",")
    )
}

/// Returns a route of a plain service.
pub fn route_text(
    name: &str,
    kind: &str,
    service: &str,
    timeout_ms: u32,
    target_ms: u32,
) -> String {
    let attempts = if kind == "idempotent" { 2 } else { 1 };
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\
         \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false}}"
    )
}

/// Counts by name.
pub type Counts = HashMap<String, u64>;
