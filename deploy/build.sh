#!/bin/sh
# Puts pinned libraries and our packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
stamp=target/.installed
if [ ! "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --require-hashes --target target/deps \
        -r deploy/requirements.txt
    touch "$stamp"
fi
for package in core daemon; do
    rm -rf "target/deps/almondgap_$package"
    cp -r "packages/almondgap-$package/almondgap_$package" target/deps/
done
python3 -m compileall -q target/deps || echo "some files were not compiled"
