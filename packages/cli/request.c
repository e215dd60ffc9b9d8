#include <stdio.h>
#include <string.h>

#include "cli.h"
#include "mem.h"

enum {
    HEADERS_MAX = 16,
};

struct send {
    const char *method;
    const char *service;
    const char *path;
    const char *data;
    const char *idempotency_key;
    const char *headers[HEADERS_MAX + 1];
    int header_count;
};

static const struct argp_option options[] = {
    {"method", 'X', "METHOD", 0, "HTTP method (GET, or POST with --data)", 0},
    {"data", 'd', "TEXT", 0, "Request body", 0},
    {"header", 'H', "LINE", 0, "Extra header; may be repeated", 0},
    {"idempotency-key", 'i', "TEXT", 0, "Key for safe repetition", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    struct send *s = state->input;

    switch (key) {
    case 'X':
        s->method = arg;
        break;
    case 'd':
        s->data = arg;
        break;
    case 'i':
        s->idempotency_key = arg;
        break;
    case 'H':
        if (s->header_count == HEADERS_MAX) {
            argp_error(state, "more than %d headers", HEADERS_MAX);
        }
        s->headers[s->header_count++] = arg;
        break;
    case ARGP_KEY_ARG:
        if (s->service == NULL) {
            s->service = arg;
        }
        else if (s->path == NULL) {
            s->path = arg;
        }
        else {
            argp_error(state, "unexpected argument '%s'", arg);
        }
        break;
    case ARGP_KEY_END:
        if (s->service == NULL) {
            argp_error(state, "the service is missing");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_request_send(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .options = options,
        .parser = parse,
        .args_doc = "SERVICE [PATH]",
        .doc = "Send a request to a service and print the answer's body."};
    struct send s = {0};
    struct cli_response response = {0};
    struct buf path = {0};
    int status;

    argp_parse(&argp, argc, argv, 0, NULL, &s);
    if (s.method == NULL) {
        s.method = s.data == NULL ? "GET" : "POST";
    }
    buf_printf(&path, "/v1/services/");
    cli_encode(&path, s.service);
    if (s.path != NULL && s.path[0] != '/') {
        buf_append(&path, "/", 1);
    }
    buf_append_str(&path, str_of(s.path == NULL ? "/" : s.path));
    buf_append(&path, "", 1);
    const struct cli_request request = {
        .method = s.method,
        .path = path.ptr,
        .body = s.data == NULL ? (struct str){NULL, 0} : str_of(s.data),
        .idempotency_key = s.idempotency_key,
        .headers = s.headers};
    status = cli_call(cli, &request, &response);
    fwrite(response.body.ptr, 1, response.body.len, stdout);
    if (response.body.len != 0 &&
        response.body.ptr[response.body.len - 1] != '\n') {
        putchar('\n');
    }
    cli_response_free(&response);
    buf_free(&path);
    return status;
}
