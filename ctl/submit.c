#include "ctl/submit.h"

#include <string.h>
#include <unistd.h>

#define PART_TRIES 4
#define READ_TRIES 6
#define WRITE_TRIES 3
#define PAUSE_MS 100 /* doubles with each try: 6.3 s for READ_TRIES */

static void pause_before(int tries)
{
	if (tries)
		usleep((useconds_t)(PAUSE_MS * 1000U) << (tries - 1));
}

static bool is_known(const struct ht_rules_parts *known, const char *hash)
{
	for (size_t i = 0; i < known->count; i++)
		if (strcmp(known->items[i].hash, hash) == 0)
			return true;
	return false;
}

/* Replaces a part whose content at the platform does not have its hash; true when it is whole. */
static bool is_whole(const struct ht_rules_part *part, const struct ht_platform_result *res)
{
	struct ht_rules_part copy = {0};
	bool ok;

	memcpy(copy.hash, part->hash, sizeof(copy.hash));
	ok = res->value && ht_rules_part_parse(res->value, strlen(res->value), &copy, NULL);
	free(copy.text);
	return ok;
}

static bool submit_part(struct ht_ctl *ctl, const struct ht_rules_part *part, struct ht_err *err)
{
	char *value = ht_rules_part_format(part);
	uint64_t if_version = 0;
	char name[64];
	bool ok = false;

	if (!value)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	snprintf(name, sizeof(name), "config/parts/%s", part->hash);
	for (int i = 0; i < PART_TRIES && !ok; i++) {
		struct ht_platform_result res;

		pause_before(i);
		ok = ht_platform_write_wait(ctl->client, name, if_version, value,
					    HT_CTL_PLATFORM_TIMEOUT, &res);
		*err = res.err;
		if (res.err.code == HT_ECONFLICT) {
			if_version = res.version;
			ok = is_whole(part, &res);
		}
		ht_platform_result_clear(&res);
	}
	free(value);
	return ok || ht_err_prefix(err, "rules of service '%s'", part->service);
}

bool ht_ctl_submit_parts(struct ht_ctl *ctl, const struct ht_rules_parts *parts,
			 const struct ht_rules_parts *known, struct ht_err *err)
{
	for (size_t i = 0; i < parts->count; i++)
		if (!is_known(known, parts->items[i].hash) &&
		    !submit_part(ctl, &parts->items[i], err))
			return false;
	return true;
}

struct submission {
	struct ht_ctl *ctl;
	const char *change_id;
	char *value;
	uint64_t object_version;
	struct ht_err *err;
};

/* Tells from a head that replaced the expected one whether the change is among those accepted. */
static int classify(const struct submission *s, const char *value)
{
	struct ht_rules_head now;
	int status = HT_CTL_LOST;

	if (!value || !ht_rules_head_parse(value, strlen(value), &now, s->err))
		return HT_CTL_UNKNOWN;
	if (strcmp(now.change_id, s->change_id) == 0)
		status = HT_CTL_DONE;
	for (size_t i = 0; i < now.recent_count; i++)
		if (strcmp(now.recent[i], s->change_id) == 0)
			status = HT_CTL_DONE;
	ht_rules_head_clear(&now);
	return status;
}

/* Sends the update once. HT_CTL_UNKNOWN asks for settling. */
static int write_head(const struct submission *s)
{
	struct ht_platform_result res;
	int status;

	ht_platform_write_wait(s->ctl->client, "config/head", s->object_version, s->value,
			       HT_CTL_PLATFORM_TIMEOUT, &res);
	*s->err = res.err;
	switch (res.err.code) {
	case HT_OK:
		status = HT_CTL_DONE;
		break;
	case HT_ECONFLICT:
		status = classify(s, res.value);
		break;
	case HT_EUNKNOWN:
		status = HT_CTL_UNKNOWN;
		break;
	default:
		status = HT_CTL_FAILED;
	}
	ht_platform_result_clear(&res);
	return status;
}

/* Reads the head once. HT_CTL_FAILED means that it is still the one before the change. */
static int read_back(const struct submission *s)
{
	struct ht_platform_result res;
	int status = HT_CTL_UNKNOWN;

	ht_platform_read_wait(s->ctl->client, "config/head", HT_CTL_PLATFORM_TIMEOUT, &res);
	if (res.err.code == HT_ENOTFOUND && s->object_version == 0)
		status = HT_CTL_FAILED;
	else if (res.err.code == HT_OK)
		status = res.version == s->object_version ? HT_CTL_FAILED : classify(s, res.value);
	ht_platform_result_clear(&res);
	return status;
}

/*
 * The answer to a write was lost. The head says whether it took effect. Where it shows the state
 * before, the write is sent again under the same condition and change id: the platform takes at
 * most one of the two, and the loser's answer carries the winner's change id.
 */
static int settle(const struct submission *s)
{
	int writes = 1, status = HT_CTL_UNKNOWN;

	for (int i = 0; i < READ_TRIES && status == HT_CTL_UNKNOWN; i++) {
		pause_before(i);
		status = read_back(s);
		if (status != HT_CTL_FAILED)
			continue;
		status = HT_CTL_UNKNOWN;
		if (writes < WRITE_TRIES) {
			writes++;
			status = write_head(s);
		}
		/* Not sent this time; the first write may still be on its way. */
		if (status == HT_CTL_FAILED)
			status = HT_CTL_UNKNOWN;
	}
	if (status == HT_CTL_UNKNOWN)
		ht_ctl_event(HT_EV_CONFIG_OUTCOME_UNKNOWN, "change=%s tries=%d", s->change_id,
			     READ_TRIES);
	else
		ht_ctl_event(HT_EV_CONFIG_OUTCOME_SETTLED, "change=%s outcome=%s", s->change_id,
			     status == HT_CTL_DONE ? "accepted" : "lost");
	return status;
}

int ht_ctl_submit_head(struct ht_ctl *ctl, const struct ht_rules_head *head,
		       uint64_t object_version, struct ht_err *err)
{
	struct submission s = {.ctl = ctl,
			       .change_id = head->change_id,
			       .value = ht_rules_head_format(head),
			       .object_version = object_version,
			       .err = err};
	int status;

	if (!s.value) {
		ht_err_set(err, HT_ENOMEM, "out of memory");
		return HT_CTL_FAILED;
	}
	status = write_head(&s);
	if (status == HT_CTL_UNKNOWN)
		status = settle(&s);
	free(s.value);
	return status;
}
