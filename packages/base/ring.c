#include "ring.h"

#include <poll.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>
#include <ck_ring.h>

#include "mem.h"

/*
 * ThreadSanitizer does not see the barriers of Concurrency Kit, which are
 * inline assembly. It is told here what a push and a pop order, and not to
 * report the ring's own slots.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#define ORDER_PUSH(r) __tsan_release(r)
#define ORDER_POP(r) __tsan_acquire(r)

const char *
__tsan_default_suppressions(void);

const char *
__tsan_default_suppressions(void)
{
    return "race:_ck_ring_";
}
#else
#define ORDER_PUSH(r) ((void)0)
#define ORDER_POP(r) ((void)0)
#endif

struct ring {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    int fd;
    uint32_t signalled;
};

struct ring *
ring_create(unsigned capacity)
{
    struct ring *r = mem_zalloc(1, sizeof(*r));

    r->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (r->fd < 0) {
        mem_free(r);
        return NULL;
    }
    r->slots = mem_zalloc(capacity, sizeof(*r->slots));
    ck_ring_init(&r->ring, capacity);
    return r;
}

void
ring_destroy(struct ring *r)
{
    if (r == NULL) {
        return;
    }
    close(r->fd);
    mem_free(r->slots);
    mem_free(r);
}

bool
ring_push(struct ring *r, void *item)
{
    uint64_t one = 1;

    ORDER_PUSH(r);
    if (!ck_ring_enqueue_mpsc(&r->ring, r->slots, item)) {
        return false;
    }
    /* One system call per burst: the consumer clears the flag first. */
    if (ck_pr_fas_32(&r->signalled, 1) == 0) {
        if (write(r->fd, &one, sizeof(one)) < 0) {
            ck_pr_store_32(&r->signalled, 0);
        }
    }
    return true;
}

void *
ring_pop(struct ring *r)
{
    void *item;

    if (!ck_ring_dequeue_mpsc(&r->ring, r->slots, &item)) {
        return NULL;
    }
    ORDER_POP(r);
    return item;
}

int
ring_fd(const struct ring *r)
{
    return r->fd;
}

void
ring_clear(struct ring *r)
{
    uint64_t count;

    /* Drained before the flag is cleared: a push between the two signals
     * nothing, but its item is popped by the loop that follows. */
    if (read(r->fd, &count, sizeof(count)) < 0) {
        count = 0;
    }
    ck_pr_store_32(&r->signalled, 0);
    ck_pr_fence_memory();
}

void
ring_wait(struct ring *r)
{
    struct pollfd p = {.fd = r->fd, .events = POLLIN};

    while (poll(&p, 1, -1) < 0) {
    }
    ring_clear(r);
}
