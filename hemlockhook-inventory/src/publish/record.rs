//! Records of the stream `config`.

use serde::{Deserialize, Serialize};

/// One record of the stream `config`, as JSON.
///
/// Every field but `change_id`, `base` and `document` may be absent, and fields that a reader does
/// not know are ignored, so that readers of several releases decide alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRecord {
    /// Unique for the change; settles it when the reply to its append is lost.
    pub change_id: String,
    /// The version that the document was edited from; 0: none yet.
    pub base: u64,
    /// The whole YAML document.
    pub document: String,
    /// Who published it.
    #[serde(default)]
    pub author: String,
    /// Set when the record repeats the version in force, so that retention does not drop it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Set with `version` and with `restore`: every record below this offset had been read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub read_to: Option<u64>,
    /// Set when nobody knows the version in force any more: the record is accepted if nothing was
    /// appended after what its writer had read.
    #[serde(default, skip_serializing_if = "is_false")]
    pub restore: bool,
}

impl ConfigRecord {
    /// Reads a record. Returns `None` for what is none.
    pub fn from_bytes(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Returns whether the record at an offset restores a configuration. It can be told from the
    /// record alone.
    pub fn restores_at(&self, offset: u64) -> bool {
        self.restore && self.version.is_none() && self.read_to == Some(offset)
    }

    /// Returns the record as it is appended.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record of strings and numbers is valid JSON")
    }
}

fn is_false(flag: &bool) -> bool {
    !flag
}
