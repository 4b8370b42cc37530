#!/bin/bash
# Sends a request that crashes backends. TROUBLE=0: it crashes none. SOUND=0 leaves out the requests
# of another caller with the same path.
set -u
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/harness && -x target/release/pollenrouter ]] || exit 2
exec timeout -k 5 100 target/review/harness crashes review/2/record.txt
