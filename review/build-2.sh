#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They use the standard library alone; no network is needed.
set -eu
cd "$(dirname "$0")/standins-2"
exec cargo build --release --locked --offline --target-dir ../../target/review-2
