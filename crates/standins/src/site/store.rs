//! Stand-in of the platform's metadata store.

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

/// Objects on a page.
const PAGE_OBJECTS: usize = 50;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// As it should.
    #[default]
    Normal,
    /// 503 to each call.
    Unavailable,
    /// Closes each connection.
    Reset,
    /// Carries calls out and loses the answers to writes.
    LoseWriteAnswers,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), StoreObject>,
    revision: StoreRevision,
    history: Vec<(StoreRevision, String, StoreEvent)>,
    dropped_up_to: StoreRevision,
    mode: StoreMode,
    calls: u64,
}

/// The store; cheap to clone.
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
        let serving = store.clone();
        tokio::spawn(serve(listener, move |request| serving.clone().answer(request)));
        Ok((store, address))
    }

    /// Writes an object as operators and servers do.
    pub fn put(&self, kind: &str, name: &str, content: Value) {
        self.write(kind, name, content);
        self.changed.notify_waiters();
    }

    /// Removes an object.
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

    /// Sets how the store answers from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Drops the history, so that watches from before get none.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.dropped_up_to = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Reads an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoreObject> {
        self.lock().objects.get(&(kind.to_string(), name.to_string())).cloned()
    }

    /// Calls that were made.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, kind: &str, name: &str, content: Value) -> StoreObject {
        let mut state = self.lock();
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = state.objects.get(&key).filter(|known| known.content == content) {
            return known.clone();
        }
        state.revision += 1;
        let revision = state.revision;
        let object = StoreObject { name: name.to_string(), revision, content };
        state.objects.insert(key, object.clone());
        let event = StoreEvent { object: object.clone(), removed: false };
        state.history.push((revision, kind.to_string(), event));
        object
    }

    /// Answers a call; `None` loses the answer.
    pub async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            StoreMode::Unavailable => return Some(refusal(StatusCode::SERVICE_UNAVAILABLE)),
            StoreMode::Reset => return None,
            StoreMode::Normal | StoreMode::LoseWriteAnswers => {}
        }
        let Some(call) = decode_store_call(&request.method, &request.uri, &request.body) else {
            return Some(refusal(StatusCode::BAD_REQUEST));
        };
        let write = !matches!(
            call,
            StoreCall::List { .. } | StoreCall::Watch { .. } | StoreCall::Get { .. }
        );
        let answer = self.carry_out(call).await;
        if write {
            self.changed.notify_waiters();
        }
        (mode != StoreMode::LoseWriteAnswers || !write).then_some(answer)
    }

    async fn carry_out(&self, call: StoreCall) -> Response<SiteBody> {
        match call {
            StoreCall::List { kind, after } => self.page(&kind, after.as_deref()),
            StoreCall::Watch { kind, revision, wait } => self.watch(&kind, revision, wait).await,
            StoreCall::Get { kind, name } => match self.get(&kind, &name) {
                Some(object) => json_answer(StatusCode::OK, &encode_object(&object)),
                None => refusal(StatusCode::NOT_FOUND),
            },
            StoreCall::Create { kind, name, content } => match self.get(&kind, &name) {
                Some(object) => json_answer(StatusCode::CONFLICT, &encode_object(&object)),
                None => self.written(&kind, &name, content),
            },
            StoreCall::Replace { kind, name, revision, content } => match self.get(&kind, &name) {
                None => refusal(StatusCode::NOT_FOUND),
                Some(object) if revision.is_some_and(|wanted| wanted != object.revision) => {
                    json_answer(StatusCode::CONFLICT, &encode_object(&object))
                }
                Some(_) => self.written(&kind, &name, content),
            },
            StoreCall::Remove { kind, name, revision } => match self.get(&kind, &name) {
                None => refusal(StatusCode::NOT_FOUND),
                Some(object) if revision.is_some_and(|wanted| wanted != object.revision) => {
                    json_answer(StatusCode::CONFLICT, &encode_object(&object))
                }
                Some(_) => {
                    self.remove(&kind, &name);
                    json_answer(StatusCode::OK, &json!({}))
                }
            },
        }
    }

    fn written(&self, kind: &str, name: &str, content: Value) -> Response<SiteBody> {
        let object = self.write(kind, name, content);
        json_answer(StatusCode::OK, &encode_object(&object))
    }

    fn page(&self, kind: &str, after: Option<&str>) -> Response<SiteBody> {
        let state = self.lock();
        let mut objects: Vec<StoreObject> = state
            .objects
            .iter()
            .filter(|((known, name), _)| {
                known == kind && after.is_none_or(|after| name.as_str() > after)
            })
            .map(|(_, object)| object.clone())
            .collect();
        let more = objects.len() > PAGE_OBJECTS;
        objects.truncate(PAGE_OBJECTS);
        json_answer(StatusCode::OK, &encode_page(&objects, more, state.revision))
    }

    async fn watch(
        &self,
        kind: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Response<SiteBody> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.mode != StoreMode::Normal && state.mode != StoreMode::LoseWriteAnswers {
                    return refusal(StatusCode::SERVICE_UNAVAILABLE);
                }
                if revision < state.dropped_up_to {
                    return refusal(StatusCode::GONE);
                }
                let newer = state
                    .history
                    .iter()
                    .filter(|(at, known, _)| *at > revision && known == kind)
                    .map(|(_, _, event)| event.clone());
                let events: Vec<StoreEvent> = newer.collect();
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    let changes = StoreChanges { events, revision: state.revision };
                    return json_answer(StatusCode::OK, &encode_changes(&changes));
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

fn refusal(status: StatusCode) -> Response<SiteBody> {
    json_answer(status, &json!({}))
}
