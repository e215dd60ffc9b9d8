#include "load.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "await.h"
#include "mem.h"
#include "rng.h"

enum {
    THREADS_MAX = 32,
    TIMEOUT_MS = 4000,
};

static unsigned next_tag;

static void
write_sent(struct history *history, const struct load_request *r)
{
    history_write(history,
                  "\"event\":\"send\",\"team\":\"lamps\","
                  "\"tag\":\"%s\",\"key\":\"%s\","
                  "\"idempotent\":%s,\"must\":%s",
                  r->tag, r->key_id, r->idempotent ? "true" : "false",
                  r->must ? "true" : "false");
}

/* The endpoint answers with the body it got, which is the tag. */
static void
write_answer(struct history *history, const struct load_request *r,
             const struct http_answer *answer, int64_t began)
{
    char echo[64] = "";

    if (answer->complete && answer->status == 200) {
        snprintf(echo, sizeof(echo), "%.*s", (int)answer->body.len,
                 answer->body.ptr);
    }
    history_write(history,
                  "\"event\":\"answer\",\"tag\":\"%s\",\"key\":\"%s\","
                  "\"began\":%lld,\"must\":%s,\"complete\":%s,\"status\":%ld,"
                  "\"outcome\":\"%s\",\"echo\":\"%s\"",
                  r->tag, r->key_id, (long long)began,
                  r->must ? "true" : "false",
                  answer->complete ? "true" : "false", answer->status,
                  answer->outcome, echo);
}

long
load_send(struct http_client *client, struct history *history,
          const struct load_request *r, char outcome[16])
{
    char url[192];
    char resend[96] = "";
    char timeout[48];
    const char *headers[4] = {NULL};
    struct http_answer answer;
    int64_t began = clock_now();
    long status;
    int n = 0;
    struct http_call call = {.method = "POST",
                             .url = url,
                             .key = r->key,
                             .headers = headers,
                             .body = str_of(r->tag),
                             .timeout_ms = TIMEOUT_MS};

    snprintf(url, sizeof(url), "%s/v1/services/echo/x?tag=%s&delay_ms=%d",
             r->url, r->tag, r->delay_ms);
    headers[n++] = r->idempotent ? "Guavarock-Idempotent: true"
                                 : "Guavarock-Idempotent: false";
    snprintf(timeout, sizeof(timeout), "Guavarock-Timeout-Ms: %d",
             r->timeout_ms == 0 ? 2000 : r->timeout_ms);
    headers[n++] = timeout;
    if (r->idempotency != NULL) {
        snprintf(resend, sizeof(resend), "Idempotency-Key: %s",
                 r->idempotency);
        headers[n++] = resend;
    }
    write_sent(history, r);
    http_client_call(client, &call, &answer);
    write_answer(history, r, &answer, began);
    if (outcome != NULL) {
        snprintf(outcome, 16, "%s", answer.outcome);
    }
    status = answer.complete ? answer.status : 0;
    http_answer_free(&answer);
    return status;
}

static void
new_tag(char out[32])
{
    snprintf(out, 32, "t%d-%u", (int)getpid(), ck_pr_faa_uint(&next_tag, 1));
}

long
load_once(const struct cluster *c, int vm, char outcome[16])
{
    char url[64];
    char tag[32];
    const struct load_request r = {
        .url = url, .tag = tag, .key_id = c->team.id, .key = c->team.key};

    snprintf(url, sizeof(url), "http://%s", c->vms[vm].http);
    new_tag(tag);
    return load_send(c->client, c->history, &r, outcome);
}

void
load_await(const struct cluster *c, int vm)
{
    AWAIT(load_once(c, vm, NULL) == 200);
}

/* ---- Threads ---- */

struct sender {
    struct load *load;
    pthread_t thread;
    struct rng rng;
    int number;
};

struct load {
    const struct cluster *cluster;
    struct cluster_key key;
    struct load_options options;
    struct sender senders[THREADS_MAX];
    int stop;
    int done;
};

static void
send_next(struct sender *s, struct http_client *client, int round)
{
    struct load *l = s->load;
    const struct cluster *c = l->cluster;
    char url[64];
    char tag[32];
    const struct load_request r = {
        .url = l->options.url == NULL ? url : l->options.url,
        .tag = tag,
        .key_id = l->key.id,
        .key = l->key.key,
        .must = l->options.must,
        .idempotent = rng_below(&s->rng, 2) == 0,
        .delay_ms = l->options.delay_ms};

    snprintf(url, sizeof(url), "http://%s",
             c->vms[(s->number + round) % c->count].http);
    new_tag(tag);
    if (load_send(client, c->history, &r, NULL) == 200) {
        ck_pr_inc_int(&l->done);
    }
    else {
        await_pause();
    }
}

static void *
run(void *arg)
{
    struct sender *s = arg;
    struct http_client *client = http_client_create();

    for (int round = 0; !ck_pr_load_int(&s->load->stop); round++) {
        send_next(s, client, round);
    }
    http_client_destroy(client);
    return NULL;
}

struct load *
load_start(const struct cluster *c, const struct load_options *options)
{
    struct load *l = mem_zalloc(1, sizeof(*l));

    REQUIRE(options->threads <= THREADS_MAX);
    l->cluster = c;
    l->key = c->team;
    l->options = *options;
    for (int i = 0; i < options->threads; i++) {
        struct sender *s = &l->senders[i];

        s->load = l;
        s->number = i;
        s->rng.state = options->seed + (unsigned)i;
        REQUIRE(pthread_create(&s->thread, NULL, run, s) == 0);
    }
    return l;
}

int
load_done(const struct load *l)
{
    return ck_pr_load_int(&l->done);
}

void
load_await_more(const struct load *l, int count)
{
    int goal = load_done(l) + count;

    AWAIT(load_done(l) >= goal);
}

int
load_stop(struct load *l)
{
    int done;

    ck_pr_store_int(&l->stop, 1);
    for (int i = 0; i < l->options.threads; i++) {
        pthread_join(l->senders[i].thread, NULL);
    }
    done = l->done;
    mem_free(l);
    return done;
}
