#!/usr/bin/env bash
# Generates the TypeScript of the messages between hosts; needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
out=packages/peer/src/generated
mkdir -p "$out"
protoc \
  --plugin=protoc-gen-ts_proto=node_modules/.bin/protoc-gen-ts_proto \
  --ts_proto_out="$out" \
  --ts_proto_opt=env=node,esModuleInterop=true,outputServices=grpc-js,oneof=unions,forceLong=number \
  --ts_proto_opt=outputJsonMethods=false,outputPartialMethods=false,useReadonlyTypes=true \
  --ts_proto_opt=importSuffix=.ts \
  -I packages/peer/proto packages/peer/proto/*.proto
