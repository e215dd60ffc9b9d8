/* End-to-end loss of a whole failure domain: a control VM, an entry, the
 * workers and the endpoints in it are killed at the same moment. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "await.h"
#include "cluster_api.h"
#include "e2e.h"
#include "e2e_rig.h"
#include "load.h"
#include "proc.h"

enum {
    DOMAINS = 3, /* cluster.c puts VM i into domain i % 3 */
    WORKERS = 3, /* one in each domain, then the endpoints alike */
    FAKES = 6,
    JOBS = 12,
    QUARTER_CPU_MILLI = 4000, /* the jobs fill all workers */
};

static struct cluster *
start(void)
{
    struct cluster *c = cluster_start(3, 3, false);
    char domain[16];
    char id[16];
    const char *options[] = {"--failure-domain", domain, NULL};

    cluster_provision(c);
    for (int i = 0; i < FAKES; i++) {
        snprintf(domain, sizeof(domain), "fd%d", i % DOMAINS + 1);
        snprintf(id, sizeof(id), "%s%d", i < WORKERS ? "w" : "e",
                 i % DOMAINS + 1);
        if (i < WORKERS) {
            cluster_worker(c, id, options);
        }
        else {
            cluster_endpoint(c, id, options);
        }
    }
    cluster_await_workers(c, WORKERS);
    cluster_await_endpoints(c, FAKES - WORKERS);
    for (int vm = 0; vm < c->count; vm++) {
        load_await(c, vm);
    }
    return c;
}

/* Signals all before it waits for any. */
static void
kill_domain(struct cluster *c, int domain)
{
    for (int i = domain; i < c->count; i += DOMAINS) {
        proc_signal(c->vms[i].pid, SIGKILL);
    }
    for (int i = domain; i < c->fake_count; i += DOMAINS) {
        proc_signal(c->fakes[i].pid, SIGKILL);
    }
    for (int i = domain; i < c->count; i += DOMAINS) {
        cluster_vm_kill(c, i);
    }
    for (int i = domain; i < c->fake_count; i += DOMAINS) {
        cluster_fake_kill(c, i);
    }
}

static void
start_domain(struct cluster *c, int domain)
{
    for (int i = domain; i < c->count; i += DOMAINS) {
        cluster_vm_start(c, i);
    }
    for (int i = domain; i < c->fake_count; i += DOMAINS) {
        cluster_fake_start(c, i);
    }
}

/* Idempotent tasks that the domain ran start elsewhere; the others end as
 * done or unknown, which the checker compares with what ran. */
static void
await_started_elsewhere(const struct cluster *c)
{
    char id[32];

    for (int i = 0; i < JOBS; i += 2) {
        snprintf(id, sizeof(id), "before-%d", i);
        api_await_job(c, id, "done");
    }
    g_assert_cmpint(e2e_starts(c, "before"), >, JOBS);
}

static void
lose_domain(bool with_leader, bool again)
{
    struct cluster *c = start();
    struct load *load = e2e_load(c, 8);
    int domain = with_leader ? cluster_leader(c, -1) : cluster_follower(c);
    int away = DOMAINS + (domain + 1) % DOMAINS;
    int64_t version;

    e2e_run_jobs(c, "before", JOBS, QUARTER_CPU_MILLI, "run_ms=1000");
    if (again) {
        cluster_vm_kill(c, away);
    }
    kill_domain(c, domain);
    cluster_leader(c, domain);
    load_await_more(load, 50);
    e2e_put_jobs(c, "meanwhile", JOBS, "run_ms=100");
    version = e2e_change_teams(c, 7, -1);
    await_started_elsewhere(c);
    api_await_jobs_ended(c);
    cluster_await_workers(c, WORKERS - 1);
    cluster_await_endpoints(c, WORKERS - 1);
    start_domain(c, domain);
    if (again) {
        cluster_await_workers(c, WORKERS);
        e2e_put_jobs(c, "again", JOBS, "run_ms=500");
        kill_domain(c, domain);
        load_await_more(load, 50);
        start_domain(c, domain);
        cluster_vm_start(c, away);
    }
    cluster_await_whole(c);
    cluster_await_workers(c, WORKERS);
    cluster_await_endpoints(c, FAKES - WORKERS);
    for (int i = domain; i < c->count; i += DOMAINS) {
        cluster_await_ready(c, i);
        g_assert_cmpint(api_list_version(c, "teams", i), ==, version);
    }
    e2e_put_jobs(c, "after", JOBS, "run_ms=100");
    load_await_more(load, 50);
    load_stop(load);
    e2e_finish(c);
}

/* Guards against tasks of a lost domain that run twice or never, requests
 * that stop with it, and VMs, workers or endpoints that do not come back. */
static void
test_follower(void)
{
    lose_domain(false, false);
}

/* The same when the new leader does not know what the lost one granted. */
static void
test_leader(void)
{
    lose_domain(true, false);
}

/* The same while an entry of another domain is away, and once more before the
 * first loss is settled. */
static void
test_again(void)
{
    lose_domain(true, true);
}

int
main(int argc, char **argv)
{
    e2e_case("/e2e/domain/follower", test_follower);
    e2e_case("/e2e/domain/leader", test_leader);
    e2e_case("/e2e/domain/again", test_again);
    return e2e_run(argc, argv);
}
