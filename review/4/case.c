/*
 * A configuration replaces a route: it removes one and adds another at the
 * same host and prefix, for the same service. Is a job that was accepted
 * before still known at its address, and can it be cancelled?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

enum {
    RUN_MS = 30000,
    VISIBLE_MS = 3000,
    CANCEL_MS = 3000,
    STOP_GRACE_MS = 200,
    SLACK_MS = 500,
};

#define HOST "orders.example"
#define KEY "key-0123456789abcdef"
#define JOB "/orders/5c0e7a21d94b36f8"
#define TASK "5c0e7a21d94b36f8.0.0.0"

static struct rig rig = {
    .controls = 5, .entries = 2, .worker_count = 8, .lease_max_ms = 6000};

static char *
make_config(int version, const char *route, int timeout_ms)
{
    static char out[2048];

    snprintf(
        out, sizeof(out),
        "{\"version\":%d,\"routes\":[{\"name\":\"%s\",\"host\":\"" HOST
        "\",\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\","
        "\"timeoutMs\":%d,\"targetLatencyMs\":1000,\"priority\":1,"
        "\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":2.2,"
        "\"public\":false}],\"services\":[{\"name\":\"svc\","
        "\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":"
        "\"h1\",\"tls\":false,\"admissionCheck\":false,\"standby\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],"
        "\"priority\":1,\"weight\":1}]}",
        version, route, timeout_ms);
    return out;
}

static int
call(const char *method)
{
    struct rig_answer a;
    char url[128];
    int status = 0;

    for (int i = 0; i < 5; i++) {
        rig_entry_url(&rig, i % rig.entries, JOB, url, sizeof(url));
        a = rig_call(method, url, HOST, KEY, NULL, 3000);
        status = a.status;
        rig_answer_free(&a);
        if (status != 0 && status < 500) {
            break;
        }
        rig_sleep(200);
    }
    rig_record("client: %s %s -> %d", method, JOB, status);
    return status;
}

static int
count_running(void)
{
    return rig_count_worker_lines(&rig, "START", TASK, "") -
           rig_count_worker_lines(&rig, "END", TASK, "");
}

int
main(int argc, char **argv)
{
    char body[256];
    int status;
    int state;
    int running;

    (void)argc;
    rig_init(&rig, argv[1]);
    rig_start(&rig, make_config(1, "r-first", 3000));
    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d\",\"steps\":[{\"count\":1,"
             "\"cpu\":1000,\"memoryRequestMb\":64,\"estimatedMs\":%d}]}",
             RUN_MS, RUN_MS);
    status = rig_submit(&rig, HOST, JOB, KEY, body);
    rig_record("client: POST %s -> %d", JOB, status);
    if (status != 200) {
        rig_fail(&rig, "the job was not accepted");
    }
    rig_sleep(VISIBLE_MS + SLACK_MS);
    if (call("GET") != 200) {
        rig_fail(&rig, "the job is not known before the change");
    }
    if (rig_put_config(&rig, rig.trouble
                                 ? make_config(2, "r-second", 3000)
                                 : make_config(2, "r-first", 2500)) != 200) {
        rig_fail(&rig, "version 2 was not accepted");
    }
    rig_sleep(VISIBLE_MS + SLACK_MS);
    state = call("GET");
    status = call("DELETE");
    if (status != 200 && status != 410) {
        rig_fail(&rig, "the cancelling was not acknowledged");
    }
    rig_sleep(CANCEL_MS + STOP_GRACE_MS + SLACK_MS);
    running = count_running();
    rig_copy_worker_lines(&rig, TASK, 10);
    rig_record("the accepted job is %s at its address; after its cancelling "
               "was acknowledged with %d, %d runs of its task go on",
               state == 410 ? "unknown" : "known", status, running);
    rig_finish(&rig, state == 410 || running > 0 ? RIG_BROKEN : RIG_HELD);
}
