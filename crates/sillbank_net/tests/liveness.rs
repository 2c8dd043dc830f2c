//! Connections that this side opens end by themselves when the far side shows no life.

use rustix::net::sockopt;
use sillbank_net::liveness::end_when_silent;
use smol::net::{TcpListener, TcpStream};

#[test]
fn a_connection_is_asked_for_signs_of_life_and_does_not_wait_for_acknowledgements_for_ever() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("it listens");
        let stream = TcpStream::connect(address).await.expect("it connects");

        end_when_silent(&stream).expect("the system takes the options");

        assert!(sockopt::socket_keepalive(&stream).expect("it is set"));
        let rest = sockopt::tcp_keepidle(&stream).expect("it is set");
        let pause = sockopt::tcp_keepintvl(&stream).expect("it is set");
        let asks = sockopt::tcp_keepcnt(&stream).expect("it is set");
        assert!((rest + pause * asks).as_secs() <= 3);
        let unacknowledged_ms = sockopt::tcp_user_timeout(&stream).expect("it is set");
        assert!((1..2_000).contains(&unacknowledged_ms));
    });
}
