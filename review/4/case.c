/*
 * A worker leaves an order to start a task unanswered and carries it out
 * LATE_MS later. Meanwhile the task was started on another worker, and the
 * first one crashes and starts again under its id. Do two runs of the task go
 * on at the same time?
 *
 * Each task takes a whole worker. An urgent job needs all workers right after
 * the lost order, so that the task goes to another worker than before.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

enum {
    WORKERS = 8,
    LATE_MS = 4000, /* 2 to 12 s */
    CRASH_AT_MS = 3350,
    DOWN_MS = 400,
    RUN_MS = 12000,
    URGENT_MS = 2500,
    CHECK_MS = 1500, /* after the order was carried out */
};

#define HOST "orders.example"
#define KEY "key-0123456789abcdef"
#define JOB "/orders/5c0e7a21d94b36f8"
#define URGENT_JOB "/checks/5c0e7a21d94b36f9"
#define TASK "5c0e7a21d94b36f8.0.0.0"

static struct rig rig = {.controls = 5,
                         .entries = 2,
                         .worker_count = WORKERS,
                         .lease_max_ms = 6000};

#define ROUTE(name, prefix, priority)                                         \
    "{\"name\":\"" name "\",\"host\":\"" HOST "\",\"pathPrefix\":\"" prefix   \
    "\",\"kind\":\"non_idempotent\",\"timeoutMs\":3000,"                      \
    "\"targetLatencyMs\":1000,\"priority\":" priority                         \
    ",\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":2.2,"                 \
    "\"public\":false}"

static const char config[] =
    "{\"version\":1,\"routes\":[" ROUTE("r-orders", "/orders/", "2") "," ROUTE(
        "r-checks", "/checks/",
        "0") "],\"services\":[{\"name\":\"svc\","
             "\"healthPath\":\"/health\",\"maxConnections\":64,"
             "\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,"
             "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
             "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
             "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\","
             "\"apiKeys\":[\"" KEY "\"],\"priority\":1,\"weight\":1}]}";

static void
fault(const char *name, const char *body)
{
    struct rig_answer a;
    char url[128];

    snprintf(url, sizeof(url), "http://%s.100:%d/fault/%s", rig.net, rig.port,
             name);
    a = rig_call("POST", url, NULL, NULL, body, 1000);
    rig_answer_free(&a);
    if (a.status != 200) {
        rig_fail(&rig, "the workers do not answer");
    }
}

static void
submit(const char *path, int count, int run_ms)
{
    char body[256];
    int status;

    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d\",\"steps\":[{\"count\":%d,"
             "\"cpu\":16000,\"memoryRequestMb\":64,\"estimatedMs\":%d}]}",
             run_ms, count, run_ms);
    status = rig_submit(&rig, HOST, path, KEY, body);
    rig_record("client: POST %s -> %d", path, status);
    if (status != 200) {
        rig_fail(&rig, "a job was not accepted");
    }
}

/* Returns the worker whose start was lost, -1 if none was. */
static int
lost_worker(void)
{
    for (int i = 0; i < WORKERS; i++) {
        char id[32];

        snprintf(id, sizeof(id), "i-%08x", 0x7f3a0000 + i);
        if (rig_count_worker_lines(&rig, "LATE", id, TASK) > 0) {
            return i;
        }
    }
    return -1;
}

int
main(int argc, char **argv)
{
    char body[128];
    int64_t lost_at;
    int worker = -1;
    int running;

    (void)argc;
    rig_init(&rig, argv[1]);
    rig_start(&rig, config);
    if (rig.trouble) {
        snprintf(body, sizeof(body), "{\"count\":1,\"ms\":%d}", LATE_MS);
        fault("late", body);
    }
    submit(JOB, 1, RUN_MS);
    lost_at = rig_now();
    while (rig.trouble && (worker = lost_worker()) < 0) {
        if (rig_now() > lost_at + 2000) {
            rig_fail(&rig, "no start was sent");
        }
        rig_sleep(2);
    }
    lost_at = rig_now();
    submit(URGENT_JOB, WORKERS, URGENT_MS);
    while (rig_now() < lost_at + CRASH_AT_MS) {
        rig_sleep(2);
    }
    if (rig.trouble) {
        snprintf(body, sizeof(body), "{\"worker\":%d,\"ms\":%d}", worker,
                 DOWN_MS);
        fault("restart", body);
        rig_record("workers: worker %d, which has not carried out the order, "
                   "crashes and is back after %d ms",
                   worker, DOWN_MS);
    }
    while (rig_now() < lost_at + LATE_MS + CHECK_MS) {
        rig_sleep(10);
    }
    running = rig_overlaps(&rig, TASK);
    rig_copy_worker_lines(&rig, TASK, 20);
    rig_copy_worker_lines(&rig, "CRASH", 4);
    rig_copy_worker_lines(&rig, "BORN", 4);
    rig_copy_worker_lines(&rig, "CARRIED-OUT", 4);
    rig_record("starts of the task while another run of it went on: %d",
               running);
    rig_finish(&rig, running > 0 ? RIG_BROKEN : RIG_HELD);
}
