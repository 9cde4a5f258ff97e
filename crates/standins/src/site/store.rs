//! Stand-in for the platform's metadata store: versioned objects with list, watch and
//! conditional writes, all in memory.
//!
//! The store can come back from an older copy. What its operators and servers wrote, by
//! [`SiteStore::put`] and [`SiteStore::remove`], is then written again after a while; what the
//! system wrote by calls is not.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cuminpick::ids::ChoiceRng;
use cuminpick::store_history::StoreRevision;
use cuminpick_platform::platform_side::ObjectChange;
use cuminpick_platform::platform_side::StoreCall;
use cuminpick_platform::platform_side::add_era;
use cuminpick_platform::platform_side::decode_store_call;
use cuminpick_platform::platform_side::encode_changes;
use cuminpick_platform::platform_side::encode_object;
use cuminpick_platform::platform_side::encode_page;
use cuminpick_platform::store::StoreObject;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;

use crate::site::SiteBody;
use crate::site::SiteRequest;
use crate::site::full_answer;
use crate::site::json_answer;
use crate::site::listen;
use crate::site::serve;

/// Maximum number of objects on a page of a list.
const PAGE_SIZE: usize = 50;
/// Bytes of contents after which a page of a list ends.
const PAGE_BYTES: usize = 1 << 20;

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

/// How the store comes back from an older copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReturn {
    /// When the copy was made.
    pub copied_at: Instant,
    /// Time within which operators and servers write their objects again, in random order.
    pub rewritten_within: Duration,
    /// Whether watches that wait survive; otherwise their connections are closed.
    pub keeps_watches: bool,
    /// Seed of the order and times of the writes.
    pub seed: u64,
}

/// Kind and name of an object.
type ObjectKey = (String, String);

/// Change of the store's state, kept to go back to an earlier one.
struct StoredChange {
    at: Instant,
    key: ObjectKey,
    /// The object after the change; for a removal, its last state at the change's revision.
    object: StoreObject,
    removed: bool,
}

struct StoreState {
    objects: BTreeMap<ObjectKey, StoreObject>,
    revision: StoreRevision,
    changes: Vec<StoredChange>,
    compacted_revision: StoreRevision,
    mode: StoreMode,
    list_delays: BTreeMap<String, Duration>,
    call_count: u64,
    /// Calls that were received, by the kind of their objects.
    kind_calls: BTreeMap<String, u64>,
    era: u64,
    /// Text of the header that states the era, in place of its number; empty for no header.
    era_text: Option<String>,
    keeps_watches: bool,
    /// Number of times that the waiting watches were cut off.
    cut_count: u64,
    /// Latest content that operators and servers gave to each object; `None` if removed.
    outside_writes: BTreeMap<ObjectKey, Option<Value>>,
    /// Texts that answers hold in place of contents, by the content that stands for each.
    raw_texts: BTreeMap<String, String>,
}

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            objects: BTreeMap::new(),
            revision: 0,
            changes: Vec::new(),
            compacted_revision: 0,
            mode: StoreMode::Normal,
            list_delays: BTreeMap::new(),
            call_count: 0,
            kind_calls: BTreeMap::new(),
            era: 1,
            era_text: None,
            keeps_watches: false,
            cut_count: 0,
            outside_writes: BTreeMap::new(),
            raw_texts: BTreeMap::new(),
        }
    }
}

impl StoreState {
    /// Returns an answer in which the raw texts stand in place of their contents.
    fn answer(&self, status: StatusCode, body: &Value) -> Response<SiteBody> {
        let mut text = body.to_string();
        for (content, raw) in &self.raw_texts {
            text = text.replace(&Value::String(content.clone()).to_string(), raw);
        }
        full_answer(status, HeaderMap::new(), text)
    }

    /// Returns the size of a content in an answer.
    fn content_bytes(&self, content: &Value) -> usize {
        let raw = content.as_str().and_then(|content| self.raw_texts.get(content));
        raw.map_or_else(|| content.to_string().len(), String::len)
    }

    /// Writes an object under the next revision.
    fn write(&mut self, key: ObjectKey, content: Value) -> StoreObject {
        self.revision += 1;
        let object = StoreObject { name: key.1.clone(), revision: self.revision, content };
        self.objects.insert(key.clone(), object.clone());
        self.record_change(key, object.clone(), false);
        object
    }

    /// Removes an object, if it exists, under the next revision.
    fn delete(&mut self, key: ObjectKey) {
        if let Some(object) = self.objects.remove(&key) {
            self.revision += 1;
            let object = StoreObject { revision: self.revision, ..object };
            self.record_change(key, object, true);
        }
    }

    fn record_change(&mut self, key: ObjectKey, object: StoreObject, removed: bool) {
        self.changes.push(StoredChange { at: Instant::now(), key, object, removed });
    }

    /// Returns the changes of a kind after a revision, as events.
    fn events(&self, kind: &str, revision: StoreRevision) -> Vec<ObjectChange> {
        let after = revision.max(self.compacted_revision);
        let changes = self.changes.iter();
        let newer = changes.filter(|change| change.key.0 == kind && change.object.revision > after);
        let events = newer
            .map(|change| ObjectChange { object: change.object.clone(), removed: change.removed });
        events.collect()
    }

    /// Goes back to the state at `until`.
    fn go_back(&mut self, until: Instant) {
        self.changes.retain(|change| change.at <= until);
        self.revision = self.changes.last().map_or(0, |change| change.object.revision);
        self.compacted_revision = self.compacted_revision.min(self.revision);
        self.objects.clear();
        for change in &self.changes {
            if change.removed {
                self.objects.remove(&change.key);
            } else {
                self.objects.insert(change.key.clone(), change.object.clone());
            }
        }
        self.era += 1;
    }
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
        let key = (kind.to_string(), name.to_string());
        self.lock().outside_writes.insert(key, Some(content.clone()));
        self.write(kind, name, content);
        self.changed.notify_waiters();
    }

    /// Writes an object whose content is a text that need not be JSON.
    pub fn put_text(&self, kind: &str, name: &str, text: &str) {
        let content = {
            let mut state = self.lock();
            let content = format!("raw text {}", state.raw_texts.len());
            state.raw_texts.insert(content.clone(), text.to_string());
            content
        };
        self.put(kind, name, Value::String(content));
    }

    /// Removes an object if it exists.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().outside_writes.insert((kind.to_string(), name.to_string()), None);
        self.delete(kind, name);
        self.changed.notify_waiters();
    }

    /// Loses everything written since the copy was made, and has operators and servers write
    /// their objects again.
    pub fn restore(&self, how: StoreReturn) {
        let mut rng = ChoiceRng::new(how.seed);
        let mut state = self.lock();
        state.go_back(how.copied_at);
        state.keeps_watches = how.keeps_watches;
        let writes = state.outside_writes.iter().filter(|(key, content)| {
            state.objects.get(*key).map(|object| &object.content) != content.as_ref()
        });
        let lost: Vec<ObjectKey> = writes.map(|(key, _)| key.clone()).collect();
        drop(state);
        for key in lost {
            let delay = how.rewritten_within.mul_f64(rng.below(1_000) as f64 / 1_000.0);
            let store = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                store.write_again(&key);
            });
        }
        self.changed.notify_waiters();
    }

    /// Sets the text that states the era in place of its number; empty for no statement.
    pub fn state_era(&self, text: &str) {
        self.lock().era_text = Some(text.to_string());
    }

    /// Writes or removes an object as its operator or server last did.
    fn write_again(&self, key: &ObjectKey) {
        let content = self.lock().outside_writes.get(key).cloned();
        match content {
            Some(Some(content)) => drop(self.write(&key.0, &key.1, content)),
            Some(None) => self.delete(&key.0, &key.1),
            None => {}
        }
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
        drop(state);
        self.changed.notify_waiters();
    }

    /// Closes the connections of all watches that are waiting.
    pub fn cut_watches(&self) {
        self.lock().cut_count += 1;
        self.changed.notify_waiters();
    }

    /// Returns an object; `None` if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<StoreObject> {
        self.lock().objects.get(&(kind.to_string(), name.to_string())).cloned()
    }

    /// Returns the number of calls for objects of a kind that were received.
    pub fn kind_calls(&self, kind: &str) -> u64 {
        self.lock().kind_calls.get(kind).copied().unwrap_or_default()
    }

    fn count_call(&self, call: &StoreCall) {
        let (StoreCall::List { kind, .. }
        | StoreCall::Watch { kind, .. }
        | StoreCall::Get { kind, .. }
        | StoreCall::Create { kind, .. }
        | StoreCall::Replace { kind, .. }
        | StoreCall::Remove { kind, .. }) = call;
        *self.lock().kind_calls.entry(kind.clone()).or_default() += 1;
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
        state.write(key, content)
    }

    fn delete(&self, kind: &str, name: &str) {
        self.lock().delete((kind.to_string(), name.to_string()));
    }

    /// Answers a call; `None` closes the connection without an answer.
    pub async fn answer(self, request: SiteRequest) -> Option<Response<SiteBody>> {
        let mut answer = self.answer_call(request).await?;
        let state = self.lock();
        let era = state.era_text.clone().unwrap_or_else(|| state.era.to_string());
        if !era.is_empty() {
            add_era(answer.headers_mut(), &era);
        }
        drop(state);
        Some(answer)
    }

    async fn answer_call(&self, request: SiteRequest) -> Option<Response<SiteBody>> {
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
        self.count_call(&call);
        let is_write = !matches!(
            call,
            StoreCall::List { .. } | StoreCall::Watch { .. } | StoreCall::Get { .. }
        );
        let answer = self.execute(call).await?;
        if is_write {
            self.changed.notify_waiters();
        }
        (mode != StoreMode::LoseWriteAnswers || !is_write).then_some(answer)
    }

    /// Executes a call; `None` closes its connection.
    async fn execute(&self, call: StoreCall) -> Option<Response<SiteBody>> {
        if let StoreCall::Watch { kind, revision, wait } = &call {
            return self.wait_changes(kind, *revision, *wait).await;
        }
        Some(self.execute_at_once(call).await)
    }

    async fn execute_at_once(&self, call: StoreCall) -> Response<SiteBody> {
        match call {
            StoreCall::Watch { .. } => error_answer(StatusCode::BAD_REQUEST),
            StoreCall::List { kind, after } => {
                let delay = self.lock().list_delays.get(&kind).copied().unwrap_or_default();
                tokio::time::sleep(delay).await;
                self.list_page(&kind, after.as_deref())
            }
            StoreCall::Get { kind, name } => match self.get(&kind, &name) {
                Some(object) => self.lock().answer(StatusCode::OK, &encode_object(&object)),
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
                    self.delete(&kind, &name);
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
        let listed = state.objects.iter().filter(|((object_kind, name), _)| {
            object_kind == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let mut objects: Vec<StoreObject> = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (_, object) in listed {
            let object_bytes = state.content_bytes(&object.content);
            let is_full = !objects.is_empty() && bytes + object_bytes > PAGE_BYTES;
            if objects.len() == PAGE_SIZE || is_full {
                has_more = true;
                break;
            }
            bytes += object_bytes;
            objects.push(object.clone());
        }
        state.answer(StatusCode::OK, &encode_page(&objects, has_more, state.revision))
    }

    /// Answers with the events of `kind` after `revision`, or with none once `wait` has passed.
    /// `None` closes the connection of a watch that is cut off, or that does not survive a return
    /// of the store.
    async fn wait_changes(
        &self,
        kind: &str,
        revision: StoreRevision,
        wait: Duration,
    ) -> Option<Response<SiteBody>> {
        let deadline = tokio::time::Instant::now() + wait;
        let (era, cut_count) = {
            let state = self.lock();
            (state.era, state.cut_count)
        };
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.mode != StoreMode::Normal && state.mode != StoreMode::LoseWriteAnswers {
                    return Some(error_answer(StatusCode::SERVICE_UNAVAILABLE));
                }
                let is_lost = state.era != era && !state.keeps_watches;
                if is_lost || state.cut_count != cut_count {
                    return None;
                }
                let is_unknown = state.era == era && revision > state.revision;
                if revision < state.compacted_revision || is_unknown {
                    return Some(error_answer(StatusCode::GONE));
                }
                let events = state.events(kind, revision);
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let changes = encode_changes(&events, state.revision);
                    return Some(state.answer(StatusCode::OK, &changes));
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

fn error_answer(status: StatusCode) -> Response<SiteBody> {
    json_answer(status, &json!({}))
}
