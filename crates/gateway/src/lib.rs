//! Gateway: accepts callers' requests and forwards them directly to backend servers.
//!
//! The decisions are made in the core: routes in [`cuminpick::routing`], the choice of a
//! server in [`cuminpick::balance`], retries in [`cuminpick::retry`] and the splitting of
//! streams into events in [`cuminpick::event_stream`]. This package carries them out in one
//! thread; a second thread writes the log.
//!
//! - [`daemon`] starts the tasks and drains the gateway on SIGTERM.
//! - [`state`] holds the state that the tasks share.
//! - [`listen`] accepts callers' connections, and answers readiness checks.
//! - [`store_watch`] watches configuration, servers, take-outs and crash records in the store,
//!   and [`store_return`] notices when the store came back from an older copy;
//!   [`config_updates`] puts the configuration in force, and [`unreadable_records`] handles
//!   records that cannot be read.
//! - [`peers`] exchanges requests in flight and crashes with the other gateways, and
//!   [`peer_views`] hands on what they know of the store.
//! - [`serve`] handles a request from its head to its answer, [`attempt`] sends it to a
//!   server, [`first_event`] gives up streams whose answer is lost, and [`relay`] forwards a
//!   stream.
//! - [`crash_tracking`] detects servers that crash while they run a request, and shares the
//!   crashes, [`crash_records`] also by the store; [`part_tracking`] does so for parts of
//!   prompts.
//! - [`announcements`] heeds servers that leave or ask for a pause, and [`permits`] the limits
//!   that they state.
//! - [`gate`] delays or refuses streams that would make passes too slow; [`group_tracking`],
//!   [`demand_exchange`] and [`token_tracking`] supply what it and the choice of a server know
//!   of groups, of demand at other gateways and of servers' memory.
//! - [`service_rate`] supplies the rates from which the gate estimates waits, and [`start_wait`]
//!   holds requests that arrive before the configuration is known.
//! - [`unit_tracking`] knows which groups of a service are lost, [`unit_choice`] chooses among those
//!   that serve, and [`unit_moves`] moves streams off lost ones.
//! - [`framing`] rejects requests whose body could be framed in two ways.
//! - [`answer`] builds the answers to callers, among them refusals.

pub mod announcements;
pub mod answer;
pub mod attempt;
pub mod config_updates;
pub mod crash_records;
pub mod crash_tracking;
pub mod daemon;
pub mod demand_exchange;
pub mod first_event;
pub mod framing;
pub mod gate;
pub mod group_tracking;
mod listed_records;
pub mod listen;
pub mod part_tracking;
pub mod peer_views;
pub mod peers;
pub mod permits;
pub mod relay;
pub mod serve;
pub mod service_rate;
pub mod start_wait;
pub mod state;
pub mod store_return;
pub mod store_watch;
pub mod token_tracking;
pub mod unit_choice;
pub mod unit_moves;
pub mod unit_tracking;
pub mod unreadable_records;
