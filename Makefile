.PHONY: build test lint run sites measure-gossip measure-routes measure-door measure-budgets measure-zones measure-scale measure-soak measure-slow-clients measure-review capacity

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	exec target/release/threadward $(ARGS)

# The bench's sites of our own, deploy/sites/NAME/NAME.toml, made from the kit's; CI does without.
KIT ?= ../given/kit
sites:
	@python3 deploy/sites/make.py $(KIT)

# Ends with one line of JSON; takes under a minute once built.
measure-gossip:
	cargo build --release --locked -p threadward-lab
	target/release/measure-gossip

# The look-up of routes against a plain scan; ends with one line of JSON.
measure-routes:
	cargo build --release --locked -p threadward-lab
	target/release/measure-routes

# How long a caller at the operators' door waits, at the usual load and in overload; ends with one line of JSON.
measure-door:
	cargo run --release --locked -p threadward --example measure-door

# Budgets divided by leases among 300 proxies in virtual time; ends with one line of JSON.
measure-budgets:
	cargo build --release --locked -p threadward-lab
	target/release/measure-budgets

# Zones left and taken back by 300 proxies in virtual time, against each proxy alone; ends with one line of JSON.
measure-zones:
	cargo build --release --locked -p threadward-lab
	target/release/measure-zones

# Hollow proxies up to the size of deploy/target.toml, and real ones beside them; ends with one line of JSON, under ten
# minutes. What it measured goes to docs/capacity.json.
measure-scale:
	cargo build --release --locked
	COMMIT=$$(git rev-parse HEAD) target/release/measure-scale --write docs/capacity.json

# Real processes under overlapping troubles drawn from seeds, with the rules as oracle; ends with one line of JSON.
# SEEDS=1..20 or SEEDS=3,9, SECONDS=n for each, PROCESSES=n.
measure-soak:
	@SEEDS=$(or $(SEEDS),1..11) SECONDS=$(or $(SECONDS),10) PROCESSES=$(or $(PROCESSES),20) \
		cargo test --release --locked -q -p threadward --test soak -- --nocapture 2>&1 | tee target/soak.log | grep -v '^{' ; \
		grep '^{' target/soak.log

# The memory of a proxy beside 300 clients that read slowly or not at all; ends with one line of JSON, in half a minute.
measure-slow-clients: build
	cargo run --release --locked -p threadward --example measure-slow-clients -- target/release/threadward

# The cases of the review, each five times and once without its disruption; ends with one line of JSON.
measure-review: build
	review/build.sh
	.ci/measure-review

# The tables of docs/CAPACITY.md, from docs/capacity.json and deploy/target.toml.
capacity:
	cargo run --release --locked -p threadward-lab --bin capacity
