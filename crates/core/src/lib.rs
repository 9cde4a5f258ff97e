//! Decisions of a load balancer for expert-parallel model groups.
//!
//! Every decision module here is pure: an event and the current time go in, actions come
//! out. It has no socket or thread and reads no clock, so the same code runs in the
//! daemons, the randomised tests and `cuminpick replay`.
//!
//! The modules, in the order in which a request meets them:
//!
//! - [`config`] holds what operators configure, such as class targets and take-outs.
//! - [`member`] tracks the backend servers and entries, and [`gossip`] spreads changes of
//!   them. [`fleet`] combines members, configuration and backend servers for an
//!   entry. [`entry_assignment`] selects the entries to which an agent announces itself, and
//!   [`watcher`] the entries that read the platform.
//! - [`entry`] handles the events of an entry ([`entry_event`]): it queues a request
//!   ([`queue`]), chooses a backend server ([`choose`]), refuses early when the expected wait
//!   is too long ([`rate`]), reserves capacity for other organisations ([`share`]) and retries
//!   within a budget ([`budget`]); [`replay`] checks recorded traces of these decisions.
//! - [`agent`] admits requests to one backend server, up to the limit from [`limit`].
//! - A gateway serves the users' platform: [`routing`] finds the route of a request,
//!   [`balance`] chooses a backend server, [`retry`] decides on further attempts,
//!   [`event_stream`] splits streams into complete events, and [`deadlines`] recognises
//!   requests that return after a refusal. [`admission`] delays streams that would slow
//!   their group too much; while more of them wait than fit, [`demand_shares`] divides the
//!   capacity between priorities, organisations and gateways by the demand that each gateway
//!   measures with [`demand_meter`]; [`breaker`] delays requests while a service refuses all;
//!   [`outage`] estimates for how long. [`request_limits`] keeps to the limits that servers
//!   state, [`capacity_queue`] orders requests where all servers state one, and
//!   [`announcements`] remembers which of them leave or want a pause.
//!   [`groups`] knows which servers form a group of ranks, and [`units`] whether each group serves
//!   and what it can take.
//!   [`silence`] detects servers that send nothing any more, [`relocation`] those that are
//!   too slow for their group, [`crash_detection`] finds the requests that were at a crashed
//!   server, and [`quarantine`] decides which of them are refused for a time because servers
//!   keep crashing while running them; [`part_quarantine`] does so for parts that the prompts
//!   of such requests share, and [`part_trials`] decides which request tries a suspected part.
//!   [`first_event`] finds single streams whose answer is lost, and [`token_load`] keeps the
//!   requests at a server within its memory.
//! - For groups of ranks, [`election`] selects the process that leads; [`demand`] estimates the
//!   load of experts, [`experts`] plans expert maps and [`switch`] puts them in force by
//!   [`orders`], from what [`rank_views`] knows of the ranks. [`expert_counts`] and [`updates`]
//!   are messages between processes.
//! - The platform's store may come back from an older copy: [`store_history`] tells which of its
//!   answers are outdated, [`copy_filter`] which servers and zones the copy must not bring back,
//!   and [`config_order`] which configuration is the newest; [`return_load`] spreads the calls that
//!   follow. [`store_contact`] tells when the store was unavailable, and [`lapsed_records`] for how
//!   long servers are kept whose records expired meanwhile.
//! - [`answer`] checks that the frames of an answer belong together.
//! - [`refusal`] lists the reasons for which a request is refused.
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
pub mod announcements;
pub mod answer;
pub mod balance;
pub mod breaker;
pub mod budget;
pub mod capacity_queue;
pub mod change_pacing;
pub mod choose;
pub mod clock;
pub mod config;
pub mod config_order;
pub mod copy_filter;
pub mod crash_detection;
pub mod deadlines;
pub mod demand;
pub mod demand_meter;
pub mod demand_shares;
pub mod election;
pub mod entry;
pub mod entry_assignment;
pub mod entry_event;
pub mod event_stream;
pub mod excerpt;
mod expected_wait;
pub mod expert_counts;
pub mod experts;
pub mod first_event;
pub mod fleet;
pub mod gossip;
pub mod groups;
pub mod ids;
pub mod journal;
pub mod lapsed_records;
pub mod limit;
pub mod member;
pub mod orders;
pub mod outage;
pub mod part_quarantine;
pub mod part_trials;
pub mod quarantine;
pub mod queue;
pub mod rank_views;
pub mod rate;
pub mod refusal;
pub mod relocation;
pub mod replay;
mod request;
pub mod request_limits;
pub mod retry;
pub mod return_load;
pub mod routing;
pub mod settings;
pub mod share;
pub mod silence;
pub mod store_contact;
pub mod store_history;
pub mod switch;
pub mod token_load;
pub mod units;
pub mod updates;
pub mod watcher;
