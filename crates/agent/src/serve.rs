//! gRPC server that receives attempts and load probes from entries.

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

/// Capacity of the queue of frames from an answer to its entry.
const FRAME_QUEUE_CAPACITY: usize = 32;
/// Largest request from an entry, in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 20;
/// Header with the number of events that the backend server skips when an answer is resumed.
const RESUME_HEADER: &str = "cuminpick-resume-after";
/// Header with the id of the request.
const REQUEST_ID_HEADER: &str = "cuminpick-request-id";

/// State that the gRPC server shares with the other threads.
pub struct ServeContext {
    /// Handle of the agent's state machine.
    pub decider: Decider,
    /// Structured log of the process.
    pub journal: Journal,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Threads that run admitted attempts.
    pub workers: WorkerPool,
}

/// Serves entries on `address` until the process exits; fails if it cannot listen there.
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
        let (frames, frame_stream) = mpsc::channel(FRAME_QUEUE_CAPACITY);
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
        Ok(Response::new(Box::pin(ReceiverStream::new(frame_stream))))
    }

    async fn probe(
        &self,
        request: Request<wire::ProbeRequest>,
    ) -> Result<Response<wire::LoadFigure>, Status> {
        let context = &self.context;
        let probe = request.into_inner();
        context.metrics.count_control("probe", "in", message_bytes(&probe));
        context.journal.merge(probe.clock);
        let report = self.load_report();
        context.metrics.count_control("probe", "out", message_bytes(&report));
        Ok(Response::new(report))
    }
}

impl AgentService {
    /// Runs an admitted attempt on a worker, or reports to the entry that none could start.
    fn start_job(
        &self,
        run: wire::RunRequest,
        request_id: String,
        repeatable: bool,
        frames: mpsc::Sender<Result<wire::RunFrame, Status>>,
    ) {
        let (request, attempt) = (run.request, run.attempt);
        let no_thread_frame = self.single_frame(
            &run,
            FrameBody::Failed(wire::Failed {
                reason: "no thread can be started; raise the process's limits".to_string(),
                not_run: true,
            }),
        );
        let backend_request = build_backend_request(run, &request_id, repeatable);
        let job = Box::new(WorkerJob { request, attempt, request_id, backend_request, frames });
        if let Err(job) = self.context.workers.run(job) {
            self.context.decider.handle_event(cuminpick::agent::AgentEvent::Ended {
                request,
                attempt,
                succeeded: true,
            });
            let _ = job.frames.try_send(Ok(no_thread_frame));
        }
    }

    /// Builds the only frame of an answer that a worker does not run.
    fn single_frame(&self, run: &wire::RunRequest, body: FrameBody) -> wire::RunFrame {
        wire::RunFrame {
            request: run.request,
            attempt: run.attempt,
            sequence: 0,
            load: Some(self.load_report()),
            body: Some(body),
        }
    }

    fn load_report(&self) -> wire::LoadFigure {
        load_to_wire(self.context.decider.load(), self.context.journal.stamp())
    }
}

/// Builds the request for the backend server; headers set by the agent replace the caller's.
fn build_backend_request(
    run: wire::RunRequest,
    request_id: &str,
    repeatable: bool,
) -> BackendRequest {
    let mut headers: Vec<HeaderPair> =
        run.headers.into_iter().map(|header| (header.name, header.value)).collect();
    headers.retain(|(name, _)| name != RESUME_HEADER && name != REQUEST_ID_HEADER);
    headers.push((REQUEST_ID_HEADER.to_string(), request_id.as_bytes().to_vec()));
    if run.resume_after > 0 {
        headers.push((RESUME_HEADER.to_string(), run.resume_after.to_string().into_bytes()));
    }
    BackendRequest { path: run.path, headers, body: run.body, fresh_connection: !repeatable }
}
