//! At most once: job claims, the agent's gate, tombstones.
