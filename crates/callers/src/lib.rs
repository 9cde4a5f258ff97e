//! Callers as a peer: HTTP/1.1 in, answers and refusals out.
//!
//! [`CallerServer`] reads each request whole within bounds and hands it to a
//! [`CallerHandler`]. An answer is whole or a stream whose pieces are flushed as
//! they come. A caller that goes away drops the handler's future or the
//! stream's receiver, which is how the handler hears of it.

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
