//! Calls to the upstream.

use std::sync::Arc;

use hemlockhook_dispatch::agent::{HoldCall, StartCall, StartResult, StopCall, StopResult};
use hemlockhook_ports::leased::UpstreamClient;

use super::Core;

impl<U> Core<U>
where
    U: UpstreamClient,
{
    pub(super) async fn start(self: Arc<Self>, call: StartCall) {
        let key = call.key;
        let life = call.life;
        let task = call.task.clone();
        let run = call.run;
        let attempt = call.attempt;
        let entry = call.owner;
        let called = self.clock.now();
        let result = self.upstreams.start(call).await;
        let took_ms = self
            .clock
            .now()
            .saturating_duration_since(called)
            .as_millis() as u64;
        let job = &*task.job;
        let index = task.index;
        match result {
            StartResult::Started { .. } => {
                spdlog::info!("a task was started", kv: {
                    job,
                    task = index,
                    run,
                    attempt,
                    entry,
                    took_ms,
                });
            }
            _ => {
                spdlog::info!("the upstream did not confirm a start", kv: {
                    job,
                    task = index,
                    run,
                    attempt,
                    entry,
                    took_ms,
                    result:? = result,
                });
            }
        }
        if result == StartResult::NoAnswer {
            self.metrics.record_unanswered("start");
        }
        self.handle(|now, state| state.supervisor.start_answered(now, key, life, result));
    }

    pub(super) async fn stop(self: Arc<Self>, call: StopCall) {
        let task = call.task.clone();
        let run = call.run;
        let cause: &str = call.cause.into();
        let life = call.life;
        let result = self.upstreams.stop(call).await;
        let job = &*task.task.job;
        let index = task.task.index;
        spdlog::info!("a stop call has ended", kv: {
            job,
            task = index,
            run,
            cause,
            result:? = result,
        });
        if result == StopResult::Unsettled {
            self.metrics.record_unanswered("stop");
        }
        self.handle(|now, state| state.supervisor.stop_answered(now, &task, life, result));
    }

    pub(super) async fn hold(self: Arc<Self>, call: HoldCall) {
        let sent = self.clock.now();
        let wait = call.wait;
        let life = call.life;
        let result = self.upstreams.renew_lease(call).await;
        if result.is_none() {
            self.metrics.record_unanswered("hold");
            spdlog::warn!("the upstream did not answer a hold call");
        }
        self.handle(|now, state| {
            state
                .supervisor
                .hold_answered(now, sent, life, wait, result)
        });
    }
}
