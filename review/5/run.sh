#!/bin/bash
# Loses three of the five machines of a zone, then changes the configuration. TROUBLE=0: loses none.
set -u
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/harness && -x target/release/pollenrouter ]] || exit 2
exec timeout -k 5 115 target/review/harness zone-loss review/5/record.txt
