//! What a request asks of admission, read from the request itself.

use serde::Deserialize;

use snipemast_callers::{ServiceRequest, Target};
use snipemast_core::prelude::*;
use snipemast_routing::{Departure, Prefix, Priority, Wanted};

/// The tokens that a request which names none is taken to ask for.
const TOKENS: f64 = 256.0;
/// The bytes of a prompt that count as its prefix.
const PREFIX: usize = 512;

/// What a request asks of admission.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Who pays.
    pub workspace: WorkspaceId,
    /// What it wants.
    pub wanted: Wanted,
    /// The tokens that it asks for.
    pub tokens: f64,
    /// The prefix of its prompt.
    pub prefix: Option<Prefix>,
    /// Its order within the workspace.
    pub priority: Priority,
    /// The time that it has.
    pub left: Span,
}

impl Demand {
    /// What a request asks for.
    pub fn new(workspace: &WorkspaceId, wanted: &Wanted, ask: &ServiceRequest, left: Span) -> Self {
        let shape = match &ask.target {
            Target::Model { .. } => Shape::read(&ask.body),
            Target::Plain { .. } => Shape::plain(),
        };
        let prefix = |text: &String| Prefix::new(workspace, head(text.as_bytes()));
        Self {
            workspace: workspace.clone(),
            wanted: wanted.clone(),
            tokens: shape.max_tokens.unwrap_or(TOKENS).max(1.0),
            prefix: shape.text().map(prefix),
            priority: Priority::Normal,
            left,
        }
    }
}

impl Demand {
    pub(super) fn departure(&self, took: Option<Span>) -> Departure {
        let workspace = self.workspace.clone();
        // What the engine generated is not known here, so the whole is charged.
        Departure {
            workspace,
            asked: self.tokens,
            got: self.tokens,
            took,
        }
    }
}

fn head(text: &[u8]) -> &[u8] {
    &text[..text.len().min(PREFIX)]
}

/// The fields of a model request that admission looks at.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Shape {
    max_tokens: Option<f64>,
    prompt: Option<String>,
    messages: Vec<Message>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    content: Option<String>,
}

impl Shape {
    /// Another shape than these fields is the engine's matter; admission takes the usual.
    fn read(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }

    fn plain() -> Self {
        Self {
            max_tokens: Some(1.0),
            ..Self::default()
        }
    }

    fn text(&self) -> Option<&String> {
        let first = self.messages.first().and_then(|m| m.content.as_ref());
        self.prompt.as_ref().or(first)
    }
}
