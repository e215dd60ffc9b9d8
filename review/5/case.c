/*
 * The leader is killed. Clients hand in jobs meanwhile, leave before their
 * deadline without an answer and cancel the jobs at another entry node, which
 * acknowledges that. Do the jobs stay cancelled?
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

enum {
    CLIENTS = 80,
    LEAVE_ONE_IN = 4, /* share 0.25 */
    SPACING_MS = 13,  /* between two clients */
    LEAVE_MS = 250,   /* before an answer, if there is no leader */
    DEADLINE_MS = 3000,
    RUN_MS = 16000,
    CANCEL_MS = 3000,
    STOP_GRACE_MS = 200,
    DOWN_MS = 3000,
    CONTACT_MS = 3000,
    SLACK_MS = 1000,
};

#define HOST "orders.example"
#define KEY "key-0123456789abcdef"

static struct rig rig = {
    .controls = 5, .entries = 3, .worker_count = 16, .lease_max_ms = 6000};

struct client {
    int number;
    int submit_status;
    int cancel_status;
    int64_t cancelled_at;
    pthread_t thread;
};

static struct client clients[CLIENTS];

static const char config[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r-orders\",\"host\":\"" HOST
    "\",\"pathPrefix\":\"/orders/\",\"kind\":\"non_idempotent\","
    "\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":1,"
    "\"service\":\"svc\",\"maxAttempts\":3,\"stretch\":2.2,"
    "\"public\":false}],\"services\":[{\"name\":\"svc\","
    "\"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\","
    "\"tls\":false,\"admissionCheck\":false,\"standby\":false}],"
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
    "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
    "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"" KEY "\"],\"priority\":1,"
    "\"weight\":1}]}";

static uint64_t
job_id(const struct client *c)
{
    return 0x5c0e7a2100000000U + (uint64_t)c->number;
}

static int
call(const struct client *c, int entry, const char *method, const char *body,
     int timeout_ms)
{
    struct rig_answer a;
    char path[64];
    char url[128];

    snprintf(path, sizeof(path), "/orders/%016llx",
             (unsigned long long)job_id(c));
    rig_entry_url(&rig, entry % rig.entries, path, url, sizeof(url));
    a = rig_call(method, url, HOST, KEY, body, timeout_ms);
    rig_answer_free(&a);
    return a.status;
}

static void *
run_client(void *arg)
{
    struct client *c = arg;
    char body[256];

    snprintf(body, sizeof(body),
             "{\"taskSpec\":\"run_ms=%d\",\"steps\":[{\"count\":1,"
             "\"cpu\":1000,\"memoryRequestMb\":64,\"estimatedMs\":%d}]}",
             RUN_MS, RUN_MS);
    rig_sleep(c->number * SPACING_MS);
    if (c->number % LEAVE_ONE_IN != 0) {
        c->submit_status = call(c, c->number, "POST", body, DEADLINE_MS);
        return NULL;
    }
    c->submit_status = call(c, c->number, "POST", body, LEAVE_MS);
    for (int i = 0; i < 20; i++) {
        c->cancel_status =
            call(c, c->number + 1 + i, "DELETE", NULL, DEADLINE_MS);
        if (c->cancel_status == 200 || c->cancel_status == 410) {
            break;
        }
        rig_sleep(100);
    }
    c->cancelled_at = rig_now();
    return NULL;
}

static bool
is_running(const struct client *c)
{
    char task[64];

    snprintf(task, sizeof(task), "%016llx.0.0.0",
             (unsigned long long)job_id(c));
    return rig_count_worker_lines(&rig, "START", task, "") >
           rig_count_worker_lines(&rig, "END", task, "");
}

int
main(int argc, char **argv)
{
    int64_t killed_at;
    int leader;
    int wrong = 0;

    (void)argc;
    rig_init(&rig, argv[1]);
    rig_start(&rig, config);
    leader = rig_find_leader(&rig);
    killed_at = rig_now();
    if (rig.trouble) {
        kill(rig.control_pids[leader], SIGKILL);
        rig_reap(rig.control_pids[leader], 2000);
        rig.control_pids[leader] = 0;
        rig_record("platform: core-%d, the leader, is killed", leader + 1);
    }
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        pthread_create(&clients[i].thread, NULL, run_client, &clients[i]);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i].thread, NULL);
    }
    while (rig_now() < killed_at + DOWN_MS) {
        rig_sleep(20);
    }
    if (rig.trouble) {
        rig_start_control(&rig, leader);
        rig_record("platform: core-%d is started again", leader + 1);
    }
    rig_sleep(CONTACT_MS + CANCEL_MS + STOP_GRACE_MS + SLACK_MS);
    for (int i = 0; i < CLIENTS; i++) {
        const struct client *c = &clients[i];
        char task[64];

        if (c->cancel_status != 200 && c->cancel_status != 410) {
            continue;
        }
        snprintf(task, sizeof(task), "%016llx", (unsigned long long)job_id(c));
        rig_record("client %d: POST %s -> %d, DELETE -> %d at %.3f, runs now: "
                   "%d",
                   c->number, task, c->submit_status, c->cancel_status,
                   (double)c->cancelled_at / 1000, is_running(c));
        wrong += is_running(c);
    }
    rig_record("%d jobs run %d ms or more after their cancelling was "
               "acknowledged",
               wrong, CONTACT_MS + CANCEL_MS + STOP_GRACE_MS + SLACK_MS);
    rig_finish(&rig, wrong > 0 ? RIG_BROKEN : RIG_HELD);
}
