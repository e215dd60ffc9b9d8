/*
 * Simulates several entries, one ledger and one service and prints the
 * measures of docs/routing.md for the router and for baselines.
 * Usage: bench_route [SEED [SECTION]]
 *            runs all sections, or one from 1 to 6, with seed 1 by default
 *        bench_route size ENTRIES ENDPOINTS SECONDS
 *            runs one size at load 0.9 and seed 1; callgrind
 *            --collect-atstart=no counts the router and the ledger only
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

/* Sorts the samples; returns NAN if there are none. */
static double
wait_quantile_ms(struct wait_samples *s, double q)
{
    if (s->count == 0) {
        return NAN;
    }
    qsort(s->wait_us, s->count, sizeof(*s->wait_us), compare_u32);
    return s->wait_us[(size_t)(q * (double)(s->count - 1))] / 1000.0;
}

/* Returns the time from the shift of the demand until the entries that get it
 * hold 90 % of the units that they hold on average in the last second. */
static double
reassign_time_ms(const struct model *m)
{
    int64_t shift_tick = (WARMUP_NS + MEASURED_NS / 2) / TICK_NS;
    int64_t end_tick = (WARMUP_NS + MEASURED_NS) / TICK_NS;
    double final_held = 0;

    for (int64_t i = end_tick - 1000; i < end_tick; i++) {
        final_held += m->shifted_held[i] / 1000;
    }
    for (int64_t i = shift_tick; i < end_tick; i++) {
        if (m->shifted_held[i] >= 0.9 * final_held) {
            return (double)(i - shift_tick);
        }
    }
    return NAN;
}

static void
print_row(struct model *m)
{
    double seconds = (double)m->scenario->measured_ns / NS_PER_S;
    double busiest = 0;
    double total = 0;
    double samples =
        m->idle_sample_count == 0 ? 1 : (double)m->idle_sample_count;

    for (int i = 0; i < m->scenario->endpoints; i++) {
        busiest = fmax(busiest, (double)m->started_attempts[i]);
        total += (double)m->started_attempts[i];
    }
    printf("%-12s %5.2f %6.1f%% %8.0f %7.0f %6.1f%% %6.1f%% %8.1f %8.1f %8.1f "
           "%8.1f %6u %6.2f %5.1f%% %6.0f %5.1f%s\n",
           m->mode->name, m->scenario->load,
           100 * m->useful_slot_ns / (double)m->scenario->measured_ns /
               TOTAL_SLOTS,
           (double)m->useful_count[0] / seconds,
           (double)m->useful_count[1] / seconds,
           100 * m->idle_strict / samples / TOTAL_SLOTS,
           100 * m->idle_matched / samples / TOTAL_SLOTS,
           wait_quantile_ms(&m->waits[0], 0.5),
           wait_quantile_ms(&m->waits[0], 0.99),
           wait_quantile_ms(&m->waits[1], 0.5),
           wait_quantile_ms(&m->waits[1], 0.99), m->max_queued,
           busiest * ENDPOINTS / total,
           100 * (double)m->retries / (double)(m->sends + 1),
           (double)m->cpu_ns / (double)m->request_count,
           (double)m->report_bytes / seconds / ENTRIES / 1024,
           m->slots_exceeded ? " SLOTS EXCEEDED" : "");
}

static void
print_header(const char *title)
{
    printf("\n%s\n%-12s %5s %7s %8s %7s %7s %7s %8s %8s %8s %8s %6s %6s %6s "
           "%6s %5s\n",
           title, "mode", "load", "goodput", "checks/s", "bulk/s", "idle",
           "match", "chk p50", "chk p99", "blk p50", "blk p99", "queue",
           "spread", "retry", "ns/req", "KB/s");
}

static uint64_t requests_total;

/* Runs a scenario with each mode at each load and prints a row for each. */
static void
run_section(const char *title, const struct mode *modes, size_t count,
            struct scenario s, const double *loads, size_t load_count,
            uint64_t seed)
{
    static struct model m;

    s.entries = ENTRIES;
    s.endpoints = ENDPOINTS;
    s.measured_ns = s.measured_ns == 0 ? MEASURED_NS : s.measured_ns;
    s.end_ns = WARMUP_NS + s.measured_ns;
    print_header(title);
    for (size_t l = 0; l < load_count; l++) {
        s.load = loads[l];
        for (size_t i = 0; i < count; i++) {
            model_run(&m, &modes[i], &s, seed);
            requests_total += m.request_count;
            print_row(&m);
            if (s.demand_shifts && !modes[i].static_split) {
                printf("%-12s reassigned after %.0f ms\n", "",
                       reassign_time_ms(&m));
            }
            if (s.leader_changes) {
                printf("%-12s %llu promises recorded\n", "",
                       (unsigned long long)m.recorded_count);
            }
            model_free(&m);
        }
    }
}

/* Runs the size that the arguments give and prints the number of requests, by
 * which tests/bounds_route.sh divides the instructions. */
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
        fprintf(
            stderr,
            "expected 1 to %d entries, 1 to %d endpoints and at least 1 s\n",
            ENTRIES_MAX, ENDPOINTS_MAX);
        return 2;
    }
    model_run(&m, &leased, &s, 1);
    printf("%llu requests\n", (unsigned long long)m.request_count);
    model_free(&m);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct mode modes[] = {
        {.name = "leased"},
        {.name = "static", .static_split = true},
        {.name = "fifo", .fifo = true},
        {.name = "no-refusal", .no_refusal = true},
        {.name = "unlimited", .unlimited_retries = true},
    };
    static const double normal_load[] = {0.9};
    static const double overloads[] = {1, 2, 10};

    if (argc == 5 && strcmp(argv[1], "size") == 0) {
        return run_size(argv + 2);
    }
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    int section = argc > 2 ? atoi(argv[2]) : 0;

    printf("9 entries, 50 endpoints of 8 slots, seed %llu\n",
           (unsigned long long)seed);
    if (section == 0 || section == 1) {
        run_section("even demand", modes, 4, (struct scenario){0}, normal_load,
                    1, seed);
    }
    if (section == 0 || section == 2) {
        run_section("80% of the demand at 3 of 9 entries", modes, 2,
                    (struct scenario){.uneven_demand = true}, normal_load, 1,
                    seed);
    }
    if (section == 0 || section == 3) {
        run_section("demand moves from 3 entries to 3 others", modes, 2,
                    (struct scenario){.demand_shifts = true}, normal_load, 1,
                    seed);
    }
    if (section == 0 || section == 4) {
        run_section("overload, 10% of the endpoints fail", modes, 5,
                    (struct scenario){.failing_endpoints = 5}, overloads, 3,
                    seed);
    }
    if (section == 0 || section == 5) {
        run_section("40 s, no fault", modes, 1,
                    (struct scenario){.measured_ns = LONG_MEASURED_NS},
                    normal_load, 1, seed);
        run_section("40 s, one of 9 entries dies at the start", modes, 1,
                    (struct scenario){.measured_ns = LONG_MEASURED_NS,
                                      .entry_dies = true},
                    normal_load, 1, seed);
    }
    if (section == 0 || section == 6) {
        struct scenario s = {.measured_ns = LONG_MEASURED_NS,
                             .leader_changes = true};

        run_section("40 s, another leader from 1 s on", modes, 1, s,
                    normal_load, 1, seed);
        s.entry_dies = true;
        run_section("40 s, another leader from 1 s on, one of 9 entries dies",
                    modes, 1, s, normal_load, 1, seed);
    }
    printf("\n%llu requests\n", (unsigned long long)requests_total);
    return 0;
}
