//! The demand of one request, read from the request itself.

use serde::Deserialize;

use snipemast_callers::{ServiceRequest, Target};
use snipemast_core::prelude::*;
use snipemast_routing::{Departure, Prefix, Priority, Wanted};

/// The tokens that a request is assumed to ask for if it names no number.
const DEFAULT_TOKENS: f64 = 256.0;
/// The number of a prompt's first bytes that count as its prefix.
const PREFIX_BYTES: usize = 512;

/// The demand of one request.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The workspace that is charged.
    pub workspace: WorkspaceId,
    /// The offer that the request needs.
    pub wanted: Wanted,
    /// The number of tokens that the request asks for.
    pub tokens: f64,
    /// The prefix of the prompt.
    pub prefix: Option<Prefix>,
    /// The priority within the workspace.
    pub priority: Priority,
    /// The time until the deadline.
    pub left: Span,
}

impl Demand {
    /// Reads the demand of a request.
    pub fn new(workspace: &WorkspaceId, wanted: &Wanted, ask: &ServiceRequest, left: Span) -> Self {
        let shape = match &ask.target {
            Target::Model { .. } => RequestShape::parse(&ask.body),
            Target::Plain { .. } => RequestShape::plain(),
        };
        let prefix = |text: &String| Prefix::new(workspace, prompt_head(text.as_bytes()));
        Self {
            workspace: workspace.clone(),
            wanted: wanted.clone(),
            tokens: shape.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1.0),
            prefix: shape.prompt_text().map(prefix),
            priority: Priority::Normal,
            left,
        }
    }
}

impl Demand {
    pub(super) fn departure(&self, took: Option<Span>) -> Departure {
        let workspace = self.workspace.clone();
        // The number of generated tokens is not known here, so all requested tokens are charged.
        Departure {
            workspace,
            asked: self.tokens,
            got: self.tokens,
            took,
        }
    }
}

fn prompt_head(text: &[u8]) -> &[u8] {
    &text[..text.len().min(PREFIX_BYTES)]
}

/// The fields of a model request that admission reads.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RequestShape {
    max_tokens: Option<f64>,
    prompt: Option<String>,
    messages: Vec<Message>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    content: Option<String>,
}

impl RequestShape {
    /// Parses the body; a body of another form gets the defaults, and the engine decides about it.
    fn parse(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    fn plain() -> Self {
        Self {
            max_tokens: Some(1.0),
            ..Self::default()
        }
    }

    fn prompt_text(&self) -> Option<&String> {
        let first = self.messages.first().and_then(|m| m.content.as_ref());
        self.prompt.as_ref().or(first)
    }
}
