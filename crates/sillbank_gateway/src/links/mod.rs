//! This VM's links to endpoints: detected losses, and connections through other VMs while links are lost.
//!
//! The VM that took a request keeps every decision about it. Another VM only passes the bytes of a connection on, so keys,
//! ranks, budgets and limits are applied once. It connects directly, so there is a single hop.

mod checks;
mod connect;
mod engine_calls;
mod messages;
mod relay_client;
mod relay_list;
mod relay_server;
mod state;
mod tunnel;

pub use checks::{check_returns, check_troubled};
pub use connect::OpenError;
pub use engine_calls::EngineCallError;
pub use messages::{RELAY_PREAMBLE, RelayRefusal, RelayReply, RelayRequest};
pub use relay_client::RelayError;
pub use relay_list::follow_relays;
pub use relay_server::serve_relay;
pub use state::Links;
pub use tunnel::{EndpointEnd, TunnelActivity, TunnelReader, pass_back};
