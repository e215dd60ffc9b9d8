# Workspace build. Each package under packages/ has a package.mk that names
# the packages whose public headers it may include; the include path of a
# package holds nothing else.

CC ?= gcc
BUILD ?= build
PROFILE ?= release

PKGS := $(notdir $(wildcard packages/*))
include $(wildcard packages/*/package.mk)

LIBS := libprotobuf-c libmicrohttpd libcurl jansson libsodium libxxhash
LIB_CFLAGS := $(shell pkg-config --cflags $(LIBS))
LIB_LIBS := $(shell pkg-config --libs $(LIBS)) -lck -lpthread -lm
GLIB_CFLAGS := $(shell pkg-config --cflags glib-2.0)
GLIB_LIBS := $(shell pkg-config --libs glib-2.0)

WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith -Wno-unused-parameter
CPPFLAGS += -D_GNU_SOURCE $(LIB_CFLAGS)
CFLAGS_release := -O2 -g -fno-omit-frame-pointer
CFLAGS_asan := -O1 -g -fno-omit-frame-pointer \
	-fsanitize=address,undefined -fno-sanitize-recover=all
CFLAGS_fuzz := -O1 -g -fno-omit-frame-pointer \
	-fsanitize=address,undefined,fuzzer-no-link -Wno-missing-field-initializers
CFLAGS_tsan := -O1 -g -fno-omit-frame-pointer -fsanitize=thread
CFLAGS += -std=c11 $(WARN) $(CFLAGS_$(PROFILE))
LDFLAGS += $(filter -fsanitize%,$(CFLAGS_$(PROFILE)))
OUT := $(BUILD)/$(PROFILE)

# Programs' main files are left out of the archive.
MAINS := packages/daemon/main.c packages/cli/main.c
SRCS := $(filter-out $(MAINS),$(wildcard packages/*/*.c))
OBJS := $(SRCS:%.c=$(OUT)/%.o)
LIBGV := $(OUT)/libguavarock.a

FAKE_SRCS := $(wildcard tests/fakes/*.c)
FAKES := $(FAKE_SRCS:tests/fakes/%.c=$(OUT)/fakes/%)
TEST_SUPPORT := $(wildcard tests/support/*.c)
TEST_SUPPORT_OBJS := $(TEST_SUPPORT:%.c=$(OUT)/%.o)
TEST_SRCS := $(wildcard tests/test_*.c)
TESTS := $(TEST_SRCS:tests/%.c=$(OUT)/tests/%)
BENCH_SUPPORT := $(wildcard bench/support/*.c)
BENCH_SUPPORT_OBJS := $(BENCH_SUPPORT:%.c=$(OUT)/%.o)
BENCH_SRCS := $(wildcard bench/*.c)
BENCHES := $(BENCH_SRCS:bench/%.c=$(OUT)/bench/%)

# -iquote keeps package headers from replacing system headers of the same
# name, such as <sched.h>, which pthread.h includes.
ALL_INC := $(foreach p,$(PKGS),-iquotepackages/$p/include)
pkg_of = $(word 2,$(subst /, ,$1))
inc_of = $(foreach d,$1 $($1_DEPS),-iquotepackages/$d/include)

BINS := $(if $(wildcard packages/daemon/main.c),$(OUT)/guavarockd) \
	$(if $(wildcard packages/cli/main.c),$(OUT)/guavarock)

.PHONY: all tests benches fakes check check-asan check-tsan format \
	format-check fuzz fuzzers lint demo deps clean e2e soak soak-platform proto
.SECONDARY:

all: $(BINS)
fakes: $(FAKES)
tests: $(TESTS)
benches: $(BENCHES)

$(OUT)/packages/daemon/main.o: CPPFLAGS += -iquoteplatform
$(OUT)/packages/%.o: packages/%.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(call inc_of,$(call pkg_of,$<)) $(CFLAGS) -MMD -MP \
		-c $< -o $@

# Generated code is compiled without the project's warnings.
%.pb-c.o: WARN := -w

$(OUT)/tests/%.o: tests/%.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(ALL_INC) -Itests/support $(GLIB_CFLAGS) $(CFLAGS) \
		-MMD -MP -c $< -o $@

$(OUT)/bench/%.o: bench/%.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(ALL_INC) -Itests/support -Ibench/support $(CFLAGS) \
		-MMD -MP -c $< -o $@

# A package's objects become one, in which only the names that package.mk
# exports stay global, so that packages may use the same internal names.
objs_of = $(filter $(OUT)/packages/$1/%,$(OBJS))
BUILT := $(foreach p,$(PKGS),$(if $(call objs_of,$p),$p))
PKG_OBJS := $(BUILT:%=$(OUT)/packages/%.o)

define PKG_RULE
$(OUT)/packages/$1.o: $(call objs_of,$1)
	@ld -r -o $$@ $$^
	@objcopy --wildcard $(if $($1_EXPORTS),$(foreach e,$($1_EXPORTS),-G '$e'),\
		-G '$1_*') $$@
endef
$(foreach p,$(BUILT),$(eval $(call PKG_RULE,$p)))

# The adapter for the users' platform; it is no package, so that nothing else
# can include its headers.
PLATFORM_SRCS := $(wildcard platform/*.c)
PLATFORM_OBJS := $(PLATFORM_SRCS:%.c=$(OUT)/%.o)
$(OUT)/platform/%.o: platform/%.c
	@mkdir -p $(@D)
	@$(CC) $(CPPFLAGS) $(call inc_of,node) $(CFLAGS) -MMD -MP -c $< -o $@

$(LIBGV): $(PKG_OBJS)
	@rm -f $@
	@# Finds names that two packages export, which an archive would hide.
	@ld -r -o $@.check $(PKG_OBJS) && rm -f $@.check
	@ar rcs $@ $(PKG_OBJS)

$(OUT)/guavarockd: $(OUT)/packages/daemon/main.o $(PLATFORM_OBJS) $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS)

$(OUT)/guavarock: $(OUT)/packages/cli/main.o $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS)

$(OUT)/fakes/%: $(OUT)/tests/fakes/%.o $(TEST_SUPPORT_OBJS) $(LIBGV)
	@mkdir -p $(@D)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS) $(GLIB_LIBS)

# The daemon with a clock and a disk that misbehave on demand, for tests only.
FAULTY_WRAPS := -Wl,--wrap=clock_gettime,--wrap=open,--wrap=write,--wrap=fsync \
	-Wl,--wrap=ledger_due
$(OUT)/fakes/guavarockd_faulty: $(OUT)/tests/fakes/guavarockd_faulty.o \
		$(OUT)/packages/daemon/main.o $(PLATFORM_OBJS) $(LIBGV)
	@mkdir -p $(@D)
	@$(CC) $(LDFLAGS) $(FAULTY_WRAPS) -o $@ $^ $(LIB_LIBS)

$(OUT)/tests/test_platform.o: CPPFLAGS += -iquoteplatform
$(OUT)/tests/test_platform: $(OUT)/tests/test_platform.o $(PLATFORM_OBJS) \
		$(TEST_SUPPORT_OBJS) $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS) $(GLIB_LIBS)

$(OUT)/tests/test_%: $(OUT)/tests/test_%.o $(TEST_SUPPORT_OBJS) $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS) $(GLIB_LIBS)

$(OUT)/soak_platform: $(OUT)/tests/soak_platform.o $(TEST_SUPPORT_OBJS) \
		$(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS) $(GLIB_LIBS)

$(OUT)/soak: $(OUT)/tests/soak.o $(TEST_SUPPORT_OBJS) $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS) $(GLIB_LIBS)

# The planner's model is shared with its test.
$(OUT)/bench/bench_flow: $(OUT)/bench/bench_flow.o \
		$(OUT)/tests/support/flow_world.o \
		$(OUT)/tests/support/flow_fixture.o $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS)

$(OUT)/bench/bench_plan: $(OUT)/bench/bench_plan.o \
		$(OUT)/tests/support/flow_fixture.o $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS)

$(OUT)/bench/%: $(OUT)/bench/%.o $(BENCH_SUPPORT_OBJS) $(LIBGV)
	@$(CC) $(LDFLAGS) -o $@ $^ $(LIB_LIBS)

# The test runner prints 'N passed, N failed' as its last line.
check: all fakes tests
	@tests/run.sh $(OUT)

check-asan:
	$(MAKE) PROFILE=asan check

# Random faults for a time; the same seed gives the same sequence of faults.
SECONDS ?= 60
SEED ?= 1
soak: all fakes $(OUT)/soak
	@GV_BIN=$(OUT) $(OUT)/soak $(SECONDS) $(SEED)

soak-platform: all fakes $(OUT)/soak_platform
	@GV_BIN=$(OUT) $(OUT)/soak_platform $(SECONDS) $(SEED)

# GLib's own allocator is not instrumented.
check-tsan:
	G_SLICE=always-malloc $(MAKE) PROFILE=tsan check TESTS_MATCH='$(TSAN_TESTS)'

# libFuzzer targets, each for FUZZ_S seconds. Needs clang.
FUZZ_S ?= 60
FUZZERS := $(patsubst tests/fuzz/%.c,$(OUT)/fuzz/%,$(wildcard tests/fuzz/*.c))
FUZZ_SUPPORT := $(OUT)/tests/support/bodies.o \
	$(OUT)/tests/support/fuzz_target.o

$(OUT)/fuzz/%: $(OUT)/tests/fuzz/%.o $(FUZZ_SUPPORT) $(LIBGV)
	@mkdir -p $(@D)
	@$(CC) $(LDFLAGS) -fsanitize=fuzzer -o $@ $^ $(LIB_LIBS)

fuzzers: $(FUZZERS)

fuzz:
	$(MAKE) CC=clang PROFILE=fuzz fuzzers
	@for f in $(notdir $(FUZZERS)); do \
		mkdir -p $(BUILD)/fuzz/corpus-$$f && \
		(cd $(BUILD)/fuzz && fuzz/$$f -max_total_time=$(FUZZ_S) \
			corpus-$$f) || exit 1; \
	done

ALL_C := $(wildcard packages/*/*.c packages/*/*.h packages/*/include/*.h \
	tests/*.c tests/*/*.c tests/*/*.h bench/*.c bench/*.h bench/*/*.c \
	bench/*/*.h platform/*.c platform/*.h)
STYLED := $(filter-out %.pb-c.c %.pb-c.h,$(ALL_C))

format:
	@clang-format -i $(STYLED)

format-check:
	@clang-format --dry-run -Werror $(STYLED)

LINT_C := $(filter %.c,$(STYLED))
LINT_STAMPS := $(LINT_C:%=$(BUILD)/lint/%.ok)
$(BUILD)/lint/%.ok: % .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=c11 $(CPPFLAGS) $(ALL_INC) -Itests/support \
		-Ibench/support -iquoteplatform $(GLIB_CFLAGS) 2>/dev/null
	@touch $@

lint: $(LINT_STAMPS)
	@cppcheck --quiet --std=c11 --enable=warning,portability --inline-suppr \
		--library=gtk --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
		--error-exitcode=1 -j 4 $(ALL_INC:-iquote%=-I%) -Iplatform $(LINT_C)

deps:
	.ci/deps

demo: deps
	$(MAKE) all fakes
	tests/demo.sh $(OUT)

# Needs protobuf-c-compiler; the generated files are committed.
proto:
	cd packages/raft && protoc-c --c_out=. raft.proto && mv raft.pb-c.h include/
	cd packages/peer && protoc-c --c_out=. wire.proto && mv wire.pb-c.h include/
	cd packages/flow && protoc-c --c_out=. flow.proto && mv flow.pb-c.h include/
	cd packages/node && protoc-c -I. -I../flow --c_out=. node.proto && \
		mv node.pb-c.h include/
	cd packages/state && protoc-c --c_out=. state.proto && mv state.pb-c.h include/

clean:
	rm -rf $(BUILD)

-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
