#ifndef GV_CLI_H
#define GV_CLI_H

#include <argp.h>
#include <stdbool.h>
#include <stddef.h>

#include <curl/curl.h>
#include <jansson.h>

#include "str.h"

enum cli_exit {
    CLI_OK = 0,
    CLI_REFUSED = 1,     /* the server refused the command */
    CLI_USAGE = 2,       /* wrong arguments or a malformed file */
    CLI_NOT_RUN = 3,     /* nothing was run; the command may be repeated */
    CLI_UNKNOWN = 4,     /* the outcome cannot be known */
    CLI_UNREACHABLE = 5, /* no server answered */
};

enum {
    CLI_SERVERS_MAX = 32,
    CLI_OUTCOME_BYTES = 16,
};

/* Global options, shared by all commands. */
struct cli {
    const char *servers[CLI_SERVERS_MAX];
    int server_count;
    char *server_text;
    char *key;
    bool json;
    long timeout_ms;
};

struct cli_request {
    const char *method;
    const char *path;
    struct str body;
    const char *if_match;        /* or NULL */
    const char *idempotency_key; /* or NULL */
    const char *const *headers;  /* NULL-terminated extra headers, or NULL */
};

struct cli_response {
    long status;
    char outcome[CLI_OUTCOME_BYTES];
    struct buf body; /* followed by a NUL byte that len leaves out */
    json_t *json;    /* NULL when the body is not JSON */
};

/*
 * Sends a request to the first server that can be reached. A request that may
 * have reached a server goes to another one only when it is idempotent.
 * Returns an enum cli_exit; prints errors.
 */
int
cli_call(const struct cli *cli, const struct cli_request *request,
         struct cli_response *response);
void
cli_response_free(struct cli_response *response);

/* The Guavarock-Outcome header of a finished transfer, "" without one. */
void
cli_read_outcome(CURL *easy, char out[CLI_OUTCOME_BYTES]);

/* cli_call for commands that just print: JSON, or a table of the columns.
 * Reads all pages of a list. */
int
cli_show(const struct cli *cli, const char *path, const char *member,
         const char *const *columns);

/* Prints the rows of an array of objects below a line of column names. */
void
cli_table(const json_t *rows, const char *const *columns);

/* Prints the response's JSON in indented form. */
void
cli_print_json(const struct cli_response *response);

/* Prints the response's object: a line for each field, or JSON if asked. */
void
cli_print(const struct cli *cli, const struct cli_response *response);

/* A random value for the Idempotency-Key header; the caller frees it. */
char *
cli_idempotency_key(void);

/* Appends a file, or standard input for "-". Prints errors. */
bool
cli_read_file(const char *file, struct buf *out);

/*
 * Reads a JSON object from a file or, for "-", standard input. Errors name the
 * file, line and column. Returns NULL after printing one.
 */
json_t *
cli_read_json(const char *file);

/* Appends text, percent-encoded for one path segment or query value. */
void
cli_encode(struct buf *out, const char *text);

/* Parses a number from 0 to max or ends in a usage error. */
long
cli_number(const struct argp_state *state, const char *name, const char *text,
           long max);

/* The argument of a command that acts on one object. */
struct cli_one {
    const char *what; /* in messages */
    const char *id;
};

/* The argp parser for a struct cli_one. */
error_t
cli_one_option(int key, char *arg, struct argp_state *state);

/* Calls the path of prefix, the encoded id and suffix, and prints the
 * answer. */
int
cli_act_on_one(struct cli *cli, const char *method, const char *prefix,
               const char *id, const char *suffix);

int
cli_job_submit(struct cli *cli, int argc, char **argv);
int
cli_job_show(struct cli *cli, int argc, char **argv);
int
cli_job_list(struct cli *cli, int argc, char **argv);
int
cli_job_cancel(struct cli *cli, int argc, char **argv);
int
cli_request_send(struct cli *cli, int argc, char **argv);
int
cli_teams_get(struct cli *cli, int argc, char **argv);
int
cli_teams_set(struct cli *cli, int argc, char **argv);
int
cli_teams_show(struct cli *cli, int argc, char **argv);
int
cli_limits_get(struct cli *cli, int argc, char **argv);
int
cli_limits_set(struct cli *cli, int argc, char **argv);
int
cli_key_give(struct cli *cli, int argc, char **argv);
int
cli_key_withdraw(struct cli *cli, int argc, char **argv);
int
cli_key_list(struct cli *cli, int argc, char **argv);
int
cli_vm_list(struct cli *cli, int argc, char **argv);
int
cli_vm_drain(struct cli *cli, int argc, char **argv);
int
cli_worker_list(struct cli *cli, int argc, char **argv);
int
cli_endpoint_list(struct cli *cli, int argc, char **argv);
int
cli_evacuation_request(struct cli *cli, int argc, char **argv);
int
cli_evacuation_withdraw(struct cli *cli, int argc, char **argv);
int
cli_evacuation_list(struct cli *cli, int argc, char **argv);
int
cli_evacuation_audit(struct cli *cli, int argc, char **argv);
int
cli_audit(struct cli *cli, int argc, char **argv);
int
cli_usage(struct cli *cli, int argc, char **argv);
int
cli_status(struct cli *cli, int argc, char **argv);
int
cli_bench(struct cli *cli, int argc, char **argv);

#endif
