#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the deployed program:
# the stand-ins in review/world_3.py, which need the standard library alone.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps || {
  echo 'target/deps is missing: run the build line of deploy/system.toml first'
  exit 1
}
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for one in world_3.py 1[1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$one"
done
echo 'the stand-ins are ready'
