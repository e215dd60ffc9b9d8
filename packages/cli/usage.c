#include <stdio.h>
#include <string.h>
#include <time.h>

#include "cli.h"
#include "operator.h"

struct usage_options {
    const char *month;
    const char *svg;
    char current[8];
};

static const struct argp_option options[] = {
    {"month", 'm', "YYYY-MM", 0, "Month in UTC (the current one)", 0},
    {"svg", 'S', "FILE", 0, "Write the month's chart as SVG to FILE", 0},
    {0},
};

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    struct usage_options *o = state->input;

    switch (key) {
    case 'm':
        o->month = arg;
        break;
    case 'S':
        o->svg = arg;
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument '%s'", arg);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static int
write_chart(const struct operator_usage *usage, const char *file)
{
    struct buf chart = {0};
    FILE *f = fopen(file, "we");
    size_t written = 0;

    operator_usage_chart(usage, &chart);
    if (f != NULL) {
        written = fwrite(chart.ptr, 1, chart.len, f);
    }
    if (f == NULL || fclose(f) != 0 || written != chart.len) {
        fprintf(stderr, "guavarock: cannot write %s\n", file);
        buf_free(&chart);
        return CLI_USAGE;
    }
    buf_free(&chart);
    return CLI_OK;
}

static void
print_table(const struct operator_usage *usage)
{
    printf("%-32s %16s %18s %18s\n", "team", "processor hours",
           "memory GiB hours", "accelerator hours");
    for (size_t i = 0; i < usage->count; i++) {
        const struct operator_usage_team *t = &usage->teams[i];

        printf("%-32.*s %16.3f %18.3f %18.3f\n", STR_ARG(t->team),
               (double)t->cpu_ms / 3.6e6,
               (double)t->memory_mib_s / 1024 / 3600,
               (double)t->accelerator_ms / 3.6e6);
    }
}

static int
show(struct cli *cli, const struct usage_options *o,
     const struct cli_response *response)
{
    struct operator_usage usage = {0};
    struct api_error error;
    struct json_doc *doc;
    int status = CLI_OK;

    if (cli->json) {
        cli_print_json(response);
    }
    doc = operator_usage_parse(buf_str(&response->body), &usage, &error);
    if (doc == NULL) {
        fprintf(stderr, "guavarock: the server's answer: %s\n", error.message);
        return CLI_REFUSED;
    }
    if (!cli->json) {
        print_table(&usage);
    }
    if (o->svg != NULL) {
        status = write_chart(&usage, o->svg);
    }
    json_doc_free(doc);
    return status;
}

int
cli_usage(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {.options = options,
                              .parser = parse,
                              .doc =
                                  "Print what each team consumed in a month."};
    struct usage_options o = {0};
    struct cli_response response = {0};
    struct buf path = {0};
    time_t now = time(NULL);
    struct tm tm;
    int status;

    gmtime_r(&now, &tm);
    strftime(o.current, sizeof(o.current), "%Y-%m", &tm);
    o.month = o.current;
    argp_parse(&argp, argc, argv, 0, NULL, &o);
    buf_printf(&path, "/v1/usage?month=");
    cli_encode(&path, o.month);
    buf_append(&path, "", 1);
    const struct cli_request request = {.method = "GET", .path = path.ptr};
    status = cli_call(cli, &request, &response);
    if (status == CLI_OK) {
        status = show(cli, &o, &response);
    }
    cli_response_free(&response);
    buf_free(&path);
    return status;
}
