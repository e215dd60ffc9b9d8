/*
 * A task that fills a worker beside tasks with a tail-latency target. Its
 * worker is lost for good; the others have room, but each has a task with a
 * target. Checks the rule LOST: the task must run again.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    WORKERS = 48,
    /* Workers without a task that has a target. */
    FREE_WORKERS = 3,
    SERVING = WORKERS - FREE_WORKERS,
    SETTLE_MS = 6000,
    /* By the rule, the task's turn has come 6 s after its last run, and it is
     * lost if nothing of it runs for 3 s. The core and the links are not
     * disturbed at all. */
    TURN_MS = 6000,
    NOTHING_MS = 3000,
    WATCH_MS = 45000,
};

static const char serving_id[] = "00000000000000a1";
static const char filling_id[] = "00000000000000b1";

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    char body[512];
    char *config;
    int64_t last_running;
    int64_t until;
    int64_t longest = 0;
    struct cell_fleet_view fleet;
    int victim;

    cell_init(&options);
    config = cell_config(3, 700000, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(3000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"serving warm_ms=300 cpu=1000 mem=512\","
             "\"steps\":[{\"count\":%d,\"cpu\":1000,\"memoryRequestMb\":512,"
             "\"estimatedMs\":10000,\"antiAffinity\":1,\"longRunning\":true,"
             "\"image\":\"a\",\"targetMs\":200}]}",
             SERVING);
    if (cell_submit("/plain/00000000000000a1", body) != 200 ||
        !cell_await_running(serving_id, SERVING, 10000)) {
        cell_log("the tasks with a target do not run");
        return cell_finish(2);
    }
    if (cell_submit(
            "/plain/00000000000000b1",
            "{\"taskSpec\":\"filling warm_ms=300 cpu=500 mem=256 "
            "fills=1\",\"steps\":[{\"count\":1,\"cpu\":500,"
            "\"memoryRequestMb\":256,\"estimatedMs\":10000,"
            "\"longRunning\":true,\"image\":\"b\",\"fills\":true}]}") != 200 ||
        !cell_await_running(filling_id, 1, 10000)) {
        cell_log("the task that fills does not run");
        return cell_finish(2);
    }
    cell_sleep_ms(SETTLE_MS);
    if (cell_trouble()) {
        for (int i = 0; i < FREE_WORKERS; i++) {
            victim = cell_worker_without("serving");
            if (victim < 0) {
                return cell_finish(2);
            }
            cell_crash_worker(victim);
        }
    }
    last_running = cell_now_ms();
    until = cell_now_ms() + WATCH_MS;
    while (cell_now_ms() < until) {
        if (cell_view_job(filling_id).running > 0) {
            last_running = cell_now_ms();
        }
        if (cell_now_ms() - last_running > longest) {
            longest = cell_now_ms() - last_running;
        }
        cell_sleep_ms(20);
    }
    fleet = cell_view_fleet();
    cell_log("%d workers, cpu %lld of %lld, memory %lld of %lld MB used; "
             "serving tasks running: %d",
             fleet.workers, (long long)fleet.cpu_used, (long long)fleet.cpu,
             (long long)fleet.memory_used, (long long)fleet.memory,
             cell_view_job(serving_id).running);
    cell_call_entry(0, "GET", "/plain/00000000000000b1", "", body,
                    sizeof(body));
    cell_log("client: GET /plain/00000000000000b1 -> %s", body);
    cell_log("the task that fills was not there for %lld ms on end",
             (long long)longest);
    return cell_finish(longest > TURN_MS + NOTHING_MS + 4000 ? 1 : 0);
}
