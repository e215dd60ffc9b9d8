#include "fuzz_target.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include "confview.h"
#include "peer.h"
#include "settings.h"
#include "state.h"
#include "wire.pb-c.h"

void
fuzz_frames(struct str bytes)
{
    struct str payload;
    size_t used;

    while (peer_frame_split(bytes, PEER_HANDSHAKE_MAX, &payload, &used) ==
           PEER_FRAME_OK) {
        Wire__Envelope *envelope = wire__envelope__unpack(
            NULL, payload.len, (const uint8_t *)payload.ptr);
        if (envelope != NULL) {
            wire__envelope__free_unpacked(envelope, NULL);
        }
        bytes = str_from(bytes.ptr + used, bytes.len - used);
    }
}

/* Cuts a command off the front; the last one may be short. */
static struct str
cut_command(struct str *bytes)
{
    const unsigned char *at = (const unsigned char *)bytes->ptr;
    size_t len = bytes->len < 2 ? 0 : (size_t)at[0] << 8 | at[1];
    struct str command;

    if (bytes->len < 2) {
        *bytes = str_from(bytes->ptr, 0);
        return *bytes;
    }
    if (len > bytes->len - 2) {
        len = bytes->len - 2;
    }
    command = str_from(bytes->ptr + 2, len);
    *bytes = str_from(command.ptr + len, bytes->len - 2 - len);
    return command;
}

static void
check_snapshot(const struct state *s)
{
    struct buf first = {0};
    struct buf second = {0};
    struct state *copy;

    state_encode(s, &first);
    copy = state_decode(buf_str(&first));
    if (copy == NULL) {
        abort();
    }
    state_encode(copy, &second);
    if (!str_eq(buf_str(&first), buf_str(&second))) {
        abort();
    }
    state_destroy(copy);
    buf_free(&first);
    buf_free(&second);
}

static void
check_view(const struct state *s)
{
    struct confview *v = confview_create();
    struct buf delta = {0};

    state_config_since(s, 0, &delta);
    if (delta.len > 0 &&
        confview_apply(v, buf_str(&delta)) != CONFVIEW_APPLIED) {
        abort();
    }
    buf_free(&delta);
    confview_destroy(v);
}

void
fuzz_commands(struct str bytes)
{
    struct state *s = state_create();
    struct state_result result;

    for (uint64_t index = 1; bytes.len > 0; index++) {
        state_apply(s, index, cut_command(&bytes), &result);
    }
    check_snapshot(s);
    check_view(s);
    state_destroy(s);
}

void
fuzz_snapshot(struct str bytes)
{
    struct state *s = state_decode(bytes);
    struct confview *v = confview_create();

    if (s != NULL) {
        check_snapshot(s);
        state_destroy(s);
    }
    confview_apply(v, bytes);
    confview_destroy(v);
}

static const char settings_example[] =
    "{\"vm\":\"a1\",\"failure_domain\":\"fd1\","
    "\"listen\":\"127.0.0.1:7070\",\"peer_listen\":\"127.0.0.1:7071\","
    "\"data\":\"cell\",\"cluster_key_file\":\"cluster.key\","
    "\"control\":[{\"vm\":\"a1\",\"address\":\"127.0.0.1:7071\"}],"
    "\"open_queues\":[{\"name\":\"open\"}],"
    "\"weights\":{\"waiting\":8,\"packing\":1,\"control\":1,\"share\":1},"
    "\"election_timeout_ms\":500,\"heartbeat_ms\":100,"
    "\"config_lease_ms\":3000,\"log_level\":\"info\"}";

enum {
    SETTINGS_EDIT_HEADER = 4,
};

void
fuzz_settings(struct str bytes)
{
    const unsigned char *at = (const unsigned char *)bytes.ptr;
    struct str example = str_of(settings_example);
    struct settings s = {0};
    struct buf text = {0};
    char path[64];
    size_t from;
    size_t len;
    int fd;

    if (bytes.len < SETTINGS_EDIT_HEADER) {
        return;
    }
    from = (size_t)(at[0] << 8 | at[1]) % (example.len + 1);
    len = (size_t)(at[2] << 8 | at[3]) % (example.len - from + 1);
    buf_append(&text, example.ptr, from);
    buf_append(&text, at + SETTINGS_EDIT_HEADER,
               bytes.len - SETTINGS_EDIT_HEADER);
    buf_append(&text, example.ptr + from + len, example.len - from - len);
    fd = memfd_create("settings", MFD_CLOEXEC);
    if (fd < 0 || write(fd, text.ptr, text.len) != (ssize_t)text.len) {
        abort();
    }
    snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
    if (settings_load(&s, path)) {
        settings_free(&s);
    }
    close(fd);
    buf_free(&text);
}
