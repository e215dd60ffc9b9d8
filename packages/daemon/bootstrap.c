/*
 * The first leader of a new cluster commits the cluster's id and the first
 * operator key, which it also writes to its data directory.
 */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "api_keys.h"
#include "leader_impl.h"
#include "log.h"

enum {
    MEMBERS_MAX = 16,
};

static void
propose(struct leader *l, struct buf *command)
{
    replica_propose(l->replica, buf_str(command), replica_no_waiter);
    buf_free(command);
}

static void
create_identity(struct leader *l)
{
    struct state_member members[MEMBERS_MAX];
    struct state_actor actor = leader_system_actor();
    struct buf command = {0};
    size_t count;
    const struct raft_member *raft =
        raft_members(replica_raft(l->replica), &count);
    uint64_t id;

    if (state_cluster_id(leader_state(l)) != 0) {
        return;
    }
    /* Small ids are reserved: the handshake gives 0 and 1 a meaning. */
    id = ((uint64_t)randombytes_random() << 32 | randombytes_random()) | 256;
    for (size_t i = 0; i < count && i < MEMBERS_MAX; i++) {
        members[i] =
            (struct state_member){raft[i].id, raft[i].vm, raft[i].address};
    }
    state_cmd_bootstrap(&command, &actor, id, members, count,
                        &state_settings_default);
    propose(l, &command);
}

/* The file must be durable before the key is committed: operators could not
 * use a cluster whose only key is lost. */
static bool
write_key(const struct settings *s, const char *key)
{
    struct buf path = {0};
    ssize_t len = (ssize_t)strlen(key);
    bool ok;
    int fd;
    int dir;

    buf_printf(&path, "%.*s/operator.key", STR_ARG(s->data));
    fd = open(path.ptr, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    ok = fd >= 0 && write(fd, key, (size_t)len) == len &&
         write(fd, "\n", 1) == 1 && fsync(fd) == 0;
    if (fd >= 0) {
        close(fd);
    }
    buf_clear(&path);
    buf_printf(&path, "%.*s", STR_ARG(s->data));
    dir = open(path.ptr, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    ok = ok && dir >= 0 && fsync(dir) == 0;
    if (dir >= 0) {
        close(dir);
    }
    if (!ok) {
        log_write(LOG_LEVEL_ERR, "leader: cannot write operator.key: %s",
                  strerror(errno));
    }
    buf_free(&path);
    return ok;
}

static void
create_operator_key(struct leader *l)
{
    struct state_actor actor = leader_system_actor();
    uint8_t hash[STATE_HASH_BYTES];
    struct buf command = {0};
    char key[API_KEY_TEXT_BYTES];
    void *cursor = NULL;

    if (state_key_next(leader_state(l), &cursor) != NULL) {
        return;
    }
    api_key_generate(key, hash);
    if (write_key(l->control->settings, key)) {
        state_cmd_key_add(&command, &actor, STATE_KEY_OPERATOR,
                          (struct str){NULL, 0}, hash);
        propose(l, &command);
        log_write(LOG_LEVEL_NOTICE,
                  "leader: the first operator key is in operator.key in the "
                  "data directory of this VM");
    }
    sodium_memzero(key, sizeof(key));
}

void
leader_bootstrap(struct leader *l)
{
    create_identity(l);
    create_operator_key(l);
}
