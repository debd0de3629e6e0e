//! Convergence of all views after random faults.

mod common;

use common::{Net, Path, id, settings};
use laburnum_kernel::Event;
use proptest::{prelude::*, test_runner::RngSeed};

const ZONES: [&str; 10] = ["a", "a", "a", "a", "b", "b", "b", "c", "c", "c"];

/// One fault of a random script.
#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    Cut(Vec<usize>),
    Lossy(usize, usize, u32),
    Heal,
}

fn fault() -> impl Strategy<Value = (Fault, u64)> {
    let node = 0..ZONES.len();
    let fault = prop_oneof![
        node.clone().prop_map(Fault::Kill),
        node.clone().prop_map(Fault::Restart),
        node.clone().prop_map(Fault::Pause),
        node.clone().prop_map(Fault::Resume),
        node.clone().prop_map(Fault::Leave),
        prop::collection::vec(node.clone(), 1..6).prop_map(Fault::Cut),
        (node.clone(), node, 10..100_u32).prop_map(|(from, to, it)| Fault::Lossy(from, to, it)),
        Just(Fault::Heal),
    ];
    (fault, 100..30_000_u64)
}

fn apply_fault(net: &mut Net, fault: Fault, step: u64) {
    match fault {
        Fault::Kill(it) => net.kill(it),
        Fault::Restart(it) => {
            let mut again = settings(it, ZONES[it]);
            again.incarnation += step;
            net.resume(it);
            net.start(again);
        }
        Fault::Pause(it) => net.pause(it),
        Fault::Resume(it) => net.resume(it),
        Fault::Leave(it) => {
            net.step(id(it), Event::Stop);
            net.step(id(it), Event::Idle);
        }
        Fault::Cut(group) => net.cut(&group),
        Fault::Lossy(from, to, percent) => net.path(from, to, Path::Lossy(percent)),
        Fault::Heal => net.heal(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against views that stay different after random faults ended ten minutes ago.
    #[test]
    fn views_converge_after_any_faults(
        seed in 0..1_000_u64,
        script in prop::collection::vec(fault(), 1..12),
    ) {
        let mut net = Net::settled(seed, &ZONES);
        for (step, (fault, millis)) in script.into_iter().enumerate() {
            apply_fault(&mut net, fault, step as u64 + 1);
            net.run(millis);
        }
        net.heal();
        for it in 0..ZONES.len() {
            net.resume(it);
        }
        net.run(600_000);
        let stuck = net.stuck();
        prop_assert!(stuck.is_empty(), "{stuck:?} {:?}", net.logs);
    }
}
