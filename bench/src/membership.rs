//! The cells of the nodes, the store, and what follows from them: permits, owners, settings.

use std::rc::Rc;
use std::time::Duration;

use redwinggrade::process::cell::{self, HANDOVER_GRACE, Heads, SwapOutcome};
use redwinggrade::process::gate;
use redwinggrade::process::owner;
use redwinggrade::time::Moment;
use redwinggrade::wire::{Member, Reason};

use crate::size::NODES;
use crate::world::{Event, STORE_HOP, World, node_of};

/// The time to fetch a settings delta from a peer or the store.
const DELTA: Duration = Duration::from_millis(10);

impl World {
    pub(crate) fn handle_membership(&mut self, event: Event) {
        match event {
            Event::CellTick(node) => self.cell_step(node, cell::Event::Tick),
            Event::Cell(node, event) => self.cell_step(node, event),
            Event::Asked {
                to,
                from,
                sent,
                exchange,
            } => {
                if self.nodes[to].died.is_some() {
                    return;
                }
                let report = self.nodes[to].cell.report(&exchange, self.now);
                self.cell_step(to, cell::Event::ExchangeReceived(exchange));
                let delay = self.hop(to, from);
                let answer = cell::Event::ExchangeAnswered { sent, report };
                self.after(delay, Event::Cell(from, answer));
            }
            Event::Read { node, started } => {
                if !self.store.down {
                    let heads = Heads {
                        settings: self.store.settings,
                        record: self.store.records[self.nodes[node].data_centre].clone(),
                    };
                    let read = cell::Event::ReadEnded {
                        started,
                        heads: Some(heads),
                    };
                    self.after(STORE_HOP, Event::Cell(node, read));
                }
            }
            Event::Swap {
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
                self.after(STORE_HOP, Event::Cell(node, swapped));
            }
            Event::Learn { node, version } => self.learn(node, version),
            other => unreachable!("the world handles {other:?}"),
        }
    }

    fn cell_step(&mut self, node: usize, event: cell::Event) {
        if self.nodes[node].died.is_some() {
            return;
        }
        if matches!(event, cell::Event::Tick) && self.now >= self.nodes[node].next_tick {
            self.nodes[node].next_tick = Moment::NEVER;
        }
        let actions = self.nodes[node].cell.step(event, self.now);
        for action in actions {
            match action {
                cell::Action::ReadStore => {
                    let started = self.now;
                    self.after(STORE_HOP, Event::Read { node, started });
                }
                cell::Action::SwapRecord { expected, record } => self.after(
                    STORE_HOP,
                    Event::Swap {
                        node,
                        expected,
                        record,
                    },
                ),
                cell::Action::SendExchange { peer, exchange } => {
                    let to = node_of(&peer);
                    let sent = self.now;
                    let delay = self.hop(node, to);
                    self.after(
                        delay,
                        Event::Asked {
                            to,
                            from: node,
                            sent,
                            exchange,
                        },
                    );
                }
                cell::Action::MembershipChanged => self.own(node),
            }
        }
        let found = &mut self.nodes[node];
        if self.setup.policy.gateway {
            found.permit = found.cell.permit_until(self.now);
        }
        let known = found.cell.newest_settings_version();
        let next = found
            .cell
            .next_tick(self.now)
            .filter(|at| *at < found.next_tick);
        if let Some(at) = next {
            found.next_tick = at;
            self.at(at, Event::CellTick(node));
        }
        if known > self.nodes[node].settings {
            self.after(
                DELTA,
                Event::Learn {
                    node,
                    version: known,
                },
            );
        }
    }

    /// Puts a settings version into force at a node.
    fn learn(&mut self, node: usize, version: u64) {
        let found = &mut self.nodes[node];
        if found.died.is_some() || version <= found.settings {
            return;
        }
        found.settings = version;
        found.out = self.store.out[version as usize];
        self.cell_step(node, cell::Event::SettingsAdopted { version });
        self.own(node);
        let directory = Rc::new(self.directory(node));
        self.after(Duration::ZERO, Event::View(node, directory));
    }

    /// Opens, closes and reopens the gates of a node by what it owns and by the settings.
    fn own(&mut self, node: usize) {
        let basis = self.nodes[node].cell.ownership();
        for target in 0..self.targets() {
            let (data_centre, service, replica) = self.target(target);
            let gate = self.gate_at[node * self.targets() + target];
            let from = if !self.setup.policy.gateway {
                Some(Moment::ZERO)
            } else if data_centre == self.nodes[node].data_centre {
                let service = format!("s{service}");
                let from = basis
                    .usable_from(|members| owner::owner_of("index", &service, replica, members));
                from.map(|from| from.max(Moment::ZERO + HANDOVER_GRACE))
            } else {
                None
            };
            let in_service = !self.nodes[node].out[data_centre];
            match (gate, from) {
                (None, Some(from)) => {
                    self.open_gate(node, target, from);
                }
                (Some(gate), Some(from)) => {
                    let gated = &mut self.gates[gate];
                    let reopened = !gated.owned || in_service && !gated.in_service;
                    let moved = gated.valid_from != from;
                    gated.owned = true;
                    gated.in_service = in_service;
                    gated.valid_from = from;
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

    /// Returns the node that owns a target, as `node` knows it.
    pub(crate) fn owner(
        &self,
        node: usize,
        data_centre: usize,
        service: u32,
        replica: u32,
    ) -> Option<usize> {
        let service = format!("s{service}");
        let members = self.members(node, data_centre)?;
        owner::owner_of("index", &service, replica, members).map(node_of)
    }

    /// Returns the members of a cell as a node knows them; those of another cell from its newest record.
    fn members(&self, node: usize, data_centre: usize) -> Option<&[Member]> {
        let cells = (0..NODES)
            .filter(|&other| self.nodes[other].data_centre == data_centre)
            .filter(|&other| self.nodes[other].died.is_none())
            .filter(|&other| data_centre != self.nodes[node].data_centre || other == node);
        let records = cells.filter_map(|other| self.nodes[other].cell.record());
        let newest = records.max_by_key(|record| record.revision)?;
        Some(&newest.members)
    }
}
