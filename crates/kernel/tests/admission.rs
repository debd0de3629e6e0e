//! Admission control: all event orders up to a length, and overload.

use std::collections::BTreeMap;

use laburnum_kernel::{
    Ms,
    admission::{
        Admission, AdmissionSettings, Cancel, Finish, Load, Offer, Permit, Request, Ticket, Wake,
    },
    document::Class,
    members::Phase,
    refusal::{REASONS, Reason, Refusal},
};
use test_case::test_case;

fn ready(slots: u16) -> Admission {
    let mut admission = Admission::new(AdmissionSettings::default(), slots);
    let mut wakes = Vec::new();
    admission.set_phase(Ms(0), Phase::Ready, &mut wakes);
    assert!(wakes.is_empty());
    admission
}

fn request(class: Class, deadline: Ms) -> Request {
    Request { class, deadline }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer(Class, u64),
    Done(Finish),
    Cancel,
    Wait(u64),
    Drain,
    Slots(u16),
}

/// Tracks the permits and tickets of the caller of [`Admission`] and checks every answer against them.
struct Model {
    admission: Admission,
    now: Ms,
    slots: usize,
    drained: bool,
    permits: Vec<Permit>,
    waiting: BTreeMap<Ticket, Ms>,
}

impl Model {
    fn new(slots: u16) -> Model {
        Model {
            admission: ready(slots),
            now: Ms(1_000),
            slots: usize::from(slots),
            drained: false,
            permits: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        let mut wakes = Vec::new();
        match step {
            Step::Offer(class, left) => self.offer(request(class, self.now + left)),
            Step::Done(finish) if !self.permits.is_empty() => {
                self.now = self.now + 3;
                let permit = self.permits.remove(0);
                self.admission.done(self.now, permit, finish, &mut wakes);
            }
            Step::Done(_) => {}
            Step::Cancel => {
                if let Some((ticket, _)) = self.waiting.pop_first() {
                    assert_eq!(self.admission.cancel(ticket), Cancel::Removed);
                    assert_eq!(self.admission.cancel(ticket), Cancel::Answered);
                }
            }
            Step::Wait(time) => {
                self.now = self.now + time;
                self.admission.tick(self.now, &mut wakes);
            }
            Step::Drain => {
                self.drained = true;
                self.admission.drain(self.now, &mut wakes);
            }
            Step::Slots(slots) => {
                self.slots = usize::from(slots);
                self.admission.set_slots(self.now, slots, &mut wakes);
            }
        }
        self.settle(wakes);
        self.check();
    }

    fn offer(&mut self, request: Request) {
        match self.admission.offer(self.now, request) {
            Offer::Run(permit) => self.run(permit),
            Offer::Wait(ticket) => {
                let before = self.waiting.insert(ticket, request.deadline);
                assert_eq!(before, None, "the ticket was issued twice");
            }
            Offer::Refuse(refusal) if self.drained => assert_eq!(refusal.reason, Reason::Draining),
            Offer::Refuse(_) => assert!(!self.permits.is_empty(), "refused while no request runs"),
        }
    }

    fn settle(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            match wake {
                Wake::Run(ticket, permit) => {
                    let deadline = self.waiting.remove(&ticket).expect("answered once");
                    assert!(deadline > self.now, "an expired request was run");
                    self.run(permit);
                }
                Wake::Refuse(ticket, _) => {
                    self.waiting.remove(&ticket).expect("answered once");
                }
            }
        }
    }

    fn run(&mut self, permit: Permit) {
        assert!(!self.drained, "a request was run while draining");
        self.permits.push(permit);
        assert!(
            self.permits.len() <= self.slots,
            "more requests run than slots"
        );
    }

    fn check(&self) {
        assert_eq!(self.admission.running(), self.permits.len());
        assert_eq!(self.admission.waiting(), self.waiting.len());
        assert_eq!(self.admission.due().is_some(), !self.waiting.is_empty());
        let load = self.admission.load();
        assert!(load.limit >= 1);
        assert!(
            load.waiting == 0 || load.running >= load.limit,
            "a slot is free while a foreground request waits"
        );
        assert!(
            self.waiting.is_empty() || !self.permits.is_empty(),
            "requests wait while none runs"
        );
        assert!(
            !self.drained || self.waiting.is_empty(),
            "requests wait while draining"
        );
    }

    /// Ends all requests and checks that no permit and no ticket is left.
    fn finish(&mut self) {
        while !self.permits.is_empty() {
            self.step(Step::Done(Finish::Answered));
        }
        self.step(Step::Wait(1_000));
        assert_eq!((self.admission.running(), self.admission.waiting()), (0, 0));
    }
}

fn run_sequences(steps: &[Step], length: u32, slots: u16) {
    for code in 0..steps.len().pow(length) {
        let mut model = Model::new(slots);
        let mut rest = code;
        for _ in 0..length {
            model.step(steps[rest % steps.len()]);
            rest /= steps.len();
        }
        model.finish();
    }
}

/// Guards against requests answered twice or never, lost permits and more running requests than slots, over all orders
/// of seven events.
#[test_case(1; "one slot")]
#[test_case(2; "two slots")]
fn every_event_order_answers_each_request_once(slots: u16) {
    let steps = [
        Step::Offer(Class::Interactive, 4),
        Step::Offer(Class::Interactive, 60),
        Step::Offer(Class::Background, 60),
        Step::Done(Finish::Answered),
        Step::Cancel,
        Step::Wait(5),
    ];
    run_sequences(&steps, 7, slots);
}

/// Guards against requests that wait or start after the drain began, over all orders of drains, slot changes, shed
/// requests, offers and answers.
#[test_case(1; "one slot")]
#[test_case(2; "two slots")]
fn every_event_order_with_drain_and_slot_changes(slots: u16) {
    let steps = [
        Step::Offer(Class::Exact, 60),
        Step::Offer(Class::Background, 60),
        Step::Done(Finish::Answered),
        Step::Done(Finish::Overloaded),
        Step::Wait(5),
        Step::Drain,
        Step::Slots(1),
    ];
    run_sequences(&steps, 6, slots);
}

/// Returns the number of requests of each class that run, `service` ms each, while all classes have requests waiting.
fn saturate(classes: &[Class], slots: u16, service: u64, time: u64) -> BTreeMap<Class, u64> {
    let mut admission = ready(slots);
    let mut running: Vec<(Ms, Class, Permit)> = Vec::new();
    let mut waiting: BTreeMap<Ticket, Class> = BTreeMap::new();
    let mut runs = BTreeMap::new();
    for now in (1..time).map(Ms) {
        let mut wakes = Vec::new();
        for at in (0..running.len()).rev() {
            if running[at].0 <= now {
                let (_, class, permit) = running.remove(at);
                *runs.entry(class).or_default() += 1;
                admission.done(now, permit, Finish::Answered, &mut wakes);
            }
        }
        admission.tick(now, &mut wakes);
        for wake in wakes {
            match wake {
                Wake::Run(ticket, permit) => {
                    let class = waiting.remove(&ticket).expect("answered once");
                    running.push((now + service, class, permit));
                }
                Wake::Refuse(ticket, _) => {
                    waiting.remove(&ticket);
                }
            }
        }
        for class in classes {
            match admission.offer(now, request(*class, now + 60_000)) {
                Offer::Run(permit) => running.push((now + service, *class, permit)),
                Offer::Wait(ticket) => {
                    waiting.insert(ticket, *class);
                }
                Offer::Refuse(_) => {}
            }
        }
    }
    runs
}

/// Guards against background work that gets all slots or none while both classes have requests waiting.
#[test_case(1)]
#[test_case(6)]
#[test_case(12)]
fn background_keeps_a_small_share(slots: u16) {
    let runs = saturate(&[Class::Interactive, Class::Background], slots, 20, 60_000);
    let (interactive, background) = (runs[&Class::Interactive], runs[&Class::Background]);
    let share = background as f64 / (interactive + background) as f64;
    assert!((0.05..=0.20).contains(&share), "background got {share}");
}

/// Guards against exact requests that starve behind a flood of interactive ones.
#[test]
fn exact_work_keeps_its_share() {
    let runs = saturate(&[Class::Interactive, Class::Exact], 6, 20, 20_000);
    let share = runs[&Class::Exact] as f64 / runs.values().sum::<u64>() as f64;
    assert!((0.25..=0.45).contains(&share), "exact work got {share}");
}

/// Guards against a share that caps background work while no other class waits.
#[test]
fn background_alone_uses_most_slots() {
    let runs = saturate(&[Class::Background], 6, 20, 10_000);
    let most = 6 * 10_000 / 20;
    assert!(
        runs[&Class::Background] * 100 >= most * 80,
        "{runs:?} of {most}"
    );
}

/// Guards against background requests that take every slot before an interactive request arrives.
#[test]
fn background_leaves_one_slot_free() {
    let mut admission = ready(6);
    let now = Ms(1_000);
    for _ in 0..10 {
        let _ = admission.offer(now, request(Class::Background, now + 10_000));
    }
    assert_eq!(admission.running(), 5);
    let draft = admission.offer(now, request(Class::Interactive, now + 1_000));
    assert!(matches!(draft, Offer::Run(_)), "{draft:?}");
}

/// Runs one request of `service` ms, a service time sample, and returns the time of its end.
fn run_sample(admission: &mut Admission, now: Ms, service: u64) -> Ms {
    let permit = run(admission, now);
    let end = now + service;
    admission.done(end, permit, Finish::Answered, &mut Vec::new());
    end
}

fn run(admission: &mut Admission, now: Ms) -> Permit {
    match admission.offer(now, request(Class::Interactive, now + 100_000)) {
        Offer::Run(permit) => permit,
        other => panic!("a slot is free: {other:?}"),
    }
}

/// Guards against requests that wait although they can't be answered before their deadline.
#[test_case(50, Some(Reason::Expired); "less left than the service takes")]
#[test_case(0, Some(Reason::Expired); "nothing left")]
#[test_case(150, Some(Reason::Overloaded); "time to run but not to wait")]
#[test_case(500, None; "time for both")]
fn unservable_request_is_refused_at_once(left: u64, expected: Option<Reason>) {
    let mut admission = ready(1);
    let now = run_sample(&mut admission, Ms(1_000), 100);
    let _running = run(&mut admission, now);
    let offer = admission.offer(now, request(Class::Interactive, now + left));
    match (offer, expected) {
        (Offer::Refuse(refusal), Some(reason)) => {
            assert_eq!(refusal.reason, reason);
            assert_eq!(refusal.after > 0, reason == Reason::Overloaded);
        }
        (Offer::Wait(_), None) => {}
        (offer, expected) => panic!("{offer:?}, not {expected:?}"),
    }
}

/// Guards against a service time estimate above all deadlines that refuses the class forever.
#[test]
fn slow_answer_does_not_block_its_class() {
    let mut admission = ready(4);
    let mut now = run_sample(&mut admission, Ms(1_000), 10_000);
    for _ in 0..100 {
        let offer = admission.offer(now, request(Class::Interactive, now + 1_000));
        let Offer::Run(permit) = offer else {
            panic!("an idle upstream runs it: {offer:?}");
        };
        now = now + 10;
        admission.done(now, permit, Finish::Answered, &mut Vec::new());
    }
    let _first = run(&mut admission, now);
    let second = admission.offer(now, request(Class::Interactive, now + 1_000));
    assert!(matches!(second, Offer::Run(_)), "{second:?}");
}

/// Guards against requests that wait until their deadline after the upstream lost slots.
#[test]
fn unservable_waiting_request_is_refused_early() {
    let mut admission = ready(4);
    let mut now = Ms(1_000);
    for _ in 0..50 {
        now = run_sample(&mut admission, now, 100);
    }
    let _running: Vec<Permit> = (0..4).map(|_| run(&mut admission, now)).collect();
    let deadline = now + 500;
    let offers: Vec<Offer> = (0..8)
        .map(|_| admission.offer(now, request(Class::Interactive, deadline)))
        .collect();
    let all_wait = offers.iter().all(|it| matches!(it, Offer::Wait(_)));
    assert!(all_wait, "{offers:?}");
    let mut wakes = Vec::new();
    admission.set_slots(now, 1, &mut wakes);
    admission.tick(now + 150, &mut wakes);
    let early = |it: &Wake| matches!(it, Wake::Refuse(_, Refusal { reason: Reason::Overloaded, after }) if *after > 0);
    assert!(!wakes.is_empty() && wakes.iter().all(early), "{wakes:?}");
}

/// Guards against a limit that stays high while the upstream sheds load, or low after it recovered.
#[test]
fn shed_requests_lower_the_limit() {
    let mut admission = ready(12);
    let mut now = Ms(1_000);
    for _ in 0..20 {
        let permit = run(&mut admission, now);
        now = now + 150;
        admission.done(now, permit, Finish::Overloaded, &mut Vec::new());
    }
    let low = admission.load().limit;
    for _ in 0..500 {
        now = run_sample(&mut admission, now, 20);
    }
    assert!(low <= 3, "the limit stayed at {low}");
    assert_eq!(admission.load().limit, 12);
}

/// Guards against a queue that grows beyond its limit or drops earlier requests.
#[test]
fn full_queue_refuses_the_newest_request() {
    let mut admission = ready(1);
    let now = run_sample(&mut admission, Ms(1_000), 10);
    let _running = run(&mut admission, now);
    let offers: Vec<Offer> = (0..65)
        .map(|_| admission.offer(now, request(Class::Background, now + 600_000)))
        .collect();
    let last = offers.last().expect("65 offers");
    assert!(
        matches!(last, Offer::Refuse(it) if it.reason == Reason::QueueFull),
        "{last:?}"
    );
    assert_eq!(admission.waiting(), 64);
}

/// Guards against waiting requests that are dropped when the queue limit is lowered.
#[test]
fn shorter_queue_keeps_waiting_requests() {
    let mut admission = ready(1);
    let now = run_sample(&mut admission, Ms(1_000), 10);
    let _running = run(&mut admission, now);
    let mut offer = || admission.offer(now, request(Class::Background, now + 600_000));
    let waits: Vec<Offer> = (0..5).map(|_| offer()).collect();
    assert!(waits.iter().all(|it| matches!(it, Offer::Wait(_))));
    admission.set_queue(2);
    let next = admission.offer(now, request(Class::Background, now + 600_000));
    assert!(matches!(next, Offer::Refuse(it) if it.reason == Reason::QueueFull));
    assert_eq!(admission.waiting(), 5);
}

#[test_case(Phase::Warming, Reason::NotReady)]
#[test_case(Phase::Draining, Reason::Draining)]
#[test_case(Phase::Gone, Reason::Draining)]
fn only_ready_upstream_runs_requests(phase: Phase, reason: Reason) {
    let mut admission = ready(4);
    admission.set_phase(Ms(1_000), phase, &mut Vec::new());
    let offer = admission.offer(Ms(1_000), request(Class::Exact, Ms(9_000)));
    assert!(
        matches!(offer, Offer::Refuse(it) if it.reason == reason),
        "{offer:?}"
    );
}

#[test]
fn reason_names_round_trip() {
    for reason in REASONS {
        assert_eq!(reason.to_string().parse(), Ok(reason));
    }
    assert!("gone-fishing".parse::<Reason>().is_err());
}

#[test_case("3/0/6", Some(Load { running: 3, waiting: 0, limit: 6 }))]
#[test_case("3/0", None; "too short")]
#[test_case("3/0/6/1", None; "too long")]
#[test_case("3/-1/6", None; "negative")]
#[test_case("3/70000/6", None; "too large")]
#[test_case("", None; "empty")]
fn load_text_round_trips(text: &str, expected: Option<Load>) {
    let load = text.parse::<Load>().ok();
    assert_eq!(load, expected);
    if let Some(load) = load {
        assert_eq!(load.to_string(), text);
    }
}
