//! A malformed answer is an error; a well-formed one of any framing is read whole.
use super::*;
use coppersail_response_samples::{
    ending_with_connection, malformed, well_formed as well_formed_samples, RawResponse,
};
use std::io::{Read, Write};
use std::net::TcpListener;

const BODY: &str = "abcdefghijklmnopqrstuvwxyz";

/// Asks a part of the gateway that answers with these bytes, and reads the body.
fn ask(response: &RawResponse) -> Result<String, CommandError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = response.to_bytes("");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            received.push(byte[0]);
        }
        let _ = stream.write_all(&bytes);
    });
    let agent: Agent = config().build().into();
    let target = address.to_string();
    let result = agent.get(format!("http://{target}/")).call();
    let mut response = well_formed(&Method::GET, &target, result)?;
    response.body_mut().read_to_string().map_err(|source| CommandError::unreachable(&target, source))
}

#[test]
fn a_malformed_answer_is_an_error() {
    let responses = [malformed(BODY), ending_with_connection(BODY)].concat();
    let accepted = responses.iter().filter(|response| ask(response).is_ok());
    let accepted: Vec<String> = accepted.map(RawResponse::to_string).collect();
    assert!(accepted.is_empty(), "{} accepted:\n{}", accepted.len(), accepted.join("\n"));
}

#[test]
fn a_well_formed_answer_is_read_whole() {
    for response in well_formed_samples(BODY) {
        assert_eq!(ask(&response).expect("an answer"), BODY, "{response}");
    }
}
