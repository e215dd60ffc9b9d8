/*
 * Two core machines are gone for good, and others come at new addresses. Long
 * after that, two of the core's disks are lost, which is what the deployment
 * is to bear at once. Is what was acknowledged still there?
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

enum {
    SUCCESSOR_MS = 2000, /* until a successor comes */
    APART_MS = 500,      /* between the two replacements */
    CATCH_UP_MS = 10000, /* catchUpS is 4 */
    DOWN_MS = 1000,
    RECOVERY_MS = 12000, /* recoveryS */
};

#define HOST "orders.example"
#define KEY "key-0123456789abcdef"
#define JOB "/orders/5c0e7a21d94b36f8"

static struct rig rig = {
    .controls = 5, .entries = 2, .worker_count = 4, .lease_max_ms = 10000};

static char *
make_config(int version)
{
    static char out[2048];

    snprintf(
        out, sizeof(out),
        "{\"version\":%d,\"routes\":[{\"name\":\"r-orders\",\"host\":\"" HOST
        "\",\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\","
        "\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,"
        "\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":2.2,"
        "\"public\":false}],\"services\":[{\"name\":\"svc\","
        "\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":"
        "\"h1\",\"tls\":false,\"admissionCheck\":false,\"standby\":false}],"
        "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
        "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],"
        "\"priority\":1,\"weight\":1}]}",
        version);
    return out;
}

/* core-4 and core-5 go; core-6 and core-7 come. The seeds stay. */
static void
replace_two(void)
{
    rig_kill_control(&rig, 3, true);
    rig_record("platform: core-4 is gone for good");
    rig_sleep(APART_MS);
    rig_kill_control(&rig, 4, true);
    rig_record("platform: core-5 is gone for good");
    rig_sleep(SUCCESSOR_MS - APART_MS);
    rig_start_control(&rig, 5);
    rig_record("platform: core-6 comes at a new address, with an empty disk");
    rig_sleep(APART_MS);
    rig_start_control(&rig, 6);
    rig_record("platform: core-7 comes at a new address, with an empty disk");
}

static void
lose_two_disks(void)
{
    rig_kill_control(&rig, 0, true);
    rig_kill_control(&rig, 1, true);
    rig_sleep(DOWN_MS);
    rig_start_control(&rig, 0);
    rig_start_control(&rig, 1);
    rig_record("platform: core-1 and core-2 have lost their disks and are "
               "back after %d ms",
               DOWN_MS);
}

/* Asks each control VM in turn until one answers. Returns the version. */
static int
read_version(int64_t until)
{
    int version = 0;

    for (int i = 0; version == 0 && rig_now() < until; i++) {
        struct rig_answer a;
        char url[128];

        rig_control_url(&rig, i % (rig.trouble ? 7 : 5), "/config", url,
                        sizeof(url));
        a = rig_call("GET", url, NULL, NULL, NULL, 1000);
        if (a.status == 200) {
            version =
                (int)json_integer_value(json_object_get(a.body, "version"));
        }
        rig_answer_free(&a);
        rig_sleep(100);
    }
    return version;
}

int
main(int argc, char **argv)
{
    int64_t until;
    char *state;
    int version;
    int status;

    (void)argc;
    rig_init(&rig, argv[1]);
    rig_start(&rig, make_config(1));
    status = rig_submit(&rig, HOST, JOB, KEY,
                        "{\"taskSpec\":\"run_ms=300\",\"steps\":[{\"count\":1,"
                        "\"cpu\":500,\"memoryRequestMb\":64,"
                        "\"estimatedMs\":300}]}");
    rig_record("client: POST %s -> %d", JOB, status);
    if (status != 200) {
        rig_fail(&rig, "the job was not accepted");
    }
    if (rig.trouble) {
        replace_two();
    }
    rig_sleep(CATCH_UP_MS);
    if (rig_put_config(&rig, make_config(2)) != 200) {
        rig_fail(&rig, "version 2 was not accepted");
    }
    if (rig.trouble) {
        lose_two_disks();
    }
    until = rig_now() + RECOVERY_MS + 3000;
    version = read_version(until);
    rig_record("operator: GET /config -> version %d", version);
    state = rig_job_state(&rig, HOST, JOB, KEY, &status);
    rig_record("client: GET %s -> %d %s", JOB, status,
               state == NULL ? "" : state);
    rig_finish(&rig, version < 2 || state == NULL ? RIG_BROKEN : RIG_HELD);
}
