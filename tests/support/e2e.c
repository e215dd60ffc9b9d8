#include "e2e.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "mem.h"

enum {
    CASES_MAX = 64,
};

static struct {
    const char *path;
    void (*run)(void);
} cases[CASES_MAX];
static int case_count;
static volatile pid_t child;

static void
on_stop(int sig)
{
    if (child != 0) {
        kill(child, SIGTERM);
    }
    signal(sig, SIG_DFL);
    raise(sig);
}

/* proc.c ends the started processes when the alarm rings. */
static void
run_case(gconstpointer data)
{
    void (*const *run)(void) = data;
    int status = -1;
    pid_t pid = fork();

    if (pid == 0) {
        signal(SIGTERM, SIG_DFL);
        alarm(E2E_CASE_S);
        (*run)();
        exit(0);
    }
    child = pid;
    while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
    }
    child = 0;
    if (status != 0) {
        g_test_fail();
    }
}

void
e2e_case(const char *path, void (*run)(void))
{
    g_assert_cmpint(case_count, <, CASES_MAX);
    cases[case_count].path = path;
    cases[case_count++].run = run;
}

int
e2e_run(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    signal(SIGTERM, on_stop);
    signal(SIGINT, on_stop);
    for (int i = 0; i < case_count; i++) {
        g_test_add_data_func(cases[i].path, &cases[i].run, run_case);
    }
    return g_test_run();
}

struct cluster *
e2e_clone(const struct cluster *c)
{
    struct cluster *clone = mem_alloc(sizeof(*clone));

    *clone = *c;
    clone->client = http_client_create();
    return clone;
}

void
e2e_clone_free(struct cluster *clone)
{
    http_client_destroy(clone->client);
    mem_free(clone);
}

int
e2e_random(int bound)
{
    return g_test_rand_int_range(0, bound);
}
