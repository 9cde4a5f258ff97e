//! Another writer leaves an entry among the servers that has fields of another type and lacks
//! others; at its address is a server that is no engine.

use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Verdict;
use crate::base::CallerRequest;
use crate::base::Counts;
use crate::base::GatewayNode;
use crate::base::Record;
use crate::base::config_text;
use crate::base::read_body;
use crate::base::read_head;
use crate::base::route_text;
use crate::base::serve;
use crate::plain::PlainServer;
use crate::plain::call;
use crate::store::Store;

/// Requests after the entry was written, at each gateway, and the interval between them.
const REQUESTS: u32 = 200;
const INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(2_000);

/// Server of another team: it does what it is asked, and knows none of the platform's headers.
fn do_work(stream: TcpStream, runs: &Mutex<Vec<String>>, record: &Record) -> std::io::Result<()> {
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(head) = read_head(&mut input)? {
        read_body(&mut input, &head, false)?;
        let attempt = head.get("x-request-attempt-id").unwrap_or("").to_string();
        record.note(&format!("run {attempt} at the foreign server"));
        runs.lock().unwrap().push(attempt);
        output.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")?;
    }
    Ok(())
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let (store, store_address) = Store::start().map_err(text)?;
    let route = route_text("puxa403", "non_idempotent", "wuno96b", 2_000, 300);
    store.put("config", "main", &config_text(7, &route, &["wuno96b"]));
    let mut servers = Vec::new();
    for (index, zone) in ["bole", "merkato", "kazanchis"].iter().enumerate() {
        let id = format!("i-7f3a91c{index}");
        let work = Duration::from_millis(15);
        let server = PlainServer::start(&id, "wuno96b", zone, 800, work, &store, record);
        servers.push(server.map_err(text)?);
    }
    let mut gateways = Vec::new();
    for number in 0..2 {
        gateways.push(GatewayNode::start(number, store_address, work)?);
    }
    std::thread::sleep(Duration::from_secs(4));
    let foreign_runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let address = listener.local_addr().map_err(text)?;
    {
        let (runs, record) = (Arc::clone(&foreign_runs), record.clone());
        serve(listener, move |stream| drop(do_work(stream, &runs, &record)));
    }
    if has_trouble {
        let spec = format!(
            "{{\"service\":\"wuno96b\",\"address\":\"{address}\",\"zone\":\"bole\",\"version\":7,\
             \"slots\":6,\"state\":\"ready\",\"seqNo\":\"four\"}}"
        );
        store.put("servers", "x-0badfeed", &spec);
        record.note(&format!("another writer wrote servers/x-0badfeed: {spec}"));
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut statuses = Counts::new();
    let mut lost = 0;
    for number in 0..REQUESTS * 2 {
        let gateway = &gateways[number as usize % 2];
        let id = format!("{number:016x}");
        let request = CallerRequest {
            target: ("POST".to_string(), "/puxa403/2f".to_string()),
            id: id.clone(),
            deadline: DEADLINE,
            extra: String::new(),
            body: vec![b'x'; 600],
        };
        let end = call(gateway.front, &request, DEADLINE);
        let status = end.head.as_ref().map_or(0, |head| head.status());
        record.note(&format!("{id} at {}: {status}", gateway.front));
        *statuses.entry(status.to_string()).or_default() += 1;
        let ran: u64 = servers.iter().map(|server| server.runs_of(&id)).sum();
        lost += u32::from(ran == 0);
        std::thread::sleep(INTERVAL / 2);
    }
    let runs = foreign_runs.lock().unwrap().len();
    Ok(Verdict {
        is_broken: runs > 0,
        summary: format!(
            "{runs} of {} requests run by the foreign server, {lost} by no engine; answers by \
             status: {statuses:?}",
            REQUESTS * 2
        ),
    })
}
