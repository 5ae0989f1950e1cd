#!/usr/bin/env bash
# Builds the stand-ins that the cases start. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
