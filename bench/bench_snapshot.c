/*
 * Measures how long a snapshot stops the thread that applies commands, at the
 * numbers of jobs given as arguments (10000, 100000 and 300000 by default).
 * Two thirds of the jobs have ended, the tasks of the others are placed; each
 * job has one task and 256 bytes of payload. As in the daemon, the snapshot is
 * encoded in slices of 1 ms. Between two slices 8 tasks are started and 8
 * ended; with the daemon's pauses that is 2,700 of each per second.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "rng.h"
#include "state.h"

enum {
    BATCH_ITEMS = 100, /* most items of one command */
    LOAD_TASKS = 8,    /* tasks started and ended between two slices */
    WORKER_COUNT = 1000,
    STEP_BYTES = 8 * 1024, /* encoded between two looks at the clock */
    SLICE_US = 1000,
};

struct bench {
    struct state *s;
    struct buf cmd;
    struct state_actor by;
    struct rng rng;
    uint64_t jobs;  /* number of jobs submitted so far */
    uint64_t lease; /* the newest one */
    uint64_t *live; /* leases of placed tasks */
    size_t live_count;
    int64_t apply_ns;   /* spent in state_apply since the last report */
    int64_t longest_ns; /* longest state_apply since the last report */
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
    struct state_result result;
    int64_t start = clock_now();
    int64_t took;

    state_apply(b->s, state_index(b->s) + 1, buf_str(&b->cmd), &result);
    took = clock_now() - start;
    b->apply_ns += took;
    b->longest_ns = took > b->longest_ns ? took : b->longest_ns;
    buf_clear(&b->cmd);
    if (result.kind != STATE_APPLIED) {
        fprintf(stderr, "%s was not applied\n",
                state_command_text(result.command));
        exit(1);
    }
}

static void
put_job(struct bench *b)
{
    static const char payload[256];
    uint8_t digest[STATE_DIGEST_BYTES] = {0};
    struct state_job_spec spec = {.class = STATE_JOB_BATCH,
                                  .tasks = 1,
                                  .cpu_milli = 1000,
                                  .memory_mib = 2000,
                                  .idempotent = true,
                                  .payload = {payload, sizeof(payload)}};
    char name[48];
    int len = snprintf(name, sizeof(name), "nightly-statement-%llu",
                       (unsigned long long)b->jobs++);

    state_cmd_job_put(&b->cmd, &b->by, 1, str_from(name, (size_t)len), &spec,
                      digest);
    apply(b);
}

/* Submits jobs of one task and places their tasks. */
static void
start_jobs(struct bench *b, size_t count)
{
    struct state_placement items[BATCH_ITEMS];

    for (size_t i = 0; i < count; i++) {
        put_job(b);
        b->lease++;
        b->live[b->live_count++] = b->lease;
        items[i] = (struct state_placement){
            .job = b->jobs,
            .worker = 1 + (uint32_t)(b->jobs % WORKER_COUNT),
            .incarnation = 1,
            .lease = b->lease};
    }
    state_cmd_tasks_placed(&b->cmd, &b->by, items, count);
    apply(b);
}

/* Reports the usage of the first or of random live leases and ends their tasks
 * and jobs. A lease's number is also its job's number here. */
static void
end_jobs(struct bench *b, size_t count, bool random)
{
    struct state_task_end ends[BATCH_ITEMS];
    struct state_usage_sample samples[BATCH_ITEMS];

    for (size_t i = 0; i < count; i++) {
        size_t at = random ? rng_below(&b->rng, b->live_count) : 0;

        ends[i] = (struct state_task_end){.lease = b->live[at],
                                          .outcome = STATE_OUTCOME_DONE,
                                          .next = STATE_TASK_ENDED};
        samples[i] = (struct state_usage_sample){b->live[at], 1000, 2000, 0};
        b->live[at] = b->live[--b->live_count];
    }
    state_cmd_usage(&b->cmd, &b->by, samples, count);
    apply(b);
    state_cmd_tasks_ended(&b->cmd, &b->by, ends, count);
    apply(b);
    for (size_t i = 0; i < count; i++) {
        state_cmd_job_outcome(&b->cmd, &b->by, ends[i].lease, STATE_JOB_DONE,
                              STR(""));
        apply(b);
    }
}

static void
setup(struct bench *b, size_t jobs)
{
    struct state_team_item team = {STR("team"), 1};
    struct state_capacity capacity = {16000, 32000, 0};

    *b = (struct bench){.s = state_create(),
                        .rng = {1},
                        .live = malloc((jobs + 1) * 2 * sizeof(uint64_t)),
                        .by = {.wall_ms = 1769903999000}};
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
    while (b->jobs < jobs) {
        start_jobs(b, BATCH_ITEMS);
        if (b->jobs % (3 * (uint64_t)BATCH_ITEMS) != 0) {
            end_jobs(b, BATCH_ITEMS, true);
        }
    }
}

static void
apply_load(struct bench *b)
{
    start_jobs(b, LOAD_TASKS);
    end_jobs(b, LOAD_TASKS, true);
}

/* Prints the mean time per started and ended task, and the longest command. */
static void
print_load(struct bench *b, const char *what, size_t rounds)
{
    printf("  task's commands %-9s %8.0f ns each, longest command %.0f us\n",
           what, (double)b->apply_ns / (double)(rounds * LOAD_TASKS),
           (double)b->longest_ns / NS_PER_US);
    b->apply_ns = 0;
    b->longest_ns = 0;
}

/* Encodes a snapshot in slices with load between them. Returns the number of
 * slices. */
static size_t
encode_sliced(struct bench *b, int64_t *longest)
{
    size_t slices = 0;
    bool done = false;

    *longest = 0;
    while (!done) {
        int64_t start = clock_now();
        int64_t took;

        if (slices == 0) {
            state_snapshot_begin(b->s);
        }
        do {
            done = state_snapshot_step(b->s, STEP_BYTES);
            took = clock_now() - start;
        } while (!done && took < SLICE_US * NS_PER_US);
        *longest = took > *longest ? took : *longest;
        slices++;
        if (!done) {
            apply_load(b);
        }
    }
    return slices;
}

static void
run(size_t jobs)
{
    struct buf whole = {0};
    struct state_chunks chunks;
    struct bench b;
    size_t before;
    size_t heap;
    size_t slices;
    size_t bytes = 0;
    int64_t longest;
    int64_t start;

    setup(&b, jobs);
    printf("%zu jobs\n", jobs);
    start = clock_now();
    state_encode(b.s, &whole);
    printf("  in one go       %8.2f ms stop, %.1f MB\n",
           (double)(clock_now() - start) / NS_PER_MS, (double)whole.len / 1e6);
    buf_free(&whole);
    b.apply_ns = 0;
    b.longest_ns = 0;
    for (size_t i = 0; i < 200; i++) {
        apply_load(&b);
    }
    print_load(&b, "alone", 200);
    before = heap_bytes();
    slices = encode_sliced(&b, &longest);
    heap = heap_bytes() - before;
    start = clock_now();
    state_snapshot_take(b.s, &chunks);
    start = clock_now() - start;
    for (size_t i = 0; i < chunks.count; i++) {
        bytes += chunks.list[i].len;
    }
    printf("  in slices       %8.2f ms longest stop, %zu slices, "
           "take %.2f ms\n",
           (double)longest / NS_PER_MS, slices, (double)start / NS_PER_MS);
    print_load(&b, "meanwhile", slices - 1);
    printf("  heap grown by   %8.1f MB, snapshot %.1f MB\n",
           (double)heap / 1e6, (double)bytes / 1e6);
    state_chunks_free(&chunks);
    state_destroy(b.s);
    buf_free(&b.cmd);
    free(b.live);
}

int
main(int argc, char **argv)
{
    static const size_t sizes[] = {10000, 100000, 300000};

    for (int i = 1; i < argc; i++) {
        size_t jobs = strtoul(argv[i], NULL, 10);

        if (jobs < 3 * (size_t)BATCH_ITEMS) {
            fprintf(stderr, "the number of jobs must be at least %d\n",
                    3 * BATCH_ITEMS);
            return 2;
        }
        run(jobs);
    }
    for (size_t i = 0; argc == 1 && i < 3; i++) {
        run(sizes[i]);
    }
    return 0;
}
