# Targets for developers and CI. Tool versions are pinned in tools/go.mod and LINTER.
LINTER   := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
TOOLS    := $(CURDIR)/.bin
PACKAGES := ./cmd/... ./internal/... ./platform/... ./test/...
MODULE   := github.com/magnoliastep/magnoliastep
# Tests listed in KNOWN-RED.txt are skipped; .ci/run prints the list.
KNOWN_RED := $(shell sed -n 's/^test: [^ ]* //p' KNOWN-RED.txt | paste -sd '|' -)

# Programs do not depend on the folder in which they are built, so that tests have the same result in every clone.
export GOFLAGS := $(GOFLAGS) -trimpath

.PHONY: build demo test generate format lint tools

build:
	go build -o bin/ ./cmd/...

demo: build
	./test/demo.sh

test:
	go test -race $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(PACKAGES)

tools: $(TOOLS)/buf $(TOOLS)/golangci-lint

$(TOOLS)/buf:
	cd tools && GOBIN=$(TOOLS) go install github.com/bufbuild/buf/cmd/buf \
		google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go mvdan.cc/gofumpt

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) go install $(LINTER)

generate: tools
	PATH="$(TOOLS):$$PATH" buf generate

format: tools
	$(TOOLS)/golangci-lint fmt ./...

lint: tools
	$(TOOLS)/golangci-lint run ./...
