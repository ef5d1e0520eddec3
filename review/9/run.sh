#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standins-2/run-case" "$here" crashingrequest roll
