//! What the fleet is configured with: two workspaces with the same classes.

use serde_json::{Value, json};

/// The key of the workspace `murphy`.
pub const MURPHY: &str = "murphy-key";
/// The key of the workspace `kelly`.
pub const KELLY: &str = "kelly-key";
/// The operator's key.
pub const OPERATOR: &str = "operator-key";
/// The model that the engine holds.
pub const MODEL: &str = "story-7b";
/// The plain service.
pub const SERVICE: &str = "posting";
/// Authenticates messages between entries.
pub const FLEET_KEY: &str = "5eb8a1c0d2f34796a8b0c1d2e3f405162738495a6b7c8d9e0f1a2b3c4d5e6f70";

/// SHA-256 of each key, in hexadecimal.
const MURPHY_SHA256: &str = "23b146464a01b16a7d54959bfdd95851ff047ad655e3e3a6be311782f0cf394b";
const KELLY_SHA256: &str = "a962982f4f4c11b7d8f870ec9f49048ce4dd239d192575839a867bfcb3ff96c4";
const OPERATOR_SHA256: &str = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

/// The settings of an entry; ports are chosen by the system.
pub fn settings(name: &str, data_centre: &str, platform: &str) -> Value {
    json!({
        "name": name,
        "data_centre": data_centre,
        "listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": {"url": platform, "timeout_ms": 1_000, "poll_ms": 50},
        "fleet_key": FLEET_KEY,
        "operators": [{"name": "orla", "key_sha256": OPERATOR_SHA256}],
        "log_level": "warn",
    })
}

/// The documents, in the order in which they can be applied.
///
/// `caption` may be repeated; `narration` (the model) and `flux` (the service) may not.
pub fn all() -> [Value; 3] {
    let class = |target: &str, repeatable: bool| json!({"targets": [target], "target_ms": 60_000, "repeatable": repeatable});
    let template = json!({
        "kind": "template",
        "name": "family",
        "tier": 2,
        "classes": {
            "caption": class(MODEL, true),
            "narration": class(MODEL, false),
            "look-up": class(SERVICE, true),
            "flux": class(SERVICE, false),
        },
    });
    let workspace = |name: &str, key: &str| json!({"kind": "workspace", "name": name, "template": "family", "keys": [key]});
    [
        template,
        workspace("murphy", MURPHY_SHA256),
        workspace("kelly", KELLY_SHA256),
    ]
}
