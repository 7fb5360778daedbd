/* Intrusive circular doubly linked list. The head is a node without an object. */
#ifndef HT_BASE_LIST_H
#define HT_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct ht_list {
	struct ht_list *next, *prev;
};

#define ht_container_of(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#define ht_list_for_each(pos, head) for (pos = (head)->next; pos != (head); pos = pos->next)

/** Like ht_list_for_each(), but the loop body may remove @pos. */
#define ht_list_for_each_safe(pos, tmp, head)                                                      \
	for (pos = (head)->next, tmp = pos->next; pos != (head); pos = tmp, tmp = pos->next)

static inline void ht_list_init(struct ht_list *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool ht_list_empty(const struct ht_list *head)
{
	return head->next == head;
}

static inline void ht_list_add_tail(struct ht_list *head, struct ht_list *node)
{
	node->next = head;
	node->prev = head->prev;
	head->prev->next = node;
	head->prev = node;
}

static inline void ht_list_add_head(struct ht_list *head, struct ht_list *node)
{
	ht_list_add_tail(head->next, node);
}

/** Removes @node and reinitialises it, so that removing it again has no effect. */
static inline void ht_list_del(struct ht_list *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	ht_list_init(node);
}

#endif
