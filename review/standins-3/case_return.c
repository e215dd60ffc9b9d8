/*
 * A minion crashes for good shortly after it has started a task that lasts.
 * Checks the rule LOST: the task must be there again 9 s after its last run
 * at the latest (6 s, and not for 3 s on end).
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    WORKERS = 48,
    CRASH_AFTER_MS = 200, /* of the start */
    TURN_MS = 6000,
    NOTHING_MS = 3000,
    SLACK_MS = 200, /* for the script's own delays */
    TASKS = 5,      /* one after the other, each on a minion of its own */
    WATCH_MS = 15000,
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    char *config;
    int late = 0;

    cell_init(&options);
    config = cell_config(3, 700000, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(3000);
    for (int i = 0; i < TASKS; i++) {
        char id[17];
        char path[64];
        int64_t crashed;
        int64_t gap;

        snprintf(id, sizeof(id), "%016x", 0xe0000 + i);
        snprintf(path, sizeof(path), "/plain/%s", id);
        if (cell_submit(path, "{\"taskSpec\":\"warm_ms=100 cpu=9000 "
                              "mem=512\",\"steps\":[{\"count\":1,"
                              "\"cpu\":9000,\"memoryRequestMb\":512,"
                              "\"estimatedMs\":1000,"
                              "\"longRunning\":true}]}") != 200 ||
            !cell_await_running(id, 1, 5000)) {
            return cell_finish(2);
        }
        cell_sleep_ms(CRASH_AFTER_MS);
        crashed = cell_now_ms();
        if (cell_trouble()) {
            cell_crash_worker(cell_view_job(id).on_worker);
        }
        while (cell_view_job(id).running == 0 &&
               cell_now_ms() < crashed + WATCH_MS) {
            cell_sleep_ms(10);
        }
        gap = cell_now_ms() - crashed;
        cell_log("job %s was not there for %lld ms", id, (long long)gap);
        late += gap > TURN_MS + NOTHING_MS + SLACK_MS;
        cell_sleep_ms(4000);
    }
    cell_log("%d of %d tasks were lost by the rule", late, TASKS);
    return cell_finish(late > TASKS / 2 ? 1 : 0);
}
