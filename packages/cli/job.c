#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

enum {
    WAIT_STEP_MS = 20000,
    NUMBER_MAX = 1000000000,
};

struct submit {
    const char *id;
    const char *file;
    json_t *body;
    bool wait;
};

static const struct argp_option submit_options[] = {
    {"file", 'f', "FILE", 0, "Read the job from a JSON file, - for stdin", 0},
    {"class", 'c', "CLASS", 0, "service, batch or gang (batch)", 0},
    {"tasks", 'n', "N", 0, "Number of tasks (1)", 0},
    {"cpu-milli", 'C', "N", 0, "Processor thousandths of a task (1000)", 0},
    {"memory-mib", 'm', "N", 0, "Memory of a task (256)", 0},
    {"accelerators", 'a', "N", 0, "Accelerators of a task (0)", 0},
    {"run-time-s", 't', "S", 0, "Expected run time of a task", 0},
    {"queue", 'q', "NAME", 0, "The team's own queue or an open one", 0},
    {"payload", 'p', "TEXT", 0, "What the worker is to run", 0},
    {"urgent", 'u', NULL, 0, "May preempt other work", 0},
    {"non-idempotent", 'N', NULL, 0, "Start each task at most once", 0},
    {"wait", 'w', NULL, 0, "Wait for the end of the job", 0},
    {0},
};

static void
set_number(const struct argp_state *state, const char *name, const char *arg)
{
    struct submit *s = state->input;
    long value = cli_number(state, name, arg, NUMBER_MAX);

    json_object_set_new(s->body, name, json_integer(value));
}

static void
set_text(struct submit *s, const char *name, const char *text)
{
    json_object_set_new(s->body, name, json_string(text));
}

static error_t
submit_option(int key, char *arg, struct argp_state *state)
{
    struct submit *s = state->input;

    switch (key) {
    case 'f':
        s->file = arg;
        break;
    case 'c':
        set_text(s, "class", arg);
        break;
    case 'n':
        set_number(state, "tasks", arg);
        break;
    case 'C':
        set_number(state, "cpu_milli", arg);
        break;
    case 'm':
        set_number(state, "memory_mib", arg);
        break;
    case 'a':
        set_number(state, "accelerators", arg);
        break;
    case 't':
        set_number(state, "run_time_s", arg);
        break;
    case 'q':
        set_text(s, "queue", arg);
        break;
    case 'p':
        set_text(s, "payload", arg);
        break;
    case 'u':
        json_object_set_new(s->body, "urgent", json_true());
        break;
    case 'N':
        json_object_set_new(s->body, "idempotent", json_false());
        break;
    case 'w':
        s->wait = true;
        break;
    case ARGP_KEY_ARG:
        if (s->id != NULL) {
            argp_error(state, "more than one job id");
        }
        s->id = arg;
        break;
    case ARGP_KEY_END:
        if (s->id == NULL) {
            argp_error(state, "the job id is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static bool
is_terminal(const json_t *job)
{
    const char *state = json_string_value(json_object_get(job, "state"));

    return state != NULL && strcmp(state, "queued") != 0 &&
           strcmp(state, "running") != 0 &&
           strcmp(state, "unschedulable") != 0;
}

static void
job_path(struct buf *path, const char *id, bool wait)
{
    buf_clear(path);
    buf_printf(path, "/v1/jobs/");
    cli_encode(path, id);
    if (wait) {
        buf_printf(path, "?wait_ms=%d", WAIT_STEP_MS);
    }
    buf_append(path, "", 1);
}

static int
show(struct cli *cli, const char *id, bool wait)
{
    struct cli_response response;
    struct buf path = {0};
    int status;
    bool again;

    do {
        job_path(&path, id, wait);
        const struct cli_request request = {.method = "GET", .path = path.ptr};
        status = cli_call(cli, &request, &response);
        again = wait && status == CLI_OK && !is_terminal(response.json);
        if (status == CLI_OK && !again) {
            cli_print(cli, &response);
        }
        cli_response_free(&response);
    } while (again);
    buf_free(&path);
    return status;
}

/* Options given on the command line go before the file's fields. */
static int
merge_file(struct submit *s)
{
    json_t *file;

    if (s->file == NULL) {
        return CLI_OK;
    }
    file = cli_read_json(s->file);
    if (file == NULL) {
        return CLI_USAGE;
    }
    json_object_update_missing(s->body, file);
    json_decref(file);
    return CLI_OK;
}

static void
set_default(json_t *body, const char *name, json_t *value)
{
    if (json_object_get(body, name) == NULL) {
        json_object_set_new(body, name, value);
    }
    else {
        json_decref(value);
    }
}

static int
submit(struct cli *cli, struct submit *s)
{
    struct cli_response response = {0};
    struct buf path = {0};
    char *body;
    int status;

    set_default(s->body, "class", json_string("batch"));
    set_default(s->body, "tasks", json_integer(1));
    set_default(s->body, "cpu_milli", json_integer(1000));
    set_default(s->body, "memory_mib", json_integer(256));
    body = json_dumps(s->body, JSON_COMPACT | JSON_SORT_KEYS);
    job_path(&path, s->id, false);
    const struct cli_request request = {
        .method = "PUT", .path = path.ptr, .body = str_of(body)};
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK && !s->wait) {
        cli_print(cli, &response);
    }
    cli_response_free(&response);
    buf_free(&path);
    free(body);
    if (status == CLI_OK && s->wait) {
        status = show(cli, s->id, true);
    }
    return status;
}

int
cli_job_submit(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .options = submit_options,
        .parser = submit_option,
        .args_doc = "ID",
        .doc = "Submit a job. The same id with the same content gives the "
               "same answer again."};
    struct submit s = {.body = json_object()};
    int status;

    argp_parse(&argp, argc, argv, 0, NULL, &s);
    status = merge_file(&s);
    if (status == CLI_OK) {
        status = submit(cli, &s);
    }
    json_decref(s.body);
    return status;
}

struct pick {
    const char *id;
    const char *prefix;
    bool wait;
};

static error_t
pick_option(int key, char *arg, struct argp_state *state)
{
    struct pick *p = state->input;

    switch (key) {
    case 'p':
        p->prefix = arg;
        break;
    case 'w':
        p->wait = true;
        break;
    case ARGP_KEY_ARG:
        p->id = arg;
        break;
    case ARGP_KEY_END:
        if ((p->id == NULL) == (p->prefix == NULL)) {
            argp_error(state, "give one job id%s",
                       p->prefix == NULL ? "" : " or --prefix, not both");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_job_show(struct cli *cli, int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"wait", 'w', NULL, 0, "Wait for the end of the job", 0}, {0}};
    const struct argp argp = {
        .options = options,
        .parser = pick_option,
        .args_doc = "ID",
        .doc = "Show a job and how many of its tasks are in each state."};
    struct pick p = {0};

    argp_parse(&argp, argc, argv, 0, NULL, &p);
    return show(cli, p.id, p.wait);
}

int
cli_job_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"id",    "class",  "state", "tasks",
                                          "queue", "reason", NULL};
    const struct argp argp = {.doc = "List the jobs of the key's team."};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return cli_show(cli, "/v1/jobs", "jobs", columns);
}

int
cli_job_cancel(struct cli *cli, int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"prefix", 'p', "TEXT", 0, "Cancel all jobs whose id starts so", 0},
        {0}};
    const struct argp argp = {.options = options,
                              .parser = pick_option,
                              .args_doc = "[ID]",
                              .doc = "Cancel a job."};
    struct cli_response response = {0};
    struct buf path = {0};
    struct pick p = {0};
    int status;

    argp_parse(&argp, argc, argv, 0, NULL, &p);
    if (p.prefix != NULL) {
        buf_printf(&path, "/v1/jobs?prefix=");
        cli_encode(&path, p.prefix);
        buf_append(&path, "", 1);
    }
    else {
        job_path(&path, p.id, false);
    }
    const struct cli_request request = {.method = "DELETE", .path = path.ptr};
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK) {
        cli_print(cli, &response);
    }
    cli_response_free(&response);
    buf_free(&path);
    return status;
}
