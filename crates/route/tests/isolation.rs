//! Tests of placement for tasks that may run only beside certain others.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::{node, place_one, placer_with, service, TASK};
use gentian_route::bulkhead::Pool;
use gentian_route::placement::{PlacementRequest, Placer};
use gentian_wire::id::Node;
use gentian_wire::need::Constraints;

/// Places a task of a job that may run beside its own tasks only.
fn place_alone(placer: &mut Placer, job: &Arc<str>) -> Option<Node> {
    let constraints = Constraints::default();
    let request = PlacementRequest {
        beside: Some(job),
        alone: true,
        ..PlacementRequest::new(TASK, &constraints)
    };
    placer.place(&service(), &request).ok()
}

#[test]
fn a_task_that_must_be_alone_shares_its_upstream_with_its_own_job_only() {
    let mut placer = placer_with(&[32, 32]);
    let (first, second) = ("first".into(), "second".into());
    let alone = place_alone(&mut placer, &first).expect("both are empty");
    assert_eq!(Some(alone.clone()), place_alone(&mut placer, &first));
    let other = place_one(&mut placer, &Constraints::default(), &[]);
    assert!(other.is_some() && other != Some(alone.clone()));
    assert_eq!(None, place_alone(&mut placer, &second));
    placer.release(&alone, TASK);
    assert_eq!(None, place_alone(&mut placer, &second));
    placer.release(&alone, TASK);
    assert_eq!(Some(alone), place_alone(&mut placer, &second));
}

#[test]
fn tasks_stay_within_their_pool() {
    let mut placer = placer_with(&[32, 32, 32]);
    let constraints = Constraints::default();
    let reserved = BTreeSet::from([node(1)]);
    for (pool, count) in [(Pool::Only(&reserved), 10), (Pool::Except(&reserved), 20)] {
        let request = PlacementRequest {
            pool,
            ..PlacementRequest::new(TASK, &constraints)
        };
        let placed: Vec<Node> = (0..50)
            .map_while(|_| placer.place(&service(), &request).ok())
            .collect();
        assert_eq!(count, placed.len());
        assert!(placed.iter().all(|node| pool.includes(node)));
    }
}

/// Tasks that may crash their upstream are not spread over many.
#[test]
fn tasks_that_are_to_run_beside_each_other_share_an_upstream() {
    let mut placer = placer_with(&[32, 32, 32]);
    let constraints = Constraints::default();
    for job in ["first", "second"] {
        let job: Arc<str> = job.into();
        let request = PlacementRequest {
            beside: Some(&job),
            ..PlacementRequest::new(TASK, &constraints)
        };
        let placed: BTreeSet<Option<Node>> = (0..5)
            .map(|_| placer.place(&service(), &request).ok())
            .collect();
        assert_eq!(1, placed.len(), "{placed:?}");
    }
}
