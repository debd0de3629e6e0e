//! Documents in files.

use std::{
    fs::File,
    io::{self, Read},
    path::{Path, PathBuf},
};

/// Most bytes read of a file; a document is far shorter.
const FILE_MAX: u64 = 1 << 20;

/// A file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system says so.
    #[error("cannot read {path}: {source}; check the name and its permissions")]
    Read { path: PathBuf, source: io::Error },
    /// It is not text.
    #[error("{path} is not UTF-8 text; save the document as UTF-8")]
    Encoding { path: PathBuf },
}

/// The text of the file at `path`.
pub fn read(path: &Path) -> Result<String, FileError> {
    let fault = |source| FileError::Read {
        path: path.to_owned(),
        source,
    };
    let mut bytes = Vec::new();
    let file = File::open(path).map_err(fault)?;
    file.take(FILE_MAX).read_to_end(&mut bytes).map_err(fault)?;
    String::from_utf8(bytes).map_err(|_| FileError::Encoding {
        path: path.to_owned(),
    })
}
