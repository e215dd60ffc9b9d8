#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "mem.h"

enum {
    CELL_BYTES = 256,
    COLUMNS_MAX = 16,
};

static void
cell(char *out, const json_t *value)
{
    char *text;

    if (value == NULL || json_is_null(value)) {
        snprintf(out, CELL_BYTES, "-");
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
            snprintf(text, sizeof(text), "%s", columns[i]);
        }
        else {
            cell(text, json_object_get(row, columns[i]));
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
        width[i] = (int)strlen(columns[i]);
    }
    json_array_foreach(rows, at, row)
    {
        for (int i = 0; columns[i] != NULL; i++) {
            cell(text, json_object_get(row, columns[i]));
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

int
cli_show(const struct cli *cli, const char *path, const char *member,
         const char *const *columns)
{
    const struct cli_request request = {.method = "GET", .path = path};
    struct cli_response response = {0};
    int status = cli_call(cli, &request, &response);

    if (status == CLI_OK) {
        if (cli->json || member == NULL) {
            cli_print_json(&response);
        }
        else {
            cli_table(json_object_get(response.json, member), columns);
        }
    }
    cli_response_free(&response);
    return status;
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
