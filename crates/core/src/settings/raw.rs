//! The unvalidated contents of a settings file.
//!
//! Fields accept any JSON value and unknown fields are collected, so that
//! validation can report all errors of a file at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// Unknown fields of a section, by name.
pub(super) type UnknownFields = BTreeMap<String, Value>;

macro_rules! section {
    ($(#[$doc:meta])* $type:ident { $($field:ident: $kind:ty,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Default, Deserialize)]
        #[serde(default)]
        pub(super) struct $type {
            $(pub(super) $field: Option<$kind>,)*
            #[serde(flatten)]
            pub(super) unknown_fields: UnknownFields,
        }

        impl $type {
            /// Names of the fields that the section may have.
            pub(super) const FIELDS: &'static [&'static str] = &[$(stringify!($field)),*];
        }
    };
}

section! {
    /// The top level of the file.
    Settings {
        name: Value,
        data_center: Value,
        rack: Value,
        region: Value,
        control: Value,
        control_port: Value,
        entry: Entry,
        agent: Agent,
        controller: Controller,
        log: Log,
    }
}

section! {
    /// The section `entry`.
    Entry {
        http: Value,
        dialect: Value,
        ready: Value,
        max_body: Value,
        max_connections: Value,
        header_timeout: Value,
        body_timeout: Value,
        default_deadline: Value,
        config_wait: Value,
        drain_timeout: Value,
    }
}

section! {
    /// The section `agent`.
    Agent {
        http: Value,
        peer: Value,
        dialect: Value,
        max_slots: Value,
        max_connections: Value,
        drain_timeout: Value,
    }
}

section! {
    /// The section `controller`.
    Controller {
        http: Value,
        peer: Value,
        dialect: Value,
        data: Value,
        found: Value,
        tolerates: Value,
        data_centers: Value,
    }
}

section! {
    /// The section `log`.
    Log {
        level: Value,
        format: Value,
        sample: Value,
        file: Value,
    }
}
