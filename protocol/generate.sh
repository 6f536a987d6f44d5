#!/usr/bin/env bash
# Regenerates the committed Java sources from peer.proto. The build itself does not need this.
set -euo pipefail
cd "$(dirname "$0")"
repository=$(mvn -q -B help:evaluate -Dexpression=settings.localRepository -DforceStdout | sed 's/\x1b\[[0-9;]*m//g')
protoc_version=4.33.4
plugin_version=1.82.2
mvn -q -B dependency:get -Dartifact="com.google.protobuf:protoc:$protoc_version:exe:linux-x86_64"
mvn -q -B dependency:get -Dartifact="io.grpc:protoc-gen-grpc-java:$plugin_version:exe:linux-x86_64"
protoc="$repository/com/google/protobuf/protoc/$protoc_version/protoc-$protoc_version-linux-x86_64.exe"
plugin="$repository/io/grpc/protoc-gen-grpc-java/$plugin_version/protoc-gen-grpc-java-$plugin_version-linux-x86_64.exe"
chmod +x "$protoc" "$plugin"
rm -rf src/main/java
mkdir -p src/main/java
"$protoc" --plugin=protoc-gen-grpc-java="$plugin" --proto_path=src/main/proto \
  --java_out=src/main/java --grpc-java_out='@generated=omit:src/main/java' src/main/proto/peer.proto
