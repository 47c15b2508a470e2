//! Links to agents: connecting, detecting lost agents, and handling frames.

use std::time::{Duration, Instant};

use hemlockhook_inventory::admin::EventKind;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::{AgentFrame, AgentHello, EntryFrame};
use hemlockhook_schedule::UpstreamSpec;
use hemlockhook_types::Incarnation;

use super::Engine;
use crate::event::{Action, LinkEnd, ReplySender, Response};

/// Shortest delay before another attempt to connect to an agent.
const RECONNECT_MIN: Duration = Duration::from_millis(50);

/// Longest delay before another attempt to connect to an agent.
const RECONNECT_MAX: Duration = Duration::from_secs(2);

/// The link to one agent.
#[derive(Debug, Default)]
pub struct AgentLink {
    /// Name of its upstream.
    pub name: String,
    /// Whether the link is up.
    pub up: bool,
    /// Whether the upstream is draining, and gets no new work.
    pub leaving: bool,
    /// The latest hello of the agent.
    pub hello: AgentHello,
    /// Configuration version in force at the agent.
    pub config_version: u64,
    /// Configuration version that was last sent to the agent; 0 for none on the present link.
    pub config_sent: u64,
    /// When the link came up.
    pub up_since: Option<Instant>,
    /// Whether the agent gets new work: the link is up and the agent has not gone silent.
    usable: bool,
    last_heard: Option<Instant>,
    ping_sent_at: Option<Instant>,
    /// When the link went down, or when the first attempt to connect began.
    down_since: Option<Instant>,
    reconnect_delay: Duration,
    /// The frame being collected, which is sent after the current batch of events.
    frame: EntryFrame,
}

impl Engine {
    /// Connects to an announced agent after a delay that doubles with each attempt.
    pub(super) fn connect_agent(&mut self, now: Instant, agent: Incarnation) {
        let Some(member) = self.members.agent(agent) else {
            return;
        };
        let link = self.links.entry(agent).or_default();
        link.name.clone_from(&member.name);
        link.down_since.get_or_insert(now);
        let (address, delay) = (member.address, link.reconnect_delay);
        link.reconnect_delay = (delay * 2).clamp(RECONNECT_MIN, RECONNECT_MAX);
        self.actions.push(Action::Connect {
            agent,
            address,
            delay,
        });
    }

    pub(super) fn on_link_up(&mut self, now: Instant, agent: Incarnation, hello: AgentHello) {
        if hello.incarnation != agent {
            // Another incarnation has taken over the address, so the expected one is gone.
            self.actions.push(Action::Disconnect { agent });
            self.on_agent_gone(now, agent);
            return;
        }
        let link = self.links.entry(agent).or_default();
        let was_up = link.up;
        link.name.clone_from(&hello.name);
        link.config_version = hello.config_version;
        if !was_up {
            link.up_since = Some(now);
            link.config_sent = 0;
        }
        link.leaving = hello.leaving;
        link.reconnect_delay = RECONNECT_MIN;
        link.up = true;
        link.usable = true;
        link.last_heard = Some(now);
        link.ping_sent_at = None;
        link.down_since = None;
        link.hello = hello.clone();

        let spec = upstream_spec(&hello);
        if !was_up {
            self.owner.on_agent_connected(now, agent, &spec.services);
            self.record_event(
                EventKind::AgentUp,
                &hello.name,
                "the link to its agent is up",
            );
        }
        self.dispatcher.add_upstream(now, agent, spec);
        self.dispatcher
            .set_upstream_leaving(now, agent, hello.leaving);
    }

    pub(super) fn on_link_down(&mut self, now: Instant, agent: Incarnation, end: LinkEnd) {
        let Some(link) = self.links.get_mut(&agent) else {
            return;
        };
        let was_up = std::mem::replace(&mut link.up, false);
        link.usable = false;
        link.frame = EntryFrame::default();
        link.down_since.get_or_insert(now);
        let name = link.name.clone();
        if was_up {
            self.owner.on_agent_disconnected(now, agent);
            self.dispatcher.remove_upstream(now, agent);
            self.record_event(EventKind::AgentDown, &name, "the link to its agent is lost");
        }
        match end {
            LinkEnd::Refused => self.on_agent_gone(now, agent),
            LinkEnd::Broken => self.connect_agent(now, agent),
        }
    }

    /// Removes an agent that is gone for good; the tasks running there are lost.
    pub(super) fn on_agent_gone(&mut self, now: Instant, agent: Incarnation) {
        let Some(link) = self.links.remove(&agent) else {
            return;
        };
        self.dispatcher.remove_upstream(now, agent);
        self.owner.on_agent_lost(now, agent);
        self.placed_tasks
            .retain(|_, (placed_at, _)| *placed_at != agent);
        self.members.remove_agent(agent);
        self.record_event(EventKind::AgentGone, &link.name, "its agent is gone");
    }

    /// Pings agents that have gone silent, withholds new work from those that stay silent, and
    /// removes those that have been silent or unreachable for too long.
    pub(super) fn check_links(&mut self, now: Instant) {
        let silent_after = self.timing.agent_silence();
        let lost_after = self.timing.agent_lost();
        let mut silent = Vec::new();
        let mut gone = Vec::new();
        for (agent, link) in &mut self.links {
            let silent_for = link
                .last_heard
                .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
            let down_for = link.down_since.map_or(Duration::ZERO, |at| now - at);
            match link.up {
                false if down_for >= lost_after => gone.push(*agent),
                true if silent_for >= lost_after => gone.push(*agent),
                true if silent_for >= silent_after && link.usable => {
                    link.usable = false;
                    silent.push(*agent);
                }
                true if silent_for >= silent_after / 2 && link.ping_sent_at.is_none() => {
                    link.ping_sent_at = Some(now);
                    link.frame.ping = true;
                }
                _ => {}
            }
        }
        for agent in silent {
            self.dispatcher.set_upstream_leaving(now, agent, true);
        }
        for agent in gone {
            self.actions.push(Action::Disconnect { agent });
            self.on_agent_gone(now, agent);
        }
    }

    pub(super) fn on_link_frame(&mut self, now: Instant, agent: Incarnation, frame: AgentFrame) {
        let Some(link) = self.links.get_mut(&agent) else {
            return;
        };
        link.last_heard = Some(now);
        link.ping_sent_at = None;
        if !link.usable && link.up {
            link.usable = true;
            let leaving = link.leaving;
            self.dispatcher.set_upstream_leaving(now, agent, leaving);
        }
        self.counters.on_agent_frame(&frame);
        if frame.leaving_changed {
            self.on_leaving_changed(now, agent, frame.leaving);
        }
        self.on_agent_config(now, agent, &frame);
        for report in frame.reports {
            self.on_fence_report(now, agent, report);
        }
        for done in frame.done {
            self.on_task_done(now, agent, done);
        }
        for refusal in frame.refusals {
            self.on_refusal(now, agent, refusal);
        }
        for withdrawn in frame.withdrawn {
            self.on_withdrawn(now, agent, withdrawn);
        }
        if let Some(custody) = frame.custody {
            self.forward_custody(agent, custody);
        }
        if let Some(leaver) = frame
            .adopted
            .filter(|leaver| self.links.contains_key(leaver))
        {
            self.outgoing_frame(leaver).custodian = Some(agent);
        }
        if frame.grants > 0 {
            self.dispatcher.add_grants(now, agent, frame.grants);
        }
        if frame.recalled_grants > 0 {
            let returned = self
                .dispatcher
                .return_grants(now, agent, frame.recalled_grants);
            self.outgoing_frame(agent).returned_grants += returned;
        }
    }

    fn on_leaving_changed(&mut self, now: Instant, agent: Incarnation, leaving: bool) {
        let Some(link) = self.links.get_mut(&agent) else {
            return;
        };
        link.leaving = leaving;
        let name = link.name.clone();
        self.dispatcher.set_upstream_leaving(now, agent, leaving);
        match leaving {
            true => self.record_event(EventKind::Leaving, &name, "it takes no new work"),
            false => self.record_event(EventKind::Returned, &name, "it takes work again"),
        }
    }

    fn on_fence_report(&mut self, now: Instant, agent: Incarnation, report: v1::FenceReport) {
        let takeover = report.takeover;
        self.owner
            .on_fence_report(now, agent, takeover, report.into());
    }

    /// Forwards the records of a leaving agent to another agent, which keeps them from then on: the
    /// usable one that shares most services with it.
    fn forward_custody(&mut self, leaver: Incarnation, custody: v1::Custody) {
        let Some(leaving) = self.links.get(&leaver) else {
            return;
        };
        let shared = |link: &AgentLink| {
            let services = link.hello.services.iter();
            services
                .filter(|service| leaving.hello.services.contains(service))
                .count()
        };
        let custodian = self
            .links
            .iter()
            .filter(|(agent, link)| **agent != leaver && link.usable && !link.leaving)
            .max_by_key(|(agent, link)| (shared(link), **agent ^ leaver))
            .map(|(agent, _)| *agent);
        if let Some(custodian) = custodian {
            self.outgoing_frame(custodian).custody = Some(custody);
        }
    }

    /// Sends agents the backlogs that have changed.
    pub(super) fn send_demands(&mut self, now: Instant) {
        for (agent, demand) in self.dispatcher.take_demands(now) {
            self.outgoing_frame(agent).demand = Some(v1::Demand {
                queued: demand.queued,
                head_urgency: demand.head_urgency,
                queued_long: demand.queued_long,
            });
        }
    }

    /// Sends each agent its collected frame.
    pub(super) fn flush_links(&mut self) {
        self.discarded_frame = EntryFrame::default();
        let config_version = self.config.version();
        for (agent, link) in &mut self.links {
            if !link.up || link.frame == EntryFrame::default() {
                continue;
            }
            let mut frame = std::mem::take(&mut link.frame);
            frame.config_version = config_version;
            self.counters.on_entry_frame(&frame);
            self.actions.push(Action::SendFrame {
                agent: *agent,
                frame: Box::new(frame),
            });
        }
    }

    pub(super) fn on_drain_upstream(
        &mut self,
        upstream: &str,
        leaving: bool,
        reply_to: ReplySender,
    ) {
        let mut found = false;
        for link in self
            .links
            .values_mut()
            .filter(|link| link.up && link.name == upstream)
        {
            link.frame.drain = Some(v1::Drain { leaving });
            found = true;
        }
        self.actions.push(Action::Reply {
            reply_to,
            response: Response::DrainRequested(found),
        });
    }

    /// Returns the frame that is sent to an agent next. For an agent without a link this is a frame
    /// that is discarded.
    pub(super) fn outgoing_frame(&mut self, agent: Incarnation) -> &mut EntryFrame {
        self.links
            .get_mut(&agent)
            .map_or(&mut self.discarded_frame, |link| &mut link.frame)
    }
}

fn upstream_spec(hello: &AgentHello) -> UpstreamSpec {
    UpstreamSpec {
        name: hello.name.as_str().into(),
        services: hello
            .services
            .iter()
            .map(|service| service.as_str().into())
            .collect(),
        worker: hello.worker.as_str().into(),
        rack: hello.rack.as_str().into(),
        data_center: hello.data_center.as_str().into(),
        slots: hello.slots,
    }
}
