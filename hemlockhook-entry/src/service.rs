//! The gRPC service for other entries.

use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use hemlockhook_proto::convert::Reply;
use hemlockhook_proto::v1;
use hemlockhook_proto::v1::entry_server::Entry;
use hemlockhook_types::JobKey;
use tonic::{Request, Response, Status};

use crate::control::ControlHandle;
use crate::event;
use crate::event::{Event, JobOperation, Origin, ReplySender, Submission};
use crate::request::parse_forwarded;

/// The gRPC service of an entry.
pub struct EntryService {
    control: ControlHandle,
}

impl EntryService {
    /// Creates a service that sends requests to the control thread.
    pub fn new(control: ControlHandle) -> Self {
        Self { control }
    }

    async fn job_operation(
        &self,
        req: v1::QueryRequest,
        operation: JobOperation,
    ) -> Result<v1::Answer, Status> {
        let key: JobKey = req.key.as_str().into();
        let max_wait = Duration::from_millis(req.wait_ms.into());
        let replied = self.await_reply(|reply_to| Event::JobOperation {
            key,
            operation,
            origin: Origin::Entry,
            reply_to,
        });
        let expire = async {
            Timer::after(max_wait).await;
            Ok(Reply::Pending.into())
        };
        match operation {
            JobOperation::AwaitAnswer => replied.or(expire).await,
            JobOperation::Query | JobOperation::Cancel => replied.await,
        }
    }

    async fn await_reply<F>(&self, event: F) -> Result<v1::Answer, Status>
    where
        F: FnOnce(ReplySender) -> Event,
    {
        let (tx, rx) = async_channel::bounded(1);
        self.control.send(event(tx));
        match rx.recv().await {
            Ok(event::Response::Job { reply, .. }) => Ok(reply.into()),
            _ => Err(Status::unavailable("the entry is stopping")),
        }
    }
}

#[tonic::async_trait]
impl Entry for EntryService {
    async fn submit(
        &self,
        req: Request<v1::SubmitRequest>,
    ) -> Result<Response<v1::Answer>, Status> {
        let req = req.into_inner();
        let mut job = parse_forwarded(&req.key.as_str().into(), &req.job)
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        job.deadline = Duration::from_millis(req.deadline_ms.into());
        let stamp = req.stamp.map(Into::into);
        let submission = Submission {
            job: job.into(),
            body: req.job.into(),
            stamp,
        };
        let origin = Origin::Entry;
        let answer = self
            .await_reply(|reply_to| Event::Submit {
                submission,
                origin,
                reply_to,
            })
            .await?;
        Ok(Response::new(answer))
    }

    async fn query(&self, req: Request<v1::QueryRequest>) -> Result<Response<v1::Answer>, Status> {
        let req = req.into_inner();
        let operation = match req.wait_ms {
            0 => JobOperation::Query,
            _ => JobOperation::AwaitAnswer,
        };
        self.job_operation(req, operation).await.map(Response::new)
    }

    async fn cancel(&self, req: Request<v1::QueryRequest>) -> Result<Response<v1::Answer>, Status> {
        self.job_operation(req.into_inner(), JobOperation::Cancel)
            .await
            .map(Response::new)
    }

    async fn heartbeat(
        &self,
        req: Request<v1::PeerStatus>,
    ) -> Result<Response<v1::PeerStatus>, Status> {
        let (tx, rx) = async_channel::bounded(1);
        self.control.send(Event::PeerStatus {
            status: req.into_inner(),
            reply_to: Some(tx),
        });
        match rx.recv().await {
            Ok(event::Response::PeerStatus(status)) => Ok(Response::new(*status)),
            _ => Err(Status::unavailable("the entry is stopping")),
        }
    }
}
