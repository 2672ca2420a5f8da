//! The inputs of a command: the token, the JSON file and the request ID.

use std::{fs, io, path};

use compact_str::{CompactString, format_compact};

use super::{Error, Result};

/// Reads the token from `file`, without blanks and line ends around it, or else takes the value of
/// the environment variable. Fails if both are missing or empty.
pub fn read_token(
    file: Option<&path::Path>,
    variable: Option<CompactString>,
) -> Result<CompactString> {
    let token = match file {
        Some(file) => fs::read_to_string(file)
            .map_err(|source| Error::Read { file: file.to_owned(), source })?
            .trim()
            .into(),
        None => variable.unwrap_or_default(),
    };
    if token.is_empty() { Err(Error::NoToken) } else { Ok(token) }
}

/// Reads the JSON value in `file`, or in `input` if the name is `-`.
pub fn read_json(file: &path::Path, input: &mut dyn io::Read) -> Result<serde_json::Value> {
    let text = if file == path::Path::new("-") {
        io::read_to_string(input)
    } else {
        fs::read_to_string(file)
    };
    let text = text.map_err(|source| Error::Read { file: file.to_owned(), source })?;
    serde_json::from_str(&text).map_err(|source| Error::Json { file: file.to_owned(), source })
}

/// A new request ID of 128 random bits, so that no other patch has it.
pub fn new_request_id() -> CompactString {
    format_compact!("{:032x}", rand::random::<u128>())
}
