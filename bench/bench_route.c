/*
 * Model of several entries, one ledger and one service in seeded model time.
 * Prints the measures of docs/routing.md for the router and for baselines.
 * Usage: bench_route [SEED [SECTION]], with sections from 1 to 6
 *        bench_route size ENTRIES ENDPOINTS SECONDS, at load 0.9 and seed 1
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "route_model.h"

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

static double
quantile_ms(struct sample *s, double q)
{
    if (s->count == 0) {
        return NAN;
    }
    qsort(s->us, s->count, sizeof(*s->us), compare_u32);
    return s->us[(size_t)(q * (double)(s->count - 1))] / 1000.0;
}

/* Time from the shift until the newly busy entries hold 90 % of what they
 * hold on average at the end. */
static double
reassign_ms(const struct model *m)
{
    int64_t at = (WARM_NS + RUN_NS / 2) / TICK_NS;
    int64_t end = (WARM_NS + RUN_NS) / TICK_NS;
    double last = 0;

    for (int64_t i = end - 1000; i < end; i++) {
        last += m->hot_held[i] / 1000;
    }
    for (int64_t i = at; i < end; i++) {
        if (m->hot_held[i] >= 0.9 * last) {
            return (double)(i - at);
        }
    }
    return NAN;
}

static void
print_row(struct model *m)
{
    double seconds = (double)m->scenario->run_ns / NS_PER_S;
    double busiest = 0;
    double total = 0;
    double samples = m->samples == 0 ? 1 : (double)m->samples;

    for (int i = 0; i < m->scenario->endpoints; i++) {
        busiest = fmax(busiest, (double)m->started[i]);
        total += (double)m->started[i];
    }
    printf("%-12s %5.2f %6.1f%% %8.0f %7.0f %6.1f%% %6.1f%% %8.1f %8.1f %8.1f "
           "%8.1f %6u %6.2f %5.1f%% %6.0f %5.1f%s\n",
           m->mode->name, m->scenario->load,
           100 * m->useful_ns / (double)m->scenario->run_ns / CAPACITY,
           (double)m->useful[0] / seconds, (double)m->useful[1] / seconds,
           100 * m->idle_strict / samples / CAPACITY,
           100 * m->idle_matched / samples / CAPACITY,
           quantile_ms(&m->waits[0], 0.5), quantile_ms(&m->waits[0], 0.99),
           quantile_ms(&m->waits[1], 0.5), quantile_ms(&m->waits[1], 0.99),
           m->max_queued, busiest * ENDPOINTS / total,
           100 * (double)m->retries / (double)(m->sends + 1),
           (double)m->cpu_ns / (double)m->request_count,
           (double)m->report_bytes / seconds / ENTRIES / 1024,
           m->over ? " SLOTS EXCEEDED" : "");
}

static void
print_head(const char *title)
{
    printf("\n%s\n%-12s %5s %7s %8s %7s %7s %7s %8s %8s %8s %8s %6s %6s %6s "
           "%6s %5s\n",
           title, "mode", "load", "goodput", "checks/s", "bulk/s", "idle",
           "match", "chk p50", "chk p99", "blk p50", "blk p99", "queue",
           "spread", "retry", "ns/req", "KB/s");
}

static uint64_t requests_total;

static void
compare(const char *title, const struct mode *modes, size_t count,
        struct scenario s, const double *loads, size_t load_count,
        uint64_t seed)
{
    static struct model m;

    s.entries = ENTRIES;
    s.endpoints = ENDPOINTS;
    s.run_ns = s.run_ns == 0 ? RUN_NS : s.run_ns;
    s.end_ns = WARM_NS + s.run_ns;
    print_head(title);
    for (size_t l = 0; l < load_count; l++) {
        s.load = loads[l];
        for (size_t i = 0; i < count; i++) {
            model_run(&m, &modes[i], &s, seed);
            requests_total += m.request_count;
            print_row(&m);
            if (s.shift && !modes[i].fixed) {
                printf("%-12s reassigned after %.0f ms\n", "",
                       reassign_ms(&m));
            }
            if (s.elect) {
                printf("%-12s %llu promises recorded\n", "",
                       (unsigned long long)m.commits);
            }
            model_finish(&m);
        }
    }
}

/* Runs a size for callgrind and prints the number of requests. */
static int
run_size(char **args)
{
    static struct model m;
    static const struct mode leased = {.name = "leased"};
    struct scenario s = {.load = 0.9,
                         .entries = atoi(args[0]),
                         .endpoints = atoi(args[1]),
                         .end_ns = atoi(args[2]) * NS_PER_S};

    if (s.entries < 1 || s.entries > ENTRIES_MAX || s.endpoints < 1 ||
        s.endpoints > ENDPOINTS_MAX || s.end_ns < NS_PER_S) {
        fprintf(stderr, "at most %d entries and %d endpoints, at least 1 s\n",
                ENTRIES_MAX, ENDPOINTS_MAX);
        return 2;
    }
    model_run(&m, &leased, &s, 1);
    printf("%llu requests\n", (unsigned long long)m.request_count);
    model_finish(&m);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct mode modes[] = {
        {.name = "leased"},
        {.name = "static", .fixed = true},
        {.name = "fifo", .fifo = true},
        {.name = "no-refusal", .no_refusal = true},
        {.name = "unlimited", .unlimited = true},
    };
    static const double normal[] = {0.9};
    static const double loads[] = {1, 2, 10};

    if (argc == 5 && strcmp(argv[1], "size") == 0) {
        return run_size(argv + 2);
    }
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int only = argc > 2 ? atoi(argv[2]) : 0;

    printf("9 entries, 50 endpoints of 8 slots, seed %llu\n",
           (unsigned long long)seed);
    if (only == 0 || only == 1) {
        compare("even demand", modes, 4, (struct scenario){0}, normal, 1,
                seed);
    }
    if (only == 0 || only == 2) {
        compare("80% of the demand at 3 of 9 entries", modes, 2,
                (struct scenario){.uneven = true}, normal, 1, seed);
    }
    if (only == 0 || only == 3) {
        compare("demand moves from 3 entries to 3 others", modes, 2,
                (struct scenario){.shift = true}, normal, 1, seed);
    }
    if (only == 0 || only == 4) {
        compare("overload, 10% of the endpoints fail", modes, 5,
                (struct scenario){.failing = 5}, loads, 3, seed);
    }
    if (only == 0 || only == 5) {
        compare("40 s, no fault", modes, 1,
                (struct scenario){.run_ns = LONG_RUN_NS}, normal, 1, seed);
        compare("40 s, one of 9 entries dies at the start", modes, 1,
                (struct scenario){.run_ns = LONG_RUN_NS, .kill = true}, normal,
                1, seed);
    }
    if (only == 0 || only == 6) {
        struct scenario s = {.run_ns = LONG_RUN_NS, .elect = true};

        compare("40 s, another leader from 1 s on", modes, 1, s, normal, 1,
                seed);
        s.kill = true;
        compare("40 s, another leader from 1 s on, one of 9 entries dies",
                modes, 1, s, normal, 1, seed);
    }
    printf("\n%llu requests\n", (unsigned long long)requests_total);
    return 0;
}
