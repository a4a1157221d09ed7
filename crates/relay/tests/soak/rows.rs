//! Rows of endpoints that can't be used.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use woodgap_core::relay::roster::Endpoint;

/// The length of a value that is too long, in bytes.
const HUGE: usize = 200_000;

/// A row that can't be used, made from a sound one; where many are written, none of them
/// is long.
pub fn broken(sound: &Endpoint, is_one_of_many: bool, random: &mut ChaCha8Rng) -> Value {
    let mut row = serde_json::to_value(sound).expect("an endpoint is JSON");
    let fields = [
        "name",
        "service",
        "address",
        "data_centre",
        "slots",
        "leaving",
    ];
    let field = *fields.choose(random).expect("there are fields");
    let kinds = if is_one_of_many { 0..8 } else { 0..9 };
    match random.random_range(kinds) {
        0 => return json!(random.random::<u32>()),
        1 => return json!("\u{0}\u{fffd}{\"name\":"),
        2 => return json!([row]),
        3 => return json!({}),
        4 => drop(row.as_object_mut().map(|row| row.remove(field))),
        5 => row[field] = json!({"of": "another type"}),
        6 => row["address"] = json!("127.0.0.1:0"),
        7 => row["started_unix"] = json!("today"),
        _ => row["service"] = json!("s".repeat(HUGE)),
    }
    row
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;
    use rand_chacha::ChaCha8Rng;
    use woodgap_core::clock::Millis;
    use woodgap_core::name;
    use woodgap_core::relay::roster::Endpoint;
    use woodgap_relay::source::row::{Content, Row};

    use super::broken;

    #[test]
    fn none_can_be_used() {
        let sound = Endpoint {
            life: name::Life::from(name::Endpoint::from("e")),
            service: "all".to_owned(),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: name::DataCentre::from("dub-a"),
            slots: 8,
            leaving: false,
            reclaimable: false,
            cold_for: Millis::ZERO,
            version: String::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(1);
        for _ in 0..300 {
            let value = broken(&sound, false, &mut random);
            let bytes = value.to_string().into_bytes();
            let row = Row::<Endpoint>::decode("e", 1, Ok(bytes), |it| it);
            assert!(matches!(row.content, Content::Unusable(_)), "{value}");
        }
    }
}
