/*
 * A gang that needs room on every worker comes while two fifths of the fleet
 * are busy. Checks the rule LOST for other jobs that are handed in after it,
 * which fit on the idle workers many times over.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    WORKERS = 48,
    BUSY_WORKERS = 19,
    BUSY_MS = 60000,
    LATER_JOBS = 3,
    LATER_MS = 70000,
    /* A job is lost if nothing of it runs for 3 s, after 4 calm seconds. */
    LOST_AFTER_MS = 7000,
    WATCH_MS = 45000,
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    char ids[LATER_JOBS][17];
    int64_t sent[LATER_JOBS];
    int64_t started[LATER_JOBS];
    char body[512];
    char path[64];
    char *config;
    int64_t until;
    int64_t longest = 0;
    struct cell_fleet_view fleet;

    cell_init(&options);
    config = cell_config(3, 700000, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(3000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"busy run_ms=%d cpu=16000 mem=512\",\"steps\":[{"
             "\"count\":%d,\"cpu\":16000,\"memoryRequestMb\":512,"
             "\"estimatedMs\":%d}]}",
             BUSY_MS, BUSY_WORKERS, BUSY_MS);
    if (cell_submit("/plain/00000000000000a1", body) != 200 ||
        !cell_await_running("00000000000000a1", BUSY_WORKERS, 10000)) {
        return cell_finish(2);
    }
    if (cell_trouble()) {
        snprintf(body, sizeof(body),
                 "{\"taskSpec\":\"gang run_ms=5000 cpu=9000 mem=512\","
                 "\"steps\":[{\"count\":%d,\"cpu\":9000,"
                 "\"memoryRequestMb\":512,\"estimatedMs\":5000,"
                 "\"gang\":true}]}",
                 WORKERS);
        if (cell_submit("/plain/00000000000000b1", body) != 200) {
            return cell_finish(2);
        }
    }
    cell_sleep_ms(1000);
    for (int i = 0; i < LATER_JOBS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "%016x", 0xc0000 + i);
        snprintf(path, sizeof(path), "/plain/%s", ids[i]);
        snprintf(body, sizeof(body),
                 "{\"taskSpec\":\"later run_ms=%d cpu=8000 mem=512\","
                 "\"steps\":[{\"count\":1,\"cpu\":8000,"
                 "\"memoryRequestMb\":512,\"estimatedMs\":%d}]}",
                 LATER_MS, LATER_MS);
        if (cell_submit(path, body) != 200) {
            return cell_finish(2);
        }
        sent[i] = cell_now_ms();
        started[i] = -1;
    }
    until = cell_now_ms() + WATCH_MS;
    while (cell_now_ms() < until) {
        for (int i = 0; i < LATER_JOBS; i++) {
            int64_t end;

            if (started[i] < 0 && cell_view_job(ids[i]).starts > 0) {
                started[i] = cell_now_ms();
            }
            end = started[i] < 0 ? cell_now_ms() : started[i];
            longest = end - sent[i] > longest ? end - sent[i] : longest;
        }
        cell_sleep_ms(20);
    }
    fleet = cell_view_fleet();
    cell_log("cpu %lld of %lld in use on the fleet",
             (long long)fleet.cpu_used, (long long)fleet.cpu);
    cell_log("a later job waited for %lld ms", (long long)longest);
    return cell_finish(longest > LOST_AFTER_MS ? 1 : 0);
}
