//! Tests of tokens in cookies. The integration tests cover tokens in a header.
use super::*;
use coppersail_session_affinity::token::SigningKeys;

const NOW: Ms = 1_000_000;

fn cookie_tokens() -> SessionTokens {
    let settings = r#"{"cookie":"table","keys":["unused.key"],"services":["plain"],"life":"60s",
        "sites":{"1":{"1":"10.0.0.1:70","2":"10.0.0.2:70"}},"routes":[{"domain":"a.example","pathStart":"/"}]}"#;
    let settings = SessionSettings::from_json(settings).unwrap();
    SessionTokens::new(&settings, SigningKeys::new(vec![vec![7; 32]]).unwrap())
}

#[test]
fn a_token_set_as_a_cookie_is_found_among_other_cookies() {
    let tokens = cookie_tokens();
    let issued = tokens.issue(NOW, 1, 1);
    let mut response = Response::new(());
    tokens.attach(&mut response, &issued);
    let set_cookie = response.headers()[SET_COOKIE].to_str().unwrap();
    let (cookie, attributes) = set_cookie.split_once("; ").unwrap();
    assert_eq!(attributes, "Path=/; HttpOnly; SameSite=Lax");
    let mut headers = HeaderMap::new();
    headers.append(COOKIE, HeaderValue::from_static("other=1; tables=2"));
    headers.append(COOKIE, HeaderValue::from_str(&format!("more=3;{cookie}")).unwrap());
    let valid = tokens.verify(tokens.find(&headers).unwrap(), NOW).unwrap();
    assert_eq!((valid.token, valid.signed_by_first_key), (issued, true));
}

#[test]
fn a_token_is_renewed_after_half_of_its_lifetime() {
    let tokens = cookie_tokens();
    let token = tokens.issue(NOW, 1, 1);
    let renewed_at = |now| tokens.needs_renewal(&ValidToken { token, signed_by_first_key: true }, now);
    assert!(!renewed_at(NOW + 29_999) && renewed_at(NOW + 30_000));
}

#[test]
fn requests_of_the_same_millisecond_get_distinct_sessions() {
    let tokens = cookie_tokens();
    assert_ne!(tokens.issue(NOW, 1, 1).id, tokens.issue(NOW, 2, 1).id);
}
