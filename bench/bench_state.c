/*
 * Measures the replicated state: heap per job and per task, time per command,
 * and time and size of snapshots.
 *
 *   bench_state [JOBS...]          jobs of one task and 256 bytes of payload;
 *                                  10000, 46000 and 200000 by default
 *   bench_state pairs JOBS PAIRS   places and ends the tasks of PAIRS of JOBS
 *                                  live jobs; callgrind --collect-atstart=no
 *                                  counts that part only
 *
 * JOBS and PAIRS are rounded down to multiples of BATCH_ITEMS.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <valgrind/callgrind.h>

#include "clock.h"
#include "mem.h"
#include "state.h"

enum {
    BATCH_ITEMS = 100, /* of one command that takes several items */
    WORKER_COUNT = 1000,
    TASKS_PER_JOB = 1000,
    MULTI_TASK_JOBS = 40,
    KEY_COUNT = 2000,
    REQUEST_COUNT = 5000,
};

#define WALL_MS INT64_C(1769903999000)

struct bench {
    struct state *s;
    struct buf cmd;
    struct state_result result;
    struct state_actor by;
    int64_t apply_ns; /* spent in state_apply since the last report */
    size_t bytes;     /* of encoded commands since the last report */
};

static size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}

static void
apply(struct bench *b)
{
    int64_t start = clock_now();

    state_apply(b->s, state_index(b->s) + 1, buf_str(&b->cmd), &b->result);
    b->apply_ns += clock_now() - start;
    b->bytes += b->cmd.len;
    buf_clear(&b->cmd);
    if (b->result.kind != STATE_APPLIED) {
        fprintf(stderr, "%s was not applied\n",
                state_command_text(b->result.command));
        exit(1);
    }
}

static void
report(struct bench *b, const char *what, size_t items)
{
    if (items == 0) {
        return;
    }
    printf("  %-24s %8.0f ns %6zu bytes per item\n", what,
           (double)b->apply_ns / (double)items, b->bytes / items);
    b->apply_ns = 0;
    b->bytes = 0;
}

static void
setup(struct bench *b)
{
    struct state_team_item team = {STR("team"), 1};
    struct state_capacity capacity = {16000, 32000, 0};

    memset(b, 0, sizeof(*b));
    b->s = state_create();
    b->by.wall_ms = WALL_MS;
    state_cmd_bootstrap(&b->cmd, &b->by, 1, NULL, 0, &state_settings_default);
    apply(b);
    state_cmd_teams_set(&b->cmd, &b->by, 0, &team, 1);
    apply(b);
    for (int i = 0; i < WORKER_COUNT; i++) {
        char name[32];
        int len = snprintf(name, sizeof(name), "worker-%d", i);
        state_cmd_worker_put(&b->cmd, &b->by, str_from(name, (size_t)len), 1,
                             STR("rack"), STR("fd"), &capacity);
        apply(b);
    }
    b->apply_ns = 0;
    b->bytes = 0;
}

static void
put_job(struct bench *b, const char *prefix, size_t i, uint32_t tasks)
{
    static const char payload[256];
    uint8_t digest[STATE_DIGEST_BYTES] = {0};
    struct state_job_spec spec = {.class = STATE_JOB_BATCH,
                                  .tasks = tasks,
                                  .cpu_milli = 1000,
                                  .memory_mib = 2000,
                                  .idempotent = true,
                                  .payload = {payload, sizeof(payload)}};
    char name[48];
    int len = snprintf(name, sizeof(name), "%s-%zu", prefix, i);

    state_cmd_job_put(&b->cmd, &b->by, 1, str_from(name, (size_t)len), &spec,
                      digest);
    apply(b);
}

static void
put_jobs(struct bench *b, size_t jobs)
{
    size_t before = heap_bytes();
    size_t heap;

    for (size_t i = 0; i < jobs; i++) {
        put_job(b, "nightly-statement", i, 1);
    }
    heap = heap_bytes() - before;
    report(b, "job put", jobs);
    printf("  queued job of one task   %8zu bytes of heap\n", heap / jobs);
}

static void
place_batch(struct bench *b, size_t first)
{
    struct state_placement items[BATCH_ITEMS];

    for (size_t k = 0; k < BATCH_ITEMS; k++) {
        items[k] = (struct state_placement){
            .job = first + k + 1,
            .worker = 1 + (uint32_t)(first + k) % WORKER_COUNT,
            .incarnation = 1,
            .lease = first + k + 1};
    }
    state_cmd_tasks_placed(&b->cmd, &b->by, items, BATCH_ITEMS);
    apply(b);
}

static void
end_batch(struct bench *b, size_t first)
{
    struct state_task_end items[BATCH_ITEMS];

    for (size_t k = 0; k < BATCH_ITEMS; k++) {
        items[k] = (struct state_task_end){.lease = first + k + 1,
                                           .outcome = STATE_OUTCOME_DONE};
    }
    state_cmd_tasks_ended(&b->cmd, &b->by, items, BATCH_ITEMS);
    apply(b);
}

static void
place_all(struct bench *b, size_t jobs)
{
    size_t before = heap_bytes();

    for (size_t i = 0; i < jobs; i += BATCH_ITEMS) {
        place_batch(b, i);
    }
    report(b, "task placed, in 100s", jobs);
    printf("  placed task's lease      %8zu bytes of heap\n",
           (heap_bytes() - before) / jobs);
}

static void
report_usage_all(struct bench *b, size_t jobs)
{
    struct state_usage_sample items[BATCH_ITEMS];

    for (size_t i = 0; i < jobs; i += BATCH_ITEMS) {
        for (size_t k = 0; k < BATCH_ITEMS; k++) {
            items[k] = (struct state_usage_sample){i + k + 1, 1000, 2000, 0};
        }
        state_cmd_usage(&b->cmd, &b->by, items, BATCH_ITEMS);
        apply(b);
    }
    report(b, "usage sample, in 100s", jobs);
}

static void
end_all(struct bench *b, size_t jobs)
{
    size_t before = heap_bytes();

    for (size_t i = 0; i < jobs; i += BATCH_ITEMS) {
        end_batch(b, i);
    }
    report(b, "task ended, in 100s", jobs);
    for (size_t i = 0; i < jobs; i++) {
        state_cmd_job_outcome(&b->cmd, &b->by, i + 1, STATE_JOB_DONE, STR(""));
        apply(b);
    }
    report(b, "job outcome", jobs);
    printf("  freed by the end         %8zu bytes of heap per job\n",
           (before - heap_bytes()) / jobs);
}

static void
measure_snapshot(struct bench *b, const char *what)
{
    struct buf bytes = {0};
    struct state *copy;
    int64_t start = clock_now();
    int64_t encoded;

    state_encode(b->s, &bytes);
    encoded = clock_now();
    copy = state_decode(buf_str(&bytes));
    printf("  snapshot, %-14s %8.1f ms to encode, %.1f ms to decode, "
           "%.1f MB\n",
           what, (double)(encoded - start) / NS_PER_MS,
           (double)(clock_now() - encoded) / NS_PER_MS,
           (double)bytes.len / 1e6);
    state_destroy(copy);
    buf_free(&bytes);
}

static void
run_jobs(size_t jobs)
{
    struct bench b;

    setup(&b);
    printf("%zu jobs\n", jobs);
    put_jobs(&b, jobs);
    place_all(&b, jobs);
    report_usage_all(&b, jobs);
    measure_snapshot(&b, "all placed");
    end_all(&b, jobs);
    measure_snapshot(&b, "all ended");
    state_destroy(b.s);
    buf_free(&b.cmd);
}

/* Encodes and applies the commands that place and end the tasks of `pairs`
 * jobs. */
static void
measure_pairs(struct bench *b, size_t first, size_t pairs)
{
    CALLGRIND_TOGGLE_COLLECT;
    for (size_t i = first; i < first + pairs; i += BATCH_ITEMS) {
        place_batch(b, i);
        end_batch(b, i);
    }
    CALLGRIND_TOGGLE_COLLECT;
}

static int
run_pairs(size_t jobs, size_t pairs)
{
    struct bench b;

    if (pairs == 0 || pairs > jobs) {
        fprintf(stderr, "PAIRS must be at least %d and at most JOBS\n",
                BATCH_ITEMS);
        return 2;
    }
    setup(&b);
    for (size_t i = 0; i < jobs; i++) {
        put_job(&b, "nightly-statement", i, 1);
    }
    for (size_t i = 0; i < jobs - pairs; i += BATCH_ITEMS) {
        place_batch(&b, i);
    }
    measure_pairs(&b, jobs - pairs, pairs);
    printf("%zu pairs\n", pairs);
    state_destroy(b.s);
    buf_free(&b.cmd);
    return 0;
}

static void
run_multi_task_jobs(void)
{
    struct bench b;
    size_t before;

    setup(&b);
    before = heap_bytes();
    for (size_t i = 0; i < MULTI_TASK_JOBS; i++) {
        put_job(&b, "wide", i, TASKS_PER_JOB);
    }
    printf("%d jobs of %d tasks\n", MULTI_TASK_JOBS, TASKS_PER_JOB);
    printf("  waiting task             %8zu bytes of heap\n",
           (heap_bytes() - before) / MULTI_TASK_JOBS / TASKS_PER_JOB);
    state_destroy(b.s);
    buf_free(&b.cmd);
}

static void
run_keys(struct bench *b)
{
    struct buf delta = {0};
    uint64_t version = state_config_version(b->s);
    int64_t start;

    for (uint32_t i = 0; i < KEY_COUNT; i++) {
        uint8_t hash[STATE_HASH_BYTES];
        memset(hash, 0, sizeof(hash));
        memcpy(hash, &i, sizeof(i));
        state_cmd_key_add(&b->cmd, &b->by, STATE_KEY_TEAM, STR("team"), hash);
        apply(b);
    }
    report(b, "key add", KEY_COUNT);
    start = clock_now();
    state_config_since(b->s, state_config_version(b->s) - 100, &delta);
    printf("  delta of 100 changes     %8zu bytes, %.0f us\n", delta.len,
           (double)(clock_now() - start) / NS_PER_US);
    buf_clear(&delta);
    start = clock_now();
    state_config_since(b->s, version, &delta);
    printf("  full configuration       %8zu bytes, %.0f us\n", delta.len,
           (double)(clock_now() - start) / NS_PER_US);
    buf_free(&delta);
}

static void
run_requests(struct bench *b)
{
    static const char body[1024];
    struct state_response response = {200, STR(""), {body, sizeof(body)}};
    uint8_t digest[STATE_DIGEST_BYTES] = {0};
    size_t before = heap_bytes();
    char key[32];

    for (unsigned i = 0; i < REQUEST_COUNT; i++) {
        snprintf(key, sizeof(key), "request-%u", i);
        state_cmd_request_begin(&b->cmd, &b->by, 1, str_of(key), digest,
                                STR("vm"), i, 1000);
        apply(b);
    }
    report(b, "request begin", REQUEST_COUNT);
    printf("  request record           %8zu bytes of heap\n",
           (heap_bytes() - before) / REQUEST_COUNT);
    for (unsigned i = 0; i < REQUEST_COUNT; i++) {
        snprintf(key, sizeof(key), "request-%u", i);
        state_cmd_request_end(&b->cmd, &b->by, 1, str_of(key), i + 1,
                              STATE_REQUEST_FINISHED, &response);
        apply(b);
    }
    report(b, "request end, 1 KiB", REQUEST_COUNT);
}

static void
run_other_commands(void)
{
    struct bench b;

    setup(&b);
    printf("other commands\n");
    run_keys(&b);
    run_requests(&b);
    state_destroy(b.s);
    buf_free(&b.cmd);
}

int
main(int argc, char **argv)
{
    static const size_t sizes[] = {10000, 46000, 200000};

    if (argc == 4 && strcmp(argv[1], "pairs") == 0) {
        return run_pairs(
            strtoul(argv[2], NULL, 10) / BATCH_ITEMS * BATCH_ITEMS,
            strtoul(argv[3], NULL, 10) / BATCH_ITEMS * BATCH_ITEMS);
    }
    for (int i = 1; i < argc; i++) {
        size_t jobs = strtoul(argv[i], NULL, 10) / BATCH_ITEMS * BATCH_ITEMS;
        if (jobs == 0) {
            fprintf(stderr, "JOBS must be at least %d\n", BATCH_ITEMS);
            return 2;
        }
        run_jobs(jobs);
    }
    for (size_t i = 0; argc == 1 && i < 3; i++) {
        run_jobs(sizes[i]);
    }
    run_multi_task_jobs();
    run_other_commands();
    return 0;
}
