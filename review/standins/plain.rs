//! Stand-in for an engine of a plain service, such as bookings.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::base::*;

const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// A request that reached an engine.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    /// Whether the engine ran it, and didn't turn it away.
    pub ran: bool,
}

struct Inner {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u64,
    work: Duration,
    running: AtomicUsize,
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    record: Record,
}

#[derive(Clone)]
pub struct Engine {
    inner: Arc<Inner>,
    ending: Option<Ending>,
}

impl Engine {
    pub fn start(
        service: &str,
        zone: &str,
        address: SocketAddr,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Engine> {
        let mut engine = Engine {
            ending: None,
            inner: Arc::new(Inner {
                id: fresh_id("i-"),
                service: service.into(),
                zone: zone.into(),
                address,
                born: unix_ms(),
                work,
                running: AtomicUsize::new(0),
                ended: AtomicBool::new(false),
                runs: Mutex::new(Vec::new()),
                record: record.clone(),
            }),
        };
        let handler = engine.clone();
        let served = serve(address, move |request, writer| handler.handle(request, writer))?;
        engine.ending = Some(served);
        Ok(engine)
    }

    pub fn id(&self) -> String {
        self.inner.id.clone()
    }

    /// The engine's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Inner { service, zone, address, born, .. } = &*self.inner;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"seqNo\":4,\"born\":{born}}}"
        )
    }

    /// Ends the engine: its connections close, and it takes no more.
    pub fn end(&self) {
        self.inner.ended.store(true, Ordering::Relaxed);
        if let Some(ending) = &self.ending {
            ending.end();
        }
    }

    pub fn runs(&self) -> Vec<Run> {
        self.inner.runs.lock().unwrap().clone()
    }

    fn handle(&self, request: Req, writer: &mut TcpStream) -> std::io::Result<bool> {
        let inner = &*self.inner;
        if inner.ended.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let attempt = request.header("x-request-attempt-id").unwrap_or("").to_string();
        let running = inner.running.load(Ordering::Relaxed);
        let load = (
            "X-Engine-Load",
            format!("{},{},{SLOTS}", running.min(SLOTS), running.saturating_sub(SLOTS)),
        );
        if request.path() == "/healthz" {
            return answer(writer, 200, &[("X-Instance-Id", inner.id.clone()), load], b"");
        }
        let echo = ("X-Request-Attempt-Id", attempt.clone());
        let mut run = Run { at: Instant::now(), ran: false };
        let refuse = |writer: &mut TcpStream, run: Run, status: u16| {
            inner.runs.lock().unwrap().push(run);
            let headers = [echo.clone(), ("X-Not-Executed", "1".into()), load.clone()];
            answer(writer, status, &headers, b"")
        };
        if request.header("x-expect-instance").is_some_and(|expected| expected != inner.id) {
            return answer(writer, 421, &[echo, ("X-Instance-Id", inner.id.clone())], b"");
        }
        if attempt.is_empty() {
            return refuse(writer, run, 400);
        }
        if running >= SLOTS + QUEUE {
            return refuse(writer, run, 503);
        }
        run.ran = true;
        inner.runs.lock().unwrap().push(run);
        inner.record.line(format!(
            "run {attempt} at {} {} {} body {} bytes",
            inner.id,
            request.method,
            request.target,
            request.body.len()
        ));
        inner.running.fetch_add(1, Ordering::Relaxed);
        std::thread::sleep(inner.work);
        inner.running.fetch_sub(1, Ordering::Relaxed);
        if inner.ended.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let seal = ("X-Response-Seal", format!("s.{attempt}"));
        answer(writer, 200, &[echo, seal, load], format!("done {attempt}").as_bytes())
    }
}
