//! Declarative settings of a binary: each is read from its flag, else from its environment variable, else
//! from its default.
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use laburnum_flags::{Exit, Input, Program, Setting};
//!
//! const LISTEN: Setting<SocketAddr> =
//!     Setting::new("--listen", "ADDRESS", "Where callers connect.").default("127.0.0.1:7100");
//! const WINDOW: Setting<u64> =
//!     Setting::new("--window", "N", "How long changes are gathered.").default("20").unit("ms");
//! const PROGRAM: Program = Program {
//!     name: "demo",
//!     version: "0.1.0",
//!     about: "Shows how a table of settings reads.",
//!     operands: &[],
//!     settings: &[LISTEN.row(), WINDOW.row()],
//!     exits: &[Exit::SUCCESS, Exit::FAILURE, Exit::USAGE],
//! };
//!
//! let input = Input::new(["--window=50"], []);
//! let values = PROGRAM.parse(input).expect("no faults");
//! assert_eq!(values.get(&WINDOW), 50);
//! assert_eq!(values.get(&LISTEN), SocketAddr::from(([127, 0, 0, 1], 7100)));
//! ```
//!
//! In `main`, `Err(stop) => return stop.exit()` prints the help, the version or all faults and returns the
//! exit code.

pub mod fault;
mod help;
pub mod input;
pub mod list;
pub mod program;
pub mod setting;

pub use crate::{
    fault::{Fault, Faults},
    input::Input,
    list::List,
    program::{Exit, Operand, Program, Stop, Suite, Values},
    setting::{Row, Setting},
};
