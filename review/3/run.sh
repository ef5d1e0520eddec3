#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
exec timeout -k 5 118 review/bin/case3 "$case"
