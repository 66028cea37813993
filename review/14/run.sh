#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bergamotpin ] && [ -x target/review-3/stand3 ] || exit 2
exec target/review-3/stand3 longlines review/14
