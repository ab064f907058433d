//! Time to place one task, release it and observe its end, for several numbers of
//! upstreams.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use gentian_route::outlier::Observation;
use gentian_route::placement::{Due, PlacementRequest, Placer, UpstreamReport};
use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::{Constraints, Need};
use rand::SeedableRng;
use rand_pcg::Pcg64;

const TASK: Need = Need {
    cpu: 3_100,
    memory: 64,
    accelerators: 0,
};

fn placer(service: &Service, upstreams: usize) -> Placer {
    let mut placer = Placer::new(&"entry".parse().expect("a valid name"));
    for index in 0..upstreams {
        let node: Node = format!("agent-{index}").parse().expect("a valid name");
        let report = UpstreamReport {
            service: service.clone(),
            capacity: Need {
                cpu: 32_000,
                memory: 65_536,
                accelerators: 0,
            },
            used_by_others: Need::default(),
            accepts_runs: true,
            run_time_ratio: Some(1.0),
            labels: vec!["a".to_owned(), format!("r{}", index / 10)],
        };
        placer.update(&node, Incarnation(1), true, report);
    }
    placer
}

fn bench_place(criterion: &mut Criterion) {
    let service: Service = "desk".parse().expect("a valid name");
    let constraints = Constraints::default();
    let request = PlacementRequest {
        due: Some(Due {
            left: Duration::from_millis(150),
            expected: Duration::from_millis(60),
        }),
        ..PlacementRequest::new(TASK, &constraints)
    };
    let mut group = criterion.benchmark_group("place_by_room");
    for upstreams in [11, 68, 300, 2_100] {
        let mut placer = placer(&service, upstreams);
        let mut rng = Pcg64::seed_from_u64(1);
        let observation = Observation::Good {
            run: Duration::from_millis(60),
            expected: Some(Duration::from_millis(60)),
        };
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| {
                let node = placer
                    .place(&service, &request)
                    .expect("there are free resources");
                placer.release(&node, TASK);
                placer.observe(&node, observation, Duration::from_secs(1), &mut rng);
                black_box(node)
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_place(&mut criterion);
    criterion.final_summary();
}
