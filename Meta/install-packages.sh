#!/usr/bin/env bash
# Installs the Debian packages that building, checking and testing need.
set -euo pipefail
packages=(
    ccache clang-format clang-tidy cmake curl g++ git make ninja-build
    libboost-dev libcivetweb-dev libdocopt-dev libexpected-dev libfmt-dev libgmock-dev libgtest-dev
    libmsgpack-cxx-dev libnghttp2-dev librapidcheck-dev libssl-dev libtomlplusplus-dev libxxhash-dev
    nlohmann-json3-dev python3 zlib1g-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}"
