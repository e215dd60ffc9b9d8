#ifndef GV_PEER_HANDSHAKE_H
#define GV_PEER_HANDSHAKE_H

#include <sodium.h>

#include "peer.h"

/*
 * The handshake, in frames of at most PEER_HANDSHAKE_MAX bytes:
 *
 *   dialer    hello:  magic, nonce, instance, member, cluster, VM name
 *   acceptor  reply:  the same fields of its own, and a proof over both
 *   dialer    proof:  a proof over everything before, and its stream header
 *   acceptor  accept: a proof over everything before, and its stream header
 *
 * A proof is BLAKE2b keyed with the cluster key over a label of its sender's
 * role, the messages before it and what it carries. Both nonces are in every
 * proof but the hello, so that no message of an old handshake fits a new
 * one. The two stream keys are hashes of the same kind with labels of their
 * own.
 */

enum {
    HS_NONCE_BYTES = 32,
    HS_PROOF_BYTES = 32,
    HS_HEADER_BYTES = crypto_secretstream_xchacha20poly1305_HEADERBYTES,
    HS_KEY_BYTES = crypto_secretstream_xchacha20poly1305_KEYBYTES,
};

/* What a side announces in its hello or reply. */
struct hs_hello {
    uint8_t nonce[HS_NONCE_BYTES];
    uint64_t instance; /* random, one per process */
    uint64_t member_id;
    uint64_t cluster_id;
    struct str vm; /* points into the message */
};

/* The messages so far; both sides hold the same bytes. */
struct hs {
    const uint8_t *cluster_key;
    bool dialer;
    struct buf transcript;
    struct hs_hello peer;
    struct buf peer_vm; /* storage of peer.vm */
};

void
hs_free(struct hs *hs);

/* Dialer, first message. */
void
hs_hello(struct hs *hs, const struct hs_hello *own, struct buf *out);

/* Acceptor: takes the hello and writes the reply; false if it is no hello. */
bool
hs_reply(struct hs *hs, struct str hello, const struct hs_hello *own,
         struct buf *out);

/* Dialer: checks the reply; false unless it proves the key. */
bool
hs_check_reply(struct hs *hs, struct str reply);

/* Proof and accept: writes the message that carries a stream header. */
void
hs_prove(struct hs *hs, const uint8_t header[HS_HEADER_BYTES],
         struct buf *out);

/* Checks the other side's proof or accept and takes its stream header. */
bool
hs_check_proof(struct hs *hs, struct str message,
               uint8_t header[HS_HEADER_BYTES]);

/*
 * The key of the stream that this side sends or receives; call it between
 * the reply and the proof.
 */
void
hs_stream_key(const struct hs *hs, bool sending, uint8_t key[HS_KEY_BYTES]);

#endif
