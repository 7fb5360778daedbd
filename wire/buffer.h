/* Byte queue for stream connections. */
#ifndef HT_WIRE_BUFFER_H
#define HT_WIRE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Growable buffer: appended to at the end, consumed from the front. Zero-initialise before use. */
struct ht_buffer {
	uint8_t *data;
	size_t start, end, capacity;
};

static inline size_t ht_buffer_len(const struct ht_buffer *buf)
{
	return buf->end - buf->start;
}

/**
 * Makes room for @len more bytes. Returns where to write them, or NULL when out of memory; the
 * caller then advances @end by what it has written.
 */
uint8_t *ht_buffer_reserve(struct ht_buffer *buf, size_t len);

/** Appends @len bytes. Returns false when out of memory. */
bool ht_buffer_append(struct ht_buffer *buf, const void *data, size_t len);

/** Removes @len bytes from the front. A large buffer is freed when it becomes empty. */
void ht_buffer_consume(struct ht_buffer *buf, size_t len);
/** Frees the memory; the buffer is empty and can be used again. */
void ht_buffer_clear(struct ht_buffer *buf);

#endif
