#ifndef GV_TEST_PROC_H
#define GV_TEST_PROC_H

#include <stdbool.h>
#include <sys/types.h>

/*
 * Child processes of an end-to-end test. Every process that was started and
 * not yet waited for is killed, by its id, when the test program ends, also
 * by a failed assertion or a signal; on failure the ends of the registered
 * log files are printed first.
 */

enum {
    PROC_RUNNING = -1,
};

/* Starts argv[0] with both output streams appended to the log file. */
pid_t
proc_spawn(const char *log, char *const argv[]);

/* Returns the exit status (128 + signal when killed), or PROC_RUNNING when
 * the process still runs after timeout_ms. */
int
proc_wait(pid_t pid, int timeout_ms);

/* Kills the process and waits for it. 0 is ignored. */
void
proc_kill(pid_t pid);
void
proc_signal(pid_t pid, int sig);

/* Kills all and forgets the log files. */
void
proc_reset(void);

/* Prints the end of each log file to standard error. */
void
proc_print_logs(void);

#endif
