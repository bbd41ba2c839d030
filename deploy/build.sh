#!/bin/sh
# Builds what the platform runs: libraries and the workspace in target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.installed" ] || [ constraints.txt -nt "$deps/.installed" ] ||
    [ deploy/requirements.txt -nt "$deps/.installed" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -c constraints.txt \
        -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/jackdawlatch"
mkdir -p "$deps/jackdawlatch"
for source in libs/*/src/jackdawlatch platform/src/jackdawlatch; do
    cp -R "$source/." "$deps/jackdawlatch/"
done
