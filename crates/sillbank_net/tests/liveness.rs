//! Connections whose peer is unreachable are closed by TCP keepalive.

use rustix::net::sockopt;
use sillbank_net::liveness::enable_keepalive;
use smol::net::{TcpListener, TcpStream};

/// Keepalive probes close a dead connection within 3 s, and unacknowledged bytes within 2 s.
#[test]
fn keepalive_and_ack_timeout_are_set() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it listens");
        let stream = TcpStream::connect(address).await.expect("it connects");

        enable_keepalive(&stream).expect("the options can be set");

        assert!(sockopt::socket_keepalive(&stream).expect("it is set"));
        let idle = sockopt::tcp_keepidle(&stream).expect("it is set");
        let interval = sockopt::tcp_keepintvl(&stream).expect("it is set");
        let probes = sockopt::tcp_keepcnt(&stream).expect("it is set");
        assert!((idle + interval * probes).as_secs() <= 3);
        let unacknowledged_ms = sockopt::tcp_user_timeout(&stream).expect("it is set");
        assert!((1..2_000).contains(&unacknowledged_ms));
    });
}
