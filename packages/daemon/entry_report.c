/*
 * An entry's reports to the leader: the units that it uses and wants, and the
 * versions of the configuration and endpoints that it has applied.
 */
#include "entry_impl.h"
#include "mem.h"

struct unit_buffers {
    Wire__UnitReport *list;
    Wire__UnitReport **pointers;
};

static void
fill_units(const struct report *report, struct unit_buffers *buffers,
           Wire__EntrySync *sync)
{
    buffers->list = mem_zalloc(report->count + 1, sizeof(*buffers->list));
    buffers->pointers =
        mem_zalloc(report->count + 1, sizeof(*buffers->pointers));
    for (size_t i = 0; i < report->count; i++) {
        Wire__UnitReport *u = &buffers->list[i];

        wire__unit_report__init(u);
        u->pool = (char *)report->items[i].pool.ptr;
        u->held = report->items[i].held;
        u->used = report->items[i].used;
        u->wanted = report->items[i].wanted;
        buffers->pointers[i] = u;
    }
    sync->n_units = report->count;
    sync->units = buffers->pointers;
}

void
entry_send_report(struct entry *e, struct link *to)
{
    const struct settings *s = e->control->settings;
    Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
    Wire__EntrySync sync = WIRE__ENTRY_SYNC__INIT;
    struct unit_buffers buffers = {0};
    struct report report = {0};
    struct str vm = str_dup(s->vm);
    struct str domain = str_dup(s->failure_domain);
    struct str address = str_dup(s->listen);

    router_report(e->router, e->control->now, &report);
    fill_units(&report, &buffers, &sync);
    sync.term = report.term;
    sync.seq = report.seq;
    e->report_seq = report.seq;
    sync.ack_term = report.ack.term;
    sync.ack_seq = report.ack.seq;
    sync.up_ms = report.up_ns / NS_PER_MS;
    sync.draining = report.leaving;
    sync.full = report.full;
    sync.early_ms = report.early_ns / NS_PER_MS;
    sync.left = e->left;
    sync.config_version = confview_version(e->config);
    sync.endpoints_term = e->endpoints_term;
    sync.endpoints_seq = e->endpoints_seq;
    sync.vm = (char *)vm.ptr;
    sync.failure_domain = (char *)domain.ptr;
    sync.address = (char *)address.ptr;
    sync.run = e->control->run;
    envelope.msg_case = WIRE__ENVELOPE__MSG_ENTRY_SYNC;
    envelope.entry_sync = &sync;
    link_send(to, &envelope);
    report_free(&report);
    str_free(&vm);
    str_free(&domain);
    str_free(&address);
    mem_free(buffers.list);
    mem_free(buffers.pointers);
}
