#!/usr/bin/env bash
# Builds the daemon of a commit in a scratch directory, for a soak run beside the present build, and prints its path:
# CUMINWARD_OLD=$(cuminward-soak/build-old.sh COMMIT DIRECTORY)
set -euo pipefail
commit=${1:?commit}
directory=${2:?scratch directory}
repository=$(cd "$(dirname "$0")/.." && pwd)
git clone --quiet --shared --no-checkout "$repository" "$directory" >&2
cd "$directory"
git checkout --quiet --detach "$commit" >&2
cargo build --release --locked --bin cuminward >&2
echo "$directory/target/release/cuminward"
