//! A caller's request to a service, read from an HTTP request.

use std::fmt;

use serde_json::Value;
use trillium::{Conn, KnownHeaderName, Method};

use snipemast_config::KeyHash;
use snipemast_core::prelude::*;

use crate::path::service_path;
use crate::problem::{Problem, ProblemKind};

/// The result of reading a caller's request.
pub type Result<T> = std::result::Result<T, RequestError>;

/// The path at which a prompt is completed.
const COMPLETIONS_PATH: &str = "/v1/completions";
/// The path at which a conversation is continued.
const CHAT_PATH: &str = "/v1/chat/completions";

/// A request to a service, after its checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRequest {
    /// What the request is for.
    pub target: Target,
    /// The HTTP method.
    pub method: Method,
    /// The path and query that the backend server gets.
    pub path: String,
    /// The content type of the body, if the request names one.
    pub content_type: Option<String>,
    /// The request's body.
    pub body: Vec<u8>,
    /// The caller's key for a non-idempotent request.
    pub key: Option<RequestKey>,
}

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A completion by the model behind this service.
    Model {
        /// The service.
        service: ServiceId,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call to a plain service.
    Plain {
        /// The service.
        service: ServiceId,
    },
}

impl Target {
    /// Returns the service that the request is for.
    pub fn service(&self) -> &ServiceId {
        match self {
            Self::Model { service, .. } | Self::Plain { service } => service,
        }
    }
}

/// Why a request can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestError {
    /// The request has no bearer key.
    KeyMissing,
    /// There is nothing at this path.
    PathUnknown,
    /// The path can be read in more than one way.
    PathMalformed,
    /// The path requires another method.
    MethodWrong,
    /// The body is longer than this limit.
    BodyTooLarge(Size),
    /// The body broke off before its end.
    BodyCut,
    /// The body is not JSON.
    BodyMalformed(String),
    /// A field of the body is missing or malformed.
    FieldWrong(String),
    /// A header is malformed.
    HeaderWrong(String),
}

impl fmt::Display for RequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::KeyMissing => f.write_str("the Authorization header holds no bearer key"),
            Self::PathUnknown => f.write_str("nothing stands at this path"),
            Self::PathMalformed => f.write_str("the path could be read in more than one way"),
            Self::MethodWrong => f.write_str("the path takes another method"),
            Self::BodyTooLarge(limit) => write!(f, "the body is over {limit}"),
            Self::BodyCut => f.write_str("the body broke off"),
            Self::BodyMalformed(why) => write!(f, "the body is not JSON: {why}"),
            Self::FieldWrong(field) => write!(f, "the field {field:?} is missing or malformed"),
            Self::HeaderWrong(name) => write!(f, "the header {name:?} is malformed"),
        }
    }
}

impl std::error::Error for RequestError {}

impl From<RequestError> for Problem {
    fn from(error: RequestError) -> Self {
        let kind = match error {
            RequestError::KeyMissing => ProblemKind::Unauthorized,
            RequestError::PathUnknown => ProblemKind::NotFound,
            RequestError::MethodWrong => ProblemKind::Method,
            RequestError::BodyTooLarge(_) => ProblemKind::TooLarge,
            RequestError::BodyCut
            | RequestError::PathMalformed
            | RequestError::BodyMalformed(_)
            | RequestError::FieldWrong(_)
            | RequestError::HeaderWrong(_) => ProblemKind::Malformed,
        };
        Problem::new(kind, error)
    }
}

/// Returns the hash of a request's bearer key.
pub fn read_bearer_key(conn: &Conn) -> Result<KeyHash> {
    let header = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization);
    let key = header
        .and_then(|h| h.strip_prefix("Bearer "))
        .map(str::trim);
    key.filter(|k| !k.is_empty())
        .map(KeyHash::from_key)
        .ok_or(RequestError::KeyMissing)
}

impl ServiceRequest {
    /// Reads and checks a request to a service.
    pub async fn read(conn: &mut Conn, limit: Size) -> Result<Self> {
        let path = conn.path().to_string();
        let key = read_idempotency_key(conn)?;
        match path.as_str() {
            COMPLETIONS_PATH | CHAT_PATH => {
                let body = read_body(conn, limit).await?;
                Self::read_completion(conn, path, body, key)
            }
            _ => {
                let (service, rest) = service_path(&path)?;
                let body = read_body(conn, limit).await?;
                Ok(Self::read_plain(conn, service, rest, body, key))
            }
        }
    }

    fn read_completion(
        conn: &Conn,
        path: String,
        body: Vec<u8>,
        key: Option<RequestKey>,
    ) -> Result<Self> {
        if conn.method() != Method::Post {
            return Err(RequestError::MethodWrong);
        }
        let document: Value = serde_json::from_slice(&body)
            .map_err(|e| RequestError::BodyMalformed(e.to_string()))?;
        let invalid_field = |field: &str| RequestError::FieldWrong(field.into());
        let name = document["model"]
            .as_str()
            .ok_or_else(|| invalid_field("model"))?;
        let service = name.parse().map_err(|_| invalid_field("model"))?;
        if !has_prompt(&path, &document) {
            return Err(invalid_field(prompt_field(&path)));
        }
        if !matches!(&document["max_tokens"], Value::Null) && !document["max_tokens"].is_u64() {
            return Err(invalid_field("max_tokens"));
        }
        let stream = match &document["stream"] {
            Value::Null => false,
            Value::Bool(stream) => *stream,
            _ => return Err(invalid_field("stream")),
        };
        let target = Target::Model { service, stream };
        let content = Some("application/json".into());
        Ok(Self {
            target,
            method: Method::Post,
            path,
            content_type: content,
            body,
            key,
        })
    }

    fn read_plain(
        conn: &Conn,
        service: ServiceId,
        mut path: String,
        body: Vec<u8>,
        key: Option<RequestKey>,
    ) -> Self {
        if !conn.querystring().is_empty() {
            path = format!("{path}?{}", conn.querystring());
        }
        let content = conn.request_headers().get_str(KnownHeaderName::ContentType);
        let content = content.map(String::from);
        Self {
            target: Target::Plain { service },
            method: conn.method(),
            path,
            content_type: content,
            body,
            key,
        }
    }
}

/// Returns the field of the body that holds the prompt or the conversation.
fn prompt_field(path: &str) -> &'static str {
    if path == CHAT_PATH {
        "messages"
    } else {
        "prompt"
    }
}

/// Whether a completion has a prompt or conversation that is not empty; engines differ in how they fail
/// without one.
fn has_prompt(path: &str, document: &Value) -> bool {
    match &document[prompt_field(path)] {
        Value::Array(parts) => !parts.is_empty(),
        Value::String(_) => path != CHAT_PATH,
        _ => false,
    }
}

fn read_idempotency_key(conn: &Conn) -> Result<Option<RequestKey>> {
    let Some(text) = conn.request_headers().get_str("idempotency-key") else {
        return Ok(None);
    };
    // The header is a quoted string in the draft standard, but most callers send it without quotes.
    let key = text.trim_matches('"').parse();
    key.map(Some)
        .map_err(|_| RequestError::HeaderWrong("idempotency-key".into()))
}

async fn read_body(conn: &mut Conn, limit: Size) -> Result<Vec<u8>> {
    let too_large = RequestError::BodyTooLarge(limit);
    let content_length = conn
        .request_headers()
        .get_str(KnownHeaderName::ContentLength);
    let content_length = content_length.and_then(|n| n.parse().ok()).unwrap_or(0u64);
    if content_length > limit.as_bytes() {
        return Err(too_large);
    }
    let body = conn
        .request_body()
        .await
        .with_max_len(limit.as_bytes())
        .read_bytes()
        .await;
    match body {
        Ok(bytes) => Ok(bytes),
        Err(trillium::Error::ReceivedBodyTooLong(_)) => Err(too_large),
        Err(_) => Err(RequestError::BodyCut),
    }
}
