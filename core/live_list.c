/* Merges the platform's list of instances into the member table and sends changes to peers. */
#include "core/members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void pack_instance(Ht__Instance *out, const struct ht_instance_info *info, bool removed)
{
	ht__instance__init(out);
	out->name = (char *)info->name;
	out->dc = (char *)info->dc;
	out->removed = removed;
	if (removed)
		return;
	out->peer_address = (char *)info->peer_address;
	out->admin_address = (char *)info->admin_address;
	out->size = info->size;
	out->leaving = info->leaving;
}

static void copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static struct ht_instance_info unpack_instance(const Ht__Instance *in)
{
	struct ht_instance_info info = {.size = in->size, .leaving = in->leaving};

	copy(info.name, sizeof(info.name), in->name);
	copy(info.dc, sizeof(info.dc), in->dc);
	copy(info.peer_address, sizeof(info.peer_address), in->peer_address);
	copy(info.admin_address, sizeof(info.admin_address), in->admin_address);
	return info;
}

/* Instances added, changed or removed by a list, collected to be sent to peers. */
struct changes {
	struct ht_instance_info *infos;
	bool *removed;
	size_t count;
};

static void add_change(struct changes *c, const struct ht_instance_info *info, bool removed)
{
	if (!c->infos)
		return;
	c->infos[c->count] = *info;
	c->removed[c->count++] = removed;
}

static bool same_info(const struct ht_instance_info *a, const struct ht_instance_info *b)
{
	return strcmp(a->peer_address, b->peer_address) == 0 &&
	       strcmp(a->admin_address, b->admin_address) == 0 && strcmp(a->dc, b->dc) == 0 &&
	       a->size == b->size && a->leaving == b->leaving;
}

static void add_listed(struct ht_membership *m, const struct ht_instance_info *info,
		       struct changes *c)
{
	struct ht_member *p = ht_members_add(m, info);

	if (!p)
		return;
	if (!p->listed || !same_info(&p->info, info))
		add_change(c, info, false);
	if (!p->listed && !p->heard_directly)
		ht_member_delay_counting(m, p, HT_START_GRACE_MS);
	p->listed = true;
	if (!p->self)
		p->info = *info;
}

static void remove_listed(struct ht_membership *m, struct ht_member *p, struct changes *c)
{
	if (p->listed)
		add_change(c, &p->info, true);
	p->listed = false;
	p->heard_directly = p->local && ht_member_is_live_peer(p);
	if (!p->self && !p->heard_directly && !p->link_up)
		ht_members_erase(m, p);
}

static bool contains(const struct ht_instance_info *list, size_t count, uint64_t id)
{
	for (size_t i = 0; i < count; i++)
		if (ht_instance_id(list[i].name) == id)
			return true;
	return false;
}

static void replace_all(struct ht_membership *m, const struct ht_instance_info *list, size_t count,
			struct changes *c)
{
	for (size_t i = m->count; i-- > 0;)
		if (!contains(list, count, m->members[i].id))
			remove_listed(m, &m->members[i], c);
	for (size_t i = 0; i < count; i++)
		add_listed(m, &list[i], c);
}

static struct ht_revision revision_of(const Ht__LiveList *msg)
{
	return (struct ht_revision){.era = msg->era, .number = msg->revision};
}

static struct ht_revision base_of(const Ht__LiveList *msg)
{
	return (struct ht_revision){.era = msg->from_era, .number = msg->from_revision};
}

/* @from is the revision to which the changes apply; its number is 0 for a full list. */
static void send_list(struct ht_membership *m, uint64_t peer, struct ht_revision from,
		      Ht__Instance **items, size_t count)
{
	Ht__LiveList list = HT__LIVE_LIST__INIT;
	Ht__PeerMsg msg = HT__PEER_MSG__INIT;

	list.era = m->list_revision.era;
	list.revision = m->list_revision.number;
	list.from_era = from.era;
	list.from_revision = from.number;
	list.instances = items;
	list.n_instances = count;
	msg.kind_case = HT__PEER_MSG__KIND_LIVE_LIST;
	msg.live_list = &list;
	m->env->send(m->env, peer, &msg);
}

void ht_membership_ask_list(struct ht_membership *m, uint64_t peer)
{
	send_list(m, peer, m->list_revision, NULL, 0);
}

static void send_changes(struct ht_membership *m, struct ht_revision from, const struct changes *c)
{
	Ht__Instance *store = calloc(c->count + 1, sizeof(*store));
	Ht__Instance **items = calloc(c->count + 1, sizeof(*items));

	if (store && items) {
		for (size_t i = 0; i < c->count; i++) {
			pack_instance(&store[i], &c->infos[i], c->removed[i]);
			items[i] = &store[i];
		}
		for (size_t i = 0; i < m->count; i++)
			if (ht_member_is_live_peer(&m->members[i]))
				send_list(m, m->members[i].id, from, items, c->count);
	}
	free(store);
	free(items);
}

static void send_full_list(struct ht_membership *m, uint64_t peer)
{
	Ht__Instance *store = calloc(m->count, sizeof(*store));
	Ht__Instance **items = calloc(m->count, sizeof(*items));
	size_t n = 0;

	if (store && items) {
		for (size_t i = 0; i < m->count; i++) {
			if (!m->members[i].listed)
				continue;
			pack_instance(&store[n], &m->members[i].info, false);
			items[n] = &store[n];
			n++;
		}
		send_list(m, peer, (struct ht_revision){0}, items, n);
	}
	free(store);
	free(items);
}

void ht_membership_platform_list(struct ht_membership *m, struct ht_revision revision,
				 const struct ht_instance_info *list, int count)
{
	size_t room = m->count + (size_t)(count > 0 ? count : 0);
	struct ht_revision from = m->list_revision;
	struct changes c = {0};

	/* A lower revision comes from a replica that lags behind. */
	if (count < 0 || !ht_revision_before(m->list_revision, revision))
		return;
	c.infos = calloc(room, sizeof(*c.infos));
	c.removed = calloc(room, sizeof(*c.removed));
	if (c.infos && c.removed) {
		replace_all(m, list, (size_t)count, &c);
		m->list_revision = revision;
		ht_membership_view_changed(m);
		if (from.number != 0 && c.count > 0)
			send_changes(m, from, &c);
	}
	free(c.infos);
	free(c.removed);
}

static void apply_message(struct ht_membership *m, const Ht__LiveList *msg)
{
	struct ht_instance_info *list = calloc(msg->n_instances + 1, sizeof(*list));
	struct changes ignored = {0};

	if (!list)
		return;
	for (size_t i = 0; i < msg->n_instances; i++)
		list[i] = unpack_instance(msg->instances[i]);
	if (msg->from_revision == 0) {
		replace_all(m, list, msg->n_instances, &ignored);
	} else {
		for (size_t i = 0; i < msg->n_instances; i++) {
			struct ht_member *p = ht_members_find(m, ht_instance_id(list[i].name));

			if (!msg->instances[i]->removed)
				add_listed(m, &list[i], &ignored);
			else if (p)
				remove_listed(m, p, &ignored);
		}
	}
	free(list);
	m->list_revision = revision_of(msg);
	ht_membership_view_changed(m);
}

void ht_membership_peer_list(struct ht_membership *m, uint64_t peer, const Ht__LiveList *msg)
{
	if (msg->n_instances == 0 && ht_revision_equal(revision_of(msg), base_of(msg))) {
		if (ht_revision_before(revision_of(msg), m->list_revision))
			send_full_list(m, peer);
		return;
	}
	if (!ht_revision_before(m->list_revision, revision_of(msg)))
		return;
	if (msg->from_revision == 0 || ht_revision_equal(base_of(msg), m->list_revision))
		apply_message(m, msg);
	else
		ht_membership_ask_list(m, peer);
}
