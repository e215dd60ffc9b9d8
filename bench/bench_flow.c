/*
 * Measures the workflow planner under the simulated loads of flow_world.h:
 *
 *     bench_flow [SEEDS [FACTOR [SLOW_SHARE [LOST_SHARE
 * [grown|full|scarce|large]]]]]
 *
 * SEEDS      number of simulations of each load, with the seeds 1 to SEEDS
 * FACTOR     factor on the arrival rates
 * SLOW_SHARE share of the workers that are six times slower for 8 s
 * LOST_SHARE share of the workers that are lost for good
 * grown      simulate only the expected future load of the first site
 * full       simulate only a fleet that is offered about all of its room
 * scarce     simulate only a fleet whose approval service is overloaded
 * large      simulate only 1,100 workers, with rounds that take their time
 *
 * The figures are means over the seeds: the share of the value of all jobs
 * that was earned, the unweighted mean of that share over the jobs of each
 * kind (in parentheses over the largest tenth by work), the busy share of the
 * processors, and approval requests. The
 * number of unfinished jobs is the sum over the seeds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow_world.h"

static void
run_load(const char *site,
         void (*make)(struct flow_world_config *config, uint64_t seed),
         int seeds, double factor, double slow_share, double lost_share)
{
    double kind_earned[FLOW_KINDS_MAX] = {0};
    double largest_earned[FLOW_KINDS_MAX] = {0};
    double requests_per_job[FLOW_KINDS_MAX] = {0};
    double approval_s[FLOW_KINDS_MAX] = {0};
    double earned = 0;
    double cpu_busy = 0;
    size_t unfinished = 0;
    size_t rounds = 0;
    double round_ms = 0;
    double round_ms_max = 0;

    for (int i = 0; i < seeds; i++) {
        struct flow_world_config config;
        struct flow_world_result result;

        make(&config, (uint64_t)i + 1);
        config.slow_share = slow_share;
        config.slow_factor = 6;
        config.lost_share = lost_share;
        for (size_t k = 0; k < config.kind_count; k++) {
            config.kinds[k].jobs_per_second *= factor;
        }
        flow_world_run(&config, &result);
        if (result.violation[0] != '\0') {
            printf("%s seed %d: %s\n", site, i + 1, result.violation);
        }
        for (size_t k = 0; k < config.kind_count; k++) {
            kind_earned[k] += result.kinds[k].earned_share / seeds;
            largest_earned[k] += result.kinds[k].largest_earned_share / seeds;
        }
        for (size_t k = 0; k < config.kind_count; k++) {
            requests_per_job[k] += (double)result.kinds[k].approval_requests /
                                   (double)(result.kinds[k].jobs + 1) / seeds;
            approval_s[k] += result.kinds[k].approval_ms_total / 1000 / seeds;
        }
        earned += result.earned_share / seeds;
        cpu_busy += result.cpu_busy_share / seeds;
        unfinished += result.unfinished;
        round_ms += result.round_ms_mean / seeds;
        round_ms_max = result.round_ms_max > round_ms_max ? result.round_ms_max
                                                          : round_ms_max;
        rounds += result.rounds;
    }
    printf("%-10s earned %.3f  statement %.3f (largest %.2f)  damage %.3f "
           "(%.2f)  stock %.3f (%.2f)  busy %.2f  unfinished %zu\n",
           site, earned, kind_earned[0], largest_earned[0], kind_earned[1],
           largest_earned[1], kind_earned[2], largest_earned[2], cpu_busy,
           unfinished);
    printf("           approval calls a job %.2f %.2f %.2f, seconds in all "
           "%.0f %.0f %.0f\n",
           requests_per_job[0], requests_per_job[1], requests_per_job[2],
           approval_s[0], approval_s[1], approval_s[2]);
    printf("           planning rounds %zu, mean %.2f ms, longest %.1f ms\n",
           rounds, round_ms, round_ms_max);
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 8;
    double factor = argc > 2 ? atof(argv[2]) : 1;
    double slow_share = argc > 3 ? atof(argv[3]) : 0;
    double lost_share = argc > 4 ? atof(argv[4]) : 0;

    if (argc > 5 && strcmp(argv[5], "large") == 0) {
        run_load("large", flow_world_large, seeds, factor, slow_share,
                 lost_share);
        return 0;
    }
    if (argc > 5 && strcmp(argv[5], "full") == 0) {
        run_load("full", flow_world_full, seeds, factor, slow_share,
                 lost_share);
        return 0;
    }
    if (argc > 5 && strcmp(argv[5], "scarce") == 0) {
        run_load("scarce", flow_world_scarce, seeds, factor, slow_share,
                 lost_share);
        return 0;
    }
    if (argc > 5) {
        run_load("grown", flow_world_grown, seeds, factor, slow_share,
                 lost_share);
        return 0;
    }
    run_load("echeverria", flow_world_echeverria, seeds, factor, slow_share,
             lost_share);
    run_load("trentside", flow_world_trentside, seeds, factor, slow_share,
             lost_share);
    return 0;
}
