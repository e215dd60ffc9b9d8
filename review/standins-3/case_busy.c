/*
 * The only worker with a GPU answers starts with 503 for a short time, in a
 * fleet without other work. Checks the rule LOST for a job that needs a GPU.
 */
#include <stdio.h>
#include <stdlib.h>

#include "cell.h"

enum {
    WORKERS = 48,
    GPU_WORKER = 17,
    BUSY_MS = 3000,
    /* A job is lost if nothing of it runs for 3 s, after 4 calm seconds. The
     * first second after the disruption is left out besides. */
    LOST_AFTER_MS = 8000,
    WATCH_MS = 40000,
};

int
main(int argc, char **argv)
{
    struct cell_options options = {.record = argc > 1 ? argv[1] : "record.txt",
                                   .controls = 5,
                                   .entries = 7,
                                   .workers = WORKERS};
    static const char id[] = "00000000000000d1";
    char body[256];
    char *config;
    int64_t calm;
    int64_t waited = 0;

    cell_init(&options);
    cell_set_gpus(GPU_WORKER, 2);
    config = cell_config(3, 700000, 1400000);
    cell_start_all(config);
    free(config);
    cell_sleep_ms(6000);
    calm = cell_now_ms();
    if (cell_trouble()) {
        calm += BUSY_MS;
        cell_refuse_starts(GPU_WORKER, 503, calm);
        cell_log("starts on worker %d are answered with 503 until %.3f",
                 GPU_WORKER, (double)calm / 1000);
    }
    if (cell_submit("/plain/00000000000000d1",
                    "{\"taskSpec\":\"run_ms=500 cpu=500 mem=256\",\"steps\":["
                    "{\"count\":1,\"cpu\":500,\"memoryRequestMb\":256,"
                    "\"gpu\":1,\"estimatedMs\":500}]}") != 200) {
        return cell_finish(2);
    }
    while (cell_now_ms() < calm + WATCH_MS && cell_view_job(id).starts == 0) {
        cell_sleep_ms(20);
    }
    waited = cell_now_ms() - calm;
    if (cell_trouble() && cell_refused_starts(GPU_WORKER) == 0) {
        cell_log("no start was answered with 503");
        return cell_finish(2);
    }
    cell_call_entry(0, "GET", "/plain/00000000000000d1", "", body,
                    sizeof(body));
    cell_log("client: GET /plain/00000000000000d1 -> %s", body);
    cell_log("the job %s, %lld ms after the last possible 503",
             cell_view_job(id).starts > 0 ? "started" : "has not started",
             (long long)waited);
    return cell_finish(waited > LOST_AFTER_MS ? 1 : 0);
}
