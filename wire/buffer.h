/* Byte buffer of a stream: filled at the end, consumed from the front. */
#ifndef HT_WIRE_BUFFER_H
#define HT_WIRE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Growing byte buffer that is consumed from the front. Zero-initialise before use. */
struct ht_buffer {
	uint8_t *data;
	size_t start, end, capacity;
};

static inline size_t ht_buffer_len(const struct ht_buffer *buf)
{
	return buf->end - buf->start;
}

/** Makes room for @len more bytes and returns where to write them; NULL when out of memory. */
uint8_t *ht_buffer_reserve(struct ht_buffer *buf, size_t len);

/** Appends @len bytes; false when out of memory. */
bool ht_buffer_append(struct ht_buffer *buf, const void *data, size_t len);

/** Drops @len bytes from the front; a large buffer that becomes empty is freed. */
void ht_buffer_consume(struct ht_buffer *buf, size_t len);
void ht_buffer_clear(struct ht_buffer *buf);

#endif
