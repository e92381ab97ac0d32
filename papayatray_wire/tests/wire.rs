//! Frames, links, calls and announcements: valid ones arrive unchanged, others are rejected.

use std::net::SocketAddr;

use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::endpoint_speed::SpeedUpdates;
use papayatray_core::gateway::plan_log::PlanCursor;
use papayatray_core::gateway::plan_log::PlanPiece;
use papayatray_core::id::Incarnation;
use papayatray_core::id::Term;
use papayatray_core::id::VmId;
use papayatray_state::machine::Command;
use papayatray_state::replica::Envelope;
use papayatray_state::replica::Message;
use papayatray_state::replica::ReplicaId;
use papayatray_wire::http::Announcement;
use papayatray_wire::http::AnnouncementError;
use papayatray_wire::link::ClusterKey;
use papayatray_wire::link::Frame;
use papayatray_wire::link::LinkError;
use papayatray_wire::link::accept;
use papayatray_wire::link::connect;
use papayatray_wire::peer::CallError;
use papayatray_wire::peer::GatewayVersions;
use papayatray_wire::peer::Method;
use papayatray_wire::peer::PieceError;
use papayatray_wire::peer::PieceReply;
use papayatray_wire::peer::ProposeRequest;
use papayatray_wire::peer::SyncReply;
use papayatray_wire::peer::decode_reply;
use papayatray_wire::peer::encode_call;
use proptest::prelude::any;
use proptest::proptest;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

const SECRET: &str = "sixteen bytes or more";

fn replica_frame() -> Frame {
    frame_of(Message::TimeoutNow { term: Term(7) })
}

fn frame_of(message: Message) -> Frame {
    let replica_id = |number| ReplicaId {
        vm: VmId::new(format!("vm-{number}")).expect("a name"),
        folder: Incarnation(number),
    };
    Frame::Replica(Box::new(Envelope {
        from: replica_id(1),
        address: "127.0.0.1:7001".to_owned(),
        to: replica_id(2),
        message,
    }))
}

/// Returns the connecting (near) and the accepting (far) end of a connection over loopback.
async fn connected_pair() -> (TcpStream, TcpStream) {
    // Port 0 selects a free port.
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let near = TcpStream::connect(address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("a connection");
    (near, far)
}

#[test]
fn frames_arrive_whole_and_in_order_in_both_directions() {
    smol::block_on(async {
        let (near, far) = connected_pair().await;
        let key = ClusterKey::new(SECRET);
        let (near, far) = smol::future::zip(connect(near, &key), accept(far, &key)).await;
        let (mut near_out, mut near_in) = near.expect("a link");
        let (mut far_out, mut far_in) = far.expect("a link");
        let frames = [
            Frame::Rpc("one".to_owned()),
            replica_frame(),
            Frame::Rpc(String::new()),
        ];
        near_out.send(&frames).await.expect("sent");
        far_out.send(&frames[..1]).await.expect("sent");
        for frame in &frames {
            assert_eq!(far_in.receive().await.expect("a frame"), *frame);
        }
        assert_eq!(near_in.receive().await.expect("a frame"), frames[0]);
    });
}

/// Guards against replicas of two builds that cannot talk while VMs are replaced one by one.
#[test]
fn messages_without_the_field_added_last_are_read_and_longer_ones_too() {
    let without_start = frame_of(Message::RollbackCheckRequest {
        term: Term(7),
        last: 9,
        start: None,
    });
    let mut bytes = without_start.to_bytes().expect("encoded");
    let absent = bytes.pop();
    assert_eq!(
        absent,
        Some(0),
        "the last byte states that there is no start"
    );
    assert_eq!(Frame::from_bytes(&bytes).expect("a frame"), without_start);
    bytes.extend([0, 1, 2]);
    assert_eq!(Frame::from_bytes(&bytes).expect("a frame"), without_start);
}

#[test]
fn connection_between_ends_with_different_keys_fails_on_both_sides() {
    smol::block_on(async {
        let (near, far) = connected_pair().await;
        let (first_key, second_key) = (
            ClusterKey::new(SECRET),
            ClusterKey::new("another secret of that length"),
        );
        let connecting = connect(near, &first_key);
        let accepting = accept(far, &second_key);
        let (near, far) = smol::future::zip(connecting, accepting).await;
        assert!(matches!(near, Err(LinkError::WrongKey)), "{near:?}");
        assert!(far.is_err(), "{far:?}");
    });
}

#[test]
fn altered_frame_is_refused() {
    smol::block_on(async {
        // A relay between the two ends flips one bit of the frame, after the handshake.
        let (near, middle_near) = connected_pair().await;
        let (middle_far, far) = connected_pair().await;
        let relaying = smol::spawn(relay(middle_near, middle_far));
        let key = ClusterKey::new(SECRET);
        let (near, far) = smol::future::zip(connect(near, &key), accept(far, &key)).await;
        let (mut out, _near_in) = near.expect("a link");
        let (_far_out, mut incoming) = far.expect("a link");
        out.send(&[Frame::Rpc("pay 100".to_owned())])
            .await
            .expect("sent");
        let received = incoming.receive().await;
        assert!(matches!(received, Err(LinkError::BadMac)), "{received:?}");
        drop(relaying);
    });
}

/// Forwards the handshake, and then flips the last bit of the connecting end's first frame.
///
/// In the handshake a nonce has 16 bytes, and the code that proves the key 32. The frame has 4
/// bytes for its length, 16 for its code, and 8 for its kind and text.
async fn relay(mut near: TcpStream, mut far: TcpStream) {
    let mut buffer = [0; 48];
    near.read_exact(&mut buffer[..16]).await.expect("a nonce");
    far.write_all(&buffer[..16]).await.expect("forwarded");
    far.read_exact(&mut buffer[..48])
        .await
        .expect("a nonce and a code");
    near.write_all(&buffer[..48]).await.expect("forwarded");
    near.read_exact(&mut buffer[..32]).await.expect("a code");
    far.write_all(&buffer[..32]).await.expect("forwarded");
    let mut frame = vec![0; 4 + 16 + 8];
    near.read_exact(&mut frame).await.expect("a frame");
    *frame.last_mut().expect("a byte") ^= 1;
    far.write_all(&frame).await.expect("forwarded");
    smol::future::pending::<()>().await;
}

fn announcement() -> Announcement {
    Announcement {
        id: "engine-1".to_owned(),
        incarnation: 1,
        sequence: 1,
        address: "10.0.0.7:8000".to_owned(),
        data_centre: "aviles".to_owned(),
        versions: vec!["drafter@1".to_owned()],
        service: None,
        slots: 8,
        fences: true,
        running: 0,
        waiting: 0,
    }
}

#[test]
fn error_of_an_invalid_announcement_names_its_field() {
    assert!(Endpoint::try_from(announcement()).is_ok());
    let faults = [
        (
            Announcement {
                address: "engine:8000".to_owned(),
                ..announcement()
            },
            "address",
        ),
        (
            Announcement {
                slots: 0,
                ..announcement()
            },
            "slots",
        ),
        (
            Announcement {
                id: String::new(),
                ..announcement()
            },
            "id",
        ),
        (
            Announcement {
                versions: vec!["drafter".to_owned()],
                ..announcement()
            },
            "versions",
        ),
        (
            Announcement {
                service: Some("wiki".to_owned()),
                ..announcement()
            },
            "service",
        ),
        (
            Announcement {
                data_centre: "a b".to_owned(),
                ..announcement()
            },
            "data_centre",
        ),
    ];
    for (wire, field) in faults {
        let error: AnnouncementError = Endpoint::try_from(wire).expect_err("a fault");
        assert!(error.to_string().contains(field), "{error}");
    }
}

#[test]
fn refused_call_carries_its_code_and_message() {
    let text = r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32603,"message":"no role control"}}"#;
    let (id, result) = decode_reply(text).expect("a reply");
    assert_eq!(id, 7);
    let refused = CallError::Refused {
        code: -32603,
        message: "no role control".to_owned(),
    };
    assert_eq!(result.expect_err("a refusal"), refused);
}

proptest! {
    #[test]
    fn any_bytes_decode_to_a_frame_or_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(frame) = Frame::from_bytes(&bytes) {
            let decoded = Frame::from_bytes(&frame.to_bytes().expect("bytes")).expect("a frame");
            assert_eq!(decoded, frame);
        }
    }

    #[test]
    fn any_text_decodes_to_a_reply_or_an_error(text in "\\PC{0,200}") {
        if let Err(error) = decode_reply(&text) {
            assert!(matches!(error, CallError::Malformed(_)), "{error}");
        }
    }

    #[test]
    fn any_announcement_converts_to_a_valid_endpoint_or_an_error(id in "\\PC{0,40}", address in "\\PC{0,30}", slots in any::<u32>(), versions in proptest::collection::vec("\\PC{0,12}", 0..4)) {
        let wire = Announcement { id, address, slots, versions, ..announcement() };
        let text = serde_json::to_string(&wire).expect("JSON");
        let read: Announcement = serde_json::from_str(&text).expect("valid JSON");
        if let Ok(endpoint) = Endpoint::try_from(read) {
            assert!(endpoint.address.parse::<SocketAddr>().is_ok());
            assert!(endpoint.slots > 0);
        }
    }

    #[test]
    fn proposals_survive_encoding_and_decoding(fingerprint in any::<u128>()) {
        let entry = VmId::new("vm-1").expect("a name");
        let fingerprint = papayatray_core::id::Fingerprint(fingerprint);
        let command = Command::ClearSuspect { fingerprint, entry };
        let text = encode_call(Method::Propose, &ProposeRequest { command: command.clone() }, 1);
        let call: serde_json::Value = serde_json::from_str(&text.expect("text")).expect("JSON");
        let read: ProposeRequest = serde_json::from_value(call["params"][0].clone()).expect("a proposal");
        assert_eq!(read.command, command);
    }
}

/// Guards against a roll-out of builds that cannot talk to each other: the previous build sends no speeds.
#[test]
fn sync_messages_without_speeds_are_read_and_written() {
    let reply = serde_json::to_value(SyncReply::default()).unwrap();
    assert!(reply.get("speeds").is_none(), "{reply}");
    let decoded: SyncReply = serde_json::from_value(reply).unwrap();
    assert_eq!(decoded.speeds, None);
    let mut versions = serde_json::to_value(GatewayVersions::default()).unwrap();
    versions.as_object_mut().unwrap().remove("speeds");
    let decoded: GatewayVersions = serde_json::from_value(versions).unwrap();
    assert_eq!(decoded, GatewayVersions::default());
}

/// Guards against bytes for speeds in every reply: most have no change.
#[test]
fn reply_without_changes_of_speeds_is_short() {
    let unchanged = SpeedUpdates {
        number: 90,
        ..SpeedUpdates::default()
    };
    assert_eq!(serde_json::to_string(&unchanged).unwrap(), r#"{"upto":90}"#);
}

#[test]
fn piece_of_a_plan_arrives_unchanged_and_a_cut_one_is_refused() {
    let piece = PlanPiece {
        is_restart: true,
        text: "{\"Remove\":{\"Route\":[\"orders.example\",\"/a/\"]}}\n".repeat(1_000),
        cursor: PlanCursor::default(),
        digest: None,
    };
    let reply = PieceReply::from(piece.clone());
    let json = serde_json::to_string(&reply).unwrap();
    assert!(json.len() < piece.text.len() / 10);
    let received: PieceReply = serde_json::from_str(&json).unwrap();
    assert_eq!(PlanPiece::try_from(received).unwrap(), piece);
    let content = serde_json::to_value(&reply).unwrap()["content"].clone();
    let (kept, _) = content.as_str().unwrap().split_at(40);
    let cut: PieceReply =
        serde_json::from_str(&json.replace(content.as_str().unwrap(), kept)).unwrap();
    assert!(matches!(
        PlanPiece::try_from(cut),
        Err(PieceError::Compression(_))
    ));
}
