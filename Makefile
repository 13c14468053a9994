# Makefile -- builds into build/; every command in README.md is a target here

CC       = gcc
STD      = -std=gnu11
WARN     = -Wall -Wextra -Werror -Wno-format-truncation -Wmissing-prototypes \
           -Wstrict-prototypes
OPT      = -O2 -g
CPPFLAGS = -I. -isystem /usr/include/lwip -D_GNU_SOURCE
CFLAGS   = $(STD) $(WARN) $(OPT) $(SAN)
B        = build

CORE    = $(patsubst %.c,$(B)/%.o,$(wildcard core/*.c))
IO      = $(patsubst %.c,$(B)/%.o,$(filter-out io/stack.c,$(wildcard io/*.c)))
STACK   = $(B)/io/stack.o
DAEMON  = $(patsubst %.c,$(B)/%.o,$(wildcard daemon/*.c))
PLATFORM = $(patsubst %.c,$(B)/%.o,$(wildcard platform/*.c))
EMULATOR = $(patsubst %.c,$(B)/%.o,$(filter-out emulator/main.c,$(wildcard emulator/*.c)))
CTL     = $(patsubst %.c,$(B)/%.o,$(wildcard ctl/*.c))
TESTS   = $(patsubst test/%.c,$(B)/%,$(wildcard test/test_*.c))
BENCHES = $(patsubst bench/%.c,$(B)/%,$(wildcard bench/bench_*.c))

FAKE    = $(B)/test/fake.o $(B)/test/fake_tcp.o

CORE_LIBS = -ljansson -lmsgpackc -lm
IO_LIBS   = -lzmq -lcurl -llog4c -lpthread

all: programs

programs: $(B)/boragelatchd $(B)/boragelatchctl $(B)/standin-platform \
          $(B)/standin-backend $(B)/standin-fabric $(B)/standin-store \
          $(B)/standin-server $(B)/standin-callers $(B)/standin-wire \
          $(B)/boragelatch-emulate $(B)/explore-denials

# The programs that are deployed on the users' machines.
programs-deployed: $(B)/boragelatchd $(B)/boragelatchctl

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	@$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c $< -o $@

$(B)/libboragelatch.a: $(CORE)
	@ar rcs $@ $^

$(B)/boragelatchd: $(DAEMON) $(PLATFORM) $(IO) $(STACK) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lcivetweb -lpopt -llwip

$(B)/boragelatchctl: $(CTL) $(PLATFORM) $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lpopt

$(B)/boragelatch-emulate: $(B)/emulator/main.o $(EMULATOR) $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lpopt

$(B)/standin-platform: $(B)/standin/platform.o
	@$(CC) $(CFLAGS) $^ -o $@ -lcivetweb -lpopt -lpthread

$(B)/standin-backend: $(B)/standin/backend.o $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lcivetweb -lpopt

$(B)/standin-fabric: $(B)/standin/fabric.o $(IO) $(STACK) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lpopt -llwip

$(B)/standin-store: $(B)/standin/store.o
	@$(CC) $(CFLAGS) $^ -o $@ -lcivetweb -lpopt -ljansson -lpthread

$(B)/standin-wire: $(B)/standin/wire.o $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lpopt

$(B)/standin-server $(B)/standin-callers: $(B)/standin-%: $(B)/standin/%.o \
    $(B)/standin/segment.o $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lpopt

$(B)/explore-denials: $(B)/explore/denials.o $(B)/test/agent_model.o \
    $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS)

$(B)/example: $(B)/examples/example.o $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS)

$(B)/test_%: $(B)/test/test_%.o $(FAKE) $(B)/test/flood.o $(B)/test/scenario.o \
            $(B)/test/deployment.o $(B)/test/single_agent.o $(B)/test/options.o \
            $(B)/test/agent_model.o \
            $(EMULATOR) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) -lcmocka

$(B)/test_platform $(B)/test_store_client: $(B)/test_%: $(B)/test/test_%.o \
    $(B)/test/single_agent.o $(PLATFORM) $(IO) $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS) -lcmocka

$(B)/bench_%: $(B)/bench/bench_%.o $(IO) $(FAKE) $(B)/test/flood.o $(B)/bench/baseline.o \
             $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS) $(IO_LIBS)

FUZZERS = $(patsubst fuzz/%.c,$(B)/%,$(wildcard fuzz/fuzz_*.c))

$(FUZZERS): $(B)/fuzz_%: $(B)/fuzz/fuzz_%.o $(B)/fuzz/fuzz.o $(PLATFORM) $(IO) \
            $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) -fsanitize=fuzzer $^ -o $@ $(CORE_LIBS) $(IO_LIBS)

$(B)/seeds: $(B)/fuzz/seeds.o $(B)/libboragelatch.a
	@$(CC) $(CFLAGS) $^ -o $@ $(CORE_LIBS)

fuzzers: $(FUZZERS)

# Writes the seeds of binary formats.
seeds: $(B)/seeds
	mkdir -p fuzz/corpus/message fuzz/corpus/packet
	$(B)/seeds fuzz/corpus

.PHONY: fuzzers seeds

clean:
	rm -rf $(B)

.PHONY: all programs programs-deployed clean
.SECONDARY:
-include $(shell find $(B) -name '*.d' 2>/dev/null)

# A header that was renamed or removed does not stop the build; the objects that
# included it are rebuilt.
%.h: ;

SOURCES = $(wildcard *.h core/*.[ch] io/*.[ch] daemon/*.[ch] ctl/*.[ch] \
          platform/*.[ch] emulator/*.[ch] \
          standin/*.[ch] test/*.[ch] bench/*.[ch] examples/*.[ch] fuzz/*.[ch] explore/*.c)

packages:
	./install-packages.sh

# Runs both example deployments end to end.
demo: packages
	$(MAKE) programs
	examples/demo.sh

# Builds and runs all tests.
check: packages
	$(MAKE) programs tests
	test/run.sh

# Runs the unit tests under the address and undefined-behaviour sanitizers.
check-sanitized:
	$(MAKE) B=build/san SAN="-fsanitize=address,undefined \
	  -fno-sanitize-recover=all" OPT="-O1 -g" tests
	test/run.sh --unit build/san

tests: $(TESTS) $(B)/example

bench: packages programs
	$(MAKE) $(BENCHES)
	bench/run.sh

format:
	clang-format -i $(SOURCES)

check-format:
	clang-format --dry-run --Werror $(SOURCES)

lint:
	printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P 6 -n 4 sh -c \
	  'clang-tidy --quiet "$$@" -- $(CPPFLAGS) $(STD) 2>/dev/null' lint

.PHONY: packages demo check check-sanitized tests bench format check-format \
        lint

# Checks that the tests fail when the mechanisms that they test are disabled.
mutations: packages
	test/mutations.sh

.PHONY: mutations

# Plays every order of a few events, for example: make explore DEPTH=4
explore: packages
	$(MAKE) $(B)/explore-denials
	$(B)/explore-denials $(or $(DEPTH),3)

.PHONY: explore

# Fuzzes each decoder with the same inputs each time, or, with FUZZ=600s, for a
# time.
FUZZ = 100000
fuzz: packages
	$(MAKE) B=build/fuzz CC=clang WARN="-Wall -Wextra" \
	  SAN="-fsanitize=fuzzer-no-link,address,undefined \
	  -fno-sanitize-recover=all" OPT="-O1 -g" fuzzers
	fuzz/run.sh build/fuzz $(FUZZ)

.PHONY: fuzz

# A longer run of the failures in pairs, for example: make soak SEED=7 RUNS=50
soak: packages
	$(MAKE) $(B)/test_pairs
	SEED=$(or $(SEED),1) RUNS=$(or $(RUNS),20) $(B)/test_pairs

.PHONY: soak
