//! Injected faults that the stand-ins have in common.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use garde::Validate;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::reply::{ConnectionClosed, Reply, json, text};

/// How a service that is down treats requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outage {
    /// The service is up.
    #[default]
    None,
    /// Every request is answered with 503.
    Refuse,
    /// Connections are closed without a response.
    Close,
    /// Requests are never answered.
    Hang,
}

/// Returns the response of a service with this outage, or `None` if it is up. Never returns for
/// [`Outage::Hang`].
pub(crate) async fn outage_reply(outage: Outage) -> Option<Reply> {
    match outage {
        Outage::None => None,
        Outage::Refuse => Some(text(StatusCode::SERVICE_UNAVAILABLE, "the service is down")),
        Outage::Close => Some(Err(ConnectionClosed)),
        Outage::Hang => future::pending().await,
    }
}

/// Handles `GET /faults` and `PUT /faults`.
pub(crate) fn handle_request<T, F>(method: &Method, body: &[u8], current: T, apply: F) -> Reply
where
    T: Clone + Serialize + DeserializeOwned + Validate<Context = ()>,
    F: FnOnce(T),
{
    match *method {
        Method::GET => json(StatusCode::OK, &current),
        Method::PUT => match parse_faults::<T>(body) {
            Ok(faults) => {
                apply(faults.clone());
                json(StatusCode::OK, &faults)
            }
            Err(message) => text(StatusCode::BAD_REQUEST, message),
        },
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
    }
}

fn parse_faults<T>(body: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let faults: T = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    faults.validate().map_err(|report| report.to_string())?;
    Ok(faults)
}

/// Sleeps for some milliseconds, or returns at once for 0.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        Timer::after(Duration::from_millis(ms)).await;
    }
}
