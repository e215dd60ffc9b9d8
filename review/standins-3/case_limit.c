/*
 * A gang that does not fit beside what its team has running already. Checks
 * the rule LOST for the team's other jobs, which fit its limit and the fleet.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    WORKERS = 48,
    TEAM_CPU = 100000,
    SERVICE_TASKS = 20, /* of 2000: two fifths of the limit */
    GANG_TASKS = 16,    /* of 4000: 64 % of the limit */
    GANG_ESTIMATE_MS = 60000,
    LOST_AFTER_MS = 7000,
    WATCH_MS = 60000,
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    static const char small_id[] = "00000000000000c1";
    char body[512];
    char *config;
    int64_t sent;
    int64_t waited;
    struct cell_fleet_view fleet;

    cell_init(&options);
    config = cell_config(3, TEAM_CPU, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(3000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"service warm_ms=300 cpu=2000 mem=512\","
             "\"steps\":[{\"count\":%d,\"cpu\":2000,\"memoryRequestMb\":512,"
             "\"estimatedMs\":10000,\"longRunning\":true}]}",
             SERVICE_TASKS);
    if (cell_submit("/plain/00000000000000a1", body) != 200 ||
        !cell_await_running("00000000000000a1", SERVICE_TASKS, 10000)) {
        cell_log("the service does not run");
        return cell_finish(2);
    }
    if (cell_trouble()) {
        snprintf(body, sizeof(body),
                 "{\"taskSpec\":\"gang run_ms=%d cpu=4000 mem=512\","
                 "\"steps\":[{\"count\":%d,\"cpu\":4000,"
                 "\"memoryRequestMb\":512,\"estimatedMs\":%d,"
                 "\"gang\":true}]}",
                 GANG_ESTIMATE_MS, GANG_TASKS, GANG_ESTIMATE_MS);
        if (cell_submit("/other/00000000000000b1", body) != 200) {
            return cell_finish(2);
        }
        cell_sleep_ms(2000);
    }
    if (cell_submit("/plain/00000000000000c1",
                    "{\"taskSpec\":\"small run_ms=500 cpu=500 mem=256\","
                    "\"steps\":[{\"count\":1,\"cpu\":500,"
                    "\"memoryRequestMb\":256,\"estimatedMs\":500}]}") != 200) {
        return cell_finish(2);
    }
    sent = cell_now_ms();
    while (cell_now_ms() < sent + WATCH_MS &&
           cell_view_job(small_id).starts == 0) {
        cell_sleep_ms(20);
    }
    waited = cell_now_ms() - sent;
    fleet = cell_view_fleet();
    cell_log("cpu %lld of %lld used on the fleet, limit of the team %d",
             (long long)fleet.cpu_used, (long long)fleet.cpu, TEAM_CPU);
    cell_call_entry(0, "GET", "/plain/00000000000000c1", "", body,
                    sizeof(body));
    cell_log("client: GET /plain/00000000000000c1 -> %s", body);
    cell_log("the small job %s after %lld ms",
             cell_view_job(small_id).starts > 0 ? "started"
                                                : "has not started",
             (long long)waited);
    return cell_finish(waited > LOST_AFTER_MS ? 1 : 0);
}
