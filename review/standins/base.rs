//! JSON, HTTP, loopback addresses, the record of a run and child processes, with the standard
//! library alone.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A JSON value; numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> Option<&J> {
        match self {
            J::Obj(fields) => fields.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            J::Num(text) => text.parse().ok(),
            _ => None,
        }
    }
    pub fn str(&self) -> Option<&str> {
        match self {
            J::Str(text) => Some(text),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(items) => items,
            _ => &[],
        }
    }
    pub fn text(&self) -> String {
        match self {
            J::Null => "null".into(),
            J::Bool(value) => value.to_string(),
            J::Num(text) => text.clone(),
            J::Str(text) => quote(text),
            J::Arr(items) => {
                format!("[{}]", items.iter().map(J::text).collect::<Vec<_>>().join(","))
            }
            J::Obj(fields) => {
                let fields =
                    fields.iter().map(|(name, value)| format!("{}:{}", quote(name), value.text()));
                format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            letter if (letter as u32) < 32 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Option<J> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = parse_value(bytes, &mut at)?;
    Some(value)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<J> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let J::Str(name) = parse_value(bytes, at)? else { return None };
                        skip(bytes, at);
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(J::Str(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                *at += 4;
                                let letter = char::from_u32(code).unwrap_or('?');
                                out.extend_from_slice(letter.to_string().as_bytes());
                            }
                            other => out.push(other),
                        }
                    }
                    byte => {
                        out.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(J::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(J::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(J::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && b"+-.eE0123456789".contains(&bytes[*at]) {
                *at += 1;
            }
            (start < *at).then(|| J::Num(String::from_utf8_lossy(&bytes[start..*at]).into_owned()))
        }
    }
}

/// A request as a server reads it.
pub struct Req {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            if let Ok(byte) = u8::from_str_radix(&text[at + 1..at + 3], 16) {
                out.push(byte);
                at += 3;
                continue;
            }
        }
        out.push(bytes[at]);
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Head>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let first = String::from_utf8_lossy(&line).trim_end().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        if text.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::Error::other("cut"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Req>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length").and_then(|l| l.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Req { method: method.into(), target: target.into(), headers, body }))
}

/// Ends a server: its listener closes, and connections are refused.
#[derive(Clone)]
pub struct Ending {
    ended: Arc<AtomicBool>,
    address: SocketAddr,
}

impl Ending {
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
    }
}

/// Serves connections; the handler writes the answer and says whether the connection goes on.
pub fn serve<H>(address: SocketAddr, handler: H) -> std::io::Result<Ending>
where
    H: Fn(Req, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    let ending = Ending { ended: Arc::default(), address };
    let ended = Arc::clone(&ending.ended);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if ended.load(Ordering::Relaxed) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let close =
                        request.header("connection").is_some_and(|value| value.contains("close"));
                    match handler(request, &mut writer) {
                        Ok(true) if !close => {}
                        _ => return,
                    }
                }
            });
        }
    });
    Ok(ending)
}

pub fn answer(
    writer: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<bool> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)?;
    Ok(true)
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub complete: bool,
}

pub struct Conn {
    pub writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn open(address: SocketAddr) -> std::io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Conn { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }
    /// Reads one answer; `None` if there is none within `wait` or the connection ends before it.
    pub fn read(&mut self, wait: Duration) -> Option<Answer> {
        self.writer.set_read_timeout(Some(wait)).ok()?;
        let (first, headers) = read_head(&mut self.reader).ok()??;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let mut got = Answer { status, headers, body: Vec::new(), complete: false };
        if find(&got.headers, "transfer-encoding").is_some() {
            loop {
                match read_chunk(&mut self.reader) {
                    Ok(chunk) if chunk.is_empty() => {
                        got.complete = true;
                        break;
                    }
                    Ok(chunk) => got.body.extend(chunk),
                    Err(_) => break,
                }
            }
        } else {
            let length = find(&got.headers, "content-length").and_then(|l| l.parse().ok());
            got.body = vec![0; length.unwrap_or(0)];
            got.complete = self.reader.read_exact(&mut got.body).is_ok();
        }
        Some(got)
    }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, bytes: &[u8], wait: Duration) -> Option<Answer> {
    let mut conn = Conn::open(address).ok()?;
    conn.writer.write_all(bytes).ok()?;
    conn.read(wait)
}

/// Record of the run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }
    pub fn at(&self) -> Duration {
        self.start.elapsed()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.at().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn fresh_id(prefix: &str) -> String {
    format!("{prefix}{:06x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Loopback addresses of one run: 127.A.B.n with A and B free at the moment.
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    pub fn pick() -> Net {
        let mut seed = unix_ms() ^ (u64::from(std::process::id()) << 20);
        loop {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let net = Net { a: 20 + ((seed >> 33) % 200) as u8, b: ((seed >> 45) % 250) as u8 };
            let free = (1..40).all(|n| {
                [8220, 8223, 8227, 8228, 8229, 9464]
                    .iter()
                    .all(|port| TcpListener::bind(net.addr(n, *port)).is_ok())
            });
            if free {
                return net;
            }
        }
    }
    pub fn ip(&self, n: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.a, self.b, n))
    }
    pub fn addr(&self, n: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(n), port)
    }
}

/// Settings of a process, as the pages show them.
pub fn settings(
    name: &str,
    class: &str,
    zone: &str,
    ip: IpAddr,
    store: SocketAddr,
    side: Option<(&str, SocketAddr)>,
) -> String {
    let app = side.map(|(service, app)| format!("app = \"{app}\"\nservice = \"{service}\"\n"));
    let listen = match side {
        Some(_) => String::new(),
        None => format!("front = \"{ip}:8227\"\nready = \"{ip}:8220\"\ncontrol = \"{ip}:8229\"\n"),
    };
    let link = if side.is_some() { "20.0" } else { "1000.0" };
    format!(
        "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
         serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"addis\"\n\
         internalPorts = [7340,7355]\nseeds = []\nfirstStart = true\ncountsInBudget = false\n\
         discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"tenants\",\"places\",\"platform\",\"experts\"]\n{}\
         [zones]\nbole = \"addis\"\nmerkato = \"addis\"\nkazanchis = \"addis\"\n\
         [listen]\n{listen}\
         [limits]\ncpuShare = 0.19\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4200\n\
         linkMbps = {link}\ndiskMb = 0\n\
         [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackTimeoutMs = 4000\n\
         catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
         rollbackSlackMs = 250\nmaxSkewMs = 5000\nstrictRevocation = false\nrevokeMs = 5000\n\
         retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 90\ncoldOverage = 1.5\n\
         coldSlack = 5\nevacuateMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\n\
         stall_ms = 1500\nenforceFencing = true\n\
         [platform]\naddress = \"{store}\"\nform = \"objects\"\nwritesPerS = 400\n\
         readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n",
        app.unwrap_or_default()
    )
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

/// Process of the project; it is killed when the value is dropped.
pub struct Program {
    child: Child,
    root: PathBuf,
    command: String,
    settings: PathBuf,
    log: PathBuf,
}

impl Program {
    /// Starts a command of the deploy file with a settings file.
    pub fn start(root: &Path, command: &str, folder: &Path, name: &str, settings: &str) -> Program {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = Program::spawn(root, command, &path, &log);
        Program { child, root: root.into(), command: command.into(), settings: path, log }
    }
    fn spawn(root: &Path, command: &str, settings: &Path, log: &Path) -> Child {
        let mut words = command.split(' ');
        let output = File::options().create(true).append(true).open(log).unwrap();
        let errors = output.try_clone().unwrap();
        Command::new(root.join(words.next().unwrap()))
            .args(words)
            .current_dir(root)
            .env_clear()
            .env("CUMINPICK_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| {
                eprintln!("cannot start {command}: {error}");
                std::process::exit(2)
            })
    }
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    pub fn restart(&mut self) {
        self.child = Program::spawn(&self.root, &self.command, &self.settings, &self.log);
    }
    pub fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.signal(CONT);
        self.kill();
    }
}

/// Commands of the deploy file, by role.
pub fn commands(root: &Path) -> HashMap<String, String> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file");
    let mut role = String::new();
    let mut commands = HashMap::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.").and_then(|rest| rest.strip_suffix(']')) {
            role = name.to_string();
        }
        if let Some(run) = line.strip_prefix("run = \"").and_then(|rest| rest.strip_suffix('"')) {
            commands.insert(role.clone(), run.to_string());
        }
    }
    commands
}
