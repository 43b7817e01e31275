//! The two formats of completions: text completions and chat completions.

use serde_json::{json, Value};

use snipemast_core::prelude::*;

/// The format of a completion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shape {
    Text,
    Chat,
}

impl Shape {
    /// Returns the format of the completions at a path, if there is one.
    pub(crate) fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }

    /// Returns a complete answer with these tokens.
    pub(crate) fn whole(self, model: &Value, server: &ServerId, tokens: Range) -> Value {
        let text: String = tokens.clone().map(token_text).collect();
        let (object, choice) = match self {
            Self::Text => ("text_completion", json!({ "index": 0, "text": text })),
            Self::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                ("chat.completion", json!({ "index": 0, "message": message }))
            }
        };
        let mut choice = choice;
        choice["finish_reason"] = "stop".into();
        json!({
            "object": object,
            "model": model,
            "served_by": server,
            "choices": [choice],
            "usage": { "completion_tokens": tokens.len() },
        })
    }

    /// Returns the stream event of one token.
    pub(crate) fn event(self, number: u32) -> String {
        let choice = match self {
            Self::Text => json!({ "index": 0, "text": token_text(number) }),
            Self::Chat => json!({ "index": 0, "delta": { "content": token_text(number) } }),
        };
        format!("data: {}\n\n", json!({ "choices": [choice] }))
    }
}

/// A range of token numbers in an answer.
pub(crate) type Range = std::ops::Range<u32>;

/// Returns the text of a token.
fn token_text(number: u32) -> String {
    format!("w{number} ")
}
