//! What an entry's control side would cost at the size that is planned for:
//! what was read here, and slopes times what there is more of.
//!
//! The slopes are those of `docs/CAPACITY.md`, which names the run of each. They
//! hold for straight lines; the page says where a line is known to bend.

use serde::Serialize;

use crate::control::reading::Cost;

/// What the cost of one entry goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Entries of the fleet.
    pub entries: f64,
    /// Endpoints of the fleet.
    pub endpoints: f64,
    /// Probes a second that the most loaded home sends.
    pub probes: f64,
    /// Requests a second that callers bring to this entry.
    pub requests: f64,
    /// Workspaces in force.
    pub workspaces: f64,
}

/// The size that is planned for: 14,000 requests a second over 400 entries.
pub const TARGET: Size = Size {
    entries: 400.0,
    endpoints: 5_600.0,
    probes: 204.0,
    requests: 35.0,
    workspaces: 25_000.0,
};

/// What each unit of a size adds.
struct Slopes {
    /// Microseconds of processor time a second.
    cpu_us: Size,
    /// Bytes sent a second.
    bytes: Size,
    /// KiB of memory.
    memory_kb: Size,
}

/// Measured; see the page.
const SLOPES: Slopes = Slopes {
    cpu_us: Size {
        entries: 5.1,
        endpoints: 0.4,
        probes: 113.0,
        requests: 123.0,
        workspaces: 0.0,
    },
    bytes: Size {
        entries: 0.0,
        endpoints: 0.0,
        probes: 14.0,
        requests: 252.0,
        workspaces: 0.0,
    },
    memory_kb: Size {
        entries: 0.9,
        endpoints: 0.5,
        probes: 0.0,
        requests: 25.5,
        workspaces: 1.6,
    },
};

/// What control may cost an entry at the target.
pub const BUDGET: Budget = Budget {
    budget_core_share: 0.017,
    budget_rss_mb: 64.0,
    budget_bytes_per_s: 11_000.0,
};

/// Upper bounds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Budget {
    /// Share of a core.
    pub budget_core_share: f64,
    /// Memory in MB.
    pub budget_rss_mb: f64,
    /// Bytes sent a second.
    pub budget_bytes_per_s: f64,
}

impl Budget {
    /// Whether a cost is within all bounds.
    pub fn holds(&self, cost: &Cost) -> bool {
        cost.core_share <= self.budget_core_share
            && cost.rss_mb <= self.budget_rss_mb
            && cost.bytes_per_s <= self.budget_bytes_per_s
    }
}

/// The cost at the target of an entry that costs this at a size.
pub fn extrapolate(cost: &Cost, here: &Size) -> Cost {
    let more = |slope: &Size| {
        slope.entries * (TARGET.entries - here.entries)
            + slope.endpoints * (TARGET.endpoints - here.endpoints)
            + slope.probes * (TARGET.probes - here.probes)
            + slope.requests * (TARGET.requests - here.requests)
            + slope.workspaces * (TARGET.workspaces - here.workspaces)
    };
    Cost {
        core_share: cost.core_share + more(&SLOPES.cpu_us) / 1e6,
        rss_mb: cost.rss_mb + more(&SLOPES.memory_kb) * 1_024.0 / 1e6,
        bytes_per_s: cost.bytes_per_s + more(&SLOPES.bytes),
        ..*cost
    }
}
