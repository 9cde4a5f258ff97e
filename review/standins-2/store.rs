//! The platform's store: objects by kind and name, with lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::base::json_field;
use crate::base::read_body;
use crate::base::read_head;
use crate::base::serve;

type Key = (String, String);

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and text of each object; the text need not be JSON.
    objects: BTreeMap<Key, (u64, String)>,
    /// Changes: revision, key, text, and whether it is a removal.
    changes: Vec<(u64, Key, String, bool)>,
}

/// Handle of the store; clones share it.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    /// Starts an empty store on a free port of the loopback address.
    pub fn start() -> std::io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let handler = store.clone();
        serve(listener, move |stream| drop(handler.serve_connection(stream)));
        Ok((store, address))
    }

    /// Writes an object whose `spec` is the given text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let revision = write(&mut state, kind, name, spec);
        self.state.1.notify_all();
        revision
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(head) = read_head(&mut input)? {
            let body = read_body(&mut input, &head, false)?;
            let (status, text) =
                self.answer(head.word(0), head.word(1), &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                text.len()
            );
            output.write_all(answer.as_bytes())?;
            output.write_all(text.as_bytes())?;
            if head.get("connection") == Some("close") {
                break;
            }
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(known, _)| *known == name).map(|(_, value)| value.to_string())
        };
        let mut parts = path.trim_start_matches("/cuminpick/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let mut state = self.state.0.lock().unwrap();
        if let (None, Some(watch)) = (&name, field("watch")) {
            let from: u64 = watch.parse().unwrap_or(0);
            let wait: u64 = field("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
            loop {
                let newer =
                    state.changes.iter().filter(|(at, key, ..)| *at > from && key.0 == kind);
                let events: Vec<String> = newer
                    .map(|(_, _, text, removed)| {
                        format!("{{\"removed\":{removed},\"object\":{text}}}")
                    })
                    .collect();
                let left = deadline.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let events = events.join(",");
                    let text =
                        format!("{{\"events\":[{events}],\"currentRev\":{}}}", state.revision);
                    return (200, text);
                }
                state = self.state.1.wait_timeout(state, left).unwrap().0;
            }
        }
        let answer = match (method, name) {
            ("GET", None) => (200, list(&state, &kind, field("after"))),
            ("GET", Some(name)) => match state.objects.get(&(kind, name)) {
                Some((_, text)) => (200, text.clone()),
                None => (404, "{}".to_string()),
            },
            ("POST", None) => {
                let metadata = json_field(body, "metadata").unwrap_or("{}");
                let name = json_field(metadata, "name").unwrap_or("").trim_matches('"').to_string();
                match state.objects.get(&(kind.clone(), name.clone())) {
                    Some((_, text)) => (409, text.clone()),
                    None => {
                        write(&mut state, &kind, &name, json_field(body, "spec").unwrap_or("null"));
                        (201, state.objects[&(kind, name)].1.clone())
                    }
                }
            }
            ("PUT", Some(name)) => {
                let metadata = json_field(body, "metadata").unwrap_or("{}");
                let asked = json_field(metadata, "revision").and_then(|text| text.parse().ok());
                match state.objects.get(&(kind.clone(), name.clone())) {
                    None => (404, "{}".to_string()),
                    Some((known, text)) if asked.is_some_and(|asked: u64| asked != *known) => {
                        (409, text.clone())
                    }
                    Some(_) => {
                        write(&mut state, &kind, &name, json_field(body, "spec").unwrap_or("null"));
                        (200, state.objects[&(kind, name)].1.clone())
                    }
                }
            }
            ("DELETE", Some(name)) => {
                let asked = field("revision").and_then(|text| text.parse().ok());
                match state.objects.get(&(kind.clone(), name.clone())) {
                    None => (404, "{}".to_string()),
                    Some((known, text)) if asked.is_some_and(|asked: u64| asked != *known) => {
                        (409, text.clone())
                    }
                    Some(_) => {
                        remove(&mut state, &kind, &name);
                        (200, "{}".to_string())
                    }
                }
            }
            _ => (400, "{}".to_string()),
        };
        self.state.1.notify_all();
        answer
    }
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createdAt\":9,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn write(state: &mut State, kind: &str, name: &str, spec: &str) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let text = object_text(name, revision, spec);
    let key = (kind.to_string(), name.to_string());
    state.objects.insert(key.clone(), (revision, text.clone()));
    state.changes.push((revision, key, text, false));
    revision
}

fn remove(state: &mut State, kind: &str, name: &str) {
    let key = (kind.to_string(), name.to_string());
    if let Some((_, text)) = state.objects.remove(&key) {
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, key, text, true));
    }
}

fn list(state: &State, kind: &str, after: Option<String>) -> String {
    let mut items: Vec<&str> = Vec::new();
    let (mut bytes, mut has_more) = (0, false);
    for ((_, name), (_, text)) in state.objects.iter().filter(|((known, _), _)| known == kind) {
        if after.as_ref().is_some_and(|after| name <= after) {
            continue;
        }
        if items.len() == PAGE_OBJECTS || (bytes > 0 && bytes + text.len() > PAGE_BYTES) {
            has_more = true;
            break;
        }
        bytes += text.len();
        items.push(text);
    }
    let items = items.join(",");
    format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"currentRev\":{}}}", state.revision)
}
