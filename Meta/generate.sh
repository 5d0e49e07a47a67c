#!/usr/bin/env bash
# Makes Libraries/Wire/Generated anew from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/Wire"
mkdir -p Generated
protoc --cpp_out=Generated --grpc_out=Generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
