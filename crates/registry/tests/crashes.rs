//! How gateways and controllers tell each other of requests whose servers ended.

use snipemast_core::prelude::*;
use snipemast_registry::crashes::{answer_crash_poll, has_crash_update};
use snipemast_registry::CrashExchange;
use snipemast_requests::crashes::EndedRun;
use snipemast_requests::{AttemptHash, Causes, CrashTable, CrashVerdict, Fingerprint};

/// Gateways that poll all controllers.
struct Fleet {
    now: Moment,
    gateways: Vec<Gateway>,
    controllers: Vec<Controller>,
    starts: u64,
    ends: u32,
}

struct Gateway {
    table: CrashTable,
    exchanges: Vec<CrashExchange>,
}

struct Controller {
    epoch: u64,
    table: CrashTable,
}

/// Whether the answer to a poll arrives.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    Arrives,
    Lost,
}

fn crashing() -> Fingerprint {
    Fingerprint::for_request("andes", "POST", "/x", b"crashes")
}

impl Fleet {
    fn new(gateways: usize, controllers: usize) -> Self {
        let mut fleet = Self {
            now: Moment::from_millis(10_000),
            gateways: Vec::new(),
            controllers: Vec::new(),
            starts: 0,
            ends: 0,
        };
        for _ in 0..controllers {
            let controller = fleet.new_controller();
            fleet.controllers.push(controller);
        }
        for _ in 0..gateways {
            let gateway = fleet.new_gateway();
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn new_controller(&mut self) -> Controller {
        self.starts += 1;
        Controller {
            epoch: self.starts,
            table: CrashTable::new(),
        }
    }

    fn new_gateway(&self) -> Gateway {
        Gateway {
            table: CrashTable::new(),
            exchanges: vec![CrashExchange::default(); self.controllers.len()],
        }
    }

    /// Ends a server while it runs the crashing request that a gateway sent.
    fn end(&mut self, gateway: usize) {
        self.now = self.now + Span::from_secs(4);
        self.ends += 1;
        let server = ServerId::new(format!("i-{}", self.ends)).expect("the id is valid");
        let run = EndedRun {
            start: Incarnation(1),
            attempt: AttemptHash::new("a"),
            arrived: self.now - Span::from_millis(70),
            sent: self.now - Span::from_millis(70),
            ended: self.now,
            went_on: false,
        };
        let table = &mut self.gateways[gateway].table;
        table.record_end(self.now, &Causes::new(crashing()), &server, run);
    }

    fn poll(&mut self, gateway: usize, controller: usize, delivery: Delivery) {
        let now = self.now;
        let Gateway { table, exchanges } = &mut self.gateways[gateway];
        let exchange = &mut exchanges[controller];
        let Controller {
            epoch,
            table: controller_table,
        } = &mut self.controllers[controller];
        let poll = exchange.next_poll(now, table);
        for record in poll.iter().flat_map(|update| &update.records) {
            controller_table.merge(now, record.clone());
        }
        let answer = answer_crash_poll(now, *epoch, controller_table, poll.as_ref());
        if delivery == Delivery::Arrives {
            exchange.handle_answer(now, *epoch, table, answer);
        }
    }

    /// Each gateway polls these controllers twice, as its first poll may be under way.
    fn poll_all(&mut self, controllers: &[usize]) {
        for _ in 0..2 {
            for gateway in 0..self.gateways.len() {
                for controller in controllers {
                    self.poll(gateway, *controller, Delivery::Arrives);
                }
            }
        }
    }

    /// Returns how many polls and answers would hold records if each gateway polled each controller now.
    fn count_exchanges(&self) -> usize {
        let mut exchanges_due = 0;
        for gateway in &self.gateways {
            for (exchange, controller) in gateway.exchanges.iter().zip(&self.controllers) {
                let poll = exchange.next_poll(self.now, &gateway.table);
                let (epoch, table) = (controller.epoch, &controller.table);
                let answer = answer_crash_poll(self.now, epoch, table, poll.as_ref());
                exchanges_due += usize::from(poll.is_some()) + usize::from(answer.is_some());
            }
        }
        exchanges_due
    }

    fn count_quarantining(&self) -> usize {
        let verdicts = self.gateways.iter().map(|g| g.table.verdict(&crashing()));
        verdicts.filter(|v| *v == CrashVerdict::Quarantined).count()
    }
}

/// Guards against a request that crashed servers at several gateways, each of which knows of one only.
#[test]
fn all_quarantine() {
    for size in [3, 9, 149] {
        let mut fleet = Fleet::new(size, 3);
        (0..3).for_each(|gateway| fleet.end(gateway));
        // One controller is enough, whichever it is and whoever leads.
        fleet.poll_all(&[1]);
        assert_eq!(fleet.count_quarantining(), size);
    }
}

/// Guards against processes that restart one after the other until none has the request's record any more.
#[test]
fn restarts_lose_nothing() {
    let mut fleet = Fleet::new(9, 3);
    (0..3).for_each(|gateway| fleet.end(gateway));
    fleet.poll_all(&[0, 1, 2]);
    for round in 0..3 {
        for controller in 0..3 {
            fleet.controllers[controller] = fleet.new_controller();
            fleet.poll_all(&[0, 1, 2]);
        }
        for gateway in 0..9 {
            fleet.gateways[gateway] = fleet.new_gateway();
            // The controller that it polls first may have restarted a moment before.
            let first = (gateway + round) % 3;
            fleet.controllers[first] = fleet.new_controller();
            fleet.poll_all(&[first]);
            fleet.poll_all(&[0, 1, 2]);
            assert_eq!(fleet.count_quarantining(), 9);
        }
    }
}

/// Guards against records that are never sent again because the answer to the poll that carried them was lost.
#[test]
fn lost_answers_repeated() {
    let mut fleet = Fleet::new(3, 1);
    for gateway in 0..3 {
        fleet.end(gateway);
        fleet.poll(gateway, 0, Delivery::Lost);
        fleet.controllers[0] = fleet.new_controller();
    }
    fleet.poll_all(&[0]);
    assert_eq!(fleet.count_quarantining(), 3);
}

/// Guards against gateways that get each request that a crashed server was running, although others crashed it.
#[test]
fn unrelated_not_sent() {
    let mut fleet = Fleet::new(3, 1);
    fleet.end(0);
    fleet.poll_all(&[0]);
    let known = fleet.gateways.iter().filter(|g| !g.table.is_empty());
    assert_eq!(known.count(), 1);
    (1..3).for_each(|gateway| fleet.end(gateway));
    fleet.poll_all(&[0]);
    let now = fleet.now;
    for gateway in &fleet.gateways {
        let poll = gateway.exchanges[0].next_poll(now, &gateway.table);
        let Controller { epoch, table } = &fleet.controllers[0];
        assert!(!has_crash_update(*epoch, table, poll.as_ref()));
    }
}

/// Guards against polls that hold cursors for ever after a single crash.
#[test]
fn idle_polls_empty() {
    let mut fleet = Fleet::new(9, 3);
    fleet.poll_all(&[0, 1, 2]);
    assert_eq!(fleet.count_exchanges(), 0);
    fleet.end(0);
    fleet.poll_all(&[0, 1, 2]);
    assert_eq!(fleet.count_exchanges(), 0);
    // A restarted controller is sent them again all the same.
    fleet.controllers[1] = fleet.new_controller();
    fleet.poll_all(&[1]);
    assert_eq!(fleet.controllers[1].table.len(), 1);
}

/// Guards against polls that never wait, because a controller has forgotten records that a gateway lacks.
#[test]
fn forgotten_not_awaited() {
    let mut fleet = Fleet::new(3, 1);
    fleet.end(0);
    fleet.end(0);
    fleet.poll(0, 0, Delivery::Arrives);
    fleet.now = fleet.now + Span::from_secs(3_600);
    fleet.controllers[0].table.forget(fleet.now);
    fleet.poll_all(&[0]);
    let Controller { epoch, table } = &fleet.controllers[0];
    for gateway in &fleet.gateways {
        let poll = gateway.exchanges[0].next_poll(fleet.now, &gateway.table);
        assert!(!has_crash_update(*epoch, table, poll.as_ref()));
    }
}
