//! Bytes and messages of connections that one VM passes on for another.

use arbitrary::Unstructured;
use sillbank_gateway::links::{
    EndpointEnd, RELAY_PREAMBLE, RelayReply, RelayRequest, TunnelActivity, TunnelReader, pass_back,
};
use sillbank_protocol::peer::{DecodeError, decode_frame, decode_length};
use sillbank_testing::for_fixed_seeds;
use smol::future::block_on;
use smol::io::{AsyncRead, AsyncReadExt, Cursor};
use std::cell::Cell;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// An endpoint that sends pieces of bytes and then ends its connection.
struct Endpoint {
    pieces: Vec<Vec<u8>>,
    end: EndpointEnd,
}

impl AsyncRead for Endpoint {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<Result<usize>> {
        let Some(piece) = self.pieces.first_mut() else {
            return Poll::Ready(match self.end {
                EndpointEnd::Closed => Ok(0),
                EndpointEnd::Broken => Err(Error::from(ErrorKind::ConnectionReset)),
            });
        };
        let length = piece.len().min(buffer.len());
        buffer[..length].copy_from_slice(&piece[..length]);
        piece.drain(..length);
        if piece.is_empty() {
            self.pieces.remove(0);
        }
        Poll::Ready(Ok(length))
    }
}

/// The bytes of a tunnel whose endpoint sends `pieces`.
fn tunnel_of(pieces: Vec<Vec<u8>>, end: EndpointEnd) -> Vec<u8> {
    let mut tunnel = Vec::new();
    let activity = TunnelActivity::new(Instant::now());
    let passed = block_on(pass_back(Endpoint { pieces, end }, &mut tunnel, &activity));
    passed.expect("a vector can be written to");
    tunnel
}

/// What a VM reads from a tunnel: the content, how it ended, and whether the VM in the middle counts as lost.
fn read(tunnel: &[u8]) -> (Vec<u8>, Result<usize>, bool) {
    let hop_lost = Rc::new(Cell::new(false));
    let mut reader = TunnelReader::new(Cursor::new(tunnel), hop_lost.clone());
    let mut content = Vec::new();
    let end = block_on(reader.read_to_end(&mut content));
    (content, end, hop_lost.get())
}

fn pieces(u: &mut Unstructured<'_>) -> arbitrary::Result<Vec<Vec<u8>>> {
    let mut pieces: Vec<Vec<u8>> = u.arbitrary()?;
    pieces.retain(|piece| !piece.is_empty());
    // One piece may be longer than a chunk.
    pieces.push(vec![7; u.int_in_range(1..=10_000)?]);
    Ok(pieces)
}

#[test]
fn what_an_endpoint_sends_arrives_unchanged() {
    for_fixed_seeds(300, 512, |u| {
        let pieces = pieces(u)?;

        let (content, end, hop_lost) = read(&tunnel_of(pieces.clone(), EndpointEnd::Closed));

        assert_eq!(content, pieces.concat());
        assert!(end.is_ok());
        assert!(!hop_lost);
        Ok(())
    });
}

/// Guards against an answer that ends with its connection and was cut off at the endpoint being taken for a whole one.
#[test]
fn a_connection_that_breaks_at_the_endpoint_breaks_at_the_vm() {
    for_fixed_seeds(100, 512, |u| {
        let (content, end, hop_lost) = read(&tunnel_of(pieces(u)?, EndpointEnd::Broken));

        assert!(!content.is_empty());
        assert_eq!(end.expect_err("it broke").kind(), ErrorKind::ConnectionReset);
        assert!(!hop_lost);
        Ok(())
    });
}

/// Guards against the end of the VM in the middle being taken for the end of an answer, or for a failure of the endpoint.
#[test]
fn a_tunnel_that_ends_at_any_byte_means_that_the_vm_in_the_middle_is_lost() {
    for_fixed_seeds(300, 512, |u| {
        let tunnel = tunnel_of(pieces(u)?, EndpointEnd::Closed);
        let length = u.int_in_range(0..=tunnel.len() - 1)?;

        let (_, end, hop_lost) = read(&tunnel[..length]);

        assert_eq!(end.expect_err("it is incomplete").kind(), ErrorKind::ConnectionAborted);
        assert!(hop_lost);
        Ok(())
    });
}

#[test]
fn a_tunnel_of_any_bytes_ends_with_a_result() {
    for_fixed_seeds(1_000, 512, |u| {
        let tunnel: Vec<u8> = u.arbitrary()?;

        let (content, _, _) = read(&tunnel);

        assert!(content.len() <= tunnel.len());
        Ok(())
    });
}

#[test]
fn a_chunk_over_the_limit_ends_the_tunnel() {
    let (content, end, hop_lost) = read(&[0xff, 0xff, 1, 2, 3]);

    assert!(content.is_empty());
    assert_eq!(end.expect_err("it is too long").kind(), ErrorKind::ConnectionAborted);
    assert!(hop_lost);
}

#[test]
fn messages_of_any_bytes_are_read_or_refused() {
    for_fixed_seeds(1_000, 256, |u| {
        let bytes: Vec<u8> = u.arbitrary()?;

        let request = decode_frame::<RelayRequest>(&bytes);
        let reply = decode_frame::<RelayReply>(&bytes);

        let is_typed = |error: DecodeError| matches!(error, DecodeError::Malformed(_));
        assert!(request.err().is_none_or(is_typed));
        assert!(reply.err().is_none_or(is_typed));
        Ok(())
    });
}

/// Guards against a VM of an earlier build that takes the preamble for the length of a frame and waits for its content.
#[test]
fn the_preamble_is_no_length_of_a_frame() {
    assert!(matches!(decode_length(RELAY_PREAMBLE), Err(DecodeError::TooLong(_))));
}

/// Guards against a planned stop of the VM in the middle that cuts off a request in flight, also of an endpoint that is silent for
/// a second or so, or waits for connections without one.
#[test]
fn a_tunnel_is_idle_once_the_endpoint_has_answered_and_is_quiet_for_longer_than_one_that_works() {
    let start = Instant::now();
    let activity = TunnelActivity::new(start);

    let early = activity.is_idle(start + Duration::from_millis(2_400));
    let late = activity.is_idle(start + Duration::from_millis(2_500));

    assert!(!early);
    assert!(late);
}
