#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the build and the checks need.
set -euo pipefail
packages=(
    g++ python3 cmake ninja-build ccache clang-format clang-tidy git pkg-config curl
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-url1.81-dev
    libboost-thread1.81-dev libgrpc++-dev libprotobuf-dev protobuf-compiler
    protobuf-compiler-grpc libcli11-dev libexpected-dev libtomlplusplus-dev libxxhash-dev
    libssl-dev libcpputest-dev librapidcheck-dev spin
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
