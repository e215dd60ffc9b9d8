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
 * A proof is a BLAKE2b hash, keyed with the cluster key, of a label for its
 * sender's role, the earlier messages and the fields of its own message. Every
 * proof covers both nonces, so that messages of an old handshake are refused
 * in a new one. The hello has no proof. The two stream keys are keyed hashes
 * with other labels.
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

/* State of one handshake; the transcript is the same on both sides. */
struct hs {
    const uint8_t *cluster_key;
    bool dialer;
    struct buf transcript;
    struct hs_hello peer;
    struct buf peer_vm; /* storage of peer.vm */
};

void
hs_free(struct hs *hs);

/* Dialer: writes the hello. */
void
hs_write_hello(struct hs *hs, const struct hs_hello *own, struct buf *out);

/* Acceptor: reads the hello and writes the reply; false if malformed. */
bool
hs_answer_hello(struct hs *hs, struct str hello, const struct hs_hello *own,
                struct buf *out);

/* Dialer: false unless the reply proves that its sender has the key. */
bool
hs_check_reply(struct hs *hs, struct str reply);

/* Writes the dialer's proof or the acceptor's accept with a stream header. */
void
hs_write_proof(struct hs *hs, const uint8_t header[HS_HEADER_BYTES],
               struct buf *out);

/* Checks the other side's proof or accept and copies its stream header. */
bool
hs_check_proof(struct hs *hs, struct str message,
               uint8_t header[HS_HEADER_BYTES]);

/*
 * Derives the key of the stream that this side sends or receives. Both sides
 * must call it after the reply and before the proof.
 */
void
hs_stream_key(const struct hs *hs, bool sending, uint8_t key[HS_KEY_BYTES]);

#endif
