#include <inttypes.h>
#include <stdio.h>

#include "cli.h"
#include "mem.h"
#include "operator.h"

enum list_id {
    LIST_TEAMS,
    LIST_LIMITS,
};

struct list_kind {
    enum list_id id;
    const char *path;
    const char *member;
    const char *doc;
    const char *const *columns;
};

static const char *const team_columns[] = {"name", "weight", NULL};
static const char *const limit_columns[] = {
    "team",         "tasks",    "cpu_milli", "memory_mib",
    "accelerators", "requests", NULL};

static const struct list_kind teams = {
    .id = LIST_TEAMS,
    .path = "/v1/lists/teams",
    .member = "teams",
    .doc = "Replace the list of teams by the one in FILE: "
           "{\"version\":N,\"teams\":[{\"name\":...,\"weight\":...}]}. "
           "version names the list that FILE was made from.",
    .columns = team_columns};

static const struct list_kind limits = {
    .id = LIST_LIMITS,
    .path = "/v1/lists/limits",
    .member = "limits",
    .doc = "Replace the list of limits by the one in FILE: "
           "{\"version\":N,\"limits\":[{\"team\":...,\"tasks\":...,"
           "\"cpu_milli\":...,\"memory_mib\":...,\"accelerators\":...,"
           "\"requests\":...}]}. version names the list that FILE was made "
           "from.",
    .columns = limit_columns};

struct set {
    const char *file;
    const char *idempotency_key;
    long version; /* negative: that of the file */
};

/* A list that was read from a file. */
struct list {
    enum list_id id;
    union {
        struct operator_teams teams;
        struct operator_limits limits;
    } u;
    struct json_doc *doc;
};

static uint64_t *
version_of(struct list *list)
{
    switch (list->id) {
    case LIST_TEAMS:
        break;
    case LIST_LIMITS:
        return &list->u.limits.version;
    }
    return &list->u.teams.version;
}

static void
render(const struct list *list, struct buf *out)
{
    switch (list->id) {
    case LIST_TEAMS:
        operator_teams_render(&list->u.teams, out);
        break;
    case LIST_LIMITS:
        operator_limits_render(&list->u.limits, out);
        break;
    }
}

static struct json_doc *
parse(struct list *list, struct str text, struct json_error *error)
{
    switch (list->id) {
    case LIST_TEAMS:
        break;
    case LIST_LIMITS:
        return operator_limits_read(text, &list->u.limits, error);
    }
    return operator_teams_read(text, &list->u.teams, error);
}

/* Prints what is wrong and where. */
static bool
read_list(const char *file, struct list *list)
{
    struct json_error error;
    struct buf text = {0};

    if (!cli_read_file(file, &text)) {
        return false;
    }
    list->doc = parse(list, buf_str(&text), &error);
    buf_free(&text);
    if (list->doc == NULL) {
        fprintf(stderr, "guavarock: %s:%d: %s%s%s%s\n", file, error.line,
                error.field[0] == '\0' ? "" : "field ", error.field,
                error.field[0] == '\0' ? "" : ": ", error.message);
    }
    return list->doc != NULL;
}

static int
get(struct cli *cli, const struct list_kind *kind, int argc, char **argv)
{
    const struct argp argp = {.doc = "Print the list and its version."};
    const struct cli_request request = {.method = "GET", .path = kind->path};
    struct cli_response response = {0};
    int status;

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK && cli->json) {
        cli_print_json(&response);
    }
    else if (status == CLI_OK) {
        printf("version %" JSON_INTEGER_FORMAT "\n",
               json_integer_value(json_object_get(response.json, "version")));
        cli_table(json_object_get(response.json, kind->member), kind->columns);
    }
    cli_response_free(&response);
    return status;
}

static const struct argp_option set_options[] = {
    {"version", 'v', "N", 0, "Version the list was made from", 0},
    {"idempotency-key", 'i', "TEXT", 0,
     "Repeat an earlier change whose answer was lost", 0},
    {0},
};

static error_t
set_option(int key, char *arg, struct argp_state *state)
{
    struct set *s = state->input;

    switch (key) {
    case 'v':
        s->version = cli_number(state, "--version", arg, INT32_MAX);
        break;
    case 'i':
        s->idempotency_key = arg;
        break;
    case ARGP_KEY_ARG:
        s->file = arg;
        break;
    case ARGP_KEY_END:
        if (s->file == NULL) {
            argp_error(state, "the file is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static int
send_list(struct cli *cli, const struct list_kind *kind, const struct set *s,
          struct list *list)
{
    char *own_key = cli_idempotency_key();
    struct cli_response response = {0};
    struct buf body = {0};
    char version[24];
    int status;

    render(list, &body);
    snprintf(version, sizeof(version), "%" PRIu64, *version_of(list));
    const struct cli_request request = {
        .method = "PUT",
        .path = kind->path,
        .body = buf_str(&body),
        .if_match = version,
        .idempotency_key =
            s->idempotency_key == NULL ? own_key : s->idempotency_key};
    status = cli_call(cli, &request, &response);
    if (response.status == 409) {
        fprintf(stderr,
                "guavarock: %s: field version: the list is no longer at "
                "version %s; the current one follows\n",
                s->file, version);
    }
    else if (status == CLI_REFUSED) {
        fprintf(stderr, "guavarock: %s was not accepted\n", s->file);
    }
    if (status == CLI_OK) {
        cli_print(cli, &response);
    }
    else if (response.status == 409 && response.json != NULL) {
        cli_print_json(&response);
    }
    if (status == CLI_UNREACHABLE || status == CLI_UNKNOWN) {
        fprintf(stderr, "guavarock: repeat with --idempotency-key %s\n",
                request.idempotency_key);
    }
    cli_response_free(&response);
    mem_free(own_key);
    buf_free(&body);
    return status;
}

static int
set(struct cli *cli, const struct list_kind *kind, int argc, char **argv)
{
    const struct argp argp = {.options = set_options,
                              .parser = set_option,
                              .args_doc = "FILE",
                              .doc = kind->doc};
    struct set s = {.version = -1};
    struct list list = {.id = kind->id};
    int status = CLI_USAGE;

    argp_parse(&argp, argc, argv, 0, NULL, &s);
    if (!read_list(s.file, &list)) {
        return CLI_USAGE;
    }
    if (s.version >= 0) {
        *version_of(&list) = (uint64_t)s.version;
    }
    if (*version_of(&list) == OPERATOR_NO_VERSION) {
        fprintf(stderr,
                "guavarock: %s: field version is missing; give it or "
                "--version\n",
                s.file);
    }
    else {
        status = send_list(cli, kind, &s, &list);
    }
    json_doc_free(list.doc);
    return status;
}

int
cli_teams_get(struct cli *cli, int argc, char **argv)
{
    return get(cli, &teams, argc, argv);
}

int
cli_teams_set(struct cli *cli, int argc, char **argv)
{
    return set(cli, &teams, argc, argv);
}

int
cli_limits_get(struct cli *cli, int argc, char **argv)
{
    return get(cli, &limits, argc, argv);
}

int
cli_limits_set(struct cli *cli, int argc, char **argv)
{
    return set(cli, &limits, argc, argv);
}
