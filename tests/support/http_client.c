#include "http_client.h"

#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#include "mem.h"

struct http_client {
    CURL *easy;
};

struct http_client *
http_client_create(void)
{
    struct http_client *c = mem_zalloc(1, sizeof(*c));

    c->easy = curl_easy_init();
    return c;
}

void
http_client_destroy(struct http_client *c)
{
    if (c == NULL) {
        return;
    }
    curl_easy_cleanup(c->easy);
    mem_free(c);
}

static size_t
take_body(char *data, size_t size, size_t count, void *arg)
{
    buf_append(arg, data, size * count);
    return size * count;
}

static void
read_outcome(CURL *easy, struct http_answer *answer)
{
    struct curl_header *header;

    if (curl_easy_header(easy, "Guavarock-Outcome", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
        snprintf(answer->outcome, sizeof(answer->outcome), "%s",
                 header->value);
    }
}

/*
 * libcurl sends a request again on a new connection when a reused one was
 * closed without an answer. The history would then hold one sending and the
 * answer to another, so only the first is allowed.
 */
static int
once(void *arg, char *remote_ip, char *local_ip, int remote_port,
     int local_port)
{
    bool *sent = arg;

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (*sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    *sent = true;
    return CURL_PREREQFUNC_OK;
}

static struct curl_slist *
build_headers(const struct http_call *call)
{
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");
    struct buf auth = {0};

    if (call->key != NULL) {
        buf_printf(&auth, "Authorization: Bearer %s", call->key);
        list = curl_slist_append(list, auth.ptr);
        buf_free(&auth);
    }
    if (call->body.len != 0) {
        list = curl_slist_append(list, "Content-Type: application/json");
    }
    for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL;
         i++) {
        list = curl_slist_append(list, call->headers[i]);
    }
    return list;
}

void
http_client_call(struct http_client *c, const struct http_call *call,
                 struct http_answer *answer)
{
    struct curl_slist *headers = build_headers(call);
    bool sent = false;
    CURLcode code;

    *answer = (struct http_answer){0};
    curl_easy_reset(c->easy);
    curl_easy_setopt(c->easy, CURLOPT_URL, call->url);
    curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, call->method);
    curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
    curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->easy, CURLOPT_PREREQFUNCTION, once);
    curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, &sent);
    curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, &answer->body);
    if (strcmp(call->method, "HEAD") == 0) {
        curl_easy_setopt(c->easy, CURLOPT_NOBODY, 1L);
    }
    if (call->body.len != 0) {
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)call->body.len);
        curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, call->body.ptr);
    }
    code = curl_easy_perform(c->easy);
    curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &answer->status);
    read_outcome(c->easy, answer);
    answer->complete = code == CURLE_OK;
    *buf_reserve(&answer->body, 1) = '\0';
    curl_slist_free_all(headers);
}

void
http_answer_free(struct http_answer *answer)
{
    buf_free(&answer->body);
}
