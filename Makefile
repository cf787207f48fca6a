# Commands for users and developers. The README explains each of them.

EXAMPLE ?= kitakyushu
SEED ?= 1
DURATION ?= 60s
RUN ?= .
SEEDS ?= 5
OUT ?= var/bench

.PHONY: build demo test lint unit bench soak capacity

build:
	go build -o bin/jayspindle .

demo: build
	bash scripts/demo.sh $(EXAMPLE)

test: lint unit

lint:
	cd tools && go build -mod=mod -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
	go vet ./...
	bin/golangci-lint fmt --diff
	bin/golangci-lint run --allow-parallel-runners ./...

unit: build
	bash scripts/unit.sh

soak:
	SOAK_SEED=$(SEED) SOAK_DURATION=$(DURATION) go test -count=1 -timeout 0 -run '$(RUN)' ./internal/... ./platform/...

bench: build
	bin/jayspindle bench -seeds $(SEEDS) -out $(OUT)

capacity: build
	bin/jayspindle capacity
