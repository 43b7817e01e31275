//! The HTTP interface for operators and servers, and for the system's own processes.

use std::sync::Arc;
use std::time::UNIX_EPOCH;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::json;

use snipemast_control::documents::{Command, Submission, Verdict};
use snipemast_control::forming::Hello;
use snipemast_core::departures::Departure;
use snipemast_core::prelude::*;
use snipemast_net::exec::within;
use snipemast_net::parts::{self, UploadId, Uploads};
use snipemast_net::{rpc, RpcClient};
use snipemast_platform::calls::{Call, METRICS};
use snipemast_platform::{document, heartbeat};
use snipemast_registry::fetch::{self, FetchAnswer, FetchRequest};
use snipemast_registry::rank::RankAck;
use snipemast_registry::{rank, updates, Poll, RankUpdate, Standing};
use snipemast_routes::{check, Fault};

use crate::departures::PendingDepartures;
use crate::join::OwnHost;
use crate::peers::{path, Ack, Batch, JoinAnswer, JoinRequest, ReadAnswer, SubmitAnswer};
use crate::spread;
use crate::state::State;

/// The largest body of a call in bytes: four times the largest usual configuration.
pub(crate) const MAX_BODY: usize = 16 << 20;

/// How long no part of a body may arrive.
const BODY_TIMEOUT: Span = Span::from_secs(5);

/// How long an acknowledgement waits until all gateways have a change in force: servers wait a
/// second for their acknowledgement, and a gateway that takes longer than this is slow or cut off.
const IN_FORCE_TIMEOUT: Span = Span::from_millis(600);

/// How long the leader may take: enough for a commit on slow disks, and below a second so that the
/// caller still gets an answer.
const LEADER_TIMEOUT: Span = Span::from_millis(950);

pub(crate) type Answer = Response<Full<Bytes>>;

/// The state that the request handlers use.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) state: Arc<State>,
    pub(crate) own: Arc<OwnHost>,
    /// Calls of other processes that arrive in parts.
    pub(crate) uploads: Uploads,
    /// Deregistrations that aren't durable yet.
    pub(crate) departures: PendingDepartures,
}

impl Api {
    /// Answers operators and servers.
    pub(crate) async fn answer_external(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let call = Call::parse(request.method(), request.uri().path());
        match call {
            Some(Call::PutConfiguration) => match read_body(request).await {
                Some(body) => self.put_config(body).await,
                None => text_answer(StatusCode::BAD_REQUEST, "the body can't be read"),
            },
            Some(Call::ReadConfiguration) => self.read_config().await,
            Some(Call::Announce(id)) => match read_body(request).await {
                Some(body) => self.announce(&id, &body).await,
                None => text_answer(StatusCode::BAD_REQUEST, "the body can't be read"),
            },
            Some(Call::Leave(id)) => self.leave(&id).await,
            Some(Call::Evacuate(zone)) => self.evacuate(&zone, true).await,
            Some(Call::EndEvacuation(zone)) => self.evacuate(&zone, false).await,
            None if request.uri().path() == METRICS => self.metrics(),
            None => text_answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    /// Answers the system's own processes.
    pub(crate) async fn answer_internal(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let at = request.uri().path().to_owned();
        let (upload, offset) = (
            parts::upload_of(request.headers()),
            parts::offset_of(request.headers()),
        );
        let Some(body) = read_body(request).await else {
            return text_answer(StatusCode::BAD_REQUEST, "the body can't be read");
        };
        let body = match upload {
            Some(id) if at != parts::PATH => match self.uploads.take(id) {
                Some(whole) => whole,
                None => return text_answer(StatusCode::CONFLICT, "parts of the body are missing"),
            },
            _ => body,
        };
        let answered = match at.as_str() {
            parts::PATH => self.receive_part(upload, offset, &body),
            fetch::PATH => self.answer_fetch(&body),
            path::LOG => self.receive_log(&body),
            path::HELLO => self.hello(&body),
            path::JOIN => self.join(&body),
            path::SUBMIT => self.submit(&body).await,
            path::READ => Some(rpc::encode_response(&self.read_local())),
            updates::PATH => self.answer_poll(&body).await,
            rank::PATH => self.rank(&body),
            _ => return text_answer(StatusCode::NOT_FOUND, "no such call"),
        };
        answered
            .unwrap_or_else(|| text_answer(StatusCode::BAD_REQUEST, "the message can't be read"))
    }

    /// Submits a configuration, and acknowledges it once all gateways have it in force or the wait
    /// for them is over.
    async fn put_config(&self, text: Bytes) -> Answer {
        let document = match document::read(&text) {
            Ok(document) => document,
            Err(fault) => return self.refuse_config(Version(0), &[fault]),
        };
        let version = document.version;
        let faults = check(&document);
        if !faults.is_empty() {
            return self.refuse_config(version, &faults);
        }
        let submission = Submission {
            version,
            text: text.to_vec(),
        };
        match self.submit_configuration(submission).await {
            Some(Verdict::Conflict) => {
                self.record(
                    Event::PatchRefused,
                    version,
                    "other content has the same version",
                );
                text_answer(
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
                let everywhere = state.wait_until(IN_FORCE_TIMEOUT, in_force).await;
                let detail = format!("{verdict:?}, in force everywhere: {everywhere}");
                self.record(Event::PatchAccepted, version, detail);
                json_answer(StatusCode::OK, &json!({ "version": version.get() }))
            }
            None => {
                self.record(
                    Event::PatchRefused,
                    version,
                    "no verdict: no leader can be reached",
                );
                text_answer(StatusCode::SERVICE_UNAVAILABLE, "no leader is in reach")
            }
        }
    }

    fn refuse_config(&self, version: Version, faults: &[Fault]) -> Answer {
        let faults: Vec<String> = faults.iter().map(Fault::to_string).collect();
        self.record(Event::PatchRefused, version, faults.join("; "));
        json_answer(StatusCode::BAD_REQUEST, &json!({ "faults": faults }))
    }

    fn record(&self, event: Event, version: Version, detail: impl std::fmt::Display) {
        let subject = format_args!("version {version}");
        self.state.journal.record(event, subject, detail);
    }

    /// Submits a configuration to the leader: as a change of the one that this voter has, or whole if the leader has
    /// another one.
    async fn submit_configuration(&self, submission: Submission) -> Option<Verdict> {
        let (_, own) = self.state.voter.leader()?;
        if !own {
            if let Some(amendment) = self.state.voter.amend(&submission) {
                match self.submit_to_leader(Command::Amend(amendment)).await {
                    Some(Verdict::OtherBase) => {}
                    verdict => return verdict,
                }
            }
        }
        let verdict = self.submit_to_leader(Command::Configure(submission)).await;
        verdict.filter(|v| *v != Verdict::OtherBase)
    }

    /// Submits a command to the leader, here or on another host.
    pub(crate) async fn submit_to_leader(&self, command: Command) -> Option<Verdict> {
        let (leader, own) = self.state.voter.leader()?;
        if own {
            return self.state.voter.submit(command).await;
        }
        let client = RpcClient::new(leader);
        let submitted = client
            .call_in_parts(path::SUBMIT, &command, LEADER_TIMEOUT)
            .await
            .ok()?;
        match submitted {
            SubmitAnswer::Settled(verdict) => Some(verdict),
            SubmitAnswer::Unsettled => None,
        }
    }

    async fn read_config(&self) -> Answer {
        let newest = match self.read_local() {
            ReadAnswer::Newest(newest) => Some(newest),
            ReadAnswer::Unsure => self.read_from_leader().await,
        };
        match newest {
            Some(newest) => json_body(StatusCode::OK, newest.text.into()),
            None => text_answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "it is not sure which configuration is the newest",
            ),
        }
    }

    /// Returns the newest configuration, if this voter can be sure that it has it.
    fn read_local(&self) -> ReadAnswer {
        self.state
            .voter
            .read()
            .map_or(ReadAnswer::Unsure, ReadAnswer::Newest)
    }

    /// Asks the leader for the newest configuration.
    async fn read_from_leader(&self) -> Option<Submission> {
        let (leader, own) = self.state.voter.leader()?;
        if own {
            return None;
        }
        let client = RpcClient::new(leader);
        match client
            .call(path::READ, &Ack {}, LEADER_TIMEOUT)
            .await
            .ok()?
        {
            ReadAnswer::Newest(newest) => Some(newest),
            ReadAnswer::Unsure => None,
        }
    }

    async fn announce(&self, id: &str, body: &[u8]) -> Answer {
        let announcement = match heartbeat::read(id, body) {
            Ok(announcement) => announcement,
            Err(report) => return self.refuse_announcement(id, &format!("{report:?}")),
        };
        let (server, standing) = (announcement.id.clone(), announcement.standing());
        let address = announcement.address;
        let now = self.state.clock.now();
        let (serves_it, foreign) = {
            let table = self.state.table.lock();
            let known = table.get(&server).map(|k| &k.announcement.service);
            let serves_it = known == Some(&announcement.service);
            (serves_it, table.is_foreign(now, &announcement))
        };
        let (unknown_senders, voter) = (&self.state.unknown_senders, &self.state.voter);
        // A server goes on announcing a service that the newest configuration has dropped.
        if !serves_it && !unknown_senders.has_service(voter, &announcement.service) {
            let reason = format!("service {} is not configured", announcement.service);
            return self.refuse_announcement(id, &reason);
        }
        if foreign {
            let reason = "another service, zone or address than this start announced before";
            return self.refuse_announcement(id, reason);
        }
        if self
            .state
            .update_table(|table| table.record_heartbeat(now, announcement))
        {
            let event = match standing {
                Standing::Draining => Event::MemberDraining,
                _ => Event::MemberJoined,
            };
            self.state.journal.record(event, &server, address);
        }
        if standing == Standing::Draining {
            self.wait_for_gateways().await;
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Refuses an announcement, and records its sender.
    fn refuse_announcement(&self, id: &str, reason: &str) -> Answer {
        let State {
            unknown_senders,
            journal,
            ..
        } = &*self.state;
        unknown_senders.record(journal, id, reason);
        text_answer(StatusCode::BAD_REQUEST, "this names no server to use")
    }

    /// Records a deregistration, and acknowledges it once it is durable and the gateways know of it.
    async fn leave(self: &Arc<Self>, id: &str) -> Answer {
        let id = match heartbeat::read_id(id) {
            Ok(id) => id,
            Err(report) => return text_answer(StatusCode::BAD_REQUEST, &report.to_string()),
        };
        let now = self.state.clock.now();
        let known = {
            let table = self.state.table.lock();
            table.get(&id).map(|k| k.announcement.start)
        };
        // A start is numbered by the time at which it began, so one that isn't known here has at most the present time.
        let start = known.unwrap_or_else(|| Incarnation(unix_millis()));
        let changed = self.state.update_table(|table| {
            let changed = table.record_deregistration(now, &id);
            changed || table.record_unknown_deregistration(now, &id, start)
        });
        if changed {
            let detail = match known {
                Some(_) => "deregistered",
                None => "deregistered, not known here",
            };
            self.state.journal.record(Event::MemberRemoved, &id, detail);
        }
        let departure = Departure {
            server: id,
            start: Some(start),
        };
        let (_, stored) =
            futures_lite::future::zip(self.wait_for_gateways(), self.store_departure(departure))
                .await;
        if !stored {
            return text_answer(StatusCode::SERVICE_UNAVAILABLE, "no leader is in reach");
        }
        json_answer(StatusCode::OK, &json!({}))
    }

    /// Waits until every connected gateway knows of the change, at most as long as the server
    /// waits.
    ///
    /// Otherwise a leaving server would get its acknowledgement while gateways that do not know yet
    /// still send requests to it.
    async fn wait_for_gateways(&self) {
        let cursor = self.state.cursor();
        // A report that is repeated here changes nothing, but gateways are to be asked for it now.
        self.state.notify_waiters();
        let everywhere = |s: &State| s.pollers.lock().has_revision(s.clock.now(), cursor);
        if !self.state.wait_until(IN_FORCE_TIMEOUT, everywhere).await {
            let detail = "a gateway has not confirmed the change";
            let journal = &self.state.journal;
            journal.record(Event::MemberUnreachable, "drain", detail);
        }
    }

    fn receive_part(
        &self,
        upload: Option<UploadId>,
        offset: Option<u64>,
        bytes: &[u8],
    ) -> Option<Answer> {
        let now = self.state.clock.now();
        let ack = self.uploads.receive(now, upload?, offset?, bytes)?;
        Some(rpc::encode_response(&ack))
    }

    /// Answers a request for a piece of the configuration.
    fn answer_fetch(&self, body: &[u8]) -> Option<Answer> {
        let request: FetchRequest = decode(body)?;
        let Some(original) = self.state.voter.original() else {
            return Some(rpc::encode_response(&FetchAnswer::Current));
        };
        let now = self.state.clock.now();
        let mut transfers = self.state.transfers.lock();
        let answer = transfers.answer(now, &request, &original);
        Some(rpc::encode_response(&answer))
    }

    fn receive_log(&self, body: &[u8]) -> Option<Answer> {
        let batch: Batch = decode(body)?;
        self.state.voter.receive(batch.from, batch.envelopes);
        Some(rpc::encode_response(&Ack {}))
    }

    fn hello(&self, body: &[u8]) -> Option<Answer> {
        let _: Hello = decode(body)?;
        Some(match self.own.known() {
            Some(known) => rpc::encode_response(&known),
            None => text_answer(StatusCode::SERVICE_UNAVAILABLE, "the folder is not open"),
        })
    }

    fn join(&self, body: &[u8]) -> Option<Answer> {
        let join: JoinRequest = decode(body)?;
        let leader = self.state.voter.join(join.voter, join.location);
        Some(rpc::encode_response(&JoinAnswer { leader }))
    }

    async fn submit(&self, body: &[u8]) -> Option<Answer> {
        let command: Command = decode(body)?;
        let verdict = self.state.voter.submit(command).await;
        let submitted = verdict.map_or(SubmitAnswer::Unsettled, SubmitAnswer::Settled);
        Some(rpc::encode_response(&submitted))
    }

    async fn answer_poll(&self, body: &[u8]) -> Option<Answer> {
        let poll: Poll = decode(body)?;
        let update = spread::answer_poll(&self.state, poll).await;
        Some(rpc::encode_response(&update))
    }

    fn rank(&self, body: &[u8]) -> Option<Answer> {
        let update: RankUpdate = decode(body)?;
        self.state.add_rank_update(update);
        Some(rpc::encode_response(&RankAck {}))
    }

    fn metrics(&self) -> Answer {
        let state = &self.state;
        let mut text = state.journal.ring().exposition();
        let now = state.clock.now();
        let gateways = state.pollers.lock().gateway_count(now);
        let version = state.voter.version();
        text.push_str(&format!("snipemast_gateways {gateways}\n"));
        text.push_str(&format!("snipemast_configuration_version {version}\n"));
        let evacuated = state.voter.evacuations().zones.len();
        text.push_str(&format!("snipemast_evacuated_zones {evacuated}\n"));
        let (vote, voters) = state.voter.vote_counts();
        text.push_str(&format!("snipemast_vote {}\n", u8::from(vote)));
        text.push_str(&format!("snipemast_voters {voters}\n"));
        for (server, count) in state.grants.lock().granted_counts() {
            let line = format!("snipemast_grants_total{{server=\"{server}\"}} {count}\n");
            text.push_str(&line);
        }
        text_answer(StatusCode::OK, &text)
    }
}

async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let mut body = Limited::new(request.into_body(), MAX_BODY);
    let mut bytes = BytesMut::new();
    while let Some(frame) = within(BODY_TIMEOUT, body.frame()).await? {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Some(bytes.freeze())
}

/// Returns the time of this host's clock in milliseconds since 1970, as servers give the times of their starts.
fn unix_millis() -> u64 {
    let since = UNIX_EPOCH.elapsed();
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rpc::decode(body).ok()
}

pub(crate) fn text_answer(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

pub(crate) fn json_answer(status: StatusCode, value: &serde_json::Value) -> Answer {
    json_body(status, value.to_string().into())
}

fn json_body(status: StatusCode, body: Bytes) -> Answer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
