#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "mem.h"

struct give {
    const char *kind;
    const char *team;
};

static const struct argp_option give_options[] = {
    {"kind", 'K', "KIND", 0, "team, endpoint, worker or operator (team)", 0},
    {"team", 't', "NAME", 0, "Team, for keys of the kind team", 0},
    {0},
};

static error_t
give_option(int key, char *arg, struct argp_state *state)
{
    struct give *g = state->input;

    switch (key) {
    case 'K':
        g->kind = arg;
        break;
    case 't':
        g->team = arg;
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument '%s'", arg);
        break;
    case ARGP_KEY_END:
        if (strcmp(g->kind, "team") == 0 && g->team == NULL) {
            argp_error(state, "--team is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_key_give(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .options = give_options,
        .parser = give_option,
        .doc = "Create a key. Its value is shown once and cannot be read "
               "again."};
    struct give g = {.kind = "team"};
    struct cli_response response = {0};
    json_t *json;
    char *body;
    int status;

    argp_parse(&argp, argc, argv, 0, NULL, &g);
    json = json_pack("{s:s,s:s*}", "kind", g.kind, "team", g.team);
    body = json_dumps(json, JSON_COMPACT);
    const struct cli_request request = {
        .method = "POST", .path = "/v1/keys", .body = str_of(body)};
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK && cli->json) {
        cli_print_json(&response);
    }
    else if (status == CLI_OK) {
        printf("id  %s\nkey %s\n",
               json_string_value(json_object_get(response.json, "id")),
               json_string_value(json_object_get(response.json, "key")));
    }
    cli_response_free(&response);
    free(body);
    json_decref(json);
    return status;
}

error_t
cli_one_option(int key, char *arg, struct argp_state *state)
{
    struct cli_one *o = state->input;

    switch (key) {
    case ARGP_KEY_ARG:
        if (o->id != NULL) {
            argp_error(state, "more than one %s", o->what);
        }
        o->id = arg;
        break;
    case ARGP_KEY_END:
        if (o->id == NULL) {
            argp_error(state, "the %s is missing", o->what);
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_act_on_one(struct cli *cli, const char *method, const char *prefix,
               const char *id, const char *suffix)
{
    struct cli_response response = {0};
    struct buf path = {0};
    int status;

    buf_printf(&path, "%s", prefix);
    cli_encode(&path, id);
    buf_append(&path, suffix, strlen(suffix) + 1);
    const struct cli_request request = {.method = method, .path = path.ptr};
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK) {
        cli_print(cli, &response);
    }
    cli_response_free(&response);
    buf_free(&path);
    return status;
}

int
cli_key_withdraw(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .parser = cli_one_option,
        .args_doc = "KEY-ID",
        .doc = "Withdraw a key. The command returns when no entry accepts "
               "the key any more."};
    struct cli_one o = {.what = "key id"};

    argp_parse(&argp, argc, argv, 0, NULL, &o);
    return cli_act_on_one(cli, "DELETE", "/v1/keys/", o.id, "");
}

int
cli_vm_drain(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .parser = cli_one_option,
        .args_doc = "VM",
        .doc = "Drain a VM: it finishes its requests, hands over and exits."};
    struct cli_one o = {.what = "VM id"};

    argp_parse(&argp, argc, argv, 0, NULL, &o);
    return cli_act_on_one(cli, "POST", "/v1/vms/", o.id, "/drain");
}
