//! Starts the tasks of the process beside a rank, and stops them when its shutdown future is ready.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_feed::Feed;
use snipemast_groups::takeover::{LEAD_RANK, STANDBY_RANK};
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{rpc, serve, socket};
use snipemast_platform::settings::Settings;

use crate::engine::Engine;
use crate::lead::Lead;
use crate::peers::path;
use crate::rank::Rank;
use crate::reader::UpdateReader;
use crate::relay::{forward_order, Clients};
use crate::standby::Standby;
use crate::updates::UpdateSender;

/// The result of starting.
pub type Result<T> = std::result::Result<T, Report<SidecarError>>;

/// How often the process checks the place of its rank in the group.
const PLACE_CHECK_INTERVAL: Span = Span::from_secs(1);

/// The largest body of a call, in bytes: a map of 128 ranks and 256 experts in 64 sets takes a tenth of it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Why the process can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SidecarError {
    /// The settings name no server.
    NoServer,
    /// Another process listens at the address.
    Taken(SocketAddr),
}

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => f.write_str("the settings name no server on this host"),
            Self::Taken(address) => write!(f, "can't listen at {address}"),
        }
    }
}

impl std::error::Error for SidecarError {}

/// Runs beside a rank until the future `end` is ready.
pub async fn run(
    settings: Settings,
    journal: Journal,
    end: impl std::future::Future<Output = ()>,
) -> Result<()> {
    let server = settings.server.ok_or(SidecarError::NoServer)?;
    let address = settings.internal_listen();
    let listener = socket::listen(address);
    let listener = listener.change_context_lazy(|| SidecarError::Taken(address))?;
    let rank = Arc::new(Rank::new(Engine::new(server), journal.clone()));
    let for_peers = Arc::clone(&rank);
    let clients = Arc::new(Clients::default());
    let updates = UpdateSender::new(settings.clone(), Arc::clone(&rank), journal.clone());
    let tasks = [
        spawn(updates.run()),
        spawn(serve(listener, move |r, _| {
            answer_call(Arc::clone(&for_peers), Arc::clone(&clients), r)
        })),
        spawn(follow_place(settings, rank, journal.clone())),
    ];
    journal.record(Event::ProcessStarted, address, "sidecar");
    end.await;
    drop(tasks);
    journal.record(Event::ProcessEnded, address, "sidecar");
    Ok(())
}

/// The task of this process as lead or standby of its group, with its feed of updates.
struct GroupTask {
    group: GroupId,
    place: usize,
    feed: Arc<Feed<UpdateReader>>,
    _tasks: [Task<()>; 2],
}

/// Runs the lead while the rank is the first of its group, and the standby while it is the second.
async fn follow_place(mut settings: Settings, rank: Arc<Rank>, journal: Journal) {
    let mut group_task: Option<GroupTask> = None;
    loop {
        let place = rank.place().await;
        let wanted = place.filter(|(_, place)| [LEAD_RANK, STANDBY_RANK].contains(place));
        if group_task.as_ref().map(|t| (&t.group, t.place)) != wanted.as_ref().map(|(g, p)| (g, *p))
        {
            group_task = wanted.map(|place| start_group_task(place, &settings, &rank, &journal));
        }
        if let Some(GroupTask { feed, .. }) = &group_task {
            settings.refresh(&journal);
            feed.set_seeds(settings.internal_seeds());
        }
        pause(PLACE_CHECK_INTERVAL).await;
    }
}

/// Starts the lead or the standby of a group.
fn start_group_task(
    (group, place): (GroupId, usize),
    settings: &Settings,
    rank: &Arc<Rank>,
    journal: &Journal,
) -> GroupTask {
    let reader = UpdateReader::new(settings.clone(), group.clone(), journal.clone());
    let feed = Feed::new(Arc::clone(&reader), journal.clone(), None);
    let reading = Arc::clone(&reader);
    let read_engines = spawn(async move { reading.read_engines().await });
    let task = if place == LEAD_RANK {
        spawn(Lead::new(reader, journal.clone()).run())
    } else {
        spawn(Standby::new(reader, Arc::clone(rank), journal.clone()).run())
    };
    GroupTask {
        group,
        place,
        feed,
        _tasks: [task, read_engines],
    }
}

/// Answers a call, with status 503 where there is no answer to give.
async fn answer_call(
    rank: Arc<Rank>,
    clients: Arc<Clients>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let endpoint = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let answer = match body {
        Ok(body) => handle_call(&rank, &clients, &endpoint, &body.to_bytes()).await,
        Err(_) => None,
    };
    answer.unwrap_or_else(|| {
        let mut refused = Response::new(Full::new(Bytes::new()));
        *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        refused
    })
}

/// Handles a call at a path; returns nothing where the path or body is invalid, or the rank doesn't answer.
async fn handle_call(
    rank: &Rank,
    clients: &Clients,
    endpoint: &str,
    body: &[u8],
) -> Option<Response<Full<Bytes>>> {
    match endpoint {
        path::STATE => {
            let query = rpc::decode(body).ok()?;
            Some(rpc::encode_response(&rank.state(&query).await?))
        }
        path::ORDER => {
            let order = rpc::decode(body).ok()?;
            Some(rpc::encode_response(&rank.execute(order).await))
        }
        path::RELAY => {
            let relay = rpc::decode(body).ok()?;
            Some(rpc::encode_response(&forward_order(clients, relay).await))
        }
        _ => None,
    }
}
