//! Validates the raw values of a settings file, fills in defaults and converts
//! them to [`Settings`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use gentian_wire::size::Bytes;
use serde_json::Value;

use super::{raw, Agent, Controller, Dialect, Entry, FieldError, Log, Settings};

const ALLOWED_ADDRESS: &str = "an IP address and port such as 127.0.0.1:8080";
const ALLOWED_NAME: &str = "a name of 1 to 64 of the characters a-z, A-Z, 0-9, '-', '_' and '.'";
const ALLOWED_PATH: &str = "a path such as \"/var/lib/gentiancove\"";
const ALLOWED_FLAG: &str = "true or false";
const ALLOWED_DIALECTS: &str = "one of native, platform";
const ALLOWED_FORMATS: &str = "one of text, json";
const ALLOWED_LEVELS: &str = "one of off, error, warn, info, debug, trace";
/// Longest name of a process that is both entry and agent. Each node of such a
/// process adds its role to the name, and the result has to fit into 64 bytes.
const MAX_SHARED_NAME_BYTES: usize = 56;
const MAX_CONTROL_INSTANCES: usize = 7;
const MAX_TOLERATED: u64 = 3;

const BODY_BYTES_RANGE: RangeInclusive<u64> = 1 << 10..=64 << 20;
const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=100_000;
const SAMPLE_RANGE: RangeInclusive<u64> = 1..=1_000_000;
const SLOTS_RANGE: RangeInclusive<u64> = 1..=1024;
const TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(10)..=Duration::from_secs(300);

/// Validates a whole file. The error holds every invalid field, not just the first.
pub(super) fn settings(raw: raw::Settings) -> Result<Settings, Vec<FieldError>> {
    let mut validator = Validator::default();
    let settings = validator.settings(raw);
    if let Some(settings) = &settings {
        validator.cross_field_rules(settings);
    }
    match settings {
        Some(settings) if validator.errors.is_empty() => Ok(settings),
        _ => Err(validator.errors),
    }
}

/// Collects field errors. A method that returns `None` for an invalid value has
/// recorded an error for it.
#[derive(Debug, Default)]
struct Validator {
    errors: Vec<FieldError>,
}

impl Validator {
    fn settings(&mut self, raw: raw::Settings) -> Option<Settings> {
        self.reject_unknown("", &raw.unknown_fields, raw::Settings::FIELDS);
        self.require_role(&raw);
        let name = self.required("name", raw.name, ALLOWED_NAME, parse);
        let data_center = self.required("data_center", raw.data_center, ALLOWED_NAME, parse);
        let rack = self.required("rack", raw.rack, ALLOWED_NAME, parse);
        let region = self.required("region", raw.region, ALLOWED_NAME, parse);
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
            control: with_port(control?, port?),
            entry: transpose_section(entry)?,
            agent: transpose_section(agent)?,
            controller: transpose_section(controller)?,
            log: log?,
        })
    }

    fn entry(&mut self, raw: raw::Entry) -> Option<Entry> {
        self.reject_unknown("entry.", &raw.unknown_fields, raw::Entry::FIELDS);
        let http = self.required("entry.http", raw.http, ALLOWED_ADDRESS, parse);
        let dialect = self.dialect("entry.dialect", raw.dialect);
        let ready = self.optional("entry.ready", raw.ready, None, ALLOWED_ADDRESS, |v| {
            parse(v).map(Some)
        });
        let max_body = self.size("entry.max_body", raw.max_body, Bytes(1 << 20));
        let max_connections = self.count(
            "entry.max_connections",
            raw.max_connections,
            4096,
            CONNECTIONS_RANGE,
        );
        let header_timeout = self.time("entry.header_timeout", raw.header_timeout, 5_000);
        let body_timeout = self.time("entry.body_timeout", raw.body_timeout, 5_000);
        let default_deadline = self.time("entry.default_deadline", raw.default_deadline, 10_000);
        let config_wait = self.time("entry.config_wait", raw.config_wait, 500);
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
            config_wait: config_wait?,
            drain_timeout: drain_timeout?,
        })
    }

    fn agent(&mut self, raw: raw::Agent) -> Option<Agent> {
        self.reject_unknown("agent.", &raw.unknown_fields, raw::Agent::FIELDS);
        let http = self.required("agent.http", raw.http, ALLOWED_ADDRESS, parse);
        let peer = self.required("agent.peer", raw.peer, ALLOWED_ADDRESS, parse);
        let dialect = self.dialect("agent.dialect", raw.dialect);
        let max_slots = self.count("agent.max_slots", raw.max_slots, 8, SLOTS_RANGE);
        let max_connections = self.count(
            "agent.max_connections",
            raw.max_connections,
            64,
            CONNECTIONS_RANGE,
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
        self.reject_unknown("controller.", &raw.unknown_fields, raw::Controller::FIELDS);
        let http = self.required("controller.http", raw.http, ALLOWED_ADDRESS, parse);
        let peer = self.required("controller.peer", raw.peer, ALLOWED_ADDRESS, parse);
        let dialect = self.dialect("controller.dialect", raw.dialect);
        let data = self.required("controller.data", raw.data, ALLOWED_PATH, path);
        let found = self.optional(
            "controller.found",
            raw.found,
            false,
            ALLOWED_FLAG,
            Value::as_bool,
        );
        let allowed = format!("a whole number from 0 to {MAX_TOLERATED}");
        let tolerates = raw.tolerates.filter(|value| !value.is_null());
        let tolerates = self.optional("controller.tolerates", tolerates, None, &allowed, |v| {
            v.as_u64().filter(|n| *n <= MAX_TOLERATED).map(Some)
        });
        let allowed = "a list of names such as [\"east\", \"west\"]";
        let none = BTreeSet::new();
        let data_centers = self.optional(
            "controller.data_centers",
            raw.data_centers,
            none,
            allowed,
            |v| v.as_array()?.iter().map(parse).collect(),
        );
        Some(Controller {
            http: http?,
            peer: peer?,
            dialect: dialect?,
            data: data?,
            found: found?,
            tolerates: tolerates?,
            data_centers: data_centers?,
        })
    }

    fn log(&mut self, raw: raw::Log) -> Option<Log> {
        self.reject_unknown("log.", &raw.unknown_fields, raw::Log::FIELDS);
        let default = Log::default();
        let level = self.optional("log.level", raw.level, default.level, ALLOWED_LEVELS, level);
        let format = self.optional(
            "log.format",
            raw.format,
            default.format,
            ALLOWED_FORMATS,
            parse,
        );
        let sample = self.count("log.sample", raw.sample, default.sample, SAMPLE_RANGE);
        let file = self.optional("log.file", raw.file, default.file, ALLOWED_PATH, |v| {
            path(v).map(Some)
        });
        Some(Log {
            level: level?,
            format: format?,
            sample: sample?,
            file: file?,
        })
    }

    /// Checks rules that involve more than one field.
    fn cross_field_rules(&mut self, settings: &Settings) {
        for (field, address) in settings.duplicate_listen_addresses() {
            let value = Value::from(address.to_string());
            self.add_error(field, Some(value), "an address that no other field has");
        }
        if settings.control.is_empty() && settings.controller.is_none() {
            let allowed = "the peer addresses of 1 to 7 control instances";
            self.add_error("control", None, allowed);
        }
        let two_nodes = settings.entry.is_some() && settings.agent.is_some();
        if two_nodes && settings.name.as_str().len() > MAX_SHARED_NAME_BYTES {
            let allowed =
                format!("at most {MAX_SHARED_NAME_BYTES} bytes for an entry and an agent");
            let value = Value::from(settings.name.as_str());
            self.add_error("name", Some(value), &allowed);
        }
        if let Some(agent) = &settings.agent {
            if agent.max_connections < agent.max_slots {
                let allowed = format!("at least agent.max_slots, {}", agent.max_slots);
                let value = Value::from(agent.max_connections);
                self.add_error("agent.max_connections", Some(value), &allowed);
            }
        }
    }

    fn require_role(&mut self, raw: &raw::Settings) {
        if raw.entry.is_none() && raw.agent.is_none() && raw.controller.is_none() {
            let allowed = "at least one of the sections entry, agent and controller";
            self.add_error("role", None, allowed);
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
        self.optional(field, value, Dialect::default(), ALLOWED_DIALECTS, parse)
    }

    fn size(&mut self, field: &str, value: Option<Value>, default: Bytes) -> Option<Bytes> {
        let (min, max) = (
            Bytes(*BODY_BYTES_RANGE.start()),
            Bytes(*BODY_BYTES_RANGE.end()),
        );
        let allowed = format!("a size from {min} to {max} such as \"64KiB\"");
        let read =
            |value: &Value| parse(value).filter(|size: &Bytes| BODY_BYTES_RANGE.contains(&size.0));
        self.optional(field, value, default, &allowed, read)
    }

    fn time(&mut self, field: &str, value: Option<Value>, default_ms: u64) -> Option<Duration> {
        let min = humantime::format_duration(*TIMEOUT_RANGE.start());
        let max = humantime::format_duration(*TIMEOUT_RANGE.end());
        let allowed = format!("a duration from {min} to {max} such as \"500ms\" or \"2s\"");
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
            self.add_error(field, value, allowed);
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

    fn reject_unknown(&mut self, section: &str, unknown: &raw::UnknownFields, fields: &[&str]) {
        for (name, value) in unknown {
            let allowed = format!("only the fields {}", fields.join(", "));
            self.add_error(&format!("{section}{name}"), Some(value.clone()), &allowed);
        }
    }

    fn add_error(&mut self, field: &str, value: Option<Value>, allowed: &str) {
        self.errors.push(FieldError {
            field: field.to_owned(),
            value,
            allowed: allowed.to_owned(),
        });
    }
}

/// Separates an absent section, `Some(None)`, from an invalid one, `None`.
/// The outer option of `section` is none where the file lacks the section, the
/// inner one where the section has invalid values.
#[allow(clippy::option_option)]
fn transpose_section<T>(section: Option<Option<T>>) -> Option<Option<T>> {
    match section {
        None => Some(None),
        Some(None) => None,
        Some(section) => Some(section),
    }
}

/// Replaces the port of each address with `port`, if there is one.
fn with_port(addresses: Vec<SocketAddr>, port: Option<u16>) -> Vec<SocketAddr> {
    let replace = |address: SocketAddr| {
        let port = port.unwrap_or(address.port());
        SocketAddr::new(address.ip(), port)
    };
    addresses.into_iter().map(replace).collect()
}

fn parse<T: FromStr>(value: &Value) -> Option<T> {
    value.as_str()?.parse().ok()
}

fn duration(value: &Value) -> Option<Duration> {
    let duration = humantime::parse_duration(value.as_str()?).ok()?;
    TIMEOUT_RANGE.contains(&duration).then_some(duration)
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
