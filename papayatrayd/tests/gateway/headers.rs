//! Headers as the gateway reads them, whatever is sent.

use http::HeaderName;
use http::HeaderValue;
use http::Request;
use papayatrayd::gateway::Dialect;
use papayatrayd::gateway::HeaderDialect;
use papayatrayd::gateway::RequestedModel;
use proptest::prop_assert_eq;
use proptest::proptest;

fn head(pairs: &[(&'static str, &str)]) -> http::request::Parts {
    let mut request = Request::new(());
    for (name, value) in pairs {
        let name = HeaderName::from_static(name);
        let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
        request.headers_mut().append(name, value);
    }
    request.into_parts().0
}

#[test]
fn prompt_is_read_as_shared_beginning_and_own_part() {
    let head = head(&[
        ("papayatray-request", "r-1"),
        (
            "papayatray-prefix",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
        ),
        ("papayatray-model", "*"),
    ]);
    let asked = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!(asked.tokens(), (1_210, 250));
    assert_eq!(asked.shared_prefix(), Some(0x91bd_3f06));
    assert_eq!(asked.model, RequestedModel::Any);
}

#[test]
fn prompt_without_a_shared_beginning_has_none() {
    let head = head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-prefix", "e4402b7d:250"),
    ]);
    let asked = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!((asked.tokens(), asked.shared_prefix()), ((0, 250), None));
}

#[test]
fn request_without_an_id_or_with_an_unreadable_deadline_is_refused() {
    let dialect = HeaderDialect::default();
    assert!(dialect.request_metadata(&head(&[])).is_err());
    let odd = head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-deadline-ms", "soon"),
    ]);
    assert!(dialect.request_metadata(&odd).is_err());
}

#[test]
fn prompt_of_absurd_length_is_no_fault() {
    let head = head(&[
        ("papayatray-request", "r-1"),
        ("papayatray-prefix", "1:4000000000,2:4000000000,3:1"),
    ]);
    let asked = HeaderDialect::default().request_metadata(&head).unwrap();
    assert_eq!(asked.tokens(), (u32::MAX, 1));
}

proptest! {
    #[test]
    fn any_header_values_are_read_or_refused(
        prefix in "[ -~]{0,60}",
        deadline in "[ -~]{0,20}",
        key in "[ -~]{0,40}",
    ) {
        let head = head(&[
            ("papayatray-request", "r-1"),
            ("papayatray-prefix", &prefix),
            ("papayatray-deadline-ms", &deadline),
            ("authorization", &key),
        ]);
        if let Ok(asked) = HeaderDialect::default().request_metadata(&head) {
            prop_assert_eq!(asked.id, "r-1");
        }
    }
}
