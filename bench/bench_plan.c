/*
 * Measures rounds of the workflow planner on a full fleet with a backlog:
 *
 *     bench_plan WORKERS STEPS ROUNDS
 *
 * Half of the STEPS that wait have tickets for workers without free capacity,
 * the others have none yet. Prints the processor time of a round. Under
 * callgrind only the rounds are counted.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <valgrind/callgrind.h>

#include "clock.h"
#include "flow_fixture.h"
#include "mem.h"

enum {
    WORKER_CPU_MILLI = 16000,
    STEP_TASKS = 4,
    STEP_CPU_MILLI = 4000,
    VERDICTS_PER_STEP = 24,
    FILLING_TASKS = 1000, /* of a job that keeps workers busy */
    FIRST_FILLING_JOB = 1000000,
    FIRST_JOB = 1,
    ROUND_INTERVAL_MS = 10,
};

#define START_NS (100 * NS_PER_S)

/* As on the leader, see leader_plan.c. */
static const struct plan_limits limits = {
    .starts = 400,
    .approval_requests = 64,
    .reservations = 61,
    .visits = 30000,
};

static void
add_worker(struct flow_fixture *f, uint32_t number,
           struct plan_worker *session)
{
    Flow__Worker worker = FLOW__WORKER__INIT;
    Flow__Size size = FLOW__SIZE__INIT;
    Flow__Command command = FLOW__COMMAND__INIT;
    char id[16];

    snprintf(id, sizeof(id), "w%u", number);
    worker.id = id;
    worker.born_ms = 1;
    worker.address = (char *)"127.0.0.1:1";
    worker.service = (char *)"s";
    size.cpu_milli = WORKER_CPU_MILLI;
    size.memory_mib = 65536;
    worker.capacity = &size;
    command.kind_case = FLOW__COMMAND__KIND_WORKER;
    command.worker = &worker;
    flow_fixture_apply(f, &command);
    session->usable = true;
    flow_worker_by_id(f->state, str_of(id))->session = session;
}

/* Fills the workers from number first on with one task each, which runs on. */
static void
fill_workers(struct flow_fixture *f, uint32_t first, uint32_t count)
{
    uint64_t id = FIRST_FILLING_JOB + first;
    Flow__Step *steps[] = {
        flow_fixture_create_step(count, WORKER_CPU_MILLI, -1)};
    struct flow_job *j = flow_fixture_submit_job(f, id, steps, 1);
    struct flow_step *step = &j->occurrences[0].steps[0];

    j->arrived_ns = START_NS;
    for (uint32_t i = 0; i < count; i++) {
        flow_fixture_start_run(f, id, 0, i, 1, first + i);
        step->tasks[i].run_started_ns = START_NS;
    }
}

static void
add_waiting_step(struct flow_fixture *f, uint32_t number, uint32_t workers)
{
    Flow__Step *steps[] = {
        flow_fixture_create_step(STEP_TASKS, STEP_CPU_MILLI, -1)};
    struct flow_job *j =
        flow_fixture_submit_job(f, FIRST_JOB + number, steps, 1);
    struct flow_step *step = &j->occurrences[0].steps[0];

    j->arrived_ns = START_NS;
    for (uint32_t i = 0; number % 2 == 0 && i < VERDICTS_PER_STEP; i++) {
        plan_record_verdict(step, (number * 7 + i * 13) % workers + 1, true,
                            str_of("ticket"), START_NS + 60 * NS_PER_S);
    }
}

static double
thread_cpu_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

int
main(int argc, char **argv)
{
    uint32_t workers = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1100;
    uint32_t steps = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 500;
    int rounds = argc > 3 ? atoi(argv[3]) : 20;
    struct plan_worker *sessions = mem_zalloc(workers, sizeof(*sessions));
    struct flow_fixture *f = mem_zalloc(1, sizeof(*f));
    struct plan plan = {0};
    double total_ms = 0;
    double longest_ms = 0;

    if (workers == 0 || rounds <= 0) {
        fprintf(stderr, "usage: bench_plan WORKERS STEPS ROUNDS\n");
        return 2;
    }
    flow_fixture_init(f);
    flow_fixture_set_config(f, 2, "two", true, 0);
    for (uint32_t i = 0; i < workers; i++) {
        add_worker(f, i + 1, &sessions[i]);
    }
    for (uint32_t i = 0; i < workers; i += FILLING_TASKS) {
        uint32_t left = workers - i;

        fill_workers(f, i + 1, left < FILLING_TASKS ? left : FILLING_TASKS);
    }
    for (uint32_t i = 0; i < steps; i++) {
        add_waiting_step(f, i, workers);
    }
    for (int i = 0; i < rounds; i++) {
        int64_t now = START_NS + i * ROUND_INTERVAL_MS * NS_PER_MS;
        double began_ms = thread_cpu_ms();
        double took_ms;

        CALLGRIND_TOGGLE_COLLECT;
        plan_make(f->state, now, &limits, &plan);
        CALLGRIND_TOGGLE_COLLECT;
        took_ms = thread_cpu_ms() - began_ms;
        total_ms += took_ms;
        longest_ms = took_ms > longest_ms ? took_ms : longest_ms;
    }
    printf("workers %u  steps %u  round %.3f ms, longest %.3f ms\n", workers,
           steps, total_ms / rounds, longest_ms);
    plan_free(&plan);
    flow_fixture_free(f);
    mem_free(f);
    mem_free(sessions);
    return 0;
}
