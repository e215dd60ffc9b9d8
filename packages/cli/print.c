#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cli.h"
#include "mem.h"

enum {
    CELL_BYTES = 256,
    COLUMNS_MAX = 16,
};

enum {
    PPM_PER_PERCENT = 10000,
};

static bool
has_suffix(const char *column, const char *suffix)
{
    size_t len = strlen(column);
    size_t end = strlen(suffix);

    return len > end && strcmp(column + len - end, suffix) == 0;
}

/* A point in time, in milliseconds since 1970; shown in UTC. */
static bool
is_time(const char *column)
{
    return has_suffix(column, "_ms");
}

/* Parts per million; shown in percent. */
static bool
is_part(const char *column)
{
    return has_suffix(column, "_ppm");
}

/* The value at a path such as capacity.cpu_milli. */
static const json_t *
value_at(const json_t *row, const char *path)
{
    const char *dot = strchr(path, '.');
    char name[64];

    if (dot == NULL) {
        return json_object_get(row, path);
    }
    snprintf(name, sizeof(name), "%.*s", (int)(dot - path), path);
    return value_at(json_object_get(row, name), dot + 1);
}

static int
title_length(const char *column)
{
    const char *end = strrchr(column, '_');

    return (int)(is_time(column) || is_part(column) ? end - column
                                                    : (long)strlen(column));
}

static void
time_cell(char *out, json_int_t ms)
{
    time_t seconds = (time_t)(ms / 1000);
    struct tm utc;

    if (ms == 0) {
        snprintf(out, CELL_BYTES, "-");
        return;
    }
    gmtime_r(&seconds, &utc);
    strftime(out, CELL_BYTES, "%Y-%m-%dT%H:%M:%SZ", &utc);
}

static void
cell(char *out, const char *column, const json_t *value)
{
    char *text;

    if (value == NULL || json_is_null(value)) {
        snprintf(out, CELL_BYTES, "-");
    }
    else if (is_time(column) && json_is_integer(value)) {
        time_cell(out, json_integer_value(value));
    }
    else if (is_part(column) && json_is_integer(value)) {
        snprintf(out, CELL_BYTES, "%.1f%%",
                 (double)json_integer_value(value) / PPM_PER_PERCENT);
    }
    else if (json_is_string(value)) {
        snprintf(out, CELL_BYTES, "%s", json_string_value(value));
    }
    else {
        text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
        snprintf(out, CELL_BYTES, "%s", text == NULL ? "?" : text);
        free(text);
    }
}

static void
print_row(const json_t *row, const char *const *columns, const int *width)
{
    char text[CELL_BYTES];

    for (int i = 0; columns[i] != NULL; i++) {
        if (row == NULL) {
            snprintf(text, sizeof(text), "%.*s", title_length(columns[i]),
                     columns[i]);
        }
        else {
            cell(text, columns[i], value_at(row, columns[i]));
        }
        if (columns[i + 1] == NULL) {
            printf("%s\n", text);
        }
        else {
            printf("%-*s  ", width[i], text);
        }
    }
}

void
cli_table(const json_t *rows, const char *const *columns)
{
    int width[COLUMNS_MAX] = {0};
    char text[CELL_BYTES];
    const json_t *row;
    size_t at;

    for (int i = 0; columns[i] != NULL; i++) {
        width[i] = title_length(columns[i]);
    }
    json_array_foreach(rows, at, row)
    {
        for (int i = 0; columns[i] != NULL; i++) {
            cell(text, columns[i], value_at(row, columns[i]));
            if ((int)strlen(text) > width[i]) {
                width[i] = (int)strlen(text);
            }
        }
    }
    print_row(NULL, columns, width);
    json_array_foreach(rows, at, row)
    {
        print_row(row, columns, width);
    }
}

void
cli_print_json(const struct cli_response *response)
{
    char *text;

    if (response->json == NULL) {
        fwrite(response->body.ptr, 1, response->body.len, stdout);
        return;
    }
    text = json_dumps(response->json, JSON_INDENT(2));
    printf("%s\n", text);
    free(text);
}

/* The longest name below prefix. */
static int
name_width(const json_t *object, size_t prefix)
{
    const char *name;
    const json_t *value;
    int width = 0;

    json_object_foreach((json_t *)object, name, value)
    {
        size_t len = prefix + strlen(name);
        int w = json_is_object(value) ? name_width(value, len + 1)
                                      : (int)prefix + title_length(name);

        width = w > width ? w : width;
    }
    return width;
}

static void
print_fields(const json_t *object, const char *prefix, int width)
{
    const char *name;
    const json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        struct buf path = {0};
        char text[CELL_BYTES];

        buf_printf(&path, "%s%s", prefix, name);
        if (json_is_object(value)) {
            buf_printf(&path, ".");
            print_fields(value, path.ptr, width);
        }
        else {
            cell(text, name, value);
            printf("%-*.*s  %s\n", width, title_length(path.ptr), path.ptr,
                   text);
        }
        buf_free(&path);
    }
}

void
cli_print(const struct cli *cli, const struct cli_response *response)
{
    if (cli->json || !json_is_object(response->json)) {
        cli_print_json(response);
    }
    else {
        print_fields(response->json, "", name_width(response->json, 0));
    }
}

/* The path of the page that follows, "" after the last one. */
static void
next_page(const char *path, const json_t *json, struct buf *out)
{
    const json_t *next = json_object_get(json, "next");

    buf_clear(out);
    if (next == NULL ||
        (json_is_integer(next) && json_integer_value(next) == 0)) {
        return;
    }
    buf_printf(out, "%.*s?after=", (int)strcspn(path, "?"), path);
    if (json_is_string(next)) {
        cli_encode(out, json_string_value(next));
    }
    else {
        buf_printf(out, "%" JSON_INTEGER_FORMAT, json_integer_value(next));
    }
    buf_append(out, "", 1);
}

/* Adds the rows of the following pages to those of the first. */
static int
add_pages(const struct cli *cli, const char *path, const char *member,
          json_t *first)
{
    struct buf next = {0};
    int status = CLI_OK;

    next_page(path, first, &next);
    json_object_del(first, "next");
    while (status == CLI_OK && next.len != 0) {
        const struct cli_request request = {.method = "GET", .path = next.ptr};
        struct cli_response response = {0};

        status = cli_call(cli, &request, &response);
        json_array_extend(json_object_get(first, member),
                          json_object_get(response.json, member));
        next_page(path, response.json, &next);
        cli_response_free(&response);
    }
    buf_free(&next);
    return status;
}

int
cli_show(const struct cli *cli, const char *path, const char *member,
         const char *const *columns)
{
    const struct cli_request request = {.method = "GET", .path = path};
    struct cli_response response = {0};
    int status = cli_call(cli, &request, &response);

    if (status == CLI_OK && member != NULL) {
        status = add_pages(cli, path, member, response.json);
    }
    if (status == CLI_OK) {
        if (cli->json) {
            cli_print_json(&response);
        }
        else if (member == NULL) {
            cli_print(cli, &response);
        }
        else {
            cli_table(json_object_get(response.json, member), columns);
        }
    }
    cli_response_free(&response);
    return status;
}

bool
cli_read_file(const char *file, struct buf *out)
{
    bool is_stdin = strcmp(file, "-") == 0;
    FILE *in = is_stdin ? stdin : fopen(file, "re");
    char chunk[4096];
    size_t n;
    bool ok;

    if (in == NULL) {
        fprintf(stderr, "guavarock: %s: %s\n", file, strerror(errno));
        return false;
    }
    while ((n = fread(chunk, 1, sizeof(chunk), in)) != 0) {
        buf_append(out, chunk, n);
    }
    ok = ferror(in) == 0;
    if (!ok) {
        fprintf(stderr, "guavarock: %s: cannot be read\n", file);
    }
    if (!is_stdin) {
        fclose(in);
    }
    return ok;
}

json_t *
cli_read_json(const char *file)
{
    json_error_t error;
    json_t *json;

    if (strcmp(file, "-") == 0) {
        json = json_loadf(stdin, JSON_REJECT_DUPLICATES, &error);
    }
    else {
        json = json_load_file(file, JSON_REJECT_DUPLICATES, &error);
    }
    if (json == NULL) {
        fprintf(stderr, "guavarock: %s:%d:%d: %s\n", file, error.line,
                error.column, error.text);
        return NULL;
    }
    if (!json_is_object(json)) {
        fprintf(stderr, "guavarock: %s:1: not a JSON object\n", file);
        json_decref(json);
        return NULL;
    }
    return json;
}

void
cli_encode(struct buf *out, const char *text)
{
    static const char plain[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "abcdefghijklmnopqrstuvwxyz0123456789-._~";

    for (; *text != '\0'; text++) {
        if (strchr(plain, *text) != NULL) {
            buf_append(out, text, 1);
        }
        else {
            buf_printf(out, "%%%02X", (unsigned char)*text);
        }
    }
}

long
cli_number(const struct argp_state *state, const char *name, const char *text,
           long max)
{
    uint64_t value;

    if (!str_to_u64(str_of(text), (uint64_t)max, &value)) {
        argp_error(state, "%s: '%s' is not a number from 0 to %ld", name, text,
                   max);
        exit(CLI_USAGE);
    }
    return (long)value;
}
