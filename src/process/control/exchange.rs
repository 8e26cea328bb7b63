//! Exchanges of the control actor with other nodes, and the target summaries and cell records that it gets
//! by them.

use std::collections::{HashMap, HashSet};

use ractor::RpcReplyPort;

use super::state::{PeerState, State, reply_with, send};
use super::{
    EXCHANGE_PATH, EXCHANGE_TIMEOUT, Message, RECORD_FETCH_PERIOD, RECORDS_PATH, RecordRevisions,
    RecordUpdates,
};
use crate::connection::peer;
use crate::process::cell::{self, LIVENESS_TIMEOUT};
use crate::process::view::ReportedSummary;
use crate::time::Moment;
use crate::version::replica;
use crate::wire::exchange::Record;
use crate::wire::{Exchange, Member, Report};

impl State {
    pub(super) fn send_exchange(&mut self, peer: Member, mut exchange: Exchange) {
        exchange.since = self.peer_state(&peer).summary_mark;
        let (peers, myself) = (self.config.peers.clone(), self.myself.clone());
        let clock = self.config.clock;
        tokio::spawn(async move {
            let sent = clock.now();
            let answer: Result<Report, peer::Error> = peers
                .call(peer.peer, EXCHANGE_PATH, &exchange, EXCHANGE_TIMEOUT)
                .await;
            let message = match answer {
                Ok(report) => Message::ExchangeAnswered(sent, report),
                Err(_) => Message::ExchangeFailed(peer.name),
            };
            send(&myself, message);
        });
    }

    /// Sends an exchange to every member of the other cells.
    pub(super) fn send_foreign_exchanges(&mut self) {
        let foreign: Vec<Member> = self
            .cell_records
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

    pub(super) fn answer_exchange(
        &mut self,
        exchange: Exchange,
        reply: RpcReplyPort<Report>,
        now: Moment,
    ) {
        let mut report = self.cell.report(&exchange, now);
        (report.targets, report.mark) = self.config.gateway.summaries(exchange.since);
        report.stopping |= self.stop_announced;
        reply_with(reply, report);
        self.peer_state(&exchange.from);
        let (peer, version) = (exchange.from.name.clone(), exchange.revision.settings);
        self.step_replica(replica::Event::PeerVersion { peer, version }, now);
        self.step_cell(cell::Event::ExchangeReceived(exchange), now);
    }

    pub(super) fn on_exchange_answered(&mut self, sent: Moment, report: Report, now: Moment) {
        let from = report.from.clone();
        let peer_state = self.peer_state(&from);
        peer_state.last_answered = peer_state.last_answered.max(sent);
        peer_state.summary_mark = report.mark;
        let was_stopping = std::mem::replace(&mut peer_state.stopping, report.stopping);
        self.view_outdated |= was_stopping != report.stopping || !report.targets.is_empty();
        for summary in &report.targets {
            let reported = ReportedSummary {
                reporter: from.clone(),
                summary: summary.clone(),
            };
            self.target_summaries
                .insert(summary.target.clone(), reported);
        }
        let version = report.revision.settings;
        self.step_replica(
            replica::Event::PeerVersion {
                peer: from.name,
                version,
            },
            now,
        );
        if report.cell == self.config.cell {
            self.step_cell(cell::Event::ExchangeAnswered { sent, report }, now);
        }
    }

    /// Returns the state of a peer; it is reset when the peer has a new incarnation or a new address.
    pub(super) fn peer_state(&mut self, member: &Member) -> &mut PeerState {
        let now = self.config.clock.now();
        let new_state = || PeerState {
            member: member.clone(),
            summary_mark: 0,
            last_answered: now,
            stopping: false,
        };
        let peer_state = self
            .peer_states
            .entry(member.name.clone())
            .or_insert_with(new_state);
        if peer_state.member != *member && peer_state.member.incarnation <= member.incarnation {
            *peer_state = new_state();
        }
        peer_state
    }

    /// Takes the summaries of the own targets that changed since the last call.
    pub(super) fn collect_own_summaries(&mut self) {
        let (changed, mark) = self.config.gateway.summaries(self.own_summary_mark);
        self.own_summary_mark = mark;
        self.view_outdated |= !changed.is_empty();
        for summary in changed {
            let reported = ReportedSummary {
                reporter: self.config.me.clone(),
                summary,
            };
            self.target_summaries
                .insert(reported.summary.target.clone(), reported);
        }
    }

    /// Asks one member of the own cell for newer cell records.
    pub(super) fn fetch_records(&self, now: Moment) {
        // The requests rotate over the members of the own cell that answered lately.
        let peers: Vec<&PeerState> = self
            .cell
            .record()
            .into_iter()
            .flat_map(|record| &record.members)
            .filter_map(|member| self.peer_states.get(&member.name))
            .filter(|peer_state| now.since(peer_state.last_answered) < LIVENESS_TIMEOUT)
            .collect();
        let turn =
            now.as_micros() / u64::try_from(RECORD_FETCH_PERIOD.as_micros()).unwrap_or(u64::MAX);
        let Some(peer_state) = peers.get(turn as usize % peers.len().max(1)) else {
            return;
        };
        let known = self.cell_records.iter();
        let known = RecordRevisions(
            known
                .map(|(cell, it)| (cell.clone(), it.revision))
                .collect(),
        );
        let (connections, myself) = (self.config.peers.clone(), self.myself.clone());
        let address = peer_state.member.peer;
        tokio::spawn(async move {
            let answer = connections
                .call(address, RECORDS_PATH, &known, EXCHANGE_TIMEOUT)
                .await;
            if let Ok(newer) = answer {
                send(&myself, Message::RecordsFetched(newer));
            }
        });
    }

    pub(super) fn newer_records(&self, known: &RecordRevisions) -> RecordUpdates {
        let known: HashMap<&str, u64> = known
            .0
            .iter()
            .map(|(cell, revision)| (cell.as_str(), *revision))
            .collect();
        let newer = self.cell_records.iter().filter(|(cell, record)| {
            known
                .get(cell.as_str())
                .is_none_or(|it| *it < record.revision)
        });
        RecordUpdates(
            newer
                .map(|(cell, record)| (cell.clone(), record.clone()))
                .collect(),
        )
    }

    pub(super) fn adopt_records(&mut self, records: Vec<(String, Record)>) {
        for (cell, record) in records {
            // The record of the own cell is adopted by its state machine, from exchanges and store reads.
            let newer = self
                .cell_records
                .get(&cell)
                .is_none_or(|it| it.revision < record.revision);
            if cell != self.config.cell && newer {
                self.cell_records.insert(cell, record);
                self.view_outdated = true;
            }
        }
    }

    /// Updates when each incarnation was first seen as a member, so that callers are sent to new ones last.
    pub(super) fn update_first_seen(&mut self, now: Moment) {
        // At its own start a node cannot tell which members are new, so that all count as old.
        let now = if self.first_seen.is_empty() {
            Moment::ZERO
        } else {
            now
        };
        let members = self
            .cell_records
            .values()
            .flat_map(|record| &record.members);
        let keys = members.map(|member| (member.name.clone(), member.incarnation));
        let previous = std::mem::take(&mut self.first_seen);
        self.first_seen = keys
            .map(|key| {
                let since = previous.get(&key).copied().unwrap_or(now);
                (key, since)
            })
            .collect();
    }

    /// Returns the names of the nodes that answered no exchange sent within [`LIVENESS_TIMEOUT`].
    pub(super) fn unresponsive_nodes(&self, now: Moment) -> HashSet<&str> {
        let peer_states = self.peer_states.values();
        peer_states
            .filter(|peer_state| now.since(peer_state.last_answered) >= LIVENESS_TIMEOUT)
            .map(|peer_state| peer_state.member.name.as_str())
            .collect()
    }

    /// Returns the names of the nodes that have announced a planned stop.
    pub(super) fn stopping_nodes(&self) -> HashSet<&str> {
        let peer_states = self.peer_states.values();
        peer_states
            .filter(|peer_state| peer_state.stopping)
            .map(|peer_state| peer_state.member.name.as_str())
            .collect()
    }
}
