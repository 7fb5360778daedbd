/* Reference count to embed in shared objects. Not thread-safe. */
#ifndef HT_BASE_REF_H
#define HT_BASE_REF_H

struct ht_ref {
	int count;
	void (*release)(struct ht_ref *ref);
};

static inline void ht_ref_init(struct ht_ref *ref, void (*release)(struct ht_ref *ref))
{
	ref->count = 1;
	ref->release = release;
}

static inline void ht_ref_get(struct ht_ref *ref)
{
	ref->count++;
}

static inline void ht_ref_put(struct ht_ref *ref)
{
	if (--ref->count == 0)
		ref->release(ref);
}

#endif
