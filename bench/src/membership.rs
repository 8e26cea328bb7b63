//! Cell membership and the store in the simulation: exchanges, records, permits, target ownership and
//! the adoption of settings.

use std::rc::Rc;
use std::time::Duration;

use redwinggrade::process::cell::{self, HANDOVER_GRACE, Heads, SwapOutcome};
use redwinggrade::process::gate;
use redwinggrade::process::owner;
use redwinggrade::time::Moment;
use redwinggrade::wire::{Member, Reason};

use crate::simulation::{Event, STORE_DELAY, Simulation, node_number};
use crate::size::NODE_COUNT;

/// The time to fetch a change of the settings from a peer or the store.
const SETTINGS_FETCH_TIME: Duration = Duration::from_millis(10);

impl Simulation {
    /// Handles an event of the cells, the store or the settings.
    pub(crate) fn handle_membership(&mut self, event: Event) {
        match event {
            Event::CellTick(node) => self.cell_step(node, cell::Event::Tick),
            Event::StepCell(node, event) => self.cell_step(node, event),
            Event::ExchangeReceived {
                to,
                from,
                sent,
                exchange,
            } => {
                if self.nodes[to].died_at.is_some() {
                    return;
                }
                let report = self.nodes[to].cell.report(&exchange, self.now);
                self.cell_step(to, cell::Event::ExchangeReceived(exchange));
                let delay = self.link_delay(to, from);
                let answer = cell::Event::ExchangeAnswered { sent, report };
                self.schedule_after(delay, Event::StepCell(from, answer));
            }
            Event::ReadStore { node, started } => {
                if !self.store.down {
                    let heads = Heads {
                        settings: self.store.settings_version,
                        record: self.store.records[self.nodes[node].data_centre].clone(),
                    };
                    let read = cell::Event::ReadEnded {
                        started,
                        heads: Some(heads),
                    };
                    self.schedule_after(STORE_DELAY, Event::StepCell(node, read));
                }
            }
            Event::SwapRecord {
                node,
                expected,
                record,
            } => {
                if self.store.down {
                    return;
                }
                let held = &mut self.store.records[self.nodes[node].data_centre];
                let outcome = if held.as_ref().map(|(_, revision)| *revision) == expected {
                    self.store.revision += 1;
                    *held = Some((record, self.store.revision));
                    SwapOutcome::Done
                } else {
                    SwapOutcome::Conflict
                };
                let swapped = cell::Event::SwapEnded { expected, outcome };
                self.schedule_after(STORE_DELAY, Event::StepCell(node, swapped));
            }
            Event::AdoptSettings { node, version } => self.adopt_settings(node, version),
            other => unreachable!("not a membership event: {other:?}"),
        }
    }

    /// Passes an event to the cell of a node, carries out the resulting actions, and updates what follows
    /// from the new state: the permit, the next tick and the settings version.
    fn cell_step(&mut self, node: usize, event: cell::Event) {
        if self.nodes[node].died_at.is_some() {
            return;
        }
        if matches!(event, cell::Event::Tick) && self.now >= self.nodes[node].scheduled_tick {
            self.nodes[node].scheduled_tick = Moment::NEVER;
        }
        let actions = self.nodes[node].cell.step(event, self.now);
        for action in actions {
            match action {
                cell::Action::ReadStore => {
                    let started = self.now;
                    self.schedule_after(STORE_DELAY, Event::ReadStore { node, started });
                }
                cell::Action::SwapRecord { expected, record } => self.schedule_after(
                    STORE_DELAY,
                    Event::SwapRecord {
                        node,
                        expected,
                        record,
                    },
                ),
                cell::Action::SendExchange { peer, exchange } => {
                    let to = node_number(&peer);
                    let sent = self.now;
                    let delay = self.link_delay(node, to);
                    self.schedule_after(
                        delay,
                        Event::ExchangeReceived {
                            to,
                            from: node,
                            sent,
                            exchange,
                        },
                    );
                }
                cell::Action::MembershipChanged => self.update_gates(node),
            }
        }
        let state = &mut self.nodes[node];
        if self.config.policy.single_gateway {
            state.permit = state.cell.permit_until(self.now);
        }
        let known = state.cell.newest_settings_version();
        let next = state
            .cell
            .next_tick(self.now)
            .filter(|at| *at < state.scheduled_tick);
        if let Some(at) = next {
            state.scheduled_tick = at;
            self.schedule_at(at, Event::CellTick(node));
        }
        if known > self.nodes[node].settings_version {
            self.schedule_after(
                SETTINGS_FETCH_TIME,
                Event::AdoptSettings {
                    node,
                    version: known,
                },
            );
        }
    }

    /// Makes a settings version effective at a node, unless it has this or a newer one.
    fn adopt_settings(&mut self, node: usize, version: u64) {
        let state = &mut self.nodes[node];
        if state.died_at.is_some() || version <= state.settings_version {
            return;
        }
        state.settings_version = version;
        state.out_data_centres = self.store.out_by_version[version as usize];
        self.cell_step(node, cell::Event::SettingsAdopted { version });
        self.update_gates(node);
        let directory = Rc::new(self.build_directory(node));
        self.schedule_after(Duration::ZERO, Event::AdoptDirectory(node, directory));
    }

    /// Opens, closes and reopens the gates of a node by the targets that it owns and by the data centres
    /// that its settings take out of service.
    fn update_gates(&mut self, node: usize) {
        let basis = self.nodes[node].cell.ownership();
        for target in 0..self.target_count() {
            let (data_centre, service, replica) = self.target_identity(target);
            let gate = self.gate_at[node * self.target_count() + target];
            let from = if !self.config.policy.single_gateway {
                Some(Moment::ZERO)
            } else if data_centre == self.nodes[node].data_centre {
                let service = format!("s{service}");
                let from = basis
                    .usable_from(|members| owner::owner_of("index", &service, replica, members));
                from.map(|from| from.max(Moment::ZERO + HANDOVER_GRACE))
            } else {
                None
            };
            let in_service = !self.nodes[node].out_data_centres[data_centre];
            match (gate, from) {
                (None, Some(from)) => {
                    self.open_gate(node, target, from);
                }
                (Some(gate), Some(from)) => {
                    let target_gate = &mut self.gates[gate];
                    let reopened = !target_gate.owned || in_service && !target_gate.in_service;
                    let moved = target_gate.valid_from != from;
                    target_gate.owned = true;
                    target_gate.in_service = in_service;
                    target_gate.valid_from = from;
                    if reopened || moved {
                        self.gate_step(gate, gate::Event::Reopen(from));
                    }
                    if !in_service {
                        self.gate_step(gate, gate::Event::Close(Reason::OutOfService));
                    }
                }
                (Some(gate), None) if self.gates[gate].owned => {
                    self.gates[gate].owned = false;
                    self.gate_step(gate, gate::Event::Close(Reason::NotOwner));
                }
                (_, None) => {}
            }
        }
    }

    /// Returns the node that owns a target, from the view of `node`.
    pub(crate) fn owner(
        &self,
        node: usize,
        data_centre: usize,
        service: u32,
        replica: u32,
    ) -> Option<usize> {
        let service = format!("s{service}");
        let members = self.members(node, data_centre)?;
        owner::owner_of("index", &service, replica, members).map(node_number)
    }

    /// Returns the members of the cell in a data centre, from the view of a node.
    ///
    /// For another cell, this is the newest record of its live nodes.
    fn members(&self, node: usize, data_centre: usize) -> Option<&[Member]> {
        let cells = (0..NODE_COUNT)
            .filter(|&other| self.nodes[other].data_centre == data_centre)
            .filter(|&other| self.nodes[other].died_at.is_none())
            .filter(|&other| data_centre != self.nodes[node].data_centre || other == node);
        let records = cells.filter_map(|other| self.nodes[other].cell.record());
        let newest = records.max_by_key(|record| record.revision)?;
        Some(&newest.members)
    }
}
