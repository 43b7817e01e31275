//! What operators and servers call, and what our own processes call.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::json;

use snipemast_control::documents::{Submission, Verdict};
use snipemast_control::forming::Hello;
use snipemast_core::prelude::*;
use snipemast_net::exec::within;
use snipemast_net::{rpc, RpcClient};
use snipemast_platform::calls::{Call, METRICS};
use snipemast_platform::{document, heartbeat};
use snipemast_registry::rank::RankAck;
use snipemast_registry::{news, rank, Poll, RankUpdate, Standing};
use snipemast_routes::{check, Fault};

use crate::join::Own;
use crate::peers::{path, Batch, Done, Join, Joined, Read, Submitted};
use crate::spread;
use crate::state::State;

/// The largest body of a call, in bytes: four times the largest configuration that is usual.
const BODY: usize = 16 << 20;

/// How long a body may take to arrive.
const BODY_LIMIT: Span = Span::from_secs(5);

/// How long an acknowledgement waits for gateways to have a change in force: servers wait a second
/// for theirs, and a gateway that takes longer than this is slow or cut off.
const IN_FORCE: Span = Span::from_millis(600);

/// How long the leader may take: a commit on slow disks, below a second so that the caller hears.
const LEADER: Span = Span::from_millis(950);

type Answer = Response<Full<Bytes>>;

/// What the handlers need.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) state: Arc<State>,
    pub(crate) own: Arc<Own>,
}

impl Api {
    /// Answers operators and servers.
    pub(crate) async fn outside(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let call = Call::find(request.method(), request.uri().path());
        match call {
            Some(Call::Put) => match read_body(request).await {
                Some(body) => self.put(body).await,
                None => plain(StatusCode::BAD_REQUEST, "the body can't be read"),
            },
            Some(Call::Read) => self.read().await,
            Some(Call::Announce(id)) => match read_body(request).await {
                Some(body) => self.announce(&id, &body).await,
                None => plain(StatusCode::BAD_REQUEST, "the body can't be read"),
            },
            Some(Call::Leave(id)) => self.leave(&id).await,
            None if request.uri().path() == METRICS => self.metrics(),
            None => plain(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Answers our own processes.
    pub(crate) async fn inside(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let at = request.uri().path().to_owned();
        let Some(body) = read_body(request).await else {
            return plain(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let answered = match at.as_str() {
            path::LOG => self.log(&body),
            path::HELLO => self.hello(&body),
            path::JOIN => self.join(&body),
            path::SUBMIT => self.submit(&body).await,
            path::READ => Some(rpc::answer(&self.read_here())),
            news::PATH => self.news(&body).await,
            rank::PATH => self.rank(&body),
            _ => return plain(StatusCode::NOT_FOUND, "no such call"),
        };
        answered.unwrap_or_else(|| plain(StatusCode::BAD_REQUEST, "the message can't be read"))
    }

    async fn put(&self, text: Bytes) -> Answer {
        let document = match document::read(&text) {
            Ok(document) => document,
            Err(fault) => return self.refuse(Version(0), &[fault]),
        };
        let version = document.version;
        let faults = check(&document);
        if !faults.is_empty() {
            return self.refuse(version, &faults);
        }
        let submission = Submission {
            version,
            text: text.to_vec(),
        };
        match self.submit_anywhere(submission).await {
            Some(Verdict::Conflict) => {
                self.note(
                    Event::PatchRefused,
                    version,
                    "other content under its number",
                );
                plain(
                    StatusCode::CONFLICT,
                    "other content is in force under this number",
                )
            }
            Some(verdict) => {
                let state = &self.state;
                let in_force = |s: &State| {
                    let now = s.clock.now();
                    s.pollers.lock().has_version(now, version)
                };
                let everywhere = state.wait(IN_FORCE, in_force).await;
                let detail = format!("{verdict:?}, in force everywhere: {everywhere}");
                self.note(Event::PatchAccepted, version, detail);
                json_answer(StatusCode::OK, &json!({ "version": version.get() }))
            }
            None => {
                self.note(
                    Event::PatchRefused,
                    version,
                    "no verdict: no leader in reach",
                );
                plain(StatusCode::SERVICE_UNAVAILABLE, "no leader is in reach")
            }
        }
    }

    fn refuse(&self, version: Version, faults: &[Fault]) -> Answer {
        let faults: Vec<String> = faults.iter().map(Fault::to_string).collect();
        self.note(Event::PatchRefused, version, faults.join("; "));
        json_answer(StatusCode::BAD_REQUEST, &json!({ "faults": faults }))
    }

    fn note(&self, event: Event, version: Version, detail: impl std::fmt::Display) {
        let subject = format_args!("version {version}");
        self.state.journal.record(event, subject, detail);
    }

    async fn submit_anywhere(&self, submission: Submission) -> Option<Verdict> {
        let (leader, own) = self.state.voter.leader()?;
        if own {
            return self.state.voter.submit(&submission).await;
        }
        let client = RpcClient::new(leader);
        let submitted = client.call(path::SUBMIT, &submission, LEADER).await.ok()?;
        match submitted {
            Submitted::Settled(verdict) => Some(verdict),
            Submitted::Unsettled => None,
        }
    }

    async fn read(&self) -> Answer {
        let newest = match self.read_here() {
            Read::Newest(newest) => Some(newest),
            Read::Unsure => self.read_leader().await,
        };
        match newest {
            Some(newest) => with_type(StatusCode::OK, newest.text.into()),
            None => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "it is not sure which configuration is the newest",
            ),
        }
    }

    fn read_here(&self) -> Read {
        self.state.voter.read().map_or(Read::Unsure, Read::Newest)
    }

    async fn read_leader(&self) -> Option<Submission> {
        let (leader, own) = self.state.voter.leader()?;
        if own {
            return None;
        }
        let client = RpcClient::new(leader);
        match client.call(path::READ, &Done {}, LEADER).await.ok()? {
            Read::Newest(newest) => Some(newest),
            Read::Unsure => None,
        }
    }

    async fn announce(&self, id: &str, body: &[u8]) -> Answer {
        let announcement = match heartbeat::read(id, body) {
            Ok(announcement) => announcement,
            Err(report) => return self.ignore(id, &format!("{report:?}")),
        };
        let (server, standing) = (announcement.id.clone(), announcement.standing());
        let address = announcement.address;
        let known = self.state.table.lock().get(&server).is_some();
        let (strangers, voter) = (&self.state.strangers, &self.state.voter);
        if !known && !strangers.has_service(voter, &announcement.service) {
            let reason = format!("{} is no service", announcement.service);
            return self.ignore(id, &reason);
        }
        let now = self.state.clock.now();
        if self
            .state
            .change(|table| table.record_heartbeat(now, announcement))
        {
            let event = match standing {
                Standing::Draining => Event::MemberDraining,
                _ => Event::MemberJoined,
            };
            self.state.journal.record(event, &server, address);
        }
        if standing == Standing::Draining {
            self.spread().await;
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Answers an announcement that names no server to use.
    fn ignore(&self, id: &str, reason: &str) -> Answer {
        let State {
            strangers, journal, ..
        } = &*self.state;
        strangers.note(journal, id, reason);
        plain(StatusCode::BAD_REQUEST, "this names no server to use")
    }

    async fn leave(&self, id: &str) -> Answer {
        let id = match heartbeat::read_id(id) {
            Ok(id) => id,
            Err(report) => return plain(StatusCode::BAD_REQUEST, &report.to_string()),
        };
        let now = self.state.clock.now();
        if self.state.change(|table| table.record_goodbye(now, &id)) {
            self.state
                .journal
                .record(Event::MemberRemoved, &id, "good-bye");
        }
        self.spread().await;
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Failure guarded against: a server that leaves gets its acknowledgement, and gateways that
    /// have not heard yet go on sending there after its time. The acknowledgement waits for
    /// every connected gateway, within what the server waits.
    async fn spread(&self) {
        let cursor = self.state.cursor();
        let everywhere = |s: &State| s.pollers.lock().has_revision(s.clock.now(), cursor);
        if !self.state.wait(IN_FORCE, everywhere).await {
            let detail = "a gateway lags behind";
            let journal = &self.state.journal;
            journal.record(Event::MemberUnreachable, "drain", detail);
        }
    }

    fn log(&self, body: &[u8]) -> Option<Answer> {
        let batch: Batch = read(body)?;
        self.state.voter.receive(batch.from, batch.envelopes);
        Some(rpc::answer(&Done {}))
    }

    fn hello(&self, body: &[u8]) -> Option<Answer> {
        let _: Hello = read(body)?;
        Some(match self.own.known() {
            Some(known) => rpc::answer(&known),
            None => plain(StatusCode::SERVICE_UNAVAILABLE, "the folder is not open"),
        })
    }

    fn join(&self, body: &[u8]) -> Option<Answer> {
        let join: Join = read(body)?;
        let leader = self.state.voter.join(join.voter, join.location);
        Some(rpc::answer(&Joined { leader }))
    }

    async fn submit(&self, body: &[u8]) -> Option<Answer> {
        let submission: Submission = read(body)?;
        let verdict = self.state.voter.submit(&submission).await;
        let submitted = verdict.map_or(Submitted::Unsettled, Submitted::Settled);
        Some(rpc::answer(&submitted))
    }

    async fn news(&self, body: &[u8]) -> Option<Answer> {
        let poll: Poll = read(body)?;
        let news = spread::answer(&self.state, poll).await;
        Some(rpc::answer(&news))
    }

    fn rank(&self, body: &[u8]) -> Option<Answer> {
        let word: RankUpdate = read(body)?;
        self.state.take_word(word);
        Some(rpc::answer(&RankAck {}))
    }

    fn metrics(&self) -> Answer {
        let state = &self.state;
        let mut text = state.journal.ring().exposition();
        let now = state.clock.now();
        let gateways = state.pollers.lock().gateway_count(now);
        let version = state.voter.version();
        text.push_str(&format!("snipemast_gateways {gateways}\n"));
        text.push_str(&format!("snipemast_configuration_version {version}\n"));
        let (vote, voters) = state.voter.votes();
        text.push_str(&format!("snipemast_vote {}\n", u8::from(vote)));
        text.push_str(&format!("snipemast_voters {voters}\n"));
        for (server, count) in state.grants.lock().granted_counts() {
            let line = format!("snipemast_grants_total{{server=\"{server}\"}} {count}\n");
            text.push_str(&line);
        }
        plain(StatusCode::OK, &text)
    }
}

async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), BODY).collect();
    let body = within(BODY_LIMIT, body).await?;
    Some(body.ok()?.to_bytes())
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rpc::decode(body).ok()
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn json_answer(status: StatusCode, value: &serde_json::Value) -> Answer {
    with_type(status, value.to_string().into())
}

fn with_type(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
