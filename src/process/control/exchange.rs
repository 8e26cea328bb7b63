//! What the control actor tells other nodes and learns from them: exchanges, summaries and records.

use std::collections::{HashMap, HashSet};

use ractor::RpcReplyPort;

use super::state::{Contact, State, answer, send};
use super::{EXCHANGE_PATH, EXCHANGE_TIMEOUT, Known, Message, Newer, RECORDS, RECORDS_PATH};
use crate::connection::peer;
use crate::process::cell::{self, LIVENESS_TIMEOUT};
use crate::process::view::Reported;
use crate::time::Moment;
use crate::version::replica;
use crate::wire::exchange::Record;
use crate::wire::{Exchange, Member, Report};

impl State {
    pub(super) fn send_exchange(&mut self, peer: Member, mut exchange: Exchange) {
        exchange.since = self.contact(&peer).mark;
        let (peers, myself) = (self.config.peers.clone(), self.myself.clone());
        let clock = self.config.clock;
        tokio::spawn(async move {
            let sent = clock.now();
            let answer: Result<Report, peer::Error> = peers
                .call(peer.peer, EXCHANGE_PATH, &exchange, EXCHANGE_TIMEOUT)
                .await;
            let message = match answer {
                Ok(report) => Message::Report(sent, report),
                Err(_) => Message::NoReport(peer.name),
            };
            send(&myself, message);
        });
    }

    pub(super) fn exchange_foreign(&mut self) {
        let foreign: Vec<Member> = self
            .records
            .iter()
            .filter(|(cell, _)| **cell != self.config.cell)
            .flat_map(|(_, record)| record.members.iter().cloned())
            .collect();
        for member in foreign {
            let exchange = Exchange {
                from: self.config.me.clone(),
                cell: self.config.cell.clone(),
                revision: self.cell.revision(),
                since: 0,
            };
            self.send_exchange(member, exchange);
        }
    }

    pub(super) fn exchange(
        &mut self,
        exchange: Exchange,
        reply: RpcReplyPort<Report>,
        now: Moment,
    ) {
        let mut report = self.cell.report(&exchange, now);
        (report.targets, report.mark) = self.config.gateway.summaries(exchange.since);
        report.stopping |= self.announced;
        answer(reply, report);
        self.contact(&exchange.from);
        let (peer, version) = (exchange.from.name.clone(), exchange.revision.settings);
        self.replica_step(replica::Event::Peer { peer, version }, now);
        self.cell_step(cell::Event::ExchangeReceived(exchange), now);
    }

    pub(super) fn reported(&mut self, sent: Moment, report: Report, now: Moment) {
        let from = report.from.clone();
        let contact = self.contact(&from);
        contact.heard = contact.heard.max(sent);
        contact.mark = report.mark;
        let stopping = std::mem::replace(&mut contact.stopping, report.stopping);
        self.dirty |= stopping != report.stopping || !report.targets.is_empty();
        for summary in &report.targets {
            let reported = Reported {
                by: from.clone(),
                summary: summary.clone(),
            };
            self.summaries.insert(summary.target.clone(), reported);
        }
        let version = report.revision.settings;
        self.replica_step(
            replica::Event::Peer {
                peer: from.name,
                version,
            },
            now,
        );
        if report.cell == self.config.cell {
            self.cell_step(cell::Event::ExchangeAnswered { sent, report }, now);
        }
    }

    /// Returns what is known of a node; a new incarnation starts with nothing.
    pub(super) fn contact(&mut self, member: &Member) -> &mut Contact {
        let now = self.config.clock.now();
        let fresh = || Contact {
            member: member.clone(),
            mark: 0,
            heard: now,
            stopping: false,
        };
        let contact = self
            .contacts
            .entry(member.name.clone())
            .or_insert_with(fresh);
        if contact.member != *member && contact.member.incarnation <= member.incarnation {
            *contact = fresh();
        }
        contact
    }

    pub(super) fn take_summaries(&mut self) {
        let (changed, mark) = self.config.gateway.summaries(self.own_mark);
        self.own_mark = mark;
        self.dirty |= !changed.is_empty();
        for summary in changed {
            let reported = Reported {
                by: self.config.me.clone(),
                summary,
            };
            self.summaries
                .insert(reported.summary.target.clone(), reported);
        }
    }

    pub(super) fn ask_records(&self, now: Moment) {
        // Peers of the own cell that answer take turns.
        let peers: Vec<&Contact> = self
            .cell
            .record()
            .into_iter()
            .flat_map(|record| &record.members)
            .filter_map(|member| self.contacts.get(&member.name))
            .filter(|contact| now.since(contact.heard) < LIVENESS_TIMEOUT)
            .collect();
        let turn = now.as_micros() / u64::try_from(RECORDS.as_micros()).unwrap_or(u64::MAX);
        let Some(contact) = peers.get(turn as usize % peers.len().max(1)) else {
            return;
        };
        let known = self.records.iter();
        let known = Known(
            known
                .map(|(cell, it)| (cell.clone(), it.revision))
                .collect(),
        );
        let (connections, myself) = (self.config.peers.clone(), self.myself.clone());
        let address = contact.member.peer;
        tokio::spawn(async move {
            let answer = connections
                .call(address, RECORDS_PATH, &known, EXCHANGE_TIMEOUT)
                .await;
            if let Ok(newer) = answer {
                send(&myself, Message::Newer(newer));
            }
        });
    }

    pub(super) fn newer(&self, known: &Known) -> Newer {
        let known: HashMap<&str, u64> = known
            .0
            .iter()
            .map(|(cell, revision)| (cell.as_str(), *revision))
            .collect();
        let newer = self.records.iter().filter(|(cell, record)| {
            known
                .get(cell.as_str())
                .is_none_or(|it| *it < record.revision)
        });
        Newer(
            newer
                .map(|(cell, record)| (cell.clone(), record.clone()))
                .collect(),
        )
    }

    pub(super) fn adopt_records(&mut self, records: Vec<(String, Record)>) {
        for (cell, record) in records {
            // The own cell's record is the state machine's; it gets it by exchanges and reads.
            let newer = self
                .records
                .get(&cell)
                .is_none_or(|it| it.revision < record.revision);
            if cell != self.config.cell && newer {
                self.records.insert(cell, record);
                self.dirty = true;
            }
        }
    }

    /// Notes since when each incarnation is a member, for the slow start of new ones.
    pub(super) fn note_members(&mut self, now: Moment) {
        // At its own start a node cannot tell who is new, so that everybody counts as old.
        let now = if self.joined.is_empty() {
            Moment::ZERO
        } else {
            now
        };
        let members = self.records.values().flat_map(|record| &record.members);
        let keys = members.map(|member| (member.name.clone(), member.incarnation));
        let before = std::mem::take(&mut self.joined);
        self.joined = keys
            .map(|key| {
                let since = before.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
    }

    /// Returns the nodes that have not answered lately.
    pub(super) fn unseen(&self, now: Moment) -> HashSet<&str> {
        let contacts = self.contacts.values();
        contacts
            .filter(|contact| now.since(contact.heard) >= LIVENESS_TIMEOUT)
            .map(|contact| contact.member.name.as_str())
            .collect()
    }

    /// Returns the nodes that have announced their stop.
    pub(super) fn stopping(&self) -> HashSet<&str> {
        let contacts = self.contacts.values();
        contacts
            .filter(|contact| contact.stopping)
            .map(|contact| contact.member.name.as_str())
            .collect()
    }
}
