//! Stand-ins for model servers behind proxies: they announce themselves, leave, crash, misbehave.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_site::hosts::free_port;
use snipemast_site::{calls, Behavior, ModelServer, ServedRequest};

use super::fleet::Fleet;
use super::plan::Disturbance;
use super::proxy::Proxy;
use super::verdict::{Drained, Left, Limited, Rested};

/// The pause between two announcements, before an address is tried again, and how long a call may take.
const BEAT: Span = Span::from_millis(400);
const AGAIN: Span = Span::from_millis(5);
const ANSWER: Span = Span::from_secs(1);

/// How long a server that leaves serves after its acknowledgement, and how long it waits for one.
const DRAIN: Span = Span::from_millis(2_600);
const UNHEARD: Span = Span::from_secs(6);

/// The first host that runs a server, and how far the server itself lies above its proxy.
const FIRST: u8 = 50;
const BEHIND: u8 = 150;

/// The servers of one soak.
#[derive(Debug)]
pub struct Servers {
    fleet: Arc<Fleet>,
    places: Vec<Mutex<Place>>,
    /// What servers ran that are gone.
    gone: Mutex<HashMap<String, Vec<ServedRequest>>>,
}

/// An address at which one server after another runs.
#[derive(Debug)]
struct Place {
    address: SocketAddr,
    /// Counts the servers there.
    count: u32,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    server: Arc<ModelServer>,
    proxy: Proxy,
    _beats: Task<()>,
}

impl Servers {
    /// Starts so many servers.
    pub fn start(fleet: Arc<Fleet>, count: u8) -> Arc<Self> {
        let places = (0..count).map(|n| {
            let address = SocketAddr::new(fleet.ip(FIRST + n), free_port());
            Mutex::new(Place {
                address,
                count: 0,
                running: None,
            })
        });
        let servers = Self {
            places: places.collect(),
            fleet,
            gone: Mutex::default(),
        };
        for place in 0..count {
            servers.run(place);
        }
        Arc::new(servers)
    }

    /// What each server ran, also those that are gone.
    pub fn ran(&self) -> HashMap<String, Vec<ServedRequest>> {
        let mut all = self.gone.lock().clone();
        for place in &self.places {
            if let Some(running) = &place.lock().running {
                all.insert(running.server.id.clone(), running.server.served_requests());
            }
        }
        all
    }

    /// Disturbs connections to a server from now on, or no more.
    pub fn disturb(&self, place: u8, disturbance: Option<Disturbance>) {
        if let Some(running) = &self.place(place).lock().running {
            running.proxy.disturb(disturbance);
        }
    }

    /// Lets a server behave in another way for a time.
    pub async fn behave(&self, place: u8, behavior: Behavior, span: Span) {
        let server = self.server(place);
        let Some(server) = server else { return };
        server.set_behavior(behavior);
        pause(span).await;
        server.set_behavior(Behavior::Normal);
    }

    /// Lets a server name a limit for a time.
    pub async fn limit(&self, place: u8, rate: Rate, span: Span) -> Option<Limited> {
        let server = self.server(place)?;
        server.name_limit(Some(&rate.as_per_second().to_string()));
        let from = Instant::now();
        pause(span).await;
        server.name_limit(None);
        Some(Limited {
            server: server.id.clone(),
            rate,
            from,
            until: Instant::now(),
        })
    }

    /// Lets a server turn requests away for a time, and ask for rest.
    pub async fn rest(&self, place: u8, span: Span, rest: Span) -> Option<Rested> {
        let server = self.server(place)?;
        server.ask_rest(Some(&rest.as_secs_f64().to_string()));
        let from = Instant::now();
        pause(span).await;
        server.ask_rest(None);
        let mut turned = server.rejected_requests();
        turned.retain(|turned| turned.at >= from);
        Some(Rested {
            server: server.id.clone(),
            rest: rest.as_duration(),
            turned,
        })
    }

    /// Lets a server say in its answers that it leaves; whether it is there still after a time.
    pub async fn tell_leaving(&self, place: u8, span: Span) -> Option<(Left, bool)> {
        let server = self.server(place)?;
        server.set_leaving();
        let (id, from) = (server.id.clone(), Instant::now());
        drop(server);
        pause(span).await;
        let stays = self.server(place).is_some_and(|s| s.id == id);
        Some((Left { server: id, from }, stays))
    }

    /// Lets a server be gone at once, and another one come at its address.
    pub async fn crash(&self, place: u8) {
        self.end(place);
        // The listener of the one before is closed by its task, a moment later.
        while !self.run(place) {
            pause(AGAIN).await;
        }
    }

    /// Lets a server leave in order, and another one come; since when it was gone, where nobody
    /// acknowledged that it leaves.
    pub async fn replace(&self, place: u8) -> Result<Drained, Instant> {
        let Some(server) = self.server(place) else {
            return Err(Instant::now());
        };
        server.set_draining();
        let address = self.place(place).lock().address;
        let start = Instant::now();
        let mut acked = None;
        while acked.is_none() && start.elapsed() < UNHEARD.as_duration() {
            for host in self.fleet.controllers() {
                let told = server.announce_to(self.fleet.outside(host), address);
                if within(ANSWER, told).await == Some(true) {
                    acked = Some(Instant::now());
                    break;
                }
            }
        }
        pause(DRAIN).await;
        let host = self.fleet.outside(1);
        // A server that can't say good-bye is found to be silent.
        let _ = within(ANSWER, calls::deregister(host, &server.id)).await;
        // Another trouble may have put another server there meanwhile.
        let id = server.id.clone();
        drop(server);
        if self.server(place).is_some_and(|s| s.id == id) {
            self.crash(place).await;
        }
        match acked {
            Some(at) => Ok(Drained { server: id, at }),
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

    fn end(&self, place: u8) {
        let running = self.place(place).lock().running.take();
        if let Some(running) = running {
            let id = running.server.id.clone();
            self.gone
                .lock()
                .insert(id, running.server.served_requests());
        }
    }

    /// Starts a server at a place; false where its address is still taken.
    fn run(&self, at: u8) -> bool {
        let mut place = self.place(at).lock();
        if place.running.is_some() {
            return true;
        }
        place.count += 1;
        let id = name(at, place.count);
        let server = Arc::new(ModelServer::listen(self.fleet.ip(FIRST + BEHIND + at), &id));
        let address = place.address;
        let Ok(proxy) = Proxy::start(address, server.address) else {
            return false;
        };
        let beats = spawn(beat(
            Arc::clone(&self.fleet),
            Arc::downgrade(&server),
            address,
        ));
        place.running = Some(Running {
            server,
            proxy,
            _beats: beats,
        });
        true
    }
}

fn name(place: u8, count: u32) -> String {
    format!("i-{place}-{count}")
}

/// Announces a server again and again, to whichever controller answers.
async fn beat(fleet: Arc<Fleet>, server: std::sync::Weak<ModelServer>, address: SocketAddr) {
    while let Some(server) = server.upgrade() {
        for host in fleet.controllers() {
            let told = server.announce_to(fleet.outside(host), address);
            if within(ANSWER, told).await == Some(true) {
                break;
            }
        }
        drop(server);
        pause(BEAT).await;
    }
}
