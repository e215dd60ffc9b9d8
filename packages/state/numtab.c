#include "numtab.h"

#include "mem.h"

enum {
    PAGE_ITEMS = 32,
};

struct numtab_page {
    struct numtab_page *prev;
    struct numtab_page *next;
    uint64_t number; /* of the page: its items' numbers / PAGE_ITEMS */
    size_t count;
    void *items[PAGE_ITEMS];
};

void
numtab_init(struct numtab *t)
{
    *t = (struct numtab){.pages = map_create()};
}

static struct numtab_page *
find_page(const struct numtab *t, uint64_t number)
{
    return map_get_u64(t->pages, number / PAGE_ITEMS);
}

static struct numtab_page *
page_add(struct numtab *t, uint64_t number)
{
    struct numtab_page *page = mem_zalloc(1, sizeof(*page));

    page->number = number;
    page->prev = t->last;
    if (t->last == NULL) {
        t->first = page;
    }
    else {
        t->last->next = page;
    }
    t->last = page;
    map_put_u64(t->pages, number, page);
    return page;
}

static void
page_remove(struct numtab *t, struct numtab_page *page)
{
    if (page->prev == NULL) {
        t->first = page->next;
    }
    else {
        page->prev->next = page->next;
    }
    if (page->next == NULL) {
        t->last = page->prev;
    }
    else {
        page->next->prev = page->prev;
    }
    map_del_u64(t->pages, page->number);
    mem_free(page);
}

void
numtab_free(struct numtab *t)
{
    while (t->first != NULL) {
        page_remove(t, t->first);
    }
    map_destroy(t->pages);
}

void
numtab_put(struct numtab *t, uint64_t number, void *item)
{
    struct numtab_page *page = find_page(t, number);

    if (page == NULL) {
        page = page_add(t, number / PAGE_ITEMS);
    }
    page->items[number % PAGE_ITEMS] = item;
    page->count++;
    t->count++;
}

void *
numtab_get(const struct numtab *t, uint64_t number)
{
    const struct numtab_page *page = find_page(t, number);

    return page == NULL ? NULL : page->items[number % PAGE_ITEMS];
}

void *
numtab_del(struct numtab *t, uint64_t number)
{
    struct numtab_page *page = find_page(t, number);
    void *item = page == NULL ? NULL : page->items[number % PAGE_ITEMS];

    if (item == NULL) {
        return NULL;
    }
    page->items[number % PAGE_ITEMS] = NULL;
    page->count--;
    t->count--;
    if (page->count == 0) {
        page_remove(t, page);
    }
    return item;
}

void *
numtab_after(const struct numtab *t, uint64_t number)
{
    const struct numtab_page *page =
        number == 0 ? t->first : find_page(t, number);
    size_t i = number == 0 ? 0 : number % PAGE_ITEMS + 1;

    while (page != NULL) {
        for (; i < PAGE_ITEMS; i++) {
            if (page->items[i] != NULL) {
                return page->items[i];
            }
        }
        page = page->next;
        i = 0;
    }
    return NULL;
}
