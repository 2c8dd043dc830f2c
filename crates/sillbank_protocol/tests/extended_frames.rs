//! Tests of messages with an extension, exchanged with peers of another version.

use sillbank_protocol::peer::{DecodeError, decode_extended_frame, decode_frame, encode_frame};

type Message = (u32, String);
type Extension = Vec<u16>;

/// Content of a frame, without its length.
fn content<M: serde::Serialize>(message: &M) -> Vec<u8> {
    encode_frame(message).expect("it is short")[4..].to_vec()
}

fn message() -> Message {
    (7, "seven".to_owned())
}

/// A peer of the same version sends both; a peer of an older version sends, and reads, the message alone.
#[test]
fn peers_of_both_versions_understand_each_other() {
    // Arrange
    let (alone, extended) = (content(&message()), content(&(message(), vec![1_u16, 2])));

    // Act
    let from_same: (Message, Extension) = decode_extended_frame(&extended).expect("both");
    let from_older: (Message, Extension) = decode_extended_frame(&alone).expect("the message");
    let by_older: Message = decode_frame(&extended).expect("the message");

    // Assert
    assert_eq!(from_same, (message(), vec![1, 2]));
    assert_eq!(from_older, (message(), Vec::new()));
    assert_eq!(by_older, message());
}

/// A message that is cut off, or followed by anything else, is an error.
#[test]
fn invalid_extensions_are_errors() {
    // Arrange
    let extended = content(&(message(), vec![1_u16, 2]));
    let decode = |bytes: &[u8]| decode_extended_frame::<Message, Extension>(bytes);

    // Act, Assert
    assert!(matches!(decode(&extended[..extended.len() - 1]), Err(DecodeError::Malformed(_))));
    assert!(matches!(decode(&extended[..3]), Err(DecodeError::Malformed(_))));
    assert!(matches!(decode(&[]), Err(DecodeError::Malformed(_))));
}
