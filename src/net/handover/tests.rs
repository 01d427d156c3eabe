//! Pins the file name of the handover socket: the processes of a node may run different versions of
//! the program.

use super::socket::socket_path;
use std::path::Path;

#[test]
fn handover_socket_has_a_fixed_file_name() {
    let name = |node: &str| {
        socket_path(Path::new("/run/postproxy"), node)
            .display()
            .to_string()
    };
    assert_eq!(
        name("node-1_a"),
        "/run/postproxy/postproxy-node-1_a.handover"
    );
    assert_eq!(name("a b/c.d:e"), "/run/postproxy/postproxy-abcde.handover");
    assert_eq!(
        name(&"x".repeat(41)),
        format!("/run/postproxy/postproxy-{}.handover", "x".repeat(40))
    );
    assert_eq!(name(""), "/run/postproxy/postproxy-.handover");
}
