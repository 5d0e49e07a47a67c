#!/usr/bin/env bash
# Makes the Generated folders of Libraries/Wire and Libraries/FleetWire anew from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/../Libraries/Wire"
mkdir -p Generated
protoc --cpp_out=Generated --grpc_out=Generated \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
cd ../FleetWire
mkdir -p Generated
protoc --cpp_out=Generated ./*.proto
