#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cli.h"
#include "mem.h"

static size_t
take_body(char *data, size_t size, size_t count, void *arg)
{
    buf_append(arg, data, size * count);
    return size * count;
}

void
cli_read_outcome(CURL *easy, char out[CLI_OUTCOME_BYTES])
{
    struct curl_header *header;

    out[0] = '\0';
    if (curl_easy_header(easy, "Guavarock-Outcome", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
        snprintf(out, CLI_OUTCOME_BYTES, "%s", header->value);
    }
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    struct buf line = {0};

    if (value == NULL) {
        return list;
    }
    buf_printf(&line, "%s%s", name, value);
    list = curl_slist_append(list, line.ptr);
    buf_free(&line);
    return list;
}

static struct curl_slist *
build_headers(const struct cli *cli, const struct cli_request *request)
{
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");

    list = add_header(list, "Authorization: Bearer ", cli->key);
    list = add_header(list, "Idempotency-Key: ", request->idempotency_key);
    if (request->if_match != NULL) {
        struct buf quoted = {0};
        buf_printf(&quoted, "\"%s\"", request->if_match);
        list = add_header(list, "If-Match: ", quoted.ptr);
        buf_free(&quoted);
    }
    if (request->body.ptr != NULL) {
        list = curl_slist_append(list, "Content-Type: application/json");
    }
    for (size_t i = 0; request->headers && request->headers[i]; i++) {
        list = curl_slist_append(list, request->headers[i]);
    }
    return list;
}

static CURLcode
call_server(const struct cli *cli, const char *server,
            const struct cli_request *request, struct cli_response *response)
{
    CURL *easy = curl_easy_init();
    struct curl_slist *headers = build_headers(cli, request);
    struct buf url = {0};
    CURLcode code;

    buf_printf(&url, "%s%s", server, request->path);
    curl_easy_setopt(easy, CURLOPT_URL, url.ptr);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, cli->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response->body);
    if (request->body.ptr != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body.len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body.ptr);
    }
    if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
    cli_read_outcome(easy, response->outcome);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    buf_free(&url);
    return code;
}

static bool
may_repeat(const struct cli_request *request, CURLcode code)
{
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST) {
        return true;
    }
    return strcmp(request->method, "POST") != 0 ||
           request->idempotency_key != NULL;
}

static void
print_error(const struct cli_response *response)
{
    const json_t *error = json_object_get(response->json, "error");
    const char *message = json_string_value(json_object_get(error, "message"));
    const char *field = json_string_value(json_object_get(error, "field"));

    fprintf(stderr, "guavarock: %ld: %s", response->status,
            message == NULL ? "refused" : message);
    if (field != NULL && field[0] != '\0') {
        fprintf(stderr, " (field %s)", field);
    }
    fputc('\n', stderr);
}

static int
classify(const struct cli_response *response)
{
    if (response->status >= 200 && response->status < 300) {
        return CLI_OK;
    }
    /* 409 to a list carries the current list; the caller reports it. */
    if (response->status != 409 ||
        json_object_get(response->json, "error") != NULL) {
        print_error(response);
    }
    if (strcmp(response->outcome, "unknown") == 0) {
        return CLI_UNKNOWN;
    }
    if (response->status == 429 || response->status == 503) {
        return CLI_NOT_RUN;
    }
    return CLI_REFUSED;
}

int
cli_call(const struct cli *cli, const struct cli_request *request,
         struct cli_response *response)
{
    CURLcode code = CURLE_COULDNT_CONNECT;

    for (int i = 0; i < cli->server_count; i++) {
        *response = (struct cli_response){0};
        code = call_server(cli, cli->servers[i], request, response);
        if (code == CURLE_OK) {
            *buf_reserve(&response->body, 1) = '\0';
            response->json =
                json_loadb(response->body.ptr, response->body.len, 0, NULL);
            return classify(response);
        }
        buf_free(&response->body);
        if (!may_repeat(request, code)) {
            fprintf(stderr, "guavarock: %s: %s; the outcome is unknown\n",
                    cli->servers[i], curl_easy_strerror(code));
            return CLI_UNKNOWN;
        }
    }
    fprintf(stderr, "guavarock: no server reached: %s\n",
            curl_easy_strerror(code));
    return CLI_UNREACHABLE;
}

void
cli_response_free(struct cli_response *response)
{
    json_decref(response->json);
    buf_free(&response->body);
}

char *
cli_idempotency_key(void)
{
    unsigned char random[16];
    char *text = mem_alloc(2 * sizeof(random) + 1);

    randombytes_buf(random, sizeof(random));
    return sodium_bin2hex(text, 2 * sizeof(random) + 1, random,
                          sizeof(random));
}
