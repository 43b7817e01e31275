//! Fake model servers behind proxies, which announce themselves, leave, crash and misbehave.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_channel::{unbounded, Receiver, Sender};
use parking_lot::Mutex;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_site::hosts::free_port;
use snipemast_site::{calls, Behavior, ModelServer, ServedRequest};

use super::fleet::Fleet;
use super::load::Culprit;
use super::plan::Disturbance;
use super::proxy::Proxy;
use super::verdict::{DrainedServer, LeavingServer, LimitedServer, RestedServer};

/// The pauses between two announcements and before an address is tried again, and the time limit of a call.
const ANNOUNCE_PAUSE: Span = Span::from_millis(400);
const RETRY_PAUSE: Span = Span::from_millis(5);
const CALL_TIMEOUT: Span = Span::from_secs(1);

/// How long a leaving server still serves after its acknowledgement, and how long it waits for one.
const DRAIN_TIME: Span = Span::from_millis(2_600);
const ACK_TIMEOUT: Span = Span::from_secs(6);

/// The first host of a server's proxy, and the distance from it to the host of the server itself.
const FIRST_SERVER: u8 = 50;
const SERVER_OFFSET: u8 = 150;

/// The servers of one soak.
#[derive(Debug)]
pub struct Servers {
    fleet: Arc<Fleet>,
    places: Vec<Mutex<Place>>,
    /// The requests that ended servers served, by the server's id.
    ended: Mutex<HashMap<String, Vec<ServedRequest>>>,
    /// Gets the ids of servers that a request crashes.
    ending: Sender<String>,
    crashed: Receiver<String>,
}

/// An address at which servers run one after another.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    /// The number of servers that have been started here.
    count: u32,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    server: Arc<ModelServer>,
    proxy: Proxy,
    _announcing: Task<()>,
}

impl Servers {
    /// Starts this many servers.
    pub fn start(fleet: Arc<Fleet>, count: u8) -> Arc<Self> {
        let places = (0..count).map(|n| {
            let address = SocketAddr::new(fleet.ip(FIRST_SERVER + n), free_port());
            Mutex::new(Place {
                address,
                count: 0,
                running: None,
            })
        });
        let (ending, crashed) = unbounded();
        let servers = Self {
            places: places.collect(),
            fleet,
            ended: Mutex::default(),
            ending,
            crashed,
        };
        for place in 0..count {
            servers.start_server(place);
        }
        Arc::new(servers)
    }

    /// Returns the requests that each server served, by its id, also of servers that have ended.
    pub fn served_requests(&self) -> HashMap<String, Vec<ServedRequest>> {
        let mut all = self.ended.lock().clone();
        for place in &self.places {
            if let Some(running) = &place.lock().running {
                all.insert(running.server.id.clone(), running.server.served_requests());
            }
        }
        all
    }

    /// Returns how often requests that crash servers reached one.
    pub fn crashing_sends(&self, culprit: Culprit) -> usize {
        let served = self.served_requests();
        let requests = served.values().flatten();
        requests.filter(|r| culprit.is_in(r)).count()
    }

    /// Returns how many servers ran requests that crash them.
    pub fn crashes(&self, culprit: Culprit) -> usize {
        let served = self.served_requests();
        let served = served.into_values();
        let ran = |requests: Vec<ServedRequest>| requests.iter().any(|r| culprit.is_in(r));
        served.filter(|r| ran(r.clone())).count()
    }

    /// Starts a disturbance of the connections to a server, or ends it with `None`.
    pub fn disturb(&self, place: u8, disturbance: Option<Disturbance>) {
        if let Some(running) = &self.place(place).lock().running {
            running.proxy.disturb(disturbance);
        }
    }

    /// Lets a server misbehave for a time.
    pub async fn behave(&self, place: u8, behavior: Behavior, span: Span) {
        let server = self.server(place);
        let Some(server) = server else { return };
        server.set_behavior(behavior);
        pause(span).await;
        server.set_behavior(Behavior::Normal);
    }

    /// Lets a server name a limit for a time.
    pub async fn limit(&self, place: u8, rate: Rate, span: Span) -> Option<LimitedServer> {
        let server = self.server(place)?;
        server.name_limit(Some(&rate.as_per_second().to_string()));
        let from = Instant::now();
        pause(span).await;
        server.name_limit(None);
        Some(LimitedServer {
            server: server.id.clone(),
            rate,
            from,
            until: Instant::now(),
        })
    }

    /// Lets a server reject requests for a time and ask for rest.
    pub async fn rest(&self, place: u8, span: Span, rest: Span) -> Option<RestedServer> {
        let server = self.server(place)?;
        server.ask_rest(Some(&rest.as_secs_f64().to_string()));
        let from = Instant::now();
        pause(span).await;
        server.ask_rest(None);
        let mut rejected = server.rejected_requests();
        rejected.retain(|r| r.at >= from);
        Some(RestedServer {
            server: server.id.clone(),
            rest: rest.as_duration(),
            rejected,
        })
    }

    /// Lets a server announce in its answers that it leaves. Also returns whether it still runs after `span`.
    pub async fn tell_leaving(&self, place: u8, span: Span) -> Option<(LeavingServer, bool)> {
        let server = self.server(place)?;
        server.set_leaving();
        let (id, from) = (server.id.clone(), Instant::now());
        drop(server);
        pause(span).await;
        let stays = self.server(place).is_some_and(|s| s.id == id);
        Some((LeavingServer { server: id, from }, stays))
    }

    /// Returns the place of the next server that a request crashes, which still runs.
    pub async fn next_crashed(&self) -> Option<u8> {
        let id = self.crashed.recv().await.ok()?;
        let runs = |place: &Mutex<Place>| {
            let place = place.lock();
            place.running.as_ref().is_some_and(|r| r.server.id == id)
        };
        let place = self.places.iter().position(runs);
        place.map(|place| place as u8)
    }

    /// Ends a server without notice and starts another one at its address after a time.
    pub async fn crash_for(&self, place: u8, span: Span) {
        self.stop_server(place);
        pause(span).await;
        self.crash(place).await;
    }

    /// Ends a server without notice and starts another one at its address.
    pub async fn crash(&self, place: u8) {
        self.stop_server(place);
        // The task of the previous server closes its listener a moment later.
        while !self.start_server(place) {
            pause(RETRY_PAUSE).await;
        }
    }

    /// Lets a server announce that it leaves, drain and end, and starts another one.
    ///
    /// # Errors
    ///
    /// Returns the time at which the server began to leave if no controller acknowledged it.
    pub async fn replace(&self, place: u8) -> Result<DrainedServer, Instant> {
        let Some(server) = self.server(place) else {
            return Err(Instant::now());
        };
        server.set_draining();
        let address = self.place(place).lock().address;
        let start = Instant::now();
        let mut acked = None;
        while acked.is_none() && start.elapsed() < ACK_TIMEOUT.as_duration() {
            for host in self.fleet.controllers() {
                let call = server.announce_to(self.fleet.external_address(host), address);
                if within(CALL_TIMEOUT, call).await == Some(true) {
                    acked = Some(Instant::now());
                    break;
                }
            }
        }
        pause(DRAIN_TIME).await;
        let host = self.fleet.external_address(1);
        // A server that can't deregister is removed because it stops announcing itself.
        let _ = within(CALL_TIMEOUT, calls::deregister(host, &server.id)).await;
        // Another fault may have started another server here in the meantime.
        let id = server.id.clone();
        drop(server);
        if self.server(place).is_some_and(|s| s.id == id) {
            self.crash(place).await;
        }
        match acked {
            Some(at) => Ok(DrainedServer { server: id, at }),
            None => Err(start),
        }
    }

    fn server(&self, place: u8) -> Option<Arc<ModelServer>> {
        let place = self.place(place).lock();
        place.running.as_ref().map(|r| Arc::clone(&r.server))
    }

    fn place(&self, place: u8) -> &Mutex<Place> {
        &self.places[usize::from(place)]
    }

    fn stop_server(&self, place: u8) {
        let running = self.place(place).lock().running.take();
        if let Some(running) = running {
            let id = running.server.id.clone();
            self.ended
                .lock()
                .insert(id, running.server.served_requests());
        }
    }

    /// Starts a server at a place. Returns false if its address is still in use.
    fn start_server(&self, at: u8) -> bool {
        let mut place = self.place(at).lock();
        if place.running.is_some() {
            return true;
        }
        place.count += 1;
        let id = name(at, place.count);
        let server = Arc::new(ModelServer::listen(
            self.fleet.ip(FIRST_SERVER + SERVER_OFFSET + at),
            &id,
        ));
        server.tell_crash(self.ending.clone());
        let address = place.address;
        let Ok(proxy) = Proxy::start(address, server.address) else {
            return false;
        };
        let announcing = spawn(announce(
            Arc::clone(&self.fleet),
            Arc::downgrade(&server),
            address,
        ));
        place.running = Some(Running {
            server,
            proxy,
            _announcing: announcing,
        });
        true
    }
}

fn name(place: u8, count: u32) -> String {
    format!("i-{place}-{count}")
}

/// Announces a server repeatedly, each time to the first controller that answers.
async fn announce(fleet: Arc<Fleet>, server: std::sync::Weak<ModelServer>, address: SocketAddr) {
    while let Some(server) = server.upgrade() {
        for host in fleet.controllers() {
            let call = server.announce_to(fleet.external_address(host), address);
            if within(CALL_TIMEOUT, call).await == Some(true) {
                break;
            }
        }
        drop(server);
        pause(ANNOUNCE_PAUSE).await;
    }
}
