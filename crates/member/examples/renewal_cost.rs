//! Measures message sizes and processor time of lease renewals for clusters of
//! different sizes.
//!
//! `cargo run --release -p gentian-member --example renewal_cost`

use std::time::{Duration, Instant};

use gentian_member::lease_table::{Announcement, LeaseTable, Timing};
use gentian_member::member::{Member, Upstream};
use gentian_member::view::{Event, Window};
use gentian_wire::control::{self, RenewReply, RenewRequest};
use gentian_wire::id::{Incarnation, View};
use prost::Message;

const ROUNDS: u32 = 1_000;

fn main() {
    println!("agents\trequest B\treply B\tone change B\twhole view B\trenewal us");
    for agents in [10, 30, 100, 300, 1_000] {
        print_row(agents);
    }
}

fn print_row(agents: u32) {
    let members: Vec<Member> = (0..agents).map(member).collect();
    let mut window = Window::default();
    for member in &members {
        window.apply(Event::Join(member.clone()));
    }
    window.apply(Event::Forget(window.number()));
    let number = window.number();
    let request = request(&members[0], number);
    let unchanged = reply(&window, number);
    let snapshot = reply(&window, View(0));
    let micros = renewal_micros(&mut window, &members);
    window.apply(Event::Update(Member {
        upstreams: Vec::new(),
        ..members[0].clone()
    }));
    let change = reply(&window, number);
    println!(
        "{agents}\t{}\t{}\t{}\t{}\t{micros:.2}",
        request.encoded_len(),
        unchanged.encoded_len(),
        change.encoded_len(),
        snapshot.encoded_len(),
    );
}

/// Mean time in microseconds to record a renewal and encode its reply, without
/// network time.
fn renewal_micros(window: &mut Window, members: &[Member]) -> f64 {
    let timing = Timing {
        lease: Duration::from_secs(4),
        margin: Duration::from_secs(1),
        quarantine: Duration::from_secs(5),
    };
    let mut table = LeaseTable::new(Duration::ZERO, timing);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = Duration::from_millis(u64::from(round));
        let member = &members[round as usize % members.len()];
        let announcement = Announcement {
            node: member.node.clone(),
            incarnation: member.incarnation,
            member: Some(member.clone()),
            leaving: false,
        };
        table
            .renew(now, announcement, window)
            .expect("the incarnation is current");
        let event = table.due_event(now, &member.node, window);
        assert_eq!(event, None);
        let bytes = reply(window, window.number()).encode_to_vec();
        std::hint::black_box(bytes);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn request(member: &Member, known: View) -> RenewRequest {
    let message = control::Member::from(member);
    RenewRequest {
        node: message.node,
        upstreams: message.upstreams,
        known_version: 2_700,
        known_view: known.0,
        leaving: false,
        known_roster: 0,
    }
}

fn reply(window: &Window, known: View) -> RenewReply {
    let mut reply = RenewReply {
        granted: true,
        lease_ms: 4_000,
        version: 2_700,
        view: window.number().0,
        view_age_ms: 600_000,
        ..RenewReply::default()
    };
    window.delta_since(known).write(&mut reply);
    reply
}

fn member(number: u32) -> Member {
    let name = |text: String| text.parse().ok();
    Member {
        node: name(format!("worker-{number}-agent")).expect("a valid name"),
        incarnation: Incarnation(1_800_000_000_000),
        address: ([10, 0, (number >> 8) as u8, number as u8], 7_000).into(),
        data_center: "bas-saint-laurent".parse().expect("a valid name"),
        rack: format!("rack-{}", number / 3)
            .parse()
            .expect("a valid name"),
        region: "quebec".parse().expect("a valid name"),
        upstreams: vec![Upstream {
            service: "milking-robot-dashboard".parse().expect("a valid name"),
            slots: 8,
            connections: 64,
        }],
    }
}
