//! What the stand-ins' faults have in common.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use garde::Validate;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::reply::{Closed, Reply, json, text};

/// What a service that is down does with requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outage {
    /// It is up.
    #[default]
    None,
    /// It answers with 503.
    Refuse,
    /// It closes the connection.
    Close,
    /// It never answers.
    Hang,
}

/// Returns the reply that an outage gives; none if the service is up.
pub(crate) async fn reply_of(outage: Outage) -> Option<Reply> {
    match outage {
        Outage::None => None,
        Outage::Refuse => Some(text(StatusCode::SERVICE_UNAVAILABLE, "the service is down")),
        Outage::Close => Some(Err(Closed)),
        Outage::Hang => future::pending().await,
    }
}

/// Answers `GET /faults` and `PUT /faults`.
pub(crate) fn handle<T, F>(method: &Method, body: &[u8], current: T, set: F) -> Reply
where
    T: Clone + Serialize + DeserializeOwned + Validate<Context = ()>,
    F: FnOnce(T),
{
    match *method {
        Method::GET => json(StatusCode::OK, &current),
        Method::PUT => match parse::<T>(body) {
            Ok(faults) => {
                set(faults.clone());
                json(StatusCode::OK, &faults)
            }
            Err(message) => text(StatusCode::BAD_REQUEST, message),
        },
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "use GET or PUT"),
    }
}

fn parse<T>(body: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned + Validate<Context = ()>,
{
    let faults: T = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    faults.validate().map_err(|report| report.to_string())?;
    Ok(faults)
}

/// Sleeps; returns at once for 0.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        Timer::after(Duration::from_millis(ms)).await;
    }
}
