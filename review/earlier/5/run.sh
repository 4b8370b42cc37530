#!/bin/bash
# Three of five machines of a zone are lost for good. TROUBLE=0 leaves that out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 100 target/review/harness lost-watchers review/5/record.txt
