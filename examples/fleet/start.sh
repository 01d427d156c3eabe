#!/usr/bin/env bash
# Starts a cluster of three nodes. Run it in the project's root after `cargo build --release`; Ctrl-C stops the nodes.
# Their configuration, with the address of discovery, is examples/config.json.
set -euo pipefail
mkdir -p target/fleet
for n in 1 2 3; do
  RELAY_CONFIG=examples/config.json RELAY_NAME=node-$n RELAY_LISTEN=127.0.0.1:808$n RELAY_MGMT=127.0.0.1:909$n \
    target/release/postproxy serve --operator examples/fleet/node-$n.operator.json &
done
sleep 2
target/release/postproxy fleet members --mgmt 127.0.0.1:9091 || true
wait
