//! Parsing of request headers, with valid and arbitrary values.

use http::HeaderName;
use http::HeaderValue;
use http::Request;
use papayatrayd::gateway::Dialect;
use papayatrayd::gateway::HeaderDialect;
use papayatrayd::gateway::RequestedModel;
use proptest::prop_assert_eq;
use proptest::proptest;

fn request_head(pairs: &[(&'static str, &str)]) -> http::request::Parts {
    let mut request = Request::new(());
    for (name, value) in pairs {
        let name = HeaderName::from_static(name);
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        request.headers_mut().append(name, value);
    }
    request.into_parts().0
}

#[test]
fn prompt_parts_split_into_shared_prefix_and_last_part() {
    // The header lists all parts of the prompt as `digest:tokens`; the digest of the last part but
    // one identifies the shared prefix.
    let head = request_head(&[
        ("papayatray-request", "r-1"),
        (
            "papayatray-prefix",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        ),
        ("papayatray-model", "*"),
    ]);
    let metadata = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!(metadata.shared_and_unique_tokens(), (1_210, 250));
    assert_eq!(metadata.shared_prefix_digest(), Some(0x91bd_3f06));
    assert_eq!(metadata.model, RequestedModel::Any);
}

#[test]
fn single_prompt_part_has_no_shared_prefix() {
    let head = request_head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-prefix", "e4402b7d:250"),
    ]);
    let metadata = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!(
        (
            metadata.shared_and_unique_tokens(),
            metadata.shared_prefix_digest()
        ),
        ((0, 250), None)
    );
}

#[test]
fn request_without_id_or_with_malformed_deadline_is_rejected() {
    let dialect = HeaderDialect::default();
    assert!(dialect.request_metadata(&request_head(&[])).is_err());
    let malformed = request_head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-deadline-ms", "soon"),
    ]);
    assert!(dialect.request_metadata(&malformed).is_err());
}

#[test]
fn token_counts_saturate() {
    let head = request_head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-prefix", "1:4000000000,2:4000000000,3:1"),
    ]);
    let metadata = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!(metadata.shared_and_unique_tokens(), (u32::MAX, 1));
}

proptest! {
    #[test]
    fn arbitrary_header_values_neither_panic_nor_change_the_id(
        prefix in "[ -~]{0,60}",
        deadline in "[ -~]{0,20}",
        key in "[ -~]{0,40}",
    ) {
        let head = request_head(&[
            ("papayatray-request", "r-1"),
            ("papayatray-prefix", &prefix),
            ("papayatray-deadline-ms", &deadline),
            ("authorization", &key),
        ]);
        if let Ok(metadata) = HeaderDialect::default().request_metadata(&head) {
            prop_assert_eq!(metadata.id, "r-1");
        }
    }
}
