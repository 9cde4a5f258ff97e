//! Stand-in for the platform's metadata store: versioned objects with list, watch and
//! conditional writes, all in memory.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use cuminpick_platform::platform_side::StoreCall;
use cuminpick_platform::platform_side::decode_store_call;
use cuminpick_platform::platform_side::encode_changes;
use cuminpick_platform::platform_side::encode_object;
use cuminpick_platform::platform_side::encode_page;
use cuminpick_platform::store::StoreChanges;
use cuminpick_platform::store::StoreEvent;
use cuminpick_platform::store::StoreObject;
use cuminpick_platform::store::StoreRevision;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::site::SiteBody;
use crate::site::SiteRequest;
use crate::site::json_answer;
use crate::site::listen;
use crate::site::serve;

/// Maximum number of objects on a page of a list.
const PAGE_SIZE: usize = 50;

/// How the store answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Answers as specified.
    #[default]
    Normal,
    /// Answers each call with status 503.
    Unavailable,
    /// Closes the connection of each call without an answer.
    Reset,
    /// Executes calls but closes the connections of writes without an answer.
    LoseWriteAnswers,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), StoreObject>,
    revision: StoreRevision,
    history: Vec<(StoreRevision, String, StoreEvent)>,
    compacted_revision: StoreRevision,
    mode: StoreMode,
    list_delays: BTreeMap<String, Duration>,
    call_count: u64,
}

/// Handle of the store; clones share the store.
#[derive(Clone, Default)]
pub struct SiteStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl SiteStore {
    /// Starts an empty store on a free port of `ip`.
    pub async fn start(ip: IpAddr) -> std::io::Result<(SiteStore, SocketAddr)> {
        let store = SiteStore::default();
        let (listener, address) = listen(ip).await?;
        let handler = store.clone();
        tokio::spawn(serve(listener, move |request| handler.clone().answer(request)));
        Ok((store, address))
    }

    /// Writes an object unconditionally; unchanged content keeps its revision.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.write(kind, name, content);
        self.changed.notify_waiters();
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.lock();
        if let Some(object) = state.objects.remove(&(kind.to_string(), name.to_string())) {
            state.revision += 1;
            let revision = state.revision;
            let event = StoreEvent { object: StoreObject { revision, ..object }, removed: true };
            state.history.push((revision, kind.to_string(), event));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets how the store answers calls, including watches that are waiting.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Delays the listings of a kind.
    pub fn delay_listings(&self, kind: &str, delay: Duration) {
        self.lock().list_delays.insert(kind.to_string(), delay);
    }

    /// Drops the history, so that watches from an earlier revision fail with status 410.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.compacted_revision = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns an object; `None` if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoreObject> {
        self.lock().objects.get(&(kind.to_string(), name.to_string())).cloned()
    }

    /// Returns the number of calls that were received.
    pub fn call_count(&self) -> u64 {
        self.lock().call_count
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, kind: &str, name: &str, content: Value) -> StoreObject {
        let mut state = self.lock();
        let key = (kind.to_string(), name.to_string());
        if let Some(current) = state.objects.get(&key).filter(|current| current.content == content)
        {
            return current.clone();
        }
        state.revision += 1;
        let revision = state.revision;
        let object = StoreObject { name: name.to_string(), revision, content };
        state.objects.insert(key, object.clone());
        let event = StoreEvent { object: object.clone(), removed: false };
        state.history.push((revision, kind.to_string(), event));
        object
    }

    /// Answers a call; `None` closes the connection without an answer.
    pub async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        let mode = {
            let mut state = self.lock();
            state.call_count += 1;
            state.mode
        };
        match mode {
            StoreMode::Unavailable => return Some(error_answer(StatusCode::SERVICE_UNAVAILABLE)),
            StoreMode::Reset => return None,
            StoreMode::Normal | StoreMode::LoseWriteAnswers => {}
        }
        let Some(call) = decode_store_call(&request.method, &request.uri, &request.body) else {
            return Some(error_answer(StatusCode::BAD_REQUEST));
        };
        let is_write = !matches!(
            call,
            StoreCall::List { .. } | StoreCall::Watch { .. } | StoreCall::Get { .. }
        );
        let answer = self.execute(call).await;
        if is_write {
            self.changed.notify_waiters();
        }
        (mode != StoreMode::LoseWriteAnswers || !is_write).then_some(answer)
    }

    async fn execute(&self, call: StoreCall) -> Response<SiteBody> {
        match call {
            StoreCall::List { kind, after } => {
                let delay = self.lock().list_delays.get(&kind).copied().unwrap_or_default();
                tokio::time::sleep(delay).await;
                self.list_page(&kind, after.as_deref())
            }
            StoreCall::Watch { kind, revision, wait } => {
                self.wait_changes(&kind, revision, wait).await
            }
            StoreCall::Get { kind, name } => match self.get(&kind, &name) {
                Some(object) => json_answer(StatusCode::OK, &encode_object(&object)),
                None => error_answer(StatusCode::NOT_FOUND),
            },
            StoreCall::Create { kind, name, content } => match self.get(&kind, &name) {
                Some(object) => json_answer(StatusCode::CONFLICT, &encode_object(&object)),
                None => self.write_and_answer(&kind, &name, content),
            },
            StoreCall::Replace { kind, name, revision, content } => match self.get(&kind, &name) {
                None => error_answer(StatusCode::NOT_FOUND),
                Some(object) if revision.is_some_and(|expected| expected != object.revision) => {
                    json_answer(StatusCode::CONFLICT, &encode_object(&object))
                }
                Some(_) => self.write_and_answer(&kind, &name, content),
            },
            StoreCall::Remove { kind, name, revision } => match self.get(&kind, &name) {
                None => error_answer(StatusCode::NOT_FOUND),
                Some(object) if revision.is_some_and(|expected| expected != object.revision) => {
                    json_answer(StatusCode::CONFLICT, &encode_object(&object))
                }
                Some(_) => {
                    self.remove(&kind, &name);
                    json_answer(StatusCode::OK, &json!({}))
                }
            },
        }
    }

    fn write_and_answer(&self, kind: &str, name: &str, content: Value) -> Response<SiteBody> {
        let object = self.write(kind, name, content);
        json_answer(StatusCode::OK, &encode_object(&object))
    }

    fn list_page(&self, kind: &str, after: Option<&str>) -> Response<SiteBody> {
        let state = self.lock();
        let mut objects: Vec<StoreObject> = state
            .objects
            .iter()
            .filter(|((object_kind, name), _)| {
                object_kind == kind && after.is_none_or(|after| name.as_str() > after)
            })
            .map(|(_, object)| object.clone())
            .collect();
        let has_more = objects.len() > PAGE_SIZE;
        objects.truncate(PAGE_SIZE);
        json_answer(StatusCode::OK, &encode_page(&objects, has_more, state.revision))
    }

    /// Answers with the events of `kind` after `revision`, or with none once `wait` has passed.
    async fn wait_changes(
        &self,
        kind: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Response<SiteBody> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.mode != StoreMode::Normal && state.mode != StoreMode::LoseWriteAnswers {
                    return error_answer(StatusCode::SERVICE_UNAVAILABLE);
                }
                if revision < state.compacted_revision {
                    return error_answer(StatusCode::GONE);
                }
                let new_events = state
                    .history
                    .iter()
                    .filter(|(at, event_kind, _)| *at > revision && event_kind == kind)
                    .map(|(_, _, event)| event.clone());
                let events: Vec<StoreEvent> = new_events.collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let changes = StoreChanges { events, revision: state.revision };
                    return json_answer(StatusCode::OK, &encode_changes(&changes));
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

fn error_answer(status: StatusCode) -> Response<SiteBody> {
    json_answer(status, &json!({}))
}
