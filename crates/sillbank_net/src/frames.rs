//! Length-prefixed postcard messages over TCP.

use serde::{Deserialize, Serialize};
use sillbank_protocol::peer::{
    DecodeError, decode_extended_frame, decode_frame, decode_length, encode_frame,
};
use smol::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("the connection failed ({0}); it will be reopened")]
    Io(#[from] std::io::Error),
    /// The peer sent an invalid frame.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Reads one message.
///
/// # Errors
/// Returns [`FrameError`] if the connection ends or the frame cannot be decoded.
pub async fn read_message<M, R>(reader: &mut R) -> Result<M, FrameError>
where
    M: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    let header = read_header(reader).await?;
    read_content(reader, header).await
}

/// Header of a frame: the length of its content.
pub type FrameHeader = [u8; 4];

/// Reads the header of a frame, or the preamble of another protocol in its place.
///
/// # Errors
/// Returns [`FrameError::Io`] if the connection ends.
pub async fn read_header<R>(reader: &mut R) -> Result<FrameHeader, FrameError>
where
    R: AsyncRead + Unpin,
{
    let mut header = [0; 4];
    reader.read_exact(&mut header).await?;
    Ok(header)
}

/// Reads the rest of a message whose header was read.
///
/// # Errors
/// Returns [`FrameError`] if the connection ends or the frame cannot be decoded.
pub async fn read_content<M, R>(reader: &mut R, header: FrameHeader) -> Result<M, FrameError>
where
    M: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    let mut content = vec![0; decode_length(header)?];
    reader.read_exact(&mut content).await?;
    Ok(decode_frame(&content)?)
}

/// Reads the rest of a message and its extension, whose header was read. See [`decode_extended_frame`].
///
/// # Errors
/// Returns [`FrameError`] if the connection ends or the frame cannot be decoded.
pub async fn read_extended_content<M, E, R>(
    reader: &mut R,
    header: FrameHeader,
) -> Result<(M, E), FrameError>
where
    M: for<'a> Deserialize<'a>,
    E: for<'a> Deserialize<'a> + Default,
    R: AsyncRead + Unpin,
{
    let mut content = vec![0; decode_length(header)?];
    reader.read_exact(&mut content).await?;
    Ok(decode_extended_frame(&content)?)
}

/// Writes one message.
///
/// # Errors
/// Returns [`FrameError`] if the connection ends or the message is too long.
pub async fn write_message<M, W>(writer: &mut W, message: &M) -> Result<(), FrameError>
where
    M: Serialize,
    W: AsyncWrite + Unpin,
{
    let frame = encode_frame(message)?;
    writer.write_all(&frame).await?;
    writer.flush().await?;
    Ok(())
}
