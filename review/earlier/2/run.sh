#!/bin/bash
# Freezes one daemon while requests run at its backend. TROUBLE=0 leaves the freeze out.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 100 target/review/harness attempts review/2/record.txt
