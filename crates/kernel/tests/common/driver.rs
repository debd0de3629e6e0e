//! Kernels over one table in memory, with scripted faults. The same script always gives the same
//! run.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use laburnum_kernel::{
    Action, Call, Event, Kernel, Message, Ms, Name, NodeId, Reply, Revision, Settings, SubmitId,
    Token,
    accept::{self, Entry, Submission, Verdict, rows},
    log::Edit,
    platform::{ABSENT, Check, Fault, ObjectAnswer, ObjectOp, Row, TableAnswer, TableOp, Write},
    quota,
};

/// Outcome of a commit of the log.
#[derive(Clone, Debug)]
pub enum CommitOutcome {
    /// It is carried out.
    Fine,
    /// It is not carried out, and fails with this fault.
    Fails(Fault),
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is lost, and reported as unknown.
    WriteLost,
    /// It is reported as unknown at once, and carried out this many ms later.
    WriteLate(u64),
    /// It is carried out, and answered this many ms later.
    Slow(u64),
}

/// How a message is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Arrives,
    Lost,
    /// It arrives twice.
    Doubled,
    /// It arrives this many ms late.
    Late(u64),
}

/// A hook that sees, and may change, every message between two kernels before it is sent.
pub type Tap = Box<dyn FnMut(Ms, usize, usize, &mut Message) -> Delivery>;

/// Time between two ticks, in ms.
const TICK: u64 = 50;
/// Default delay of messages and platform answers, in ms.
const DELAY: u64 = 2;

enum Due {
    Event(usize, Event),
    Write(TableOp),
}

/// The kernels, the table and the events in flight.
pub struct Driver {
    pub now: Ms,
    pub kernels: Vec<Kernel>,
    pub rows: BTreeMap<String, Row>,
    pub objects: BTreeMap<String, Vec<u8>>,
    /// Results of the next commits of the log, in order; later ones are carried out.
    pub commit_outcomes: VecDeque<CommitOutcome>,
    /// Whether the table and the object store are unavailable.
    pub down: bool,
    /// Whether the object store alone is unavailable.
    pub objects_down: bool,
    /// Kernels that receive no messages.
    pub unreachable: BTreeSet<usize>,
    /// Kernels that neither send nor receive anything.
    pub isolated: BTreeSet<usize>,
    /// Kernels that have stopped.
    pub dead: BTreeSet<usize>,
    /// Hook for sent messages; none by default.
    pub tap: Option<Tap>,
    /// Kernels that asked to check the source, if the test answers the checks itself.
    pub checks: Option<Vec<usize>>,
    pub replies: BTreeMap<Token, Vec<Reply>>,
    pub logs: Vec<(usize, &'static str, String)>,
    /// Operations on the log, for snapshots.
    pub session: Vec<String>,
    /// Number of reads of the table, reads of its head alone excluded.
    pub reads: usize,
    /// Number of reads of the table's head alone, with which relays poll.
    pub polls: usize,
    /// Number of commits of the log, failed ones included.
    pub commits: usize,
    /// Number of rows and bytes written.
    pub written: (usize, usize),
    /// Delay of the platform's answers, in ms.
    pub delay: u64,
    due: BTreeMap<(Ms, u64), Due>,
    count: u64,
    last_tick: Ms,
}

pub fn name(text: &str) -> Name {
    text.parse().expect("a literal name is valid")
}

/// Returns the address of the kernel at `index`.
pub fn node(index: usize) -> NodeId {
    NodeId(SocketAddr::from(([127, 0, 0, 1], 7200 + index as u16)))
}

impl Driver {
    /// Starts a kernel in each of `regions`, with those before it as its peers.
    pub fn new(regions: &[&str]) -> Driver {
        let mut driver = Driver {
            now: Ms(1_000_000),
            kernels: Vec::new(),
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            commit_outcomes: VecDeque::new(),
            down: false,
            objects_down: false,
            unreachable: BTreeSet::new(),
            isolated: BTreeSet::new(),
            dead: BTreeSet::new(),
            tap: None,
            checks: None,
            replies: BTreeMap::new(),
            logs: Vec::new(),
            session: Vec::new(),
            reads: 0,
            polls: 0,
            commits: 0,
            written: (0, 0),
            delay: DELAY,
            due: BTreeMap::new(),
            count: 0,
            last_tick: Ms(1_000_000),
        };
        for region in regions {
            driver.add(region);
        }
        driver
    }

    /// Starts another kernel.
    pub fn add(&mut self, region: &str) -> usize {
        let index = self.kernels.len();
        let settings = Settings {
            node: node(index),
            incarnation: self.now.0,
            region: name(region),
            peers: (0..index).map(node).collect(),
            ..Settings::default()
        };
        self.add_with(settings)
    }

    /// Starts another kernel with these settings.
    pub fn add_with(&mut self, settings: Settings) -> usize {
        let index = self.kernels.len();
        self.kernels.push(Kernel::new(settings, index as u64 + 1));
        self.step(index, Event::Start);
        index
    }

    /// Restarts a kernel without its state.
    pub fn restart(&mut self, index: usize) {
        let others = (0..self.kernels.len()).filter(|it| *it != index);
        self.restart_with_peers(index, others.map(node).collect());
    }

    /// Like [`Driver::restart`], with these configured peers.
    pub fn restart_with_peers(&mut self, index: usize, peers: Vec<NodeId>) {
        let settings = Settings {
            incarnation: self.now.0,
            peers,
            ..self.kernels[index].settings().clone()
        };
        self.kernels[index] = Kernel::new(settings, self.now.0 + index as u64);
        self.dead.remove(&index);
        self.step(index, Event::Start);
    }

    /// Passes an event to a kernel.
    pub fn event(&mut self, index: usize, event: Event) {
        self.step(index, event);
    }

    /// Makes a call to a kernel.
    pub fn call(&mut self, index: usize, call: accept::Call) -> Token {
        self.count += 1;
        let token = Token(self.count);
        let call = Call::Accept(call);
        self.step(index, Event::Call { token, call });
        token
    }

    /// Makes a call about a quota to a kernel.
    pub fn call_quota(&mut self, index: usize, ask: quota::Ask) -> Token {
        self.count += 1;
        let token = Token(self.count);
        let call = Call::Quota(ask);
        self.step(index, Event::Call { token, call });
        token
    }

    pub fn submit(&mut self, index: usize, submission: &Submission) -> Token {
        self.call(index, accept::Call::Submit(submission.clone()))
    }

    /// Makes a call to a kernel and runs for up to 10 s until it is answered.
    pub fn ask(&mut self, index: usize, call: accept::Call) -> accept::Reply {
        let token = self.call(index, call);
        for _ in 0..100 {
            if self.replies.contains_key(&token) {
                break;
            }
            self.run(100);
        }
        self.reply(token)
    }

    /// Returns the reply to `token`. Panics unless there is exactly one.
    pub fn reply(&self, token: Token) -> accept::Reply {
        match self.replies.get(&token).map(Vec::as_slice) {
            Some([Reply::Accept(reply)]) => reply.clone(),
            other => panic!("one reply expected, not {other:?}"),
        }
    }

    pub fn verdict(&self, token: Token) -> Verdict {
        match self.reply(token) {
            accept::Reply::Verdict(verdict) => verdict,
            other => panic!("a verdict expected, not {other:?}"),
        }
    }

    /// Runs for `millis` ms.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        loop {
            let tick = self.last_tick + TICK;
            let next = self.due.first_key_value().map(|it| *it.0);
            match next {
                Some(key) if key.0 <= tick.min(end) => self.process_due(key),
                _ if tick <= end => self.tick(tick),
                _ => break,
            }
        }
        self.now = end;
    }

    /// Returns the log in the table. Panics if an entry is missing or misplaced.
    pub fn entries(&self) -> Vec<Entry> {
        let log = self.rows.range("log/".to_owned().."log0".to_owned());
        let entries: Vec<Entry> = log
            .map(|it| rows::read_entry(it.1).expect("decodes"))
            .collect();
        let numbers = entries.iter().map(|it| it.batch.seq.0);
        assert!(numbers.eq(1..=entries.len() as u64), "the log has gaps");
        entries
    }

    /// Returns how often the log holds `id`.
    pub fn applied(&self, id: SubmitId) -> usize {
        let entries = self.entries();
        let changes = entries.iter().flat_map(|it| &it.batch.changes);
        changes.filter(|it| it.id == id).count()
    }

    fn tick(&mut self, tick: Ms) {
        self.now = tick;
        self.last_tick = tick;
        for index in 0..self.kernels.len() {
            self.step(index, Event::Tick);
        }
    }

    fn process_due(&mut self, key: (Ms, u64)) {
        self.now = self.now.max(key.0);
        match self.due.remove(&key) {
            Some(Due::Event(index, event)) => self.step(index, event),
            Some(Due::Write(op)) => {
                self.carry_out(&op);
            }
            None => {}
        }
    }

    fn schedule(&mut self, millis: u64, due: Due) {
        self.count += 1;
        self.due.insert((self.now + millis, self.count), due);
    }

    fn step(&mut self, index: usize, event: Event) {
        if self.dead.contains(&index) {
            return;
        }
        let mut actions = Vec::new();
        self.kernels[index].step(self.now, event, &mut actions);
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::Send { .. } if self.isolated.contains(&index) => {}
            Action::Send { to, message } => self.send(index, to, message),
            Action::Probe { .. } if self.isolated.contains(&index) => {}
            Action::Probe { to, packet } => {
                let from = node(index);
                self.deliver(to, Event::Probe { from, packet });
            }
            Action::Table { call, op } => {
                let (answer, delay) = self.table(index, &op);
                self.schedule(delay, Due::Event(index, Event::Table { call, answer }));
            }
            Action::Object { call, op } => {
                let answer = self.object(op);
                self.schedule(
                    self.delay,
                    Due::Event(index, Event::Object { call, answer }),
                );
            }
            Action::CheckSource => self.check_source(index),
            Action::Reply { token, reply } => self.replies.entry(token).or_default().push(reply),
            Action::Log { event, pairs } => {
                let pairs = pairs.iter().map(|(key, value)| format!("{key}={value:?}"));
                self.logs
                    .push((index, event, pairs.collect::<Vec<_>>().join(" ")));
            }
            _ => {}
        }
    }

    /// Confirms the version that the kernel holds, unless the test answers checks itself.
    fn check_source(&mut self, index: usize) {
        if let Some(checks) = &mut self.checks {
            return checks.push(index);
        }
        let version = self.kernels[index].state().import.table().version();
        let confirmed = Event::Confirmed {
            version,
            asked: self.now,
        };
        self.schedule(DELAY, Due::Event(index, confirmed));
    }

    fn send(&mut self, index: usize, to: NodeId, mut message: Message) {
        let receiver = (0..self.kernels.len()).find(|it| node(*it) == to);
        let delivery = match (&mut self.tap, receiver) {
            (Some(tap), Some(receiver)) => tap(self.now, index, receiver, &mut message),
            _ => Delivery::Arrives,
        };
        let from = node(index);
        let event = Event::Message { from, message };
        match (delivery, receiver) {
            (Delivery::Lost, _) => {}
            (Delivery::Late(millis), Some(it)) if !self.unreachable.contains(&it) => {
                self.schedule(DELAY + millis, Due::Event(it, event));
            }
            (Delivery::Doubled, _) => {
                self.deliver(to, event.clone());
                self.deliver(to, event);
            }
            _ => self.deliver(to, event),
        }
    }

    fn deliver(&mut self, to: NodeId, event: Event) {
        let index = (0..self.kernels.len()).find(|it| node(*it) == to);
        let is_cut = |it: &usize| self.unreachable.contains(it) || self.isolated.contains(it);
        if let Some(index) = index.filter(|it| !is_cut(it)) {
            self.schedule(DELAY, Due::Event(index, event));
        }
    }

    /// Returns the answer and its delay.
    fn table(&mut self, index: usize, op: &TableOp) -> (TableAnswer, u64) {
        let shown = describe_op(op);
        let outcome = match shown {
            Some(_) if self.down => None,
            Some(_) if matches!(op, TableOp::Commit { .. }) => self.commit_outcomes.pop_front(),
            _ => None,
        };
        let (answer, delay) = match outcome {
            _ if self.down => (TableAnswer::Failed(Fault::Unavailable), self.delay),
            None | Some(CommitOutcome::Fine) => (self.carry_out(op), self.delay),
            Some(CommitOutcome::Slow(millis)) => (self.carry_out(op), millis),
            Some(CommitOutcome::Fails(fault)) => (TableAnswer::Failed(fault), self.delay),
            Some(CommitOutcome::AnswerLost) => {
                self.carry_out(op);
                (TableAnswer::Failed(Fault::Unknown), self.delay)
            }
            Some(CommitOutcome::WriteLost) => (TableAnswer::Failed(Fault::Unknown), self.delay),
            Some(CommitOutcome::WriteLate(millis)) => {
                self.schedule(millis, Due::Write(op.clone()));
                (TableAnswer::Failed(Fault::Unknown), self.delay)
            }
        };
        if let Some(shown) = shown {
            let (millis, answer) = (self.now.0 - 1_000_000, describe_answer(&answer));
            self.session
                .push(format!("{millis:>6} ms  node {index}: {shown} -> {answer}"));
        }
        (answer, delay)
    }

    fn carry_out(&mut self, op: &TableOp) -> TableAnswer {
        match op {
            TableOp::Get { keys } => {
                match keys.as_slice() {
                    [key] if key == rows::HEAD_KEY => self.polls += 1,
                    _ => self.reads += 1,
                }
                TableAnswer::Rows(
                    keys.iter()
                        .filter_map(|it| self.rows.get(it).cloned())
                        .collect(),
                )
            }
            TableOp::Scan {
                prefix,
                after,
                limit,
            } => {
                self.reads += 1;
                let rows = self.rows.values().filter(|it| it.key.starts_with(prefix));
                let rows = rows.filter(|it| it.key > *after).take(*limit as usize);
                TableAnswer::Rows(rows.cloned().collect())
            }
            TableOp::Commit { checks, writes } => self.commit(checks, writes),
        }
    }

    fn commit(&mut self, checks: &[Check], writes: &[Write]) -> TableAnswer {
        assert!(checks.len() + writes.len() <= laburnum_kernel::platform::COMMIT_MAX);
        let logged = checks.iter().any(|it| it.key.starts_with("log/"));
        self.commits += usize::from(logged);
        let version = |it: &Check| self.rows.get(&it.key).map_or(ABSENT, |row| row.version);
        let failed: Vec<&Check> = checks
            .iter()
            .filter(|it| version(it) != it.version)
            .collect();
        if !failed.is_empty() {
            let rows = failed
                .iter()
                .filter_map(|it| self.rows.get(&it.key).cloned());
            return TableAnswer::Conflict(rows.collect());
        }
        for write in writes {
            self.write(write);
        }
        TableAnswer::Committed
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                assert!(value.len() <= laburnum_kernel::platform::VALUE_MAX);
                let version = self.rows.get(key).map_or(ABSENT, |it| it.version) + 1;
                self.written.0 += 1;
                self.written.1 += key.len() + value.len();
                let (key, value) = (key.clone(), value.clone());
                self.rows.insert(
                    key.clone(),
                    Row {
                        key,
                        version,
                        value,
                    },
                );
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }

    fn object(&mut self, op: ObjectOp) -> ObjectAnswer {
        if self.down || self.objects_down {
            return ObjectAnswer::Failed(Fault::Unavailable);
        }
        match op {
            ObjectOp::Put { name, bytes } => {
                self.objects.insert(name, bytes);
                ObjectAnswer::Done
            }
            ObjectOp::Get { name } => match self.objects.get(&name) {
                Some(bytes) => ObjectAnswer::Bytes(bytes.clone()),
                None => ObjectAnswer::Absent,
            },
            ObjectOp::Delete { name } => {
                self.objects.remove(&name);
                ObjectAnswer::Done
            }
        }
    }
}

/// Describes an operation on the log. Returns `None` for rows of other modules.
fn describe_op(op: &TableOp) -> Option<String> {
    match op {
        TableOp::Scan { prefix, after, .. } if prefix == "log/" => {
            Some(format!("read the log after {after}"))
        }
        TableOp::Commit { checks, writes }
            if checks.iter().any(|it| it.key.starts_with("log/")) =>
        {
            let keys = writes.iter().map(|it| match it {
                Write::Put { key, .. } => format!("put {key}"),
                Write::Delete { key } => format!("delete {key}"),
            });
            Some(format!("commit {}", keys.collect::<Vec<_>>().join(", ")))
        }
        _ => None,
    }
}

fn describe_answer(answer: &TableAnswer) -> String {
    match answer {
        TableAnswer::Rows(rows) => format!("{} rows", rows.len()),
        TableAnswer::Committed => "committed".to_owned(),
        TableAnswer::Conflict(rows) => format!("conflict with {} rows", rows.len()),
        TableAnswer::Failed(fault) => fault.to_string(),
    }
}

/// Returns a document of `service` with one route that uses `uses`.
pub fn document(service: &str, owner: &str, uses: &[&str]) -> String {
    format!(
        r#"schema = 1
service = "{service}"
owner = "{owner}"

# Made for a test.
# It has one route.

[[routes]]
path = "/"
methods = ["GET"]
uses = {uses:?}
"#
    )
}

pub fn put(id: u128, service: &str, base: u64, uses: &[&str]) -> Submission {
    let author = format!("operator-{id}");
    Submission {
        id: SubmitId(id),
        service: name(service),
        base: Revision(base),
        edit: Edit::Put {
            text: document(service, &author, uses),
        },
        author,
        reason: "test".to_owned(),
    }
}

pub fn delete(id: u128, service: &str, base: u64) -> Submission {
    Submission {
        edit: Edit::Delete,
        ..put(id, service, base, &[])
    }
}
