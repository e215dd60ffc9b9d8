#include "handshake.h"

#include <string.h>

enum {
    HELLO_FIXED_BYTES = 4 + HS_NONCE_BYTES + 3 * 8 + 1,
};

static const char magic[4] = {'G', 'V', 'P', '1'};

void
hs_free(struct hs *hs)
{
    buf_free(&hs->transcript);
    buf_free(&hs->peer_vm);
}

static void
put_u64(struct buf *out, uint64_t value)
{
    unsigned char bytes[8];

    for (int i = 0; i < 8; i++) {
        bytes[i] = (unsigned char)(value >> (56 - 8 * i));
    }
    buf_append(out, bytes, sizeof(bytes));
}

static uint64_t
get_u64(const char *at)
{
    uint64_t value = 0;

    for (int i = 0; i < 8; i++) {
        value = value << 8 | (unsigned char)at[i];
    }
    return value;
}

static void
append_hello(struct buf *out, const struct hs_hello *own)
{
    unsigned char vm_len = (unsigned char)own->vm.len;

    buf_append(out, magic, sizeof(magic));
    buf_append(out, own->nonce, HS_NONCE_BYTES);
    put_u64(out, own->instance);
    put_u64(out, own->member_id);
    put_u64(out, own->cluster_id);
    buf_append(out, &vm_len, 1);
    buf_append_str(out, own->vm);
}

/* Parses the fields at the front of message and removes them from it. */
static bool
parse_hello(struct hs *hs, struct str *message)
{
    const char *at = message->ptr;
    size_t vm_len;

    if (message->len < HELLO_FIXED_BYTES ||
        memcmp(at, magic, sizeof(magic)) != 0) {
        return false;
    }
    vm_len = (unsigned char)at[HELLO_FIXED_BYTES - 1];
    if (vm_len == 0 || vm_len > PEER_NAME_MAX ||
        message->len - HELLO_FIXED_BYTES < vm_len) {
        return false;
    }
    at += sizeof(magic);
    memcpy(hs->peer.nonce, at, HS_NONCE_BYTES);
    at += HS_NONCE_BYTES;
    hs->peer.instance = get_u64(at);
    hs->peer.member_id = get_u64(at + 8);
    hs->peer.cluster_id = get_u64(at + 16);
    buf_clear(&hs->peer_vm);
    buf_append(&hs->peer_vm, message->ptr + HELLO_FIXED_BYTES, vm_len);
    hs->peer.vm = buf_str(&hs->peer_vm);
    *message = str_from(message->ptr + HELLO_FIXED_BYTES + vm_len,
                        message->len - HELLO_FIXED_BYTES - vm_len);
    return true;
}

/* Appends the message to the transcript, preceded by its length. */
static void
append_transcript(struct hs *hs, struct str message)
{
    put_u64(&hs->transcript, message.len);
    buf_append_str(&hs->transcript, message);
}

static void
keyed_hash(const struct hs *hs, const char *label, struct str extra,
           uint8_t out[HS_PROOF_BYTES])
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, hs->cluster_key, PEER_CLUSTER_KEY_BYTES,
                            HS_PROOF_BYTES);
    /* The label's NUL byte separates it from what follows. */
    crypto_generichash_update(&state, (const unsigned char *)label,
                              strlen(label) + 1);
    crypto_generichash_update(
        &state, (const unsigned char *)hs->transcript.ptr, hs->transcript.len);
    if (extra.len > 0) {
        crypto_generichash_update(&state, (const unsigned char *)extra.ptr,
                                  extra.len);
    }
    crypto_generichash_final(&state, out, HS_PROOF_BYTES);
}

void
hs_write_hello(struct hs *hs, const struct hs_hello *own, struct buf *out)
{
    struct buf message = {0};

    append_hello(&message, own);
    append_transcript(hs, buf_str(&message));
    buf_append_str(out, buf_str(&message));
    buf_free(&message);
}

bool
hs_answer_hello(struct hs *hs, struct str hello, const struct hs_hello *own,
                struct buf *out)
{
    uint8_t proof[HS_PROOF_BYTES];
    struct str rest = hello;
    struct buf message = {0};

    if (!parse_hello(hs, &rest) || rest.len != 0) {
        return false;
    }
    append_transcript(hs, hello);
    append_hello(&message, own);
    keyed_hash(hs, "guavarock acceptor reply", buf_str(&message), proof);
    buf_append(&message, proof, sizeof(proof));
    append_transcript(hs, buf_str(&message));
    buf_append_str(out, buf_str(&message));
    buf_free(&message);
    return true;
}

bool
hs_check_reply(struct hs *hs, struct str reply)
{
    uint8_t expect[HS_PROOF_BYTES];
    struct str rest = reply;

    if (!parse_hello(hs, &rest) || rest.len != HS_PROOF_BYTES) {
        return false;
    }
    keyed_hash(hs, "guavarock acceptor reply",
               str_from(reply.ptr, reply.len - HS_PROOF_BYTES), expect);
    if (sodium_memcmp(expect, rest.ptr, HS_PROOF_BYTES) != 0) {
        return false;
    }
    append_transcript(hs, reply);
    return true;
}

static const char *
proof_label(bool by_dialer)
{
    return by_dialer ? "guavarock dialer proof" : "guavarock acceptor accept";
}

void
hs_write_proof(struct hs *hs, const uint8_t header[HS_HEADER_BYTES],
               struct buf *out)
{
    uint8_t message[HS_PROOF_BYTES + HS_HEADER_BYTES];

    memcpy(message + HS_PROOF_BYTES, header, HS_HEADER_BYTES);
    keyed_hash(hs, proof_label(hs->dialer), str_from(header, HS_HEADER_BYTES),
               message);
    append_transcript(hs, str_from(message, sizeof(message)));
    buf_append(out, message, sizeof(message));
}

bool
hs_check_proof(struct hs *hs, struct str message,
               uint8_t header[HS_HEADER_BYTES])
{
    uint8_t expect[HS_PROOF_BYTES];

    if (message.len != HS_PROOF_BYTES + HS_HEADER_BYTES) {
        return false;
    }
    keyed_hash(hs, proof_label(!hs->dialer),
               str_from(message.ptr + HS_PROOF_BYTES, HS_HEADER_BYTES),
               expect);
    if (sodium_memcmp(expect, message.ptr, HS_PROOF_BYTES) != 0) {
        return false;
    }
    memcpy(header, message.ptr + HS_PROOF_BYTES, HS_HEADER_BYTES);
    append_transcript(hs, message);
    return true;
}

void
hs_stream_key(const struct hs *hs, bool sending, uint8_t key[HS_KEY_BYTES])
{
    bool from_dialer = hs->dialer == sending;

    _Static_assert((int)HS_KEY_BYTES == (int)HS_PROOF_BYTES,
                   "a stream key is one hash");
    keyed_hash(hs,
               from_dialer ? "guavarock dialer stream"
                           : "guavarock acceptor stream",
               STR(""), key);
}
