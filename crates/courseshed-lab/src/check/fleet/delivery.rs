//! How messages of the fleet are sent, and what happens when they arrive.

use std::time::Duration;

use courseshed_types::{NodeId, shard::EngineFinding};
use rand::RngExt;

use super::{
    events::Event,
    links::Carriage,
    report::FleetFault,
    wire::{CallerReply, Envelope, Party, Payload, StreamItem},
    world::World,
};

/// When the sender of something notices that a link is cut.
const NOTICE: Duration = Duration::from_secs(2);
/// When whoever is connected to a process notices that it is gone.
const RESET: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(250);
const POLL_LAG_MILLIS: std::ops::Range<u64> = 5..400;
/// One poll in so many lists the leases.
const LISTING_ONE_IN: u64 = 20;
const CACHE_EVENT_LOSS_PERCENT: u32 = 10;

impl World {
    pub(super) fn send_all(&mut self, from: Party, outputs: Vec<(Party, Payload)>) {
        for (to, payload) in outputs {
            self.send(from, to, payload);
        }
    }

    pub(super) fn send(&mut self, from: Party, to: Party, payload: Payload) {
        if let Payload::Stream { stream, .. } = &payload
            && self.links.is_broken(*stream)
        {
            return;
        }
        let carriage = carriage_of(&payload);
        let faults = &mut self.report.faults;
        let arrivals =
            self.links
                .arrivals(&mut self.random, self.now, (from, to), carriage, faults);
        if arrivals.is_empty() && carriage == Carriage::Connection {
            return self.notice_cut(from, to, payload);
        }
        for at in arrivals {
            let payload = payload.clone();
            let at = match &payload {
                Payload::Stream { stream, .. } => self.links.stream_arrival(*stream, at),
                _ => at,
            };
            let envelope = Box::new(Envelope { from, to, payload });
            self.events.schedule(at, Event::Deliver(envelope));
        }
    }

    /// Sends past all faults, as a machine tells that a process is gone.
    pub(super) fn send_now(&mut self, from: Party, to: Party, payload: Payload) {
        let envelope = Box::new(Envelope { from, to, payload });
        self.events
            .schedule(self.now + RESET, Event::Deliver(envelope));
    }

    /// Tells the sender, after a while, that nothing comes back.
    fn notice_cut(&mut self, from: Party, to: Party, payload: Payload) {
        let notice = match payload {
            Payload::Ask { ask, .. } => Payload::AskLost {
                ask,
                handed_over: true,
            },
            Payload::Start { stream, .. } | Payload::Resume { stream, .. } => {
                let item = StreamItem::Broken;
                Payload::Stream { stream, item }
            }
            Payload::Query(query) => unreachable_finding(query.request),
            Payload::Stream { stream, .. } => return self.links.break_stream(stream),
            Payload::Answer { ask, .. } => {
                return self.notice_lost_answer(from, to, ask);
            }
            _ => return,
        };
        let envelope = Box::new(Envelope {
            from: to,
            to: from,
            payload: notice,
        });
        self.events
            .schedule(self.now + NOTICE, Event::Deliver(envelope));
    }

    fn notice_lost_answer(&mut self, from: Party, to: Party, ask: super::wire::AskId) {
        let payload = Payload::AskLost {
            ask,
            handed_over: true,
        };
        let envelope = Box::new(Envelope { from, to, payload });
        self.events
            .schedule(self.now + NOTICE, Event::Deliver(envelope));
    }

    pub(super) fn deliver(&mut self, envelope: Envelope) {
        match envelope.to {
            Party::Node(id) => self.deliver_to_node(id, envelope),
            Party::Engine(place) => self.deliver_to_engine(place, envelope),
            Party::Ledger => self.deliver_to_ledger(envelope),
            Party::Caller(caller) => {
                if let Payload::Reply { copy, reply } = envelope.payload {
                    self.tell_caller(caller, copy, &reply);
                }
            }
        }
    }

    fn deliver_to_node(&mut self, id: NodeId, envelope: Envelope) {
        let now = self.now;
        let node = self.node(id);
        match &mut node.process {
            None => return self.refuse(envelope),
            Some(process) => {
                if let Some(frozen) = &mut process.frozen {
                    frozen.push(envelope);
                    return;
                }
            }
        }
        let mut outputs = Vec::new();
        node.receive(now, envelope, &mut outputs);
        self.send_all(Party::Node(id), outputs);
    }

    /// What a machine says for a process that isn't there.
    pub(super) fn refuse(&mut self, envelope: Envelope) {
        let Envelope { from, to, payload } = envelope;
        let refusal = match payload {
            Payload::Ask { ask, .. } => Payload::AskLost {
                ask,
                handed_over: false,
            },
            Payload::Request { copy, .. } => {
                let reply = CallerReply::Refused;
                Payload::Reply { copy, reply }
            }
            Payload::Start { stream, .. } | Payload::Resume { stream, .. } => {
                let item = StreamItem::NotConnected;
                Payload::Stream { stream, item }
            }
            Payload::Query(query) => unreachable_finding(query.request),
            _ => return,
        };
        self.send_now(to, from, refusal);
    }

    /// What a machine says to whoever was connected to a process that was killed.
    pub(super) fn reset(&mut self, envelope: Envelope) {
        match envelope.payload {
            Payload::Start { stream, .. } | Payload::Resume { stream, .. } => {
                let item = StreamItem::Broken;
                let payload = Payload::Stream { stream, item };
                self.send_now(envelope.to, envelope.from, payload);
            }
            _ => self.refuse(envelope),
        }
    }

    fn deliver_to_engine(&mut self, place: usize, envelope: Envelope) {
        if !self.engines[place].is_up {
            return self.refuse(envelope);
        }
        if self.engines[place].is_hung {
            self.backlogs[place].push((self.now, envelope));
            return;
        }
        let now = self.now;
        let engine = &mut self.engines[place];
        match (envelope.from, envelope.payload) {
            (Party::Node(gateway), Payload::Start { stream, call }) => {
                engine.start(now, gateway, stream, *call);
            }
            (
                Party::Node(gateway),
                Payload::Resume {
                    stream,
                    request,
                    offset,
                },
            ) => engine.resume(gateway, stream, request, offset),
            (from, Payload::Query(query)) => {
                let finding = engine.find(&query);
                let request = query.request;
                let payload = Payload::Finding { request, finding };
                self.send(Party::Engine(place), from, payload);
            }
            (_, Payload::Order(order)) => engine.order(now, &order),
            _ => {}
        }
        self.send_streams(place);
    }

    pub(super) fn send_streams(&mut self, place: usize) {
        for output in self.engines[place].take_outputs() {
            let payload = Payload::Stream {
                stream: output.stream,
                item: output.item,
            };
            self.send(Party::Engine(place), Party::Node(output.to), payload);
        }
    }

    fn deliver_to_ledger(&mut self, envelope: Envelope) {
        if !self.ledger.is_reachable {
            return;
        }
        let now = super::world::ledger_time(self.now);
        let answer = match envelope.payload {
            Payload::GrantAsked(request) => self.ledger.grant(now, request).map(Payload::Granted),
            Payload::GrantReturned(returned) => {
                let taken = self.ledger.take_back(now, returned);
                taken.map(Payload::ReturnTaken)
            }
            _ => None,
        };
        if let Some(answer) = answer {
            self.send(Party::Ledger, envelope.from, answer);
        }
    }

    /// Lets every dispatcher hear from the engines that it can reach.
    pub(super) fn poll_engines(&mut self) {
        let is_due = self
            .now
            .as_millis()
            .is_multiple_of(POLL_INTERVAL.as_millis());
        if !is_due {
            return;
        }
        self.polls += 1;
        for id in self.node_ids() {
            let hosts = self
                .node(id)
                .awake()
                .is_some_and(|process| process.dispatcher.is_some());
            if hosts {
                for place in 0..self.engines.len() {
                    self.poll_engine(id, place);
                }
            }
        }
    }

    fn lose_cache_events(&mut self, events: &mut Vec<courseshed_types::dispatch::CacheEvent>) {
        let before = events.len();
        events.retain(|_| self.random.random_range(0..100) >= CACHE_EVENT_LOSS_PERCENT);
        for _ in events.len()..before {
            self.count(FleetFault::CacheEventLost);
        }
    }

    fn poll_engine(&mut self, id: NodeId, place: usize) {
        let (node, engine) = (Party::Node(id), Party::Engine(place));
        let is_cut = self.links.is_cut(node, engine) || self.links.is_cut(engine, node);
        let payload = match self.engines[place].is_well() && !is_cut {
            true => {
                let lists = self.polls.is_multiple_of(LISTING_ONE_IN);
                let mut poll = self.engines[place].poll(self.now, lists);
                self.lose_cache_events(&mut poll.events);
                Payload::Poll(Box::new(poll))
            }
            false => Payload::Unreachable(place),
        };
        let lag = Duration::from_millis(self.random.random_range(POLL_LAG_MILLIS));
        let envelope = Box::new(Envelope {
            from: engine,
            to: node,
            payload,
        });
        self.events
            .schedule(self.now + lag, Event::Deliver(envelope));
    }
}

fn carriage_of(payload: &Payload) -> Carriage {
    match payload {
        Payload::Log(_)
        | Payload::Dispatch(_)
        | Payload::Event(_)
        | Payload::GrantAsked(_)
        | Payload::Granted(_)
        | Payload::GrantReturned(_)
        | Payload::ReturnTaken(_)
        | Payload::Order(_)
        | Payload::Finding { .. } => Carriage::Datagram,
        _ => Carriage::Connection,
    }
}

fn unreachable_finding(request: courseshed_types::RequestId) -> Payload {
    let finding = EngineFinding::Unreachable("it does not answer".to_owned());
    Payload::Finding { request, finding }
}
