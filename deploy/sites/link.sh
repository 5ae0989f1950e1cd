#!/bin/sh
# Links what the bench wants beside a site file from the kit's own site: `deploy/sites/link.sh ../given/kit/more/node/sites`.
set -eu
from=${1:?the folder of the kit that holds real.json, wire.json and unlock.txt}
from=$(cd "$from" && pwd)
cd "$(dirname "$0")"
for file in real.json wire.json unlock.txt; do
    [ -e "$from/$file" ] || { echo "$from holds no $file" >&2; exit 1; }
    ln -sfn "$from/$file" "$file"
done
