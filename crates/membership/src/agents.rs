//! How an entry handles the messages of agents.

use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::card::AgentCard;
use crate::message::{AgentMessage, LeaseReply, Load};
use crate::node::{Node, Output};
use crate::spread::Priority;
use crate::table::{Row, Standing};

/// How many other entries an answer names.
const MAX_ALTERNATIVES: usize = 4;

/// How many agents beyond twice its share an entry accepts before it sends agents elsewhere.
const SHARE_SLACK: usize = 4;

impl Node {
    /// Handles a message of an agent.
    pub(crate) fn handle_agent(&mut self, now: Moment, message: AgentMessage) {
        let reply = match message {
            AgentMessage::Enrol { card, load } => self.enrol(now, *card, load),
            AgentMessage::Renew {
                agent,
                news,
                load,
                ask,
            } => self.renew(now, &agent, news, load, ask),
            AgentMessage::Leave { agent } => self.release(now, &agent),
        };
        self.outputs.push(Output::Lease(reply));
    }

    fn enrol(&mut self, now: Moment, card: AgentCard, load: Load) -> LeaseReply {
        let host = card.agent.host.clone();
        let known = self.own_agent(&host).cloned();
        if let Some(known) = &known {
            if known.agent.incarnation > card.agent.incarnation {
                return self.supersede(known, &card);
            }
            if known.agent == card.agent && known.address != card.address {
                self.record_agent_clash(known, &card);
            }
        }
        let fresh = known.as_ref().is_none_or(|k| k.agent != card.agent);
        if known.is_none() && !self.try_admit(now) {
            let others = self.other_entries();
            return LeaseReply::Busy { others };
        }
        self.leases.renew(now, &host);
        self.loads.record(now, &host, load);
        if known.as_ref().is_none_or(|k| card.is_newer_than(k)) {
            self.put_own(now, card, fresh);
        }
        self.grant(true)
    }

    fn put_own(&mut self, now: Moment, card: AgentCard, fresh: bool) {
        let event = if card.draining {
            Event::MemberDraining
        } else {
            Event::MemberJoined
        };
        let host = card.agent.host.clone();
        if fresh || card.draining {
            self.record_event(event, &card.agent, &card.info.server);
        }
        let priority = if card.draining {
            Priority::Leaving
        } else {
            Priority::Other
        };
        self.change_own(now, priority, |row| row.set.put(card));
        self.report_changed(vec![host]);
    }

    fn renew(
        &mut self,
        now: Moment,
        agent: &ProcessId,
        news: u64,
        load: Load,
        ask: bool,
    ) -> LeaseReply {
        let known = self.own_agent(&agent.host);
        if known.is_none_or(|k| k.agent != *agent || k.news != news) {
            return LeaseReply::Unknown;
        }
        self.leases.renew(now, &agent.host);
        self.loads.record(now, &agent.host, load);
        self.grant(ask)
    }

    fn release(&mut self, now: Moment, agent: &ProcessId) -> LeaseReply {
        if self
            .own_agent(&agent.host)
            .is_some_and(|k| k.agent == *agent)
        {
            self.remove_own(now, &agent.host.clone(), "it left");
        }
        self.grant(false)
    }

    /// Removes an agent from the own set.
    pub(crate) fn remove_own(&mut self, now: Moment, host: &HostId, reason: &str) {
        self.leases.end(host);
        self.change_own(now, Priority::Leaving, |row| {
            row.set.remove(host);
        });
        if self.table.agent(host).is_none() {
            self.loads.forget(host);
            self.record_event(Event::MemberRemoved, host, reason);
        }
        self.report_changed(vec![host.clone()]);
    }

    fn change_own(&mut self, now: Moment, priority: Priority, change: impl FnOnce(&mut Row)) {
        self.last_news = now;
        let from = self.own_version();
        let own = self.me.process.host.clone();
        self.table.change(&own, change);
        self.queue.push(&own, from, priority);
        self.schedule_burst(now);
    }

    /// Tells an agent that a process which started later runs under its name.
    fn supersede(&mut self, known: &AgentCard, card: &AgentCard) -> LeaseReply {
        self.record_agent_clash(known, card);
        LeaseReply::Superseded {
            by: known.agent.clone(),
            address: known.address,
        }
    }

    fn record_agent_clash(&mut self, known: &AgentCard, other: &AgentCard) {
        if self.is_new_clash(&other.agent, other.address) {
            let detail = format!(
                "{} at {} and {} at {}",
                known.agent, known.address, other.agent, other.address
            );
            self.record_event(Event::IdentityClash, &known.agent.host, detail);
        }
    }

    /// Whether a further agent can be accepted now; counts the enrolment.
    ///
    /// Failure guarded against: all agents of a zone move to the one entry that is up first, which
    /// then holds all leases and causes a burst of news that fills the links. The rate of
    /// enrolments is bounded, and beyond twice its share an entry sends agents elsewhere.
    fn try_admit(&mut self, now: Moment) -> bool {
        if self.me.draining || self.superseded || !self.leases.admit(now) {
            return false;
        }
        let zone = &self.me.zone;
        let entries = self.table.rows().values().filter(|r| r.card.zone == *zone);
        let sizes: Vec<_> = entries.map(|r| r.set.len()).collect();
        let share = sizes.iter().sum::<usize>() / sizes.len().max(1);
        let own = self.own_row().map_or(0, |r| r.set.len());
        own < 2 * share + SHARE_SLACK
    }

    fn grant(&mut self, with_others: bool) -> LeaseReply {
        let others = if with_others || self.me.draining {
            self.other_entries()
        } else {
            Vec::new()
        };
        LeaseReply::Granted {
            lease: self.leases.length(),
            leaving: self.me.draining || self.superseded,
            others,
        }
    }

    /// Returns some other entries of the zone that agents can move to.
    fn other_entries(&mut self) -> Vec<SocketAddr> {
        let zone = &self.me.zone;
        let serves =
            |r: &&Row| r.card.zone == *zone && !r.card.draining && r.standing == Standing::Alive;
        let others = self.others().filter(serves);
        let addresses = others.map(|r| r.card.address).collect();
        self.sample(addresses, MAX_ALTERNATIVES)
    }

    fn own_row(&self) -> Option<&Row> {
        self.table.row(&self.me.process.host)
    }

    fn own_agent(&self, host: &HostId) -> Option<&AgentCard> {
        self.own_row()?.set.card(host)
    }
}
