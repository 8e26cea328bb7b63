//! Tests that a node reads a valid settings file and rejects an invalid one with the place of the error.

use std::path::Path;

use redwinggrade::process::config::Config;
use rstest::rstest;

const VALID: &str = "\
name: node-1
data_centre: dc1
cell: dc1-0
caller: 127.0.0.1:8080
peer: 127.0.0.1:8081
admin: 127.0.0.1:8082
store: [127.0.0.1:2379]
members: 127.0.0.1:2380
";

/// Guards against a node that refuses to start with a valid settings file.
#[test]
fn reads_valid_file() {
    let config =
        Config::parse(VALID, Path::new("node.yaml")).expect("a valid settings file was rejected");
    assert_eq!(config.name, "node-1");
    assert_eq!(config.store.len(), 1);
}

/// Guards against a node that starts with a wrong setting, and against errors that do not say where it is.
#[rstest]
#[case::unknown_key("cell: dc1-0", "cell: dc1-0\ncolour: red", "line 4 ")]
#[case::missing_key("name: node-1\n", "", "name")]
#[case::bad_address("127.0.0.1:8081", "somewhere", "line 5")]
#[case::bad_name("name: node-1", "name: 'node 1'", "name: must be")]
#[case::no_store("store: [127.0.0.1:2379]", "store: []", "store: needs")]
#[case::little_memory("cell: dc1-0", "cell: dc1-0\nmemory_mb: 63", "memory_mb: must be")]
#[case::unspecified("caller: 127.0.0.1", "caller: 0.0.0.0", "caller: must be")]
fn reports_invalid_value_with_its_place(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = VALID.replacen(from, to, 1);
    let error = Config::parse(&text, Path::new("node.yaml"))
        .expect_err("an invalid settings file was accepted");
    let message = error.to_string();
    assert!(
        message.starts_with("node.yaml: "),
        "no file name: {message}"
    );
    assert!(message.contains(expected), "no {expected:?}: {message}");
}
