//! The project's own processes, started with the command of the deploy file and settings like
//! those that its templates give.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const ZONES: [&str; 3] = ["z1", "z2", "z3"];

pub struct System {
    folder: PathBuf,
    program: String,
    net: u8,
    control_http: u16,
    control_peer: u16,
    pub ports: [u16; 4],
    processes: Vec<(String, Child)>,
    pub record: Record,
}

impl System {
    pub fn new(program: &str, folder: &str, record: Record) -> System {
        let net = 20 + (std::process::id() % 200) as u8;
        let folder = PathBuf::from(folder);
        fs::create_dir_all(&folder).expect("the temporary folder");
        let ports = free_ports(net);
        System {
            folder,
            program: program.to_owned(),
            net,
            control_http: ports[0],
            control_peer: ports[1],
            ports: [ports[2], ports[3], ports[4], ports[5]],
            processes: Vec::new(),
            record,
        }
    }

    /// A loopback address of a machine of its own.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.net, machine)
    }

    fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(machine)), port)
    }

    fn seeds(&self) -> String {
        let seeds = (1..=3).map(|i| format!("\"{}\"", self.at(i, self.control_peer)));
        seeds.collect::<Vec<_>>().join(",")
    }

    fn common(&self, name: &str, zone: &str) -> String {
        format!(
            "\"name\":\"{name}\",\"data_center\":\"{zone}\",\"rack\":\"none\",\"region\":\"r\",\
             \"control\":[{}],\"control_port\":{},\"log\":{{\"format\":\"json\"}}",
            self.seeds(),
            self.control_peer
        )
    }

    pub fn control(&self, index: u8) -> SocketAddr {
        self.at(index, self.control_http)
    }

    pub fn data(&self, index: u8) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    /// Starts control instance 1, 2 or 3.
    pub fn start_control(&mut self, index: u8, bootstrap: bool) {
        let name = format!("core-{index}");
        let settings = format!(
            "{{{},\"controller\":{{\"http\":\"{}\",\"peer\":\"{}\",\"dialect\":\"platform\",\
             \"data\":\"{}\",\"found\":{bootstrap},\"tolerates\":1,\
             \"data_centers\":[\"z1\",\"z2\",\"z3\"]}}}}",
            self.common(&name, ZONES[usize::from(index - 1)]),
            self.control(index),
            self.at(index, self.control_peer),
            self.data(index).display(),
        );
        self.start(&name, &settings);
    }

    pub fn agent(&self, index: u8) -> SocketAddr {
        self.at(10 + index, self.ports[0])
    }

    pub fn start_agent(&mut self, index: u8, zone: &str) {
        let name = format!("side-{index}");
        let settings = format!(
            "{{{},\"agent\":{{\"http\":\"{}\",\"peer\":\"{}\",\"dialect\":\"platform\",\
             \"drain_timeout\":\"6s\"}}}}",
            self.common(&name, zone),
            self.agent(index),
            self.at(10 + index, self.control_peer),
        );
        self.start(&name, &settings);
    }

    /// A listener for the worker on an agent's machine.
    pub fn app(&self, index: u8) -> io::Result<TcpListener> {
        TcpListener::bind(self.at(10 + index, self.ports[3]))
    }

    pub fn entry(&self, index: u8) -> SocketAddr {
        self.at(100 + index, self.ports[1])
    }

    pub fn ready(&self, index: u8) -> SocketAddr {
        self.at(100 + index, self.ports[2])
    }

    pub fn start_entry(&mut self, index: u8, zone: &str) {
        let name = format!("front-{index}");
        let settings = format!(
            "{{{},\"entry\":{{\"http\":\"{}\",\"ready\":\"{}\",\"dialect\":\"platform\",\
             \"drain_timeout\":\"6s\"}}}}",
            self.common(&name, zone),
            self.entry(index),
            self.ready(index),
        );
        self.start(&name, &settings);
    }

    fn start(&mut self, name: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings are written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log is opened");
        let errors = log.try_clone().expect("the log is opened");
        let child = Command::new(&self.program)
            .args(["run", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        self.record.line(&format!("process {name} starts"));
        self.processes.push((name.to_owned(), child));
        self.write_pids();
    }

    /// Sends SIGKILL to a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        for (_, child) in self.processes.iter_mut().filter(|(n, _)| n == name) {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.processes.retain(|(n, _)| n != name);
        self.write_pids();
        self.record.say(&format!("process {name} is killed"));
    }

    /// Notes the processes that run, so that `run.sh` can end them if it is interrupted.
    fn write_pids(&self) {
        let pids = self
            .processes
            .iter()
            .map(|(_, child)| child.id().to_string());
        let pids: Vec<String> = pids.collect();
        let _ = fs::write(self.folder.join("pids"), pids.join("\n"));
    }

    /// Puts the configuration as an operator does: to one node after the other, until it is
    /// acknowledged. Returns when that was, or none within the time.
    pub fn put_config(&self, body: &str, within: Duration) -> Option<f64> {
        let until = Instant::now() + within;
        let mut last = String::new();
        while Instant::now() < until {
            for index in 1..=3 {
                let mut to = self.control(index);
                let mut path = "/-/config/put".to_owned();
                for _ in 0..3 {
                    let timeout = Duration::from_secs(1);
                    match http::call(to, "POST", &path, &[], body, timeout) {
                        Ok(answer) if answer.status() == 200 => {
                            let text = format!("operator: put to {to}: 200");
                            self.record.say(&text);
                            return Some(self.record.now());
                        }
                        Ok(answer) if answer.status() == 307 => {
                            let location = answer.header("location").unwrap_or("").to_owned();
                            let rest = location.trim_start_matches("http://");
                            let (host, rest) = rest.split_once('/').unwrap_or((rest, ""));
                            let Ok(next) = host.parse() else { break };
                            to = next;
                            path = format!("/{rest}");
                        }
                        Ok(answer) => {
                            last = format!("operator: put to {to}: {}", answer.status());
                            self.record.line(&last);
                            break;
                        }
                        Err(error) => {
                            last = format!("operator: put to {to}: {error}");
                            self.record.line(&last);
                            break;
                        }
                    }
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        self.record
            .say(&format!("not acknowledged within {within:?}; last: {last}"));
        None
    }

    /// Names of the processes that have ended by themselves, as for want of a port.
    pub fn ended(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        let ended = processes.filter_map(|(name, child)| match child.try_wait() {
            Ok(None) => None,
            _ => Some(name.clone()),
        });
        ended.collect()
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_until_ready(&self, index: u8, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let to = self.ready(index);
            let answer = http::call(to, "GET", "/-/ready", &[], "", Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

/// Ends all processes that were started.
impl Drop for System {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.processes.clear();
        self.write_pids();
    }
}

/// Ports that are free on all the machines' addresses: each is bound on one of them for a
/// moment, and the addresses are those of this process alone.
fn free_ports(net: u8) -> Vec<u16> {
    let ip = Ipv4Addr::new(127, 77, net, 1);
    let listeners: Vec<TcpListener> = (0..6)
        .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
        .collect();
    let ports = listeners
        .iter()
        .map(|l| l.local_addr().expect("it is bound").port());
    ports.collect()
}

/// A configuration with one queue, of one service.
pub fn config(version: u64, attempts: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"farm.example\",\
         \"path-prefix\":\"/stalls/\",\"kind\":\"unsafe\",\"timeout-ms\":1500,\
         \"target-latency-ms\":60,\"priority\":0,\"service\":\"tableau\",\
         \"max-attempts\":{attempts},\"stretch\":1.6}}],\"services\":[{{\"name\":\"tableau\",\
         \"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission-control\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}
