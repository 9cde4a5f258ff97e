//! HTTP server for callers, with bounded connections, headers, bodies and time.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use cuminpick::refusal::Refusal;
use cuminpick::refusal::RefusalKind;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::answer::CallerAnswer;
use crate::answer::refusal_answer;
use crate::answer::to_response;
use crate::request::BodyBudget;
use crate::request::CallerRequest;
use crate::request::read_request;

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Bytes of bodies that are read at a time, over all connections.
const BODY_BUDGET_BYTES: usize = 32 << 20;
/// Time for which a connection above the bound is kept to tell its refusal.
const TURN_AWAY_TIME: Duration = Duration::from_millis(200);
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Wait for a further connection in the backlog of a closing listener.
const BACKLOG_WAIT: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Future of an answer.
pub type AnswerFuture = Pin<Box<dyn Future<Output = CallerAnswer> + Send>>;

/// Takes requests that were read whole.
pub trait CallerHandler: Send + Sync {
    /// Gives a new request its identity.
    fn next_request_id(&self) -> String;

    /// Answers a request. The future is dropped when the caller goes away.
    fn handle(&self, request_id: String, request: CallerRequest) -> AnswerFuture;

    /// Notes a refusal that the server gave by itself.
    fn record_refusal(&self, request_id: &str, refusal: &Refusal);
}

/// Bounds of a [`CallerServer`].
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections at a time.
    pub max_connections: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a caller may take to send a request's head, and its body.
    pub read_timeout: Duration,
}

/// HTTP server for callers.
pub struct CallerServer {
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    budget: Arc<BodyBudget>,
    slots: Arc<Semaphore>,
}

impl CallerServer {
    /// Listens on `address`; needs a tokio runtime.
    pub fn bind(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn CallerHandler>,
    ) -> std::io::Result<CallerServer> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(CallerServer {
            listener: TcpListener::from_std(socket.into())?,
            limits,
            handler,
            budget: Arc::new(BodyBudget::new(BODY_BUDGET_BYTES)),
            slots: Arc::new(Semaphore::new(limits.max_connections)),
        })
    }

    /// Serves until `closing` becomes true; connections finish what they have.
    pub async fn serve(self, closing: watch::Receiver<bool>) {
        let mut stopped = closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stopped.wait_for(|closed| *closed) => break,
            };
            match accepted {
                Ok((stream, _)) => self.take(stream, &closing),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
        self.take_backlog(&closing).await;
        drop(self.listener);
        let all = self.limits.max_connections as u32;
        let _ = self.slots.acquire_many(all).await;
    }

    /// Takes connections that were opened before the listener closes.
    async fn take_backlog(&self, closing: &watch::Receiver<bool>) {
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(BACKLOG_WAIT, self.listener.accept()).await
        {
            self.take(stream, closing);
        }
    }

    fn take(&self, stream: TcpStream, closing: &watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() else {
            tokio::spawn(turn_away(stream, Arc::clone(&self.handler)));
            return;
        };
        let connection = ConnectionContext {
            limits: self.limits,
            handler: Arc::clone(&self.handler),
            budget: Arc::clone(&self.budget),
        };
        let closing = closing.clone();
        tokio::spawn(async move {
            connection.run(stream, closing).await;
            drop(slot);
        });
    }
}

#[derive(Clone)]
struct ConnectionContext {
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    budget: Arc<BodyBudget>,
}

impl ConnectionContext {
    async fn run(self, stream: TcpStream, mut closing: watch::Receiver<bool>) {
        let context = self.clone();
        let service = service_fn(move |request| {
            let context = context.clone();
            async move { Ok::<_, Infallible>(to_response(context.answer(request).await)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|closed| *closed) => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn answer(self, request: Request<Incoming>) -> CallerAnswer {
        let request_id = self.handler.next_request_id();
        let reading = read_request(
            request,
            self.limits.max_body_bytes,
            self.limits.read_timeout,
            &self.budget,
        );
        match reading.await {
            Ok(request) => self.handler.handle(request_id, request).await,
            Err(refusal) => {
                self.handler.record_refusal(&request_id, &refusal);
                refusal_answer(&request_id, &refusal)
            }
        }
    }
}

/// Tells a connection above the bound that there are too many.
async fn turn_away(mut stream: TcpStream, handler: Arc<dyn CallerHandler>) {
    let request_id = handler.next_request_id();
    let refusal = Refusal::not_run(RefusalKind::TooManyOpen, Some(Duration::from_secs(1)));
    handler.record_refusal(&request_id, &refusal);
    let answer = refusal_answer(&request_id, &refusal);
    let AnswerBody::Full(body) = answer.body else {
        return;
    };
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/problem+json\r\n\
         retry-after: 1\r\ncuminpick-request-id: {request_id}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    let _ = stream.shutdown().await;
    tokio::time::sleep(TURN_AWAY_TIME).await;
}
