//! From the file as raw to settings whose values are all allowed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use gentian_wire::size::Bytes;
use serde_json::Value;

use super::{raw, Agent, Controller, Dialect, Entry, FieldError, Log, Settings};

const ADDRESS: &str = "an IP address and port such as 127.0.0.1:8080";
const NAME: &str = "a name of 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'";
const PATH: &str = "a path such as \"/var/lib/gentiancove\"";
const FLAG: &str = "true or false";
const DIALECTS: &str = "one of native, platform";
const FORMATS: &str = "one of text, json";
const LEVELS: &str = "one of off, error, warn, info, debug, trace";
/// Leaves room for the role, which sets apart the nodes of one process.
const LONGEST_SHARED_NAME: usize = 56;
const MAX_CONTROL_INSTANCES: usize = 7;
const MAX_TOLERATED: u64 = 3;

const BODY_BYTES: RangeInclusive<u64> = 1 << 10..=64 << 20;
const CONNECTIONS: RangeInclusive<u64> = 1..=100_000;
const SAMPLES: RangeInclusive<u64> = 1..=1_000_000;
const SLOTS: RangeInclusive<u64> = 1..=1024;
const TIMEOUT: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(300);

/// Checks a whole file, or tells all its mistakes.
pub(super) fn settings(raw: raw::Settings) -> Result<Settings, Vec<FieldError>> {
    let mut validator = Validator::default();
    let settings = validator.settings(raw);
    if let Some(settings) = &settings {
        validator.relations(settings);
    }
    match settings {
        Some(settings) if validator.mistakes.is_empty() => Ok(settings),
        _ => Err(validator.mistakes),
    }
}

/// Collects mistakes. A method returns none where a value can't be used, and
/// then it has noted why.
#[derive(Debug, Default)]
struct Validator {
    mistakes: Vec<FieldError>,
}

impl Validator {
    fn settings(&mut self, raw: raw::Settings) -> Option<Settings> {
        self.unknown("", &raw.unknown, raw::Settings::FIELDS);
        self.any_role(&raw);
        let name = self.required("name", raw.name, NAME, parse);
        let data_center = self.required("data_center", raw.data_center, NAME, parse);
        let rack = self.required("rack", raw.rack, NAME, parse);
        let region = self.required("region", raw.region, NAME, parse);
        let control = self.control(raw.control);
        let port = self.port(raw.control_port);
        let entry = raw.entry.map(|entry| self.entry(entry));
        let agent = raw.agent.map(|agent| self.agent(agent));
        let controller = raw.controller.map(|section| self.controller(section));
        let log = self.log(raw.log.unwrap_or_default());
        Some(Settings {
            name: name?,
            data_center: data_center?,
            rack: rack?,
            region: region?,
            control: on_port(control?, port?),
            entry: whole(entry)?,
            agent: whole(agent)?,
            controller: whole(controller)?,
            log: log?,
        })
    }

    fn entry(&mut self, raw: raw::Entry) -> Option<Entry> {
        self.unknown("entry.", &raw.unknown, raw::Entry::FIELDS);
        let http = self.required("entry.http", raw.http, ADDRESS, parse);
        let dialect = self.dialect("entry.dialect", raw.dialect);
        let ready = self.optional("entry.ready", raw.ready, None, ADDRESS, |v| {
            parse(v).map(Some)
        });
        let max_body = self.size("entry.max_body", raw.max_body, Bytes(1 << 20));
        let max_connections = self.count(
            "entry.max_connections",
            raw.max_connections,
            4096,
            CONNECTIONS,
        );
        let header_timeout = self.time("entry.header_timeout", raw.header_timeout, 5_000);
        let body_timeout = self.time("entry.body_timeout", raw.body_timeout, 5_000);
        let default_deadline = self.time("entry.default_deadline", raw.default_deadline, 10_000);
        let drain_timeout = self.time("entry.drain_timeout", raw.drain_timeout, 300_000);
        Some(Entry {
            http: http?,
            dialect: dialect?,
            ready: ready?,
            max_body: max_body?,
            max_connections: usize::try_from(max_connections?).ok()?,
            header_timeout: header_timeout?,
            body_timeout: body_timeout?,
            default_deadline: default_deadline?,
            drain_timeout: drain_timeout?,
        })
    }

    fn agent(&mut self, raw: raw::Agent) -> Option<Agent> {
        self.unknown("agent.", &raw.unknown, raw::Agent::FIELDS);
        let http = self.required("agent.http", raw.http, ADDRESS, parse);
        let peer = self.required("agent.peer", raw.peer, ADDRESS, parse);
        let dialect = self.dialect("agent.dialect", raw.dialect);
        let max_slots = self.count("agent.max_slots", raw.max_slots, 8, SLOTS);
        let max_connections = self.count(
            "agent.max_connections",
            raw.max_connections,
            64,
            CONNECTIONS,
        );
        let drain_timeout = self.time("agent.drain_timeout", raw.drain_timeout, 300_000);
        Some(Agent {
            http: http?,
            peer: peer?,
            dialect: dialect?,
            max_slots: u32::try_from(max_slots?).ok()?,
            max_connections: u32::try_from(max_connections?).ok()?,
            drain_timeout: drain_timeout?,
        })
    }

    fn controller(&mut self, raw: raw::Controller) -> Option<Controller> {
        self.unknown("controller.", &raw.unknown, raw::Controller::FIELDS);
        let http = self.required("controller.http", raw.http, ADDRESS, parse);
        let peer = self.required("controller.peer", raw.peer, ADDRESS, parse);
        let dialect = self.dialect("controller.dialect", raw.dialect);
        let data = self.required("controller.data", raw.data, PATH, path);
        let found = self.optional("controller.found", raw.found, false, FLAG, Value::as_bool);
        let allowed = format!("a whole number from 0 to {MAX_TOLERATED}");
        let tolerates = raw.tolerates.filter(|value| !value.is_null());
        let tolerates = self.optional("controller.tolerates", tolerates, None, &allowed, |v| {
            v.as_u64().filter(|n| *n <= MAX_TOLERATED).map(Some)
        });
        Some(Controller {
            http: http?,
            peer: peer?,
            dialect: dialect?,
            data: data?,
            found: found?,
            tolerates: tolerates?,
        })
    }

    fn log(&mut self, raw: raw::Log) -> Option<Log> {
        self.unknown("log.", &raw.unknown, raw::Log::FIELDS);
        let default = Log::default();
        let level = self.optional("log.level", raw.level, default.level, LEVELS, level);
        let format = self.optional("log.format", raw.format, default.format, FORMATS, parse);
        let sample = self.count("log.sample", raw.sample, default.sample, SAMPLES);
        let file = self.optional("log.file", raw.file, default.file, PATH, |v| {
            path(v).map(Some)
        });
        Some(Log {
            level: level?,
            format: format?,
            sample: sample?,
            file: file?,
        })
    }

    /// Rules that hold between fields.
    fn relations(&mut self, settings: &Settings) {
        for (field, address) in settings.repeated_listeners() {
            let value = Value::from(address.to_string());
            self.note(field, Some(value), "an address that no other field has");
        }
        if settings.control.is_empty() && settings.controller.is_none() {
            let allowed = "the peer addresses of 1 to 7 control instances";
            self.note("control", None, allowed);
        }
        let two_nodes = settings.entry.is_some() && settings.agent.is_some();
        if two_nodes && settings.name.as_str().len() > LONGEST_SHARED_NAME {
            let allowed = format!("at most {LONGEST_SHARED_NAME} bytes for an entry and an agent");
            let value = Value::from(settings.name.as_str());
            self.note("name", Some(value), &allowed);
        }
        if let Some(agent) = &settings.agent {
            if agent.max_connections < agent.max_slots {
                let allowed = format!("at least agent.max_slots, {}", agent.max_slots);
                let value = Value::from(agent.max_connections);
                self.note("agent.max_connections", Some(value), &allowed);
            }
        }
    }

    fn any_role(&mut self, raw: &raw::Settings) {
        if raw.entry.is_none() && raw.agent.is_none() && raw.controller.is_none() {
            let allowed = "at least one of the sections entry, agent and controller";
            self.note("role", None, allowed);
        }
    }

    fn control(&mut self, value: Option<Value>) -> Option<Vec<SocketAddr>> {
        let allowed = "a list of 1 to 7 different addresses such as [\"127.0.0.1:7000\"]";
        self.optional("control", value, Vec::new(), allowed, addresses)
    }

    fn port(&mut self, value: Option<Value>) -> Option<Option<u16>> {
        let allowed = "a port from 1 to 65535";
        self.optional("control_port", value, None, allowed, |value| {
            let port = u16::try_from(value.as_u64()?).ok()?;
            (port > 0).then_some(Some(port))
        })
    }

    fn dialect(&mut self, field: &str, value: Option<Value>) -> Option<Dialect> {
        self.optional(field, value, Dialect::default(), DIALECTS, parse)
    }

    fn size(&mut self, field: &str, value: Option<Value>, default: Bytes) -> Option<Bytes> {
        let (least, most) = (Bytes(*BODY_BYTES.start()), Bytes(*BODY_BYTES.end()));
        let allowed = format!("a size from {least} to {most} such as \"64KiB\"");
        let read = |value: &Value| parse(value).filter(|size: &Bytes| BODY_BYTES.contains(&size.0));
        self.optional(field, value, default, &allowed, read)
    }

    fn time(&mut self, field: &str, value: Option<Value>, default_ms: u64) -> Option<Duration> {
        let least = humantime::format_duration(*TIMEOUT.start());
        let most = humantime::format_duration(*TIMEOUT.end());
        let allowed = format!("a duration from {least} to {most} such as \"500ms\" or \"2s\"");
        let default = Duration::from_millis(default_ms);
        self.optional(field, value, default, &allowed, duration)
    }

    fn count(
        &mut self,
        field: &str,
        value: Option<Value>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let read = |value: &Value| value.as_u64().filter(|count| range.contains(count));
        self.optional(field, value, default, &allowed, read)
    }

    fn required<T>(
        &mut self,
        field: &str,
        value: Option<Value>,
        allowed: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let usable = value.as_ref().and_then(read);
        if usable.is_none() {
            self.note(field, value, allowed);
        }
        usable
    }

    fn optional<T>(
        &mut self,
        field: &str,
        value: Option<Value>,
        default: T,
        allowed: &str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        match value {
            None => Some(default),
            value => self.required(field, value, allowed, read),
        }
    }

    fn unknown(&mut self, section: &str, unknown: &raw::Unknown, fields: &[&str]) {
        for (name, value) in unknown {
            let allowed = format!("no such field, only {}", fields.join(", "));
            self.note(&format!("{section}{name}"), Some(value.clone()), &allowed);
        }
    }

    fn note(&mut self, field: &str, value: Option<Value>, allowed: &str) {
        self.mistakes.push(FieldError {
            field: field.to_owned(),
            value,
            allowed: allowed.to_owned(),
        });
    }
}

/// Turns a section that may be absent inside out.
#[allow(clippy::option_option)]
fn whole<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        None => Some(None),
        Some(None) => None,
        Some(section) => Some(section),
    }
}

/// The addresses with another port, where one is given.
fn on_port(addresses: Vec<SocketAddr>, port: Option<u16>) -> Vec<SocketAddr> {
    let on_port = |address: SocketAddr| {
        let port = port.unwrap_or(address.port());
        SocketAddr::new(address.ip(), port)
    };
    addresses.into_iter().map(on_port).collect()
}

fn parse<T: FromStr>(value: &Value) -> Option<T> {
    value.as_str()?.parse().ok()
}

fn duration(value: &Value) -> Option<Duration> {
    let duration = humantime::parse_duration(value.as_str()?).ok()?;
    TIMEOUT.contains(&duration).then_some(duration)
}

fn level(value: &Value) -> Option<log::LevelFilter> {
    let text = value.as_str()?;
    let lower = text.bytes().all(|byte| byte.is_ascii_lowercase());
    text.parse().ok().filter(|_| lower)
}

fn path(value: &Value) -> Option<PathBuf> {
    let text = value.as_str()?;
    let usable = !text.is_empty() && !text.contains('\0');
    usable.then(|| PathBuf::from(text))
}

fn addresses(value: &Value) -> Option<Vec<SocketAddr>> {
    let list = value.as_array()?;
    let addresses: Vec<SocketAddr> = list.iter().map(parse).collect::<Option<_>>()?;
    let distinct: BTreeSet<_> = addresses.iter().collect();
    let few = addresses.len() <= MAX_CONTROL_INSTANCES;
    (few && distinct.len() == addresses.len()).then_some(addresses)
}
