# make demo      end-to-end demo on loopback, with separate processes
# make test      formatter, linter, vet and all tests but known failures
# make explore   longer search for violations of single ownership
# make soak      fault injection on real processes: FIRST seed, number of SEEDS,
#                SECONDS for each
# make bench     the measurements of docs/MEASUREMENTS.md
# make capacity  the cost per size in docs/CAPACITY.md
# make gopls     builds bin/gopls, for renames

GO ?= go

.PHONY: build demo test lint unit explore soak bench capacity plots generate fuzz gopls

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test: lint unit

lint:
	@test -z "$$(cd tools && $(GO) tool gofumpt -l ../cmd ../internal ../pkg ../platform ../test ../*.go | grep -v peerv1)" || { cd tools && $(GO) tool gofumpt -l ../cmd ../internal ../pkg ../platform ../test ../*.go; exit 1; }
	cd tools && $(GO) build -o ../bin/revive github.com/mgechev/revive
	./bin/revive -config revive.toml -set_exit_status -exclude ./pkg/peer/peerv1/... ./...
	$(GO) vet ./...

unit:
	./scripts/unit.sh

explore:
	EXPLORE=1 $(GO) test ./test/ownership -run "TestOwnership$$" -rapid.checks=20000 -timeout 60m

FIRST ?= 1
SEEDS ?= 5
SECONDS ?= 20

soak:
	SOAK_FIRST=$(FIRST) SOAK_SEEDS=$(SEEDS) SOAK_SECONDS=$(SECONDS) SOAK_FOLDER=$${SOAK_FOLDER:-$$(mktemp -d)} $(GO) test ./internal/soak -run TestSoak -v -count=1 -timeout 120m

# Run these on an otherwise idle machine.
bench: build
	./scripts/measure/path.sh
	./scripts/measure/stragglers.sh
	./scripts/measure/departure.sh
	./scripts/measure/storm.sh
	./scripts/measure/charges.sh
	./scripts/measure/slowreaders.sh
	./bin/standin balance

capacity: build
	./bin/standin capacity
	./scripts/measure/instances.sh

# Draws the CSV files in docs/data, which the measurements write, as SVG files in docs/plots.
plots: build
	./bin/standin plots --from docs/data --to docs/plots

fuzz:
	$(GO) test ./pkg/templates -fuzz FuzzParseTemplate -fuzztime 60s
	$(GO) test ./pkg/templates -fuzz FuzzParseDeployment -fuzztime 60s
	$(GO) test ./pkg/settings -fuzz FuzzParse -fuzztime 60s
	$(GO) test ./pkg/caller -fuzz FuzzSplitPath -fuzztime 60s
	$(GO) test ./pkg/caller -fuzz FuzzParseContentRange -fuzztime 60s
	$(GO) test ./platform -fuzz FuzzCredential -fuzztime 60s
	$(GO) test ./platform -fuzz FuzzDecodeConfiguration -fuzztime 60s

generate:
	buf generate

# gopls has its own module, since it needs older dependencies than revive and gofumpt.
gopls:
	cd tools/gopls && $(GO) build -o ../../bin/gopls golang.org/x/tools/gopls
