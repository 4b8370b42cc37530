#!/bin/bash
# Starts a small deployment and plays the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/harness bodies review/4/record.txt
