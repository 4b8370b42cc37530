#!/bin/bash
# Sends 24 large bodies at once. TROUBLE=0: sends 14.
set -u
cd "$(dirname "$0")/../.."
exec timeout -k 5 100 target/review/harness bodies review/4/record.txt
