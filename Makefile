# Targets: all, check, demo, lint, format, format-check, clean.
# The packages and what each of them uses; see README.md for their jobs.
PACKAGES := base state lease place route config wire io net keys flow router platform daemon ctl standins

base_deps :=
state_deps := base
lease_deps := state base
place_deps := state base
route_deps := state base
config_deps := base
wire_deps := state base
net_deps := io wire state base
io_deps := base
keys_deps := base
flow_deps := base
router_deps := flow keys io route config base
platform_deps := router flow keys io route config base
daemon_deps := platform router flow keys net io config wire lease place route state base
ctl_deps := platform router flow keys net io route config wire state base
standins_deps := net io config wire lease place route state base

# SAN=1 builds with AddressSanitizer and UndefinedBehaviorSanitizer.
SAN ?= 0
ifeq ($(SAN),1)
BUILD := build/san
SANFLAGS := -fsanitize=address,undefined -fno-sanitize-recover=undefined
else
BUILD := build/rel
SANFLAGS :=
endif

CC := gcc
CSTD := -std=gnu11
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes
OPT := -O2 -g -fno-omit-frame-pointer
TIRPC := -I/usr/include/tirpc
CFLAGS := $(CSTD) $(WARN) $(OPT) $(SANFLAGS) $(TIRPC) -D_GNU_SOURCE
LIBS := -lwebsockets -lhttp_parser -lev -ltirpc -lcyaml -lyaml -ljansson -lxxhash -lz -lm

# The adapter of the platform has a folder of its own beside the packages.
src_dir = $(if $(filter platform,$(1)),platform,packages/$(1)/src)
test_dir = $(if $(filter platform,$(1)),platform/tests,packages/$(1)/tests)
srcs = $(wildcard $(call src_dir,$(1))/*.c $(call src_dir,$(1))/gen/*.c)
objs = $(patsubst %.c,$(BUILD)/obj/%.o,$(call srcs,$(1)))
incs = $(foreach p,$(1) $($(1)_deps),-I$(call src_dir,$(p)) -I$(call src_dir,$(p))/gen)
libs = $(foreach p,$(1) $($(1)_deps),$(BUILD)/lib$(p).a)

# A source file named main_NAME.c is the main file of the program NAME.
mains = $(wildcard packages/*/src/main_*.c)
PROGRAMS := $(patsubst main_%.c,$(BUILD)/bin/%,$(notdir $(mains)))
TESTS := $(foreach p,$(PACKAGES),$(patsubst $(call test_dir,$(p))/%.c,$(BUILD)/tests/$(p)/%,$(wildcard $(call test_dir,$(p))/test_*.c)))

.PHONY: all setup check demo lint lint-file format format-check clean tests
all: $(PROGRAMS)

define package_rules
$(BUILD)/obj/$(call src_dir,$(1))/gen/%.o: $(call src_dir,$(1))/gen/%.c
	@mkdir -p $$(@D)
	@echo CC $$@
	@$(CC) $(CFLAGS) -Wno-unused-variable -Wno-cast-function-type -MMD -MP $(call incs,$(1)) -c $$< -o $$@

$(BUILD)/obj/$(call src_dir,$(1))/%.o: $(call src_dir,$(1))/%.c
	@mkdir -p $$(@D)
	@echo CC $$@
	@$(CC) $(CFLAGS) -MMD -MP $(call incs,$(1)) -c $$< -o $$@

$(BUILD)/lib$(1).a: $(filter-out $(BUILD)/obj/$(call src_dir,$(1))/main_%,$(call objs,$(1)))
	@mkdir -p $$(@D)
	@rm -f $$@
	@ar rcs $$@ $$^

$(BUILD)/bin/%: $(BUILD)/obj/$(call src_dir,$(1))/main_%.o $(call libs,$(1))
	@mkdir -p $$(@D)
	@echo CC $$@
	@$(CC) $(CFLAGS) $$< $(call libs,$(1)) -o $$@ $(LIBS)

# Helpers shared by the tests of a package: every tests/*.c not named test_*
# or demo_*.
$(BUILD)/tests/$(1)/%: $(call test_dir,$(1))/%.c $(filter-out $(call test_dir,$(1))/test_% $(call test_dir,$(1))/demo_%,$(wildcard $(call test_dir,$(1))/*.c)) $(call libs,$(1))
	@mkdir -p $$(@D)
	@echo CC $$@
	@$(CC) $(CFLAGS) -MMD -MP -MF $$@.d $(call incs,$(1)) -I$(call test_dir,$(1)) $$(filter %.c,$$^) $(call libs,$(1)) -o $$@ $(LIBS) -lcmocka
endef
$(foreach p,$(PACKAGES),$(eval $(call package_rules,$(p))))

# The demo is built over the harness of the daemon's tests.
DEMO := $(BUILD)/tests/daemon/demo_association
DEMO_SOURCES := $(wildcard packages/daemon/tests/demo*.c packages/daemon/tests/cluster*.c)
$(DEMO): $(DEMO_SOURCES) $(wildcard packages/daemon/tests/*.h) $(call libs,daemon)
	@mkdir -p $(@D)
	@echo CC $@
	@$(CC) $(CFLAGS) $(call incs,daemon) -Ipackages/daemon/tests $(DEMO_SOURCES) $(call libs,daemon) -o $@ $(LIBS)

tests: $(TESTS) $(PROGRAMS)

setup:
	tools/install.sh

check: setup
	$(MAKE) -j$$(nproc) SAN=1 tests
	$(MAKE) -j$$(nproc) SAN=0 all
	tools/run_tests.sh build/san

demo: setup
	$(MAKE) all $(DEMO)
	GERANIUMSPOKE_BIN=$(BUILD)/bin $(DEMO)

C_FILES := $(wildcard packages/*/src/*.[ch] packages/*/tests/*.[ch] platform/*.[ch] platform/tests/*.[ch])

format:
	clang-format -i $(C_FILES)

format-check:
	clang-format --dry-run --Werror $(C_FILES)

lint:
	tools/lint.sh $(PACKAGES)

# lint-NAME runs the linter over one package, lint-file over one file of it.
lint-%:
	tools/lint.sh $*

lint-file:
	clang-tidy --quiet $(FILE) -- $(CSTD) $(TIRPC) -D_GNU_SOURCE $(call incs,$(PACKAGE))

clean:
	rm -rf build

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
