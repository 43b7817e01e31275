//! Starts the process beside a rank, and ends when it is told to.

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
use snipemast_groups::takeover::{DEPUTY_RANK, LEAD_RANK};
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{rpc, serve, socket};
use snipemast_platform::settings::Settings;

use crate::deputy::Deputy;
use crate::engine::Engine;
use crate::lead::Lead;
use crate::news::Reader;
use crate::peers::path;
use crate::rank::Rank;
use crate::relay::{pass_on, Clients};
use crate::teller::Teller;

/// The result of starting.
pub type Result<T> = std::result::Result<T, Report<SidecarError>>;

/// How often it is looked whether this is the first rank of its group.
const WATCH: Span = Span::from_secs(1);

/// The largest call, in bytes: a map of 128 ranks and 256 experts in 64 sets takes a tenth of it.
const BODY: usize = 4 << 20;

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
            Self::Taken(address) => write!(f, "{address} can't be listened at"),
        }
    }
}

impl std::error::Error for SidecarError {}

/// Runs beside a rank until the future that ends it is ready.
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
    let teller = Teller::new(settings.clone(), Arc::clone(&rank), journal.clone());
    let tasks = [
        spawn(teller.run()),
        spawn(serve(listener, move |r, _| {
            answer(Arc::clone(&for_peers), Arc::clone(&clients), r)
        })),
        spawn(watch(settings, rank, journal.clone())),
    ];
    journal.record(Event::ProcessStarted, address, "sidecar");
    end.await;
    drop(tasks);
    journal.record(Event::ProcessEnded, address, "sidecar");
    Ok(())
}

/// What this process does for its group, with its feed of news.
struct Duty {
    group: GroupId,
    place: usize,
    feed: Arc<Feed<Reader>>,
    _task: Task<()>,
}

/// Leads the group for as long as this is its first rank, and watches over it beside the second.
async fn watch(mut settings: Settings, rank: Arc<Rank>, journal: Journal) {
    let mut duty: Option<Duty> = None;
    loop {
        let place = rank.place().await;
        let wanted = place.filter(|(_, place)| [LEAD_RANK, DEPUTY_RANK].contains(place));
        if duty.as_ref().map(|d| (&d.group, d.place)) != wanted.as_ref().map(|(g, p)| (g, *p)) {
            duty = wanted.map(|place| begin(place, &settings, &rank, &journal));
        }
        if let Some(Duty { feed, .. }) = &duty {
            settings.refresh(&journal);
            feed.set_seeds(settings.internal_seeds());
        }
        pause(WATCH).await;
    }
}

fn begin(
    (group, place): (GroupId, usize),
    settings: &Settings,
    rank: &Arc<Rank>,
    journal: &Journal,
) -> Duty {
    let reader = Reader::new(settings.clone(), group.clone(), journal.clone());
    let feed = Feed::new(Arc::clone(&reader), journal.clone(), None);
    let task = if place == LEAD_RANK {
        spawn(Lead::new(reader, journal.clone()).run())
    } else {
        spawn(Deputy::new(reader, Arc::clone(rank), journal.clone()).run())
    };
    Duty {
        group,
        place,
        feed,
        _task: task,
    }
}

async fn answer(
    rank: Arc<Rank>,
    clients: Arc<Clients>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let at = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), BODY).collect().await;
    let answered = match body {
        Ok(body) => dispatch(&rank, &clients, &at, &body.to_bytes()).await,
        Err(_) => None,
    };
    answered.unwrap_or_else(|| {
        let mut refused = Response::new(Full::new(Bytes::new()));
        *refused.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        refused
    })
}

async fn dispatch(
    rank: &Rank,
    clients: &Clients,
    at: &str,
    body: &[u8],
) -> Option<Response<Full<Bytes>>> {
    match at {
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
            Some(rpc::encode_response(&pass_on(clients, relay).await))
        }
        _ => None,
    }
}
