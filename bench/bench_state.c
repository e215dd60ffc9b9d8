/*
 * Cost of the replicated state: memory per job and per task, time per
 * command, and snapshots, at the numbers of jobs given as arguments (10000,
 * 46000 and 200000 by default). One task per job, 256 bytes of payload.
 * "bench_state pairs JOBS PAIRS" instead starts and ends the tasks of PAIRS
 * of JOBS live jobs, in measure_pairs(), for callgrind --toggle-collect.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "state.h"

enum {
    BATCH = 100,
    WORKERS = 1000,
    WIDE_TASKS = 1000,
    WIDE_JOBS = 40,
    KEYS = 2000,
    REQUESTS = 5000,
};

#define WALL INT64_C(1769903999000)

struct bench {
    struct state *s;
    struct buf cmd;
    struct state_result result;
    struct state_actor by;
    int64_t apply_ns; /* in state_apply since the last report */
    size_t bytes;     /* of commands since the last report */
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
    b->by.wall_ms = WALL;
    state_cmd_bootstrap(&b->cmd, &b->by, 1, NULL, 0, &state_settings_default);
    apply(b);
    state_cmd_teams_set(&b->cmd, &b->by, 0, &team, 1);
    apply(b);
    for (int i = 0; i < WORKERS; i++) {
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
    size_t narrow;

    for (size_t i = 0; i < jobs; i++) {
        put_job(b, "nightly-statement", i, 1);
    }
    narrow = heap_bytes() - before;
    report(b, "job put", jobs);
    printf("  queued job of one task   %8zu bytes of heap\n", narrow / jobs);
}

static void
place_batch(struct bench *b, size_t first)
{
    struct state_placement items[BATCH];

    for (size_t k = 0; k < BATCH; k++) {
        items[k] = (struct state_placement){
            .job = first + k + 1,
            .worker = 1 + (uint32_t)(first + k) % WORKERS,
            .incarnation = 1,
            .lease = first + k + 1};
    }
    state_cmd_tasks_placed(&b->cmd, &b->by, items, BATCH);
    apply(b);
}

static void
end_batch(struct bench *b, size_t first)
{
    struct state_end items[BATCH];

    for (size_t k = 0; k < BATCH; k++) {
        items[k] = (struct state_end){.lease = first + k + 1,
                                      .outcome = STATE_OUTCOME_DONE};
    }
    state_cmd_tasks_ended(&b->cmd, &b->by, items, BATCH);
    apply(b);
}

static void
place_all(struct bench *b, size_t jobs)
{
    size_t before = heap_bytes();

    for (size_t i = 0; i < jobs; i += BATCH) {
        place_batch(b, i);
    }
    report(b, "task placed, in 100s", jobs);
    printf("  placed task's lease      %8zu bytes of heap\n",
           (heap_bytes() - before) / jobs);
}

static void
sample_all(struct bench *b, size_t jobs)
{
    struct state_sample items[BATCH];

    for (size_t i = 0; i < jobs; i += BATCH) {
        for (size_t k = 0; k < BATCH; k++) {
            items[k] = (struct state_sample){i + k + 1, 1000, 2000, 0};
        }
        state_cmd_usage(&b->cmd, &b->by, items, BATCH);
        apply(b);
    }
    report(b, "usage sample, in 100s", jobs);
}

static void
end_all(struct bench *b, size_t jobs)
{
    size_t before = heap_bytes();

    for (size_t i = 0; i < jobs; i += BATCH) {
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
snapshot(struct bench *b, const char *what)
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
    sample_all(&b, jobs);
    snapshot(&b, "all placed");
    end_all(&b, jobs);
    snapshot(&b, "all ended");
    state_destroy(b.s);
    buf_free(&b.cmd);
}

/* Places and ends the tasks of PAIRS jobs, encoding the commands as well. */
__attribute__((noinline)) static void
measure_pairs(struct bench *b, size_t first, size_t pairs)
{
    for (size_t i = first; i < first + pairs; i += BATCH) {
        place_batch(b, i);
        end_batch(b, i);
    }
}

static int
run_pairs(size_t jobs, size_t pairs)
{
    struct bench b;

    if (pairs == 0 || pairs > jobs) {
        fprintf(stderr, "at least %d pairs, and as many jobs\n", BATCH);
        return 2;
    }
    setup(&b);
    for (size_t i = 0; i < jobs; i++) {
        put_job(&b, "nightly-statement", i, 1);
    }
    for (size_t i = 0; i < jobs - pairs; i += BATCH) {
        place_batch(&b, i);
    }
    measure_pairs(&b, jobs - pairs, pairs);
    printf("%zu pairs\n", pairs);
    state_destroy(b.s);
    buf_free(&b.cmd);
    return 0;
}

static void
run_wide(void)
{
    struct bench b;
    size_t before;

    setup(&b);
    before = heap_bytes();
    for (size_t i = 0; i < WIDE_JOBS; i++) {
        put_job(&b, "wide", i, WIDE_TASKS);
    }
    printf("%d jobs of %d tasks\n", WIDE_JOBS, WIDE_TASKS);
    printf("  waiting task             %8zu bytes of heap\n",
           (heap_bytes() - before) / WIDE_JOBS / WIDE_TASKS);
    state_destroy(b.s);
    buf_free(&b.cmd);
}

static void
run_keys(struct bench *b)
{
    struct buf delta = {0};
    uint64_t version = state_config_version(b->s);
    int64_t start;

    for (uint32_t i = 0; i < KEYS; i++) {
        uint8_t hash[STATE_HASH_BYTES];
        memset(hash, 0, sizeof(hash));
        memcpy(hash, &i, sizeof(i));
        state_cmd_key_add(&b->cmd, &b->by, STATE_KEY_TEAM, STR("team"), hash);
        apply(b);
    }
    report(b, "key add", KEYS);
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

    for (unsigned i = 0; i < REQUESTS; i++) {
        snprintf(key, sizeof(key), "request-%u", i);
        state_cmd_request_begin(&b->cmd, &b->by, 1, str_of(key), digest,
                                STR("vm"), i, 1000);
        apply(b);
    }
    report(b, "request begin", REQUESTS);
    printf("  request record           %8zu bytes of heap\n",
           (heap_bytes() - before) / REQUESTS);
    for (unsigned i = 0; i < REQUESTS; i++) {
        snprintf(key, sizeof(key), "request-%u", i);
        state_cmd_request_end(&b->cmd, &b->by, 1, str_of(key), i + 1,
                              STATE_REQUEST_FINISHED, &response);
        apply(b);
    }
    report(b, "request end, 1 KiB", REQUESTS);
}

static void
run_others(void)
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
        return run_pairs(strtoul(argv[2], NULL, 10) / BATCH * BATCH,
                         strtoul(argv[3], NULL, 10) / BATCH * BATCH);
    }
    for (int i = 1; i < argc; i++) {
        size_t jobs = strtoul(argv[i], NULL, 10) / BATCH * BATCH;
        if (jobs == 0) {
            fprintf(stderr, "at least %d jobs\n", BATCH);
            return 2;
        }
        run_jobs(jobs);
    }
    for (size_t i = 0; argc == 1 && i < 3; i++) {
        run_jobs(sizes[i]);
    }
    run_wide();
    run_others();
    return 0;
}
