//! HTTP server for callers, with limits on connections, head and body size, and read time.

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

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Maximum number of bytes of bodies that are being read, over all connections.
const BODY_BUDGET_BYTES: usize = 32 << 20;
/// Time for which a rejected connection is kept open, so that the caller can read the refusal.
const REJECT_LINGER: Duration = Duration::from_millis(200);
/// Delay after an error of `accept`, such as too many open files.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(20);
/// Time without a connection after which the backlog of a closing listener counts as empty.
const BACKLOG_ACCEPT_TIMEOUT: Duration = Duration::from_millis(10);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Future that resolves to the answer to a request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = CallerAnswer> + Send>>;

/// Handler of requests that were read completely.
pub trait CallerHandler: Send + Sync {
    /// Returns the id for a new request.
    fn next_request_id(&self) -> String;

    /// Answers a request. The future is dropped when the caller disconnects.
    fn handle(&self, request_id: String, request: CallerRequest) -> AnswerFuture;

    /// Records a refusal that the server sent without calling [`CallerHandler::handle`].
    fn record_refusal(&self, request_id: &str, refusal: &Refusal);
}

/// Limits of a [`CallerServer`].
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections; further ones are rejected.
    pub max_connections: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Timeout for reading the head of a request, and the same for its body.
    pub read_timeout: Duration,
}

/// HTTP/1.1 server for callers.
pub struct CallerServer {
    listener: TcpListener,
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    body_budget: Arc<BodyBudget>,
    permits: Arc<Semaphore>,
}

impl CallerServer {
    /// Listens on `address`; must be called within a tokio runtime.
    ///
    /// An error means that the address cannot be used, for example because it is in use.
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
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        Ok(CallerServer {
            listener: TcpListener::from_std(socket.into())?,
            limits,
            handler,
            body_budget: Arc::new(BodyBudget::new(BODY_BUDGET_BYTES)),
            permits: Arc::new(Semaphore::new(limits.max_connections)),
        })
    }

    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `closing` becomes true, then closes the listener and waits until the open
    /// requests have ended.
    pub async fn serve(self, closing: watch::Receiver<bool>) {
        let mut closing_signal = closing.clone();
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing_signal.wait_for(|closed| *closed) => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream, &closing),
                Err(_) => tokio::time::sleep(ACCEPT_ERROR_DELAY).await,
            }
        }
        self.accept_backlog(&closing).await;
        drop(self.listener);
        let all_permits = self.limits.max_connections as u32;
        let _ = self.permits.acquire_many(all_permits).await;
    }

    /// Serves the connections that were opened before the listener closes.
    async fn accept_backlog(&self, closing: &watch::Receiver<bool>) {
        while let Ok(Ok((stream, _))) =
            tokio::time::timeout(BACKLOG_ACCEPT_TIMEOUT, self.listener.accept()).await
        {
            self.spawn_connection(stream, closing);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, closing: &watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
            tokio::spawn(reject_connection(stream, Arc::clone(&self.handler)));
            return;
        };
        let connection = ConnectionContext {
            limits: self.limits,
            handler: Arc::clone(&self.handler),
            body_budget: Arc::clone(&self.body_budget),
        };
        let closing = closing.clone();
        tokio::spawn(async move {
            connection.run(stream, closing).await;
            drop(permit);
        });
    }
}

#[derive(Clone)]
struct ConnectionContext {
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    body_budget: Arc<BodyBudget>,
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
        let request_read = read_request(
            request,
            self.limits.max_body_bytes,
            self.limits.read_timeout,
            &self.body_budget,
        );
        match request_read.await {
            Ok(request) => self.handler.handle(request_id, request).await,
            Err(refusal) => {
                self.handler.record_refusal(&request_id, &refusal);
                refusal_answer(&request_id, &refusal)
            }
        }
    }
}

/// Answers a connection above the limit with a refusal and closes it.
async fn reject_connection(mut stream: TcpStream, handler: Arc<dyn CallerHandler>) {
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
    tokio::time::sleep(REJECT_LINGER).await;
}
