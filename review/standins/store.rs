//! Stand-in for the platform's metadata store: objects with list, watch and conditional writes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::base::*;

#[derive(Clone)]
struct Object {
    revision: u64,
    /// Text of the spec, as its writer sent it.
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<(u64, String, String, String, bool)>,
    /// How often waiting watches were cut off.
    cuts: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

const PAGE: usize = 50;

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Store> {
        let store = Store::default();
        store.shared.0.lock().unwrap().revision = 7;
        let handler = store.clone();
        let _ = serve(address, move |request, writer| handler.handle(request, writer))?;
        Ok(store)
    }

    /// Writes an object as its operator or engine does; unchanged content keeps its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if state.objects.get(&key).is_some_and(|known| known.spec == spec) {
            return;
        }
        write(&mut state, key, spec.to_string());
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        delete(&mut state, &(kind.to_string(), name.to_string()));
        self.shared.1.notify_all();
    }

    /// Cuts off the watches that are waiting.
    pub fn cut_watches(&self) {
        self.shared.0.lock().unwrap().cuts += 1;
        self.shared.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        state.objects.get(&(kind.to_string(), name.to_string())).map(|known| known.spec.clone())
    }

    fn handle(&self, request: Req, writer: &mut TcpStream) -> std::io::Result<bool> {
        let reply = |writer: &mut TcpStream, status: u16, body: String| {
            answer(writer, status, &[("Content-Type", "application/json".into())], body.as_bytes())
        };
        std::thread::sleep(Duration::from_millis(4));
        let Some(path) = request.path().strip_prefix("/cuminpick/objects/") else {
            return reply(writer, 404, "{}".into());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (unescape(kind), Some(unescape(name))),
            None => (unescape(path), None),
        };
        let body = parse(&String::from_utf8_lossy(&request.body));
        let (lock, changed) = (&self.shared.0, &self.shared.1);
        match (request.method.as_str(), name) {
            ("GET", Some(name)) => {
                let state = lock.lock().unwrap();
                match state.objects.get(&(kind, name.clone())) {
                    Some(known) => {
                        let text = object(&name, known.revision, &known.spec);
                        drop(state);
                        reply(writer, 200, text)
                    }
                    None => {
                        drop(state);
                        reply(writer, 404, "{}".into())
                    }
                }
            }
            ("GET", None) if request.query("watch").is_some() => {
                let from: u64 = request.query("watch").and_then(|r| r.parse().ok()).unwrap_or(0);
                let wait = request.query("waitMs").and_then(|w| w.parse().ok()).unwrap_or(0u64);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = lock.lock().unwrap();
                let cuts = state.cuts;
                loop {
                    if state.cuts != cuts {
                        return Ok(false);
                    }
                    let events: Vec<String> = state
                        .changes
                        .iter()
                        .filter(|change| change.0 > from && change.1 == kind)
                        .map(|(revision, _, name, spec, removed)| {
                            let object = object(name, *revision, spec);
                            format!("{{\"removed\":{removed},\"object\":{object}}}")
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let text = format!(
                            "{{\"events\":[{}],\"currentRev\":{}}}",
                            events.join(","),
                            state.revision
                        );
                        drop(state);
                        return reply(writer, 200, text);
                    }
                    state = changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("GET", None) => {
                let state = lock.lock().unwrap();
                let after = request.query("after").unwrap_or_default();
                let mut items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((known, name), _)| *known == kind && *name > after)
                    .map(|((_, name), known)| object(name, known.revision, &known.spec))
                    .collect();
                let more = items.len() > PAGE;
                items.truncate(PAGE);
                let text = format!(
                    "{{\"items\":[{}],\"hasMore\":{more},\"currentRev\":{}}}",
                    items.join(","),
                    state.revision
                );
                drop(state);
                reply(writer, 200, text)
            }
            ("POST", None) | ("PUT", Some(_)) => {
                let Some(body) = body else { return reply(writer, 400, "{}".into()) };
                let metadata = body.get("metadata").cloned().unwrap_or(J::Null);
                let create = request.method == "POST";
                let name = match request.path().rsplit_once('/') {
                    Some((_, name)) if !create => unescape(name),
                    _ => metadata.get("name").and_then(J::str).unwrap_or_default().to_string(),
                };
                let spec = body.get("spec").map_or("null".to_string(), J::text);
                let expected = metadata.get("revision").and_then(J::u64);
                let mut state = lock.lock().unwrap();
                let key = (kind, name.clone());
                let known = state.objects.get(&key).cloned();
                let (status, text) = match known {
                    Some(known) if create || expected.is_some_and(|rev| rev != known.revision) => {
                        (409, object(&name, known.revision, &known.spec))
                    }
                    None if !create => (404, "{}".to_string()),
                    Some(known) if known.spec == spec => {
                        (200, object(&name, known.revision, &known.spec))
                    }
                    _ => {
                        let revision = write(&mut state, key, spec.clone());
                        changed.notify_all();
                        (200, object(&name, revision, &spec))
                    }
                };
                drop(state);
                reply(writer, status, text)
            }
            ("DELETE", Some(name)) => {
                let expected: Option<u64> = request.query("revision").and_then(|r| r.parse().ok());
                let mut state = lock.lock().unwrap();
                let key = (kind, name.clone());
                let (status, text) = match state.objects.get(&key).cloned() {
                    None => (404, "{}".to_string()),
                    Some(known) if expected.is_some_and(|rev| rev != known.revision) => {
                        (409, object(&name, known.revision, &known.spec))
                    }
                    Some(_) => {
                        delete(&mut state, &key);
                        changed.notify_all();
                        (200, "{}".to_string())
                    }
                };
                drop(state);
                reply(writer, status, text)
            }
            _ => reply(writer, 400, "{}".into()),
        }
    }
}

fn write(state: &mut State, key: (String, String), spec: String) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    state.changes.push((revision, key.0.clone(), key.1.clone(), spec.clone(), false));
    state.objects.insert(key, Object { revision, spec });
    revision
}

fn delete(state: &mut State, key: &(String, String)) {
    if let Some(known) = state.objects.remove(key) {
        state.revision += 1;
        let revision = state.revision;
        state.changes.push((revision, key.0.clone(), key.1.clone(), known.spec, true));
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"createdAt\":9,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}",
        quote(name)
    )
}
