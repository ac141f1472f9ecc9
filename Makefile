PACKAGES = ./... ./cmd/vaneyoke/... ./cmd/vaneyoked/...

.PHONY: demo test bench generate

# Runs the main job on embedded stand-ins.
demo:
	go run ./cmd/vaneyoke demo

# Runs all tests with the race detector.
test:
	go test -race $(PACKAGES)

# Runs the benchmarks.
bench:
	go test -run '^$$' -bench . -benchmem ./...
