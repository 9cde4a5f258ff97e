//! Decisions of a load balancer for expert-parallel model groups.
//!
//! Every module here is pure: an event and the current time go in, actions come
//! out. There is no socket, thread or clock inside, so the same code runs under
//! the daemons, the randomised runs and `cuminpick replay`.
//!
//! A tour, in the order in which a request meets the modules:
//!
//! - [`config`] holds what operators state: class targets and take-outs.
//! - [`member`] knows the backend servers and entries, [`gossip`] spreads changes,
//!   [`fleet`] holds both for an entry; [`entry_assignment`] and [`watcher`] share out duties.
//! - [`entry`] handles the events of an entry ([`entry_event`]): it queues a request
//!   ([`queue`]), chooses a backend server ([`choose`]), refuses early when the expected wait
//!   is too long ([`rate`]), reserves capacity for other organisations ([`share`]) and retries
//!   within a budget ([`budget`]); [`replay`] checks recorded traces of these decisions.
//! - [`agent`] admits requests to one backend server, up to the limit from [`limit`].
//! - For the users' platform: [`routing`] finds a request's route, [`balance`] picks a
//!   backend server, [`retry`] decides on further attempts, [`event_stream`] keeps streams
//!   whole, [`admission`] and [`breaker`] hold streams back, [`deadlines`] tells which
//!   came back, [`silence`] which servers fell silent, [`crash_detection`] which requests were at a
//!   server that ended, [`quarantine`] which are held back for it; [`experts`] and [`demand`]
//!   plan expert maps, [`switch`] brings them into force by [`orders`], [`expert_counts`] and
//!   [`updates`] are messages between processes.
//! - [`answer`] checks that the frames of an answer belong together.
//! - [`refusal`] names every way in which a request is turned down.
//! - [`journal`] merges the logged events of all processes into causal order.
//!
//! ```
//! use std::time::Duration;
//!
//! use cuminpick::limit::AdmissionLimit;
//! use cuminpick::limit::LimitSettings;
//!
//! let mut limit = AdmissionLimit::new(LimitSettings::default());
//! let now = Duration::ZERO;
//! assert!(limit.try_admit(now));
//! limit.finish(now, true);
//! assert_eq!(limit.in_flight(), 0);
//! ```

pub mod admission;
pub mod agent;
pub mod answer;
pub mod balance;
pub mod breaker;
pub mod budget;
pub mod choose;
pub mod clock;
pub mod config;
pub mod crash_detection;
pub mod deadlines;
pub mod demand;
pub mod entry;
pub mod entry_assignment;
pub mod entry_event;
pub mod event_stream;
pub mod expert_counts;
pub mod experts;
pub mod fleet;
pub mod gossip;
pub mod ids;
pub mod journal;
pub mod limit;
pub mod member;
pub mod orders;
pub mod quarantine;
pub mod queue;
pub mod rate;
pub mod refusal;
pub mod replay;
mod request;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod share;
pub mod silence;
pub mod switch;
pub mod updates;
pub mod watcher;
