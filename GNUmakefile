# make demo   builds all programs and runs a demonstration on the built-in defaults
# make check  runs everything that CI runs

MODULES := bench coord operate platform relay standin
PACKAGES := $(MODULES:%=./%/...)
BIN := $(CURDIR)/.bin
SEEDS ?= 1000

export CGO_ENABLED := 1

.PHONY: known all build tools gopls format lint generate generated test random fuzz scenarios demo check dynamic clean

all: build

build:
	go build -o $(BIN)/chicoryrelay ./relay
	go build -o $(BIN)/chicoryplatform ./platform
	go build -o $(BIN)/chicoryctl ./operate
	go build -o $(BIN)/chicorystandin ./standin
	go build -o $(BIN)/chicorybench ./bench

tools: $(BIN)/.tools

$(BIN)/.tools: tools/go.mod tools/go.sum $(wildcard tools/protogen/*.go)
	mkdir -p $(BIN)
	cd tools && GOWORK=off GOBIN=$(BIN) go install tool ./protogen
	touch $@

# Installs the Go language server, for renames: .bin/gopls rename -w FILE:LINE:COLUMN NAME
gopls:
	cd tools/gopls && GOWORK=off GOBIN=$(BIN) go install tool

format: tools
	$(BIN)/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

lint: tools
	@unformatted=$$($(BIN)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	  [ -z "$$unformatted" ] || { echo "run make format:" $$unformatted; exit 1; }
	go vet $(PACKAGES)
	$(BIN)/staticcheck $(PACKAGES)
	$(BIN)/revive -config tools/revive.toml -set_exit_status $(PACKAGES)
	GOWORK=off go -C tools run ./docnames ..

generate: tools
	$(BIN)/protogen $$(git ls-files '*.proto')

# Fails if the committed generated code differs from the generator's output.
generated: generate
	git diff --exit-code -- '*.pb.go'

test:
	go test -race -count=1 $(PACKAGES)
	GOWORK=off go -C tools test -count=1 ./docnames

# Runs the randomised tests of the deterministic cores with SEEDS seeds each.
random:
	CHICORY_SEEDS=$(SEEDS) go test -count=1 -timeout 60m -run 'Suite' ./coord/... ./relay/...

# Fuzzes each target for FUZZTIME; CI runs the seed corpora as ordinary tests.
FUZZTIME ?= 20s
fuzz:
	for target in $$(grep -rlE '^func Fuzz' --include=*_test.go .); do \
	  for name in $$(grep -oE '^func Fuzz[A-Za-z]*' $$target | sed 's/func //'); do \
	    go test -run xxx -fuzz "^$$name\$$" -fuzztime $(FUZZTIME) -fuzzminimizetime 10x ./$$(dirname $$target) || exit 1; \
	  done; \
	done

scenarios: build
	for scenario in $$(ls scenarios/*.sh | grep -v lib.sh); do echo "== $$scenario"; bash $$scenario || exit 1; done

demo: build
	bash scenarios/demo.sh

dynamic: build
	bash tools/dynamic.sh $(BIN)/chicoryrelay

check: known lint generated test dynamic scenarios

# Prints the known failing tests, which do not fail CI.
known:
	@cat KNOWN-RED.txt

clean:
	rm -rf $(BIN) .run
