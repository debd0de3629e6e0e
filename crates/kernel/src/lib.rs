//! The decision logic of laburnumward, free of I/O.
//!
//! The crate opens no socket, reads no wall clock and draws no unseeded random number. A driver
//! feeds [`Event`]s to [`Kernel::step`] and carries out the [`Action`]s that it returns. For the
//! same seed and sequence of events the actions are always the same.
//!
//! ```
//! use laburnum_kernel::{Event, Kernel, Ms, Settings};
//!
//! let mut kernel = Kernel::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! kernel.step(Ms(1_000), Event::Start, &mut actions);
//! ```

pub mod accept;
pub mod admission;
pub mod calls;
pub mod clock;
pub mod connections;
pub mod customer;
pub mod document;
pub mod drain;
pub mod event;
pub mod guard;
pub mod health;
pub mod hot;
pub mod id;
pub mod import;
pub mod instance;
pub mod kernel;
pub mod log;
pub mod members;
pub mod once;
pub mod pick;
pub mod platform;
pub mod quota;
pub mod refusal;
pub mod restore;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod sampling;
pub mod settings;
pub mod spread;
pub mod standing;
pub mod utils;
pub mod view;

pub use crate::{
    clock::Ms,
    event::{Action, Call, Event, Message, Notice, Reply},
    id::{CallId, Name, NodeId, Revision, Seq, SubmitId, Token},
    kernel::{Context, Kernel, Plugin},
    settings::Settings,
    view::View,
};
