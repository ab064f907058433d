//! A small deployment on loopback addresses: each process of the project is started with the
//! command of the deploy file and a settings file as its template makes it.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::wire::{self, quoted};
use crate::worker::{Kind, Worker};

const PROGRAM: &str = "target/release/gentiancove";
/// The one service, the host of the queues, and the path prefixes of the two that there are at
/// first.
pub const SERVICE: &str = "huvo11a";
const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const OTHER_PREFIX: &str = "/pule252/";
/// `grace-s` of the small sites.
const GRACE_S: u32 = 6;

const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process of the project that this case has started; it ends with this value.
#[derive(Debug)]
struct Process {
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts a process with these settings; its log goes into the folder.
    fn start(folder: &Path, name: &str, settings: &str) -> Option<Process> {
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).ok()?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&path, &log)?;
        Some(Process {
            settings: path,
            log,
            child,
        })
    }

    /// SIGKILL.
    fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the child was not waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// SIGTERM, and SIGKILL after `grace-s`.
    fn terminate(&mut self) {
        self.signal(SIGTERM);
        let grace = Duration::from_secs(GRACE_S.into());
        wire::wait_for(grace, || self.child.try_wait().ok().flatten());
        self.kill();
    }

    /// Starts it again, as the platform does after its end.
    fn start_again(&mut self) -> Option<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Some(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Option<Child> {
    let log = File::options().create(true).append(true).open(log).ok()?;
    let child = Command::new(PROGRAM)
        .args(["run", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn();
    child.ok()
}

/// A machine that takes callers' connections.
#[derive(Debug)]
pub struct Entry {
    process: Process,
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Debug)]
pub struct System {
    folder: PathBuf,
    pub entries: Vec<Entry>,
    agents: Vec<Mutex<Process>>,
    control_processes: Vec<Mutex<Process>>,
    controls: Vec<SocketAddr>,
    pub workers: Vec<Arc<Worker>>,
    record: Arc<Record>,
}

/// Names of the zones; machines of a class are spread over them in turn.
const ZONES: [&str; 3] = ["beauce", "bas", "estrie"];
const CONTROLS: usize = 3;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ports that are the same on all machines, free on all their addresses.
fn free_ports(addresses: &[String], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    // Kept until all ports are found, so that none is found twice.
    let mut held = Vec::new();
    while ports.len() < count {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = probe
            .local_addr()
            .expect("a bound listener has an address")
            .port();
        held.push(probe);
        let free = |address: &String| TcpListener::bind(format!("{address}:{port}")).is_ok();
        if addresses.iter().all(free) {
            ports.push(port);
        }
    }
    ports
}

impl System {
    /// Starts a system with a worker of each kind and this many entries, and waits until it
    /// serves.
    pub fn start(entries: usize, kinds: &[Kind], record: Arc<Record>) -> Option<System> {
        let folder = std::env::temp_dir().join(format!("review3-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let address = |class: usize, index: usize| format!("127.0.{class}.{}", index + 1);
        let (control_ips, side_ips, front_ips): (Vec<_>, Vec<_>, Vec<_>) = (
            (0..CONTROLS).map(|index| address(31, index)).collect(),
            (0..kinds.len()).map(|index| address(32, index)).collect(),
            (0..entries).map(|index| address(33, index)).collect(),
        );
        let all: Vec<String> = [&control_ips[..], &side_ips[..], &front_ips[..]].concat();
        let ports = free_ports(&all, 5);
        let [control_port, peer_port, front_port, ready_port, app_port] = ports[..] else {
            return None;
        };
        let seeds: Vec<String> = control_ips
            .iter()
            .map(|ip| format!("\"{ip}:{control_port}\""))
            .collect();
        let common = |name: &str, zone: &str| {
            format!(
                r#""name":"{name}","data_center":"{zone}","rack":"none","region":"qc-est","control":[{}],"control_port":{peer_port},"log":{{"format":"json"}}"#,
                seeds.join(",")
            )
        };
        let zones: Vec<String> = ZONES.iter().map(|zone| quoted(zone)).collect();
        let zones = zones.join(",");
        let mut controls = Vec::new();
        for (index, ip) in control_ips.iter().enumerate() {
            let name = format!("core-{index}");
            let data = folder.join(format!("data-{index}"));
            fs::create_dir_all(&data).ok()?;
            let settings = format!(
                r#"{{{},"controller":{{"http":"{ip}:{control_port}","peer":"{ip}:{peer_port}","dialect":"platform","data":{},"found":true,"tolerates":1,"data_centers":[{zones}]}}}}"#,
                common(&name, ZONES[index % ZONES.len()]),
                quoted(&data.display().to_string()),
            );
            controls.push(Mutex::new(Process::start(&folder, &name, &settings)?));
        }
        let mut agents = Vec::new();
        let mut workers = Vec::new();
        for (index, (ip, kind)) in side_ips.iter().zip(kinds).enumerate() {
            let (name, zone) = (format!("side-{index}"), ZONES[index % ZONES.len()]);
            let http: SocketAddr = format!("{ip}:{control_port}").parse().ok()?;
            let settings = format!(
                r#"{{{},"agent":{{"http":"{http}","peer":"{ip}:{peer_port}","dialect":"platform","drain_timeout":"{GRACE_S}s"}}}}"#,
                common(&name, zone),
            );
            agents.push(Mutex::new(Process::start(&folder, &name, &settings)?));
            let listener = TcpListener::bind(format!("{ip}:{app_port}")).ok()?;
            let id = format!("i-{index}");
            workers.push(Worker::start(
                &id,
                Duration::ZERO,
                Duration::ZERO,
                listener,
                http,
                zone,
                kind.clone(),
                record.clone(),
            ));
        }
        let mut fronts = Vec::new();
        for (index, ip) in front_ips.iter().enumerate() {
            let (name, zone) = (format!("front-{index}"), ZONES[index % ZONES.len()]);
            let front: SocketAddr = format!("{ip}:{front_port}").parse().ok()?;
            let ready: SocketAddr = format!("{ip}:{ready_port}").parse().ok()?;
            let settings = format!(
                r#"{{{},"entry":{{"http":"{front}","ready":"{ready}","dialect":"platform","drain_timeout":"{GRACE_S}s"}}}}"#,
                common(&name, zone),
            );
            let process = Process::start(&folder, &name, &settings)?;
            fronts.push(Entry {
                process,
                front,
                ready,
            });
        }
        let parse = |ip: &String| format!("{ip}:{control_port}").parse().ok();
        let system = System {
            folder,
            entries: fronts,
            agents,
            control_processes: controls,
            controls: control_ips.iter().map(parse).collect::<Option<_>>()?,
            workers,
            record,
        };
        system.wait_until_it_serves().then_some(system)
    }

    /// Sends a configuration with queues at these path prefixes to the control machines in turn,
    /// until one acknowledges it.
    pub fn configure(&self, version: u64, prefixes: &[&str]) -> bool {
        let routes = prefixes.iter().enumerate().map(|(index, prefix)| {
            // Long jobs are handed in at the first queue; the other is like those of the site.
            let (timeout, target) = if *prefix == PREFIX { (30_000, 20_000) } else { (1_500, 60) };
            format!(
                r#"{{"name":"r-{index}","host":"{HOST}","path-prefix":"{prefix}","kind":"unsafe","timeout-ms":{timeout},"target-latency-ms":{target},"priority":0,"service":"{SERVICE}","max-attempts":4,"stretch":1.6}}"#
            )
        });
        let routes: Vec<String> = routes.collect();
        let body = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,"admission-control":true,"standby":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
            routes.join(",")
        );
        let mut turn = self.controls.iter().cycle();
        let acknowledged = wire::wait_for(Duration::from_secs(20), || {
            let to = *turn.next()?;
            let answer = wire::call(
                to,
                "POST",
                "/-/config/put",
                &[],
                &body,
                Duration::from_secs(1),
            );
            answer
                .is_ok_and(|answer| answer.status == 200)
                .then_some(())
        });
        let how = if acknowledged.is_some() {
            "acknowledged"
        } else {
            "not acknowledged"
        };
        self.record.note(&format!(
            "configuration {version} with queues at {prefixes:?}: {how}"
        ));
        acknowledged.is_some()
    }

    /// Whether each entry is ready and each worker runs what it is sent.
    fn wait_until_it_serves(&self) -> bool {
        if !self.configure(1, &[PREFIX, OTHER_PREFIX]) {
            return false;
        }
        let timeout = Duration::from_secs(20);
        self.entries.iter().enumerate().all(|(index, entry)| {
            let ready = wire::wait_for(timeout, || entry.is_ready().then_some(()));
            let mut tries = 0;
            // One task for each worker's kind.
            let steps = self
                .workers
                .iter()
                .flat_map(|worker| worker.kind.labels.first());
            let steps = steps.map(|label| {
                let label = quoted(label);
                format!(
                    r#"{{"count":1,"cpu":100,"mem-mb":16,"estimate-ms":20,"requires":{label}}}"#
                )
            });
            let steps: Vec<String> = steps.collect();
            let served = ready.and_then(|()| {
                wire::wait_for(timeout, || {
                    tries += 1;
                    let id = format!("{:08x}{tries:08x}", index + 1);
                    let answer = self.submit(index, PREFIX, &id, 20, &steps.join(","), 3_000);
                    let answer =
                        answer.and_then(|open| wire::receive(open, Duration::from_secs(4)));
                    answer
                        .is_ok_and(|answer| answer.status == 200)
                        .then_some(())
                })
            });
            if served.is_none() {
                self.record.note(&format!("entry {index} does not serve"));
            }
            served.is_some()
        })
    }

    /// Sends a job that needn't be kept to an entry; the answer comes on the connection. Each of
    /// its tasks works for `work_ms`.
    pub fn submit(
        &self,
        entry: usize,
        prefix: &str,
        id: &str,
        work_ms: u64,
        steps: &str,
        deadline_ms: u64,
    ) -> std::io::Result<std::net::TcpStream> {
        let body = format!(r#"{{"spec":"{work_ms}","steps":[{steps}],"best-effort":true}}"#);
        let deadline = deadline_ms.to_string();
        let headers = [("host", HOST), ("deadline-ms", deadline.as_str())];
        wire::send(
            self.entries[entry].front,
            "POST",
            &format!("{prefix}{id}"),
            &headers,
            &body,
        )
    }

    /// Starts another worker at the address of one that has crashed, of this kind.
    pub fn replace_worker(&mut self, index: usize, kind: Kind) -> Option<()> {
        let former = self.workers[index].clone();
        let listener = wire::wait_for(Duration::from_secs(1), || {
            TcpListener::bind(former.address).ok()
        })?;
        let id = format!("{}-again", former.id);
        self.record
            .note(&format!("worker {id} starts at its address: {kind:?}"));
        let (agent, record) = (former.agent, self.record.clone());
        self.workers[index] = Worker::start(
            &id,
            Duration::ZERO,
            Duration::ZERO,
            listener,
            agent,
            &former.zone,
            kind,
            record,
        );
        Some(())
    }

    /// Starts a worker that has crashed again, under its id. See [`Worker::start`].
    pub fn restart_worker(
        &mut self,
        index: usize,
        first_beat: Duration,
        hangs_for: Duration,
    ) -> Option<()> {
        let former = self.workers[index].clone();
        let listener = wire::wait_for(Duration::from_secs(1), || {
            TcpListener::bind(former.address).ok()
        })?;
        let (id, zone, kind) = (&former.id, &former.zone, former.kind.clone());
        self.record.note(&format!("worker {id} is up again"));
        let (agent, record) = (former.agent, self.record.clone());
        self.workers[index] = Worker::start(
            id, first_beat, hangs_for, listener, agent, zone, kind, record,
        );
        Some(())
    }

    /// Freezes an entry (SIGSTOP), or wakes it again (SIGCONT).
    pub fn freeze_entry(&self, index: usize, frozen: bool) {
        let how = if frozen { "freezes" } else { "wakes again" };
        self.record.note(&format!("front-{index} {how}"));
        let signal = if frozen { SIGSTOP } else { SIGCONT };
        self.entries[index].process.signal(signal);
    }

    /// Stops an agent as the platform does, and starts it again.
    pub fn restart_agent(&self, index: usize) -> Option<()> {
        let mut agent = self.agents[index].lock().ok()?;
        let name = format!("the agent of side-{index}");
        self.record.note(&format!("{name} gets SIGTERM"));
        agent.terminate();
        self.record.note(&format!("{name} has ended"));
        thread::sleep(RESTART_DELAY);
        agent.start_again()?;
        self.record
            .note(&format!("the agent of side-{index} is started again"));
        Some(())
    }

    /// Kills a control machine, and starts it again with an empty disk.
    pub fn wipe_control(&self, index: usize) -> Option<()> {
        let mut control = self.control_processes[index].lock().ok()?;
        self.record
            .note(&format!("core-{index} is killed and loses its disk"));
        control.kill();
        let data = self.folder.join(format!("data-{index}"));
        fs::remove_dir_all(&data).ok()?;
        fs::create_dir_all(&data).ok()?;
        let settings = fs::read_to_string(&control.settings).ok()?;
        let settings = settings.replace(r#""found":true"#, r#""found":false"#);
        fs::write(&control.settings, settings).ok()?;
        thread::sleep(RESTART_DELAY);
        control.start_again()?;
        self.record.note(&format!("core-{index} is started again"));
        Some(())
    }

    /// Asks an entry for something of a job.
    pub fn ask(&self, entry: usize, method: &str, id: &str) -> std::io::Result<wire::Response> {
        let headers = [("host", HOST), ("deadline-ms", "1500")];
        let to = self.entries[entry].front;
        let path = format!("{PREFIX}{id}");
        wire::call(
            to,
            method,
            &path,
            &headers,
            "",
            Duration::from_millis(1_500),
        )
    }
}

impl Entry {
    /// What the platform asks once a second.
    pub fn is_ready(&self) -> bool {
        let answer = wire::call(
            self.ready,
            "GET",
            "/-/ready",
            &[],
            "",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        self.control_processes.clear();
        // What is left is in a temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}
