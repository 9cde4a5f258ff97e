//! Gateways of two versions exchange messages during a rolling update.

use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick::updates::GatewayUpdate;
use cuminpick::updates::UpdateMessage;
use serde::Deserialize;

/// Messages of the version before crashes were sent to other gateways.
#[derive(Debug, PartialEq, Deserialize)]
enum EarlierMessage {
    Gateway(GatewayUpdate),
    Group(cuminpick::updates::GroupUpdate),
}

/// Messages that earlier versions know keep their encoding; newer messages fail to decode
/// there, and are ignored.
#[test]
fn earlier_messages() {
    let update = GatewayUpdate {
        from: "edge-1".to_string(),
        leaving: false,
        in_flight: vec![("server-1".to_string(), 3)],
    };
    let bytes = postcard::to_stdvec(&UpdateMessage::Gateway(update.clone())).unwrap();
    assert_eq!(bytes[..8], [0, 6, b'e', b'd', b'g', b'e', b'-', b'1']);
    let received: EarlierMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(received, EarlierMessage::Gateway(update));
    let notice =
        CrashNotice { digest: 7, server: "server-1".to_string(), started_ms: 1, age_ms: 20 };
    let crashes = UpdateMessage::Crashes(CrashUpdate { crashes: vec![notice], answered: vec![8] });
    let bytes = postcard::to_stdvec(&crashes).unwrap();
    assert!(postcard::from_bytes::<EarlierMessage>(&bytes).is_err());
    assert_eq!(postcard::from_bytes::<UpdateMessage>(&bytes).unwrap(), crashes);
}

/// A message of maximum size fits one packet: a fragmented message would be lost with any of
/// its fragments.
#[test]
fn one_packet() {
    let notice = CrashNotice {
        digest: u64::MAX,
        server: "i-7f3a91c2d0-and-more".to_string(),
        started_ms: 1 << 42,
        age_ms: 60_000,
    };
    let update = CrashUpdate { crashes: vec![notice; 24], answered: vec![u64::MAX; 16] };
    let bytes = postcard::to_stdvec(&UpdateMessage::Crashes(update)).unwrap();
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
}
