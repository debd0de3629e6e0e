//! Reading of document files.

use std::{
    fs::File,
    io::{self, Read},
    path::{Path, PathBuf},
};

/// Maximum number of bytes read from a file; documents are far shorter.
const FILE_MAX: u64 = 1 << 20;

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// Opening or reading it failed.
    #[error("cannot read {path}: {source}; check the name and its permissions")]
    Read { path: PathBuf, source: io::Error },
    /// Its content is not UTF-8.
    #[error("{path} is not UTF-8 text; save the document as UTF-8")]
    Encoding { path: PathBuf },
}

/// Returns the text of the file at `path`.
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
