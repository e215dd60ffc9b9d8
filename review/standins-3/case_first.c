/*
 * One of five core machines, a seed, fails within the first second of the
 * system's first start and stays away. Checks that the other four serve: the
 * operator's first configuration is acknowledged and clients are served.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    LOST_SEED = 1,
    LOST_AFTER_MS = 50,
    WATCH_MS = 80000,
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = 48};
    char *config;
    long status = 0;
    long last = -1;
    int64_t until;

    cell_init(&options);
    config = cell_config(3, 700000, 1400000);
    cell_start_control(LOST_SEED, true);
    cell_sleep_ms(LOST_AFTER_MS);
    if (cell_trouble()) {
        cell_kill_control(LOST_SEED);
    }
    for (int i = 0; i < options.controls; i++) {
        if (i != LOST_SEED) {
            cell_start_control(i, true);
        }
    }
    for (int i = 0; i < options.entries; i++) {
        cell_start_entry(i);
    }
    cell_start_workers();
    until = cell_now_ms() + WATCH_MS;
    for (int i = 0; status != 200 && cell_now_ms() < until; i++) {
        if (cell_trouble() && i % options.controls == LOST_SEED) {
            continue;
        }
        status = cell_call_control(i % options.controls, "PUT", "/config",
                                   config, NULL, 0);
        if (status != last) {
            cell_log("operator: PUT /config to core-%d -> %ld",
                     i % options.controls, status);
            last = status;
        }
        cell_sleep_ms(200);
    }
    free(config);
    if (status != 200) {
        cell_log("the configuration was not acknowledged for %d ms", WATCH_MS);
        status = cell_call_entry(0, "POST", "/plain/00000000000000a1",
                                 "{\"taskSpec\":\"run_ms=100\",\"steps\":[{"
                                 "\"count\":1,\"cpu\":100,"
                                 "\"memoryRequestMb\":16}]}",
                                 NULL, 0);
        cell_log("client: POST /plain/00000000000000a1 -> %ld", status);
        return cell_finish(1);
    }
    return cell_finish(0);
}
