//! Tonic server for entries.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use cuminpick_backends::BackendRequest;
use cuminpick_backends::HeaderPair;
use cuminpick_operators::journal::Journal;
use cuminpick_operators::metrics::Metrics;
use cuminpick_peers::convert::load_to_wire;
use cuminpick_peers::message_bytes;
use cuminpick_peers::wire;
use cuminpick_peers::wire::agent_server::Agent;
use cuminpick_peers::wire::agent_server::AgentServer;
use cuminpick_peers::wire::run_frame::Body as FrameBody;
use slog::o;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::decide::Decider;
use crate::decide::OfferAnswer;
use crate::worker::WorkerJob;
use crate::worker::WorkerPool;

/// Frames of one answer that wait for the entry.
const FRAME_RING: usize = 32;
/// Largest request from an entry, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;
/// Header that tells a backend server how many events to leave out.
const RESUME_HEADER: &str = "cuminpick-resume-after";
/// Header that tells a backend server the request's identity.
const REQUEST_ID_HEADER: &str = "cuminpick-request-id";

/// What the server works with.
pub struct ServeContext {
    /// Way to the decisions.
    pub decider: Decider,
    /// Journal of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Threads for answers.
    pub workers: WorkerPool,
}

/// Serves entries on `address` until the process ends.
pub async fn run_serve(
    context: ServeContext,
    address: SocketAddr,
) -> Result<(), tonic::transport::Error> {
    let service =
        AgentServer::new(AgentService { context }).max_decoding_message_size(MAX_REQUEST_BYTES);
    tonic::transport::Server::builder().tcp_nodelay(true).add_service(service).serve(address).await
}

struct AgentService {
    context: ServeContext,
}

type FrameStream = Pin<Box<dyn Stream<Item = Result<wire::RunFrame, Status>> + Send>>;

#[tonic::async_trait]
impl Agent for AgentService {
    type RunStream = FrameStream;

    async fn run(
        &self,
        request: Request<wire::RunRequest>,
    ) -> Result<Response<FrameStream>, Status> {
        let run = request.into_inner();
        let context = &self.context;
        context.journal.merge(run.clock);
        let request_id = format!("{:016x}", run.request);
        let (frames, stream) = mpsc::channel(FRAME_RING);
        match context.decider.offer(run.request, run.attempt, &run.class_name, run.fill_percent) {
            OfferAnswer::Admitted { repeatable } => {
                let details = o!("attempt" => run.attempt, "entry" => run.entry.clone());
                context.journal.note("admitted", Some(&request_id), details);
                context.metrics.count_request(&run.class_name, "admitted");
                self.start_job(run, request_id, repeatable, frames);
            }
            OfferAnswer::Refused(reason, retry_after) => {
                let details = o!("attempt" => run.attempt, "reason" => reason.name());
                context.journal.note("refused", Some(&request_id), details);
                context.metrics.count_refusal(reason.name());
                let body = FrameBody::Refused(wire::Refused {
                    reason: reason.name().to_string(),
                    retry_after_ms: retry_after.as_millis() as u64,
                });
                let _ = frames.try_send(Ok(self.single_frame(&run, body)));
            }
        }
        Ok(Response::new(Box::pin(ReceiverStream::new(stream))))
    }

    async fn probe(
        &self,
        request: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::LoadFigure>, Status> {
        let context = &self.context;
        let probe = request.into_inner();
        context.metrics.count_control("probe", "in", message_bytes(&probe));
        context.journal.merge(probe.clock);
        let figure = self.figure();
        context.metrics.count_control("probe", "out", message_bytes(&figure));
        Ok(Response::new(figure))
    }
}

impl AgentService {
    fn start_job(
        &self,
        run: wire::RunRequest,
        request_id: String,
        repeatable: bool,
        frames: mpsc::Sender<Result<wire::RunFrame, Status>>,
    ) {
        let (request, attempt) = (run.request, run.attempt);
        let unable = self.single_frame(
            &run,
            FrameBody::Failed(wire::Failed {
                reason: "no thread can be started; raise the process's limits".to_string(),
                not_run: true,
            }),
        );
        let call = backend_request(run, &request_id, repeatable);
        let job = Box::new(WorkerJob { request, attempt, request_id, call, frames });
        if let Err(job) = self.context.workers.run(job) {
            self.context.decider.event(cuminpick::agent::AgentEvent::Ended {
                request,
                attempt,
                succeeded: true,
            });
            let _ = job.frames.try_send(Ok(unable));
        }
    }

    fn single_frame(&self, run: &wire::RunRequest, body: FrameBody) -> wire::RunFrame {
        wire::RunFrame {
            request: run.request,
            attempt: run.attempt,
            sequence: 0,
            load: Some(self.figure()),
            body: Some(body),
        }
    }

    fn figure(&self) -> wire::LoadFigure {
        load_to_wire(self.context.decider.load(), self.context.journal.stamp())
    }
}

fn backend_request(run: wire::RunRequest, request_id: &str, repeatable: bool) -> BackendRequest {
    let mut headers: Vec<HeaderPair> =
        run.headers.into_iter().map(|header| (header.name, header.value)).collect();
    headers.retain(|(name, _)| name != RESUME_HEADER && name != REQUEST_ID_HEADER);
    headers.push((REQUEST_ID_HEADER.to_string(), request_id.as_bytes().to_vec()));
    if run.resume_after > 0 {
        headers.push((RESUME_HEADER.to_string(), run.resume_after.to_string().into_bytes()));
    }
    BackendRequest { path: run.path, headers, body: run.body, fresh_connection: !repeatable }
}
