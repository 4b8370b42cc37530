#!/bin/bash
# The store is down while a daemon is started again. TROUBLE=0 leaves the store up.
set -u
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/harness && -x target/release/pollenrouter ]] || exit 2
exec timeout -k 5 100 target/review/harness forgotten-departure review/1/record.txt
