//! Records of the `config` stream.

use serde::{Deserialize, Serialize};

/// One record of the `config` stream, encoded as JSON.
///
/// All fields except `change_id`, `base` and `document` are optional, and unknown fields are
/// ignored, so that readers of different releases reach the same decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Unique identifier of the change, by which it is found in the log if the reply to its append
    /// is lost.
    pub change_id: String,
    /// The version that the document was edited from; 0 if there was none yet.
    pub base: u64,
    /// The whole YAML document.
    pub document: String,
    /// Author of the change.
    #[serde(default)]
    pub author: String,
    /// Set if the record repeats the version in force, so that retention does not drop it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Set with `version` and with `restore`: the writer had read every record before this offset.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_to: Option<u64>,
    /// Set if no process knows the version in force any more: the record is accepted if no other
    /// record was appended since its writer read the log.
    #[serde(default, skip_serializing_if = "is_false")]
    pub restore: bool,
}

impl ConfigRecord {
    /// Parses a record. Returns `None` if the body is not a configuration record.
    pub fn from_bytes(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Returns whether the record restores a configuration if it is at this offset. Depends on no
    /// other record.
    pub fn restores_at(&self, offset: u64) -> bool {
        self.restore && self.version.is_none() && self.read_to == Some(offset)
    }

    /// Serializes the record for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record of strings and numbers is valid JSON")
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}
