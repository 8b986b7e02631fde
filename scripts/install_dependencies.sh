#!/usr/bin/env bash
# Installs the compilers and libraries that the build and the tests need (Debian packages).
set -euo pipefail
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
    g++ cmake ninja-build clang-format clang-tidy python3 git \
    libace-dev libcapnp-dev capnproto libboost1.81-dev libboost-json1.81-dev libssl-dev \
    libcxxopts-dev libeasyloggingpp-dev libcpputest-dev librapidcheck-dev libxxhash-dev \
    libtomlplusplus-dev >/dev/null
