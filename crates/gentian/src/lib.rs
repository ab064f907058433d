//! Re-exports the coordination libraries of gentiancove for programs that embed them.

pub use gentian_claim as claim;
pub use gentian_config as config;
pub use gentian_limit as limit;
pub use gentian_member as member;
pub use gentian_quorum as quorum;
pub use gentian_route as route;
pub use gentian_wire as wire;
