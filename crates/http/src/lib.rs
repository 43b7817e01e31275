//! Checks of HTTP/1.1 responses while their bytes arrive, for every client and HTTP library of this workspace.
//!
//! - [`ResponseScanner`]: reads the bytes of a connection beside the HTTP library.
//! - [`HeadError`]: why the head of a response is not valid.
//! - `head`: the lines of a head.
//! - `spelling`: misspelt names of headers.

mod head;
mod scanner;
mod spelling;

pub use head::{HeadError, Result};
pub use scanner::ResponseScanner;
