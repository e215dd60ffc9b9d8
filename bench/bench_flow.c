/*
 * Plays the users' loads against the workflow planner:
 *
 *     bench_flow [SEEDS [FACTOR [SLOW_SHARE [DEAD_SHARE [grown]]]]]
 */
#include <stdio.h>
#include <stdlib.h>

#include "flow_world.h"

static void
play(const char *site,
     void (*make)(struct flow_world_config *config, uint64_t seed), int seeds,
     double factor, double slow, double dead)
{
    double kinds[FLOW_KINDS_MAX] = {0};
    double largest[FLOW_KINDS_MAX] = {0};
    double calls[FLOW_KINDS_MAX] = {0};
    double call_s[FLOW_KINDS_MAX] = {0};
    double all = 0;
    double busy = 0;
    size_t unfinished = 0;

    for (int i = 0; i < seeds; i++) {
        struct flow_world_config config;
        struct flow_world_result result;

        make(&config, (uint64_t)i + 1);
        config.slow_share = slow;
        config.slow_factor = 6;
        config.dead_share = dead;
        for (size_t k = 0; k < config.kind_count; k++) {
            config.kinds[k].per_second *= factor;
        }
        flow_world_run(&config, &result);
        if (result.violation[0] != '\0') {
            printf("%s seed %d: %s\n", site, i + 1, result.violation);
        }
        for (size_t k = 0; k < config.kind_count; k++) {
            kinds[k] += result.kinds[k].earned / seeds;
            largest[k] += result.kinds[k].worst_earned / seeds;
        }
        for (size_t k = 0; k < config.kind_count; k++) {
            calls[k] += (double)result.kinds[k].calls /
                        (double)(result.kinds[k].jobs + 1) / seeds;
            call_s[k] += result.kinds[k].call_ms / 1000 / seeds;
        }
        all += result.earned / seeds;
        busy += result.busy / seeds;
        unfinished += result.unfinished;
    }
    printf("%-10s earned %.3f  statement %.3f (largest %.2f)  damage %.3f "
           "(%.2f)  stock %.3f (%.2f)  busy %.2f  unfinished %zu\n",
           site, all, kinds[0], largest[0], kinds[1], largest[1], kinds[2],
           largest[2], busy, unfinished);
    printf("           approval calls a job %.2f %.2f %.2f, seconds in all "
           "%.0f %.0f %.0f\n",
           calls[0], calls[1], calls[2], call_s[0], call_s[1], call_s[2]);
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 8;
    double factor = argc > 2 ? atof(argv[2]) : 1;
    double slow = argc > 3 ? atof(argv[3]) : 0;
    double dead = argc > 4 ? atof(argv[4]) : 0;

    if (argc > 5) {
        play("grown", flow_world_grown, seeds, factor, slow, dead);
        return 0;
    }
    play("echeverria", flow_world_echeverria, seeds, factor, slow, dead);
    play("trentside", flow_world_trentside, seeds, factor, slow, dead);
    return 0;
}
