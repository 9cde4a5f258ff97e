//! Gateways of two versions hear each other during a rolling update.

use cuminpick::updates::CrashNotice;
use cuminpick::updates::CrashUpdate;
use cuminpick::updates::GatewayUpdate;
use cuminpick::updates::UpdateMessage;
use serde::Deserialize;

/// The messages of the version before crashes were told.
#[derive(Debug, PartialEq, Deserialize)]
enum EarlierMessage {
    Gateway(GatewayUpdate),
    Group(cuminpick::updates::GroupUpdate),
}

/// What earlier gateways tell and hear keeps its encoding; what is new to them is
/// unreadable and harms nothing.
#[test]
fn earlier_messages() {
    let news = GatewayUpdate {
        from: "edge-1".to_string(),
        leaving: false,
        in_flight: vec![("server-1".to_string(), 3)],
    };
    let bytes = postcard::to_stdvec(&UpdateMessage::Gateway(news.clone())).unwrap();
    assert_eq!(bytes[..8], [0, 6, b'e', b'd', b'g', b'e', b'-', b'1']);
    let heard: EarlierMessage = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(heard, EarlierMessage::Gateway(news));
    let end = CrashNotice { digest: 7, server: "server-1".to_string(), started_ms: 1, age_ms: 20 };
    let crashes = UpdateMessage::Crashes(CrashUpdate { crashes: vec![end], answered: vec![8] });
    let bytes = postcard::to_stdvec(&crashes).unwrap();
    assert!(postcard::from_bytes::<EarlierMessage>(&bytes).is_err());
    assert_eq!(postcard::from_bytes::<UpdateMessage>(&bytes).unwrap(), crashes);
}

/// A full message fits a packet, so that one lost fragment does not lose it.
#[test]
fn one_packet() {
    let end = CrashNotice {
        digest: u64::MAX,
        server: "i-7f3a91c2d0-and-more".to_string(),
        started_ms: 1 << 42,
        age_ms: 60_000,
    };
    let news = CrashUpdate { crashes: vec![end; 24], answered: vec![u64::MAX; 16] };
    let bytes = postcard::to_stdvec(&UpdateMessage::Crashes(news)).unwrap();
    assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
}
