# The commands that the README names. Every tool is declared in go.mod.

GO ?= go
OUT := out

.PHONY: build test lint run measure generate

build:
	mkdir -p $(OUT)
	$(GO) build -o $(OUT)/ ./cmd/...

test:
	$(GO) test -race -timeout 20m ./...

lint:
	@unformatted=$$(gofmt -l cmd internal api platform); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

run: build
	NO_BUILD=1 bash scripts/run.sh

measure: build
	bash scripts/measure.sh

# Needs protoc; the generated code is committed, so a build does not.
generate:
	$(GO) build -o $(OUT)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/$(OUT)/tools:$$PATH" protoc --go_out=. --go_opt=module=heathershed --go-grpc_out=. --go-grpc_opt=module=heathershed api/link/link.proto
