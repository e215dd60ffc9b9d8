#include "proc.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    PROCS_MAX = 256,
    LOGS_MAX = 128,
    LOG_PATH_BYTES = 256,
    TAIL_BYTES = 3000,
    POLL_MS = 5,
};

static volatile pid_t procs[PROCS_MAX];
static char logs[LOGS_MAX][LOG_PATH_BYTES];
static int log_count;

static void
kill_all(void)
{
    for (int i = 0; i < PROCS_MAX; i++) {
        if (procs[i] != 0) {
            kill(procs[i], SIGKILL);
        }
    }
}

static void
print_tail(const char *path)
{
    char text[TAIL_BYTES];
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    ssize_t len;

    if (fd < 0) {
        return;
    }
    if (lseek(fd, -TAIL_BYTES, SEEK_END) < 0) {
        lseek(fd, 0, SEEK_SET);
    }
    len = read(fd, text, sizeof(text));
    close(fd);
    if (len > 0) {
        (void)!write(STDERR_FILENO, "==> ", 4);
        (void)!write(STDERR_FILENO, path, strlen(path));
        (void)!write(STDERR_FILENO, "\n", 1);
        (void)!write(STDERR_FILENO, text, (size_t)len);
    }
}

void
proc_print_logs(void)
{
    for (int i = 0; i < log_count; i++) {
        print_tail(logs[i]);
    }
}

static void
on_fatal(int sig)
{
    proc_print_logs();
    kill_all();
    signal(sig, SIG_DFL);
    raise(sig);
}

static void
install(void)
{
    static const int fatal[] = {SIGABRT, SIGTERM, SIGINT, SIGSEGV, SIGALRM};
    static bool done;

    if (done) {
        return;
    }
    done = true;
    for (size_t i = 0; i < sizeof(fatal) / sizeof(fatal[0]); i++) {
        signal(fatal[i], on_fatal);
    }
    atexit(kill_all);
}

static void
remember_log(const char *log)
{
    for (int i = 0; i < log_count; i++) {
        if (strcmp(logs[i], log) == 0) {
            return;
        }
    }
    if (log_count < LOGS_MAX) {
        snprintf(logs[log_count++], LOG_PATH_BYTES, "%s", log);
    }
}

static void
remember(pid_t pid)
{
    for (int i = 0; i < PROCS_MAX; i++) {
        if (procs[i] == 0) {
            procs[i] = pid;
            return;
        }
    }
    abort();
}

static void
forget(pid_t pid)
{
    for (int i = 0; i < PROCS_MAX; i++) {
        if (procs[i] == pid) {
            procs[i] = 0;
        }
    }
}

pid_t
proc_spawn(const char *log, char *const argv[])
{
    posix_spawn_file_actions_t actions;
    pid_t pid = 0;
    int rc;

    install();
    remember_log(log);
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    rc = posix_spawn(&pid, argv[0], &actions, NULL, argv, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (rc != 0) {
        fprintf(stderr, "%s: %s\n", argv[0], strerror(rc));
        abort();
    }
    remember(pid);
    return pid;
}

int
proc_wait(pid_t pid, int timeout_ms)
{
    const struct timespec pause = {0, POLL_MS * 1000000L};
    int status;

    for (int waited = 0;; waited += POLL_MS) {
        pid_t rc = waitpid(pid, &status, WNOHANG);

        if (rc == pid) {
            forget(pid);
            return WIFEXITED(status) ? WEXITSTATUS(status)
                                     : 128 + WTERMSIG(status);
        }
        if (waited >= timeout_ms || (rc < 0 && errno != EINTR)) {
            return PROC_RUNNING;
        }
        nanosleep(&pause, NULL);
    }
}

void
proc_kill(pid_t pid)
{
    if (pid != 0) {
        kill(pid, SIGKILL);
        proc_wait(pid, 10000);
    }
}

void
proc_signal(pid_t pid, int sig)
{
    if (pid != 0) {
        kill(pid, sig);
    }
}

void
proc_reset(void)
{
    for (int i = 0; i < PROCS_MAX; i++) {
        proc_kill(procs[i]);
    }
    log_count = 0;
}
