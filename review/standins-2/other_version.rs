//! One request expects weights of another version than the servers have.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::Counts;
use crate::base::GatewayNode;
use crate::base::Record;
use crate::base::config_text;
use crate::base::route_text;
use crate::plain::PlainServer;
use crate::plain::call;
use crate::store::Store;

/// Requests on each route, at each gateway, after the one that expects other weights.
const REQUESTS: u32 = 40;
const INTERVAL: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(2_000);

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let services = ["wuno96b", "sabo77c"];
    for service in services {
        for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
            let id = format!("i-{service}-{index}");
            let work = Duration::from_millis(15);
            PlainServer::start(&id, service, zone, 800, work, &store, record).map_err(text)?;
        }
    }
    let first = route_text("cufi504", "idempotent", "wuno96b", 2_000, 300);
    store.put("config", "main", &config_text(7, &first, &services));
    let mut gateways = Vec::new();
    for number in 0..2 {
        gateways.push(GatewayNode::start(number, store_address, work)?);
    }
    let later = route_text("puxa403", "non_idempotent", "sabo77c", 2_000, 300);
    store.put("config", "main", &config_text(9, &format!("{first},{later}"), &services));
    record.note("version 9 adds the route puxa403");
    std::thread::sleep(Duration::from_secs(4));
    let mut number = 0;
    let mut send = |gateway: &GatewayNode, path: &str, extra: &str| {
        number += 1;
        let id = format!("{number:016x}");
        let method = if path.starts_with("/puxa") { "POST" } else { "GET" };
        let request = CallerRequest {
            target: (method.to_string(), path.to_string()),
            id: id.clone(),
            deadline: DEADLINE,
            extra: extra.to_string(),
            body: Vec::new(),
        };
        let end = call(gateway.front, &request, DEADLINE);
        let status = end.head.as_ref().map_or(0, |head| head.status());
        record.note(&format!("{id} {method} {path} {extra:?} at {}: {status}", gateway.front));
        status
    };
    for gateway in &gateways {
        for path in ["/cufi504/fi50/2f", "/puxa403/2f"] {
            if send(gateway, path, "") != 200 {
                return Err(format!("{path} is not served before the case begins"));
            }
        }
        if has_trouble {
            send(gateway, "/puxa403/2f", "X-Expect-Version: 2\r\n");
        }
    }
    let mut served = Counts::new();
    for _ in 0..REQUESTS {
        for gateway in &gateways {
            for path in ["/cufi504/fi50/2f", "/puxa403/2f"] {
                let status = send(gateway, path, "");
                *served.entry(path.to_string()).or_default() += u64::from(status == 200);
            }
        }
        std::thread::sleep(INTERVAL);
    }
    let count = |path: &str| served.get(path).copied().unwrap_or(0);
    let (first, later) = (count("/cufi504/fi50/2f"), count("/puxa403/2f"));
    let total = REQUESTS * 2;
    Ok(Verdict {
        is_broken: later * 4 < first,
        summary: format!(
            "served: {first} of {total} on the first route, {later} of {total} on the later one"
        ),
    })
}
