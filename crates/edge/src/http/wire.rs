//! JSON bodies of the platform's HTTP service; `docs/PLATFORM.md` describes the protocol.

use base64::{Engine, engine::general_purpose::STANDARD};
use laburnum_kernel::platform::{ABSENT, Check, Row, Write};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Reads rows by key.
pub const TABLE_GET: &str = "/v1/table/get";
/// Reads rows by prefix.
pub const TABLE_SCAN: &str = "/v1/table/scan";
/// Checks versions and writes rows.
pub const TABLE_COMMIT: &str = "/v1/table/commit";
/// Stores an object.
pub const OBJECT_PUT: &str = "/v1/objects/put";
/// Reads an object.
pub const OBJECT_GET: &str = "/v1/objects/get";
/// Removes an object.
pub const OBJECT_DELETE: &str = "/v1/objects/delete";

/// Bytes that are serialized as base64 text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Base64(pub Vec<u8>);

/// Body of [`TABLE_GET`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetBody {
    /// Keys to read.
    pub keys: Vec<String>,
}

/// Body of [`TABLE_SCAN`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScanBody {
    /// Prefix of the keys.
    pub prefix: String,
    /// Only keys that sort after this one are returned.
    pub after: String,
    /// Maximum number of rows.
    pub limit: u32,
}

/// Body of [`TABLE_COMMIT`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommitBody {
    /// Row versions that must match for the commit to take effect.
    pub checks: Vec<Check>,
    /// Writes, applied in this order.
    pub writes: Vec<WriteBody>,
}

/// One write of a [`CommitBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum WriteBody {
    /// Stores a value.
    Put { key: String, value: Base64 },
    /// Removes a row.
    Delete { key: String },
}

/// Answer to reads (200) and to a commit whose checks failed (409).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowsBody {
    /// The rows, in order of key.
    pub rows: Vec<RowBody>,
}

/// One row of a [`RowsBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowBody {
    /// Key.
    pub key: String,
    /// Version; the first one is 1.
    pub version: u64,
    /// Value.
    pub value: Base64,
}

/// Answer to a commit that took effect, and to an object's put or delete (200).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneBody {
    /// Always true; required, so that an empty or unrelated body is not taken for success.
    pub done: bool,
}

/// Body of [`OBJECT_PUT`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectBody {
    /// The object's name.
    pub name: String,
    /// Its content.
    pub bytes: Base64,
}

/// Body of [`OBJECT_GET`] and [`OBJECT_DELETE`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NameBody {
    /// The object's name.
    pub name: String,
}

/// Answer to [`OBJECT_GET`]: 200 with bytes, 404 with none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BytesBody {
    /// The object's name; lets the client detect the answer to another read.
    pub name: String,
    /// Its content, if it exists.
    pub bytes: Option<Base64>,
}

/// Body of every other answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: String,
    /// With 429: milliseconds until a call may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<u64>,
    /// With 503: whether the operation may have taken effect.
    #[serde(default)]
    pub effect: Effect,
}

/// Whether a failed operation may have taken effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It had no effect.
    None,
    /// It may have had an effect; the default if the body does not say.
    #[default]
    Unknown,
}

/// A row has version 0 ([`ABSENT`]), which stands for a row that does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a row has version 0; versions start at 1")]
pub struct ZeroVersion;

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(de::Error::custom)?;
        Ok(Base64(bytes))
    }
}

impl From<Write> for WriteBody {
    fn from(write: Write) -> WriteBody {
        match write {
            Write::Put { key, value } => WriteBody::Put {
                key,
                value: Base64(value),
            },
            Write::Delete { key } => WriteBody::Delete { key },
        }
    }
}

impl From<WriteBody> for Write {
    fn from(body: WriteBody) -> Write {
        match body {
            WriteBody::Put { key, value } => Write::Put {
                key,
                value: value.0,
            },
            WriteBody::Delete { key } => Write::Delete { key },
        }
    }
}

impl From<Vec<Row>> for RowsBody {
    fn from(rows: Vec<Row>) -> RowsBody {
        let rows = rows.into_iter().map(|it| RowBody {
            key: it.key,
            version: it.version,
            value: Base64(it.value),
        });
        RowsBody {
            rows: rows.collect(),
        }
    }
}

impl TryFrom<RowsBody> for Vec<Row> {
    type Error = ZeroVersion;

    fn try_from(body: RowsBody) -> Result<Vec<Row>, ZeroVersion> {
        let rows = body.rows.into_iter().map(|it| match it.version {
            ABSENT => Err(ZeroVersion),
            version => Ok(Row {
                key: it.key,
                version,
                value: it.value.0,
            }),
        });
        rows.collect()
    }
}
