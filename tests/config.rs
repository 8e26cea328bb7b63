//! Guards a node against starting with a settings file that names nothing or the wrong thing.

use std::path::Path;

use redwinggrade::process::config::Config;
use rstest::rstest;

const GOOD: &str = "\
name: node-1
data_centre: dc1
cell: dc1-0
caller: 127.0.0.1:8080
peer: 127.0.0.1:8081
admin: 127.0.0.1:8082
store: [127.0.0.1:2379]
members: 127.0.0.1:2380
";

#[test]
fn a_good_file_is_read() {
    let config = Config::parse(GOOD, Path::new("node.yaml")).expect("the file is good");
    assert_eq!(config.name, "node-1");
    assert_eq!(config.store.len(), 1);
}

#[rstest]
#[case::unknown_key("cell: dc1-0", "cell: dc1-0\ncolour: red", "line 4 ")]
#[case::missing_key("name: node-1\n", "", "name")]
#[case::bad_address("127.0.0.1:8081", "somewhere", "line 5")]
#[case::bad_name("name: node-1", "name: 'node 1'", "name: must be")]
#[case::no_store("store: [127.0.0.1:2379]", "store: []", "store: needs")]
#[case::unspecified("caller: 127.0.0.1", "caller: 0.0.0.0", "caller: must be")]
fn a_fault_is_reported_with_its_place(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = GOOD.replacen(from, to, 1);
    let error = Config::parse(&text, Path::new("node.yaml")).expect_err("the file has a fault");
    let message = error.to_string();
    assert!(message.starts_with("node.yaml: "), "{message}");
    assert!(message.contains(expected), "{message}");
}
