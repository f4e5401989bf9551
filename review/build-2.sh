#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig2 ./review/rig2
