//! HTTP/1.1 server for callers: receives requests, sends answers and refusals.
//!
//! [`CallerServer`] reads each request completely, within limits, and passes it to a
//! [`CallerHandler`]. An answer has a complete body or a stream whose chunks are flushed as
//! they arrive. When a caller disconnects, the handler's future or the stream's receiver is
//! dropped; the handler notices the disconnect by that.

pub mod answer;
pub mod request;
pub mod server;

pub use crate::answer::AnswerBody;
pub use crate::answer::AnswerChunk;
pub use crate::answer::CallerAnswer;
pub use crate::request::CallerRequest;
pub use crate::server::CallerHandler;
pub use crate::server::CallerServer;
pub use crate::server::ServerLimits;
