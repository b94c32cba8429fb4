.PHONY: build test race fuzz lint ci demo

build:
	go build -o sesamecleat .

test:
	go test ./...

race:
	go test -race ./...

ci:
	bash .ci/run

demo:
	go run . demo -faults
