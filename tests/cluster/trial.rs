//! The command `postproxy try --fleet`.

#[test]
fn trial_of_a_cluster_shows_each_step() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .args(["try", "--fleet", "3"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // Connections of other programs from this address may use a node's port before the node binds
    // it.
    assert!(!text.contains(" 127.0.0.1:"), "{text}");
    for step in [
        "yes, at 3 of 3 nodes",
        "cut off with a majority",
        "node-1 saw it as failed at the end of the pause",
        "node-2 has left",
        "served",
    ] {
        assert!(text.contains(step), "{step}: {text}");
    }
}
