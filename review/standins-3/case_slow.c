/*
 * Tasks that take many times their estimate, one on each worker of a fleet
 * that is otherwise idle. Checks the rule LOST for short jobs of another queue
 * that are handed in meanwhile: there is room for them many times over.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cell.h"

enum {
    WORKERS = 48,
    ESTIMATE_MS = 500,
    LONG_MS = 60000,
    /* A job is lost if nothing of it runs for 3 s, after 4 calm seconds. */
    LOST_AFTER_MS = 7000,
    PROBES_MAX = 100,
    WATCH_MS = 85000,
};

struct probe {
    char id[17];
    int64_t sent_ms;
    int64_t started_ms; /* -1: not yet */
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    static struct probe probes[PROBES_MAX];
    int probe_count = 0;
    char body[512];
    char path[64];
    char *config;
    int64_t began;
    int64_t next_probe;
    int64_t longest = 0;
    struct cell_fleet_view fleet;

    cell_init(&options);
    config = cell_config(3, 700000, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(3000);
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"batch run_ms=%d cpu=1000 mem=512\",\"steps\":[{"
             "\"count\":%d,\"cpu\":1000,\"memoryRequestMb\":512,"
             "\"estimatedMs\":%d,\"antiAffinity\":1}]}",
             cell_trouble() ? LONG_MS : ESTIMATE_MS, WORKERS, ESTIMATE_MS);
    if (cell_submit("/plain/00000000000000a1", body) != 200) {
        return cell_finish(2);
    }
    began = cell_now_ms();
    next_probe = began;
    while (cell_now_ms() < began + WATCH_MS) {
        if (cell_now_ms() >= next_probe && probe_count < PROBES_MAX) {
            struct probe *p = &probes[probe_count];

            snprintf(p->id, sizeof(p->id), "%016x", 0xb0000 + probe_count);
            snprintf(path, sizeof(path), "/other/%s", p->id);
            if (cell_submit(path, "{\"taskSpec\":\"run_ms=300 cpu=500 "
                                  "mem=256\",\"steps\":[{\"count\":1,"
                                  "\"cpu\":500,\"memoryRequestMb\":256,"
                                  "\"estimatedMs\":300}]}") != 200) {
                return cell_finish(2);
            }
            p->sent_ms = cell_now_ms();
            p->started_ms = -1;
            probe_count++;
            next_probe = cell_now_ms() + 2000;
        }
        for (int i = 0; i < probe_count; i++) {
            int64_t waited;

            if (probes[i].started_ms < 0 &&
                cell_view_job(probes[i].id).starts > 0) {
                probes[i].started_ms = cell_now_ms();
            }
            waited = (probes[i].started_ms < 0 ? cell_now_ms()
                                               : probes[i].started_ms) -
                     probes[i].sent_ms;
            if (waited > longest) {
                fleet = cell_view_fleet();
                longest = waited;
            }
        }
        cell_sleep_ms(20);
    }
    for (int i = 0; i < probe_count; i++) {
        cell_log("job %s was accepted at %.3f and started at %.3f",
                 probes[i].id, (double)probes[i].sent_ms / 1000,
                 (double)probes[i].started_ms / 1000);
    }
    cell_log("at the end of the longest wait: cpu %lld of %lld, memory %lld "
             "of %lld MB used",
             (long long)fleet.cpu_used, (long long)fleet.cpu,
             (long long)fleet.memory_used, (long long)fleet.memory);
    cell_log("longest wait of an accepted job: %lld ms", (long long)longest);
    return cell_finish(longest > LOST_AFTER_MS ? 1 : 0);
}
