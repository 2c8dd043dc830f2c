//! Connections whose peer is silent are closed by TCP keepalive and the user timeout.

use rustix::net::sockopt;
use sillbank_net::liveness::{ENDPOINT_SILENCE, VM_SILENCE, enable_keepalive, idle_limit};
use smol::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A connection for which [`enable_keepalive`] was called.
async fn connection_with(max_silence: Duration) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    let stream = TcpStream::connect(address).await.expect("it connects");
    enable_keepalive(&stream, max_silence).expect("the options can be set");
    stream
}

/// When the operating system ends an idle connection with a silent peer, as Linux decides once a user timeout is set: at the
/// first probe that is due no sooner than the timeout after the peer was heard, if another probe is unanswered.
fn end_by_user_timeout(stream: &TcpStream) -> Duration {
    let idle = sockopt::tcp_keepidle(stream).expect("it is set");
    let interval = sockopt::tcp_keepintvl(stream).expect("it is set");
    let timeout_ms = sockopt::tcp_user_timeout(stream).expect("it is set");
    let mut due = idle + interval;
    while due < Duration::from_millis(u64::from(timeout_ms)) {
        due += interval;
    }
    due
}

/// Keepalive probes close a dead connection to a VM within 3 s, and unacknowledged bytes within 2 s.
#[test]
fn connections_to_vms_end_soon() {
    smol::block_on(async {
        let stream = connection_with(VM_SILENCE).await;

        assert!(sockopt::socket_keepalive(&stream).expect("it is set"));
        assert!(end_by_user_timeout(&stream).as_secs() <= 3);
        let unacknowledged_ms = sockopt::tcp_user_timeout(&stream).expect("it is set");
        assert!((1..2_000).contains(&unacknowledged_ms));
    });
}

/// Guards against calls that may not be repeated being lost with the connection to a sound endpoint that is silent for a
/// second or so: the user timeout of 1.5 s ended idle connections at 2 s after the first unanswered probe, whatever the
/// number of probes.
#[test]
fn connections_to_endpoints_outlast_a_short_silence() {
    smol::block_on(async {
        let stream = connection_with(ENDPOINT_SILENCE).await;

        let end = end_by_user_timeout(&stream);
        assert!(end > Duration::from_millis(2_000));
        assert!(end <= Duration::from_millis(3_000));
        let unacknowledged_ms = sockopt::tcp_user_timeout(&stream).expect("it is set");
        assert!((2_000..3_000).contains(&unacknowledged_ms));
    });
}

/// Guards against a number of probes that has no effect: the user timeout decides, so both have to agree.
#[test]
fn the_number_of_probes_agrees_with_the_user_timeout() {
    smol::block_on(async {
        for max_silence in
            [500, 1_000, 1_500, 2_000, 2_500, 3_000, 5_000].map(Duration::from_millis)
        {
            let stream = connection_with(max_silence).await;

            let idle = sockopt::tcp_keepidle(&stream).expect("it is set");
            let interval = sockopt::tcp_keepintvl(&stream).expect("it is set");
            let probes = sockopt::tcp_keepcnt(&stream).expect("it is set");
            let end_by_probes = idle + interval * probes;
            assert_eq!(end_by_probes, end_by_user_timeout(&stream), "{max_silence:?}");
            assert_eq!(end_by_probes, idle_limit(max_silence), "{max_silence:?}");
        }
    });
}
