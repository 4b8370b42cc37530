//! Values are encoded as changes of earlier versions, and decoded whole or not at all.

use pollenrouter_core::delta;
use rstest::rstest;

struct Case {
    base_routes: usize,
    routes: usize,
    /// Size of the encoding, percent of the value.
    percent_max: usize,
}

const WHOLE: Case = Case {
    base_routes: 0,
    routes: 1_400,
    percent_max: 50,
};
const GROWN: Case = Case {
    base_routes: 1_400,
    routes: 2_800,
    percent_max: 25,
};
const EQUAL: Case = Case {
    base_routes: 10_000,
    routes: 10_000,
    percent_max: 1,
};

fn table(routes: usize) -> String {
    let route = |n: usize| {
        let name = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        format!(
            "\"{name:x}\":{{\"host\":\"a.example\",\"pathPrefix\":\"/{name:x}/\",\"kind\":\"safe\"}}"
        )
    };
    (0..routes).map(route).collect::<Vec<_>>().join(",")
}

#[rstest]
#[case::whole(WHOLE)]
#[case::grown(GROWN)]
#[case::equal(EQUAL)]
fn a_change_is_shorter_than_the_value(#[case] case: Case) {
    let (base, value) = (table(case.base_routes), table(case.routes));
    let encoded = delta::encode(&base, &value).expect("value must be encoded");
    let (bytes, hash) = (value.len() as u64, delta::hash(value.as_bytes()));
    let decoded = delta::decode(&base, &encoded, bytes, hash);
    assert_eq!(decoded.expect("value must be decoded"), value);
    let percent = 100 * encoded.len() / value.len();
    println!("{} of {} bytes", encoded.len(), value.len());
    assert!(percent <= case.percent_max, "{percent} percent");
}

/// Guards against a table in force that is cut short, or made up from another earlier version.
#[test]
fn a_value_that_differs_from_the_announced_one_is_rejected() {
    let (base, value) = (table(100), table(200));
    let encoded = delta::encode(&base, &value).expect("value must be encoded");
    let (bytes, hash) = (value.len() as u64, delta::hash(value.as_bytes()));
    let is_rejected = |base: &str, encoded: &[u8], bytes, hash| {
        delta::decode(base, encoded, bytes, hash).is_err()
    };
    assert!(is_rejected("", &encoded, bytes, hash), "other base");
    assert!(is_rejected(&table(99), &encoded, bytes, hash), "other base");
    assert!(
        is_rejected(&base, &encoded[..encoded.len() / 2], bytes, hash),
        "truncated"
    );
    assert!(is_rejected(&base, &encoded, bytes - 1, hash), "shorter");
    assert!(is_rejected(&base, &encoded, bytes + 1, hash), "longer");
    assert!(is_rejected(&base, &encoded, u64::MAX, hash), "too long");
    assert!(is_rejected(&base, &encoded, bytes, hash + 1), "other hash");
}
