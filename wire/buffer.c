#include "wire/buffer.h"

#include <stdlib.h>
#include <string.h>

/* A larger buffer is freed when it becomes empty: an instance has two buffers for each peer, and
 * one large frame must not hold memory forever. */
#define IDLE_CAPACITY_MAX ((size_t)16 * 1024)

uint8_t *ht_buffer_reserve(struct ht_buffer *buf, size_t len)
{
	size_t held = ht_buffer_len(buf);
	size_t capacity = buf->capacity ? buf->capacity : 1024;
	uint8_t *data;

	if (len <= buf->capacity - buf->end)
		return buf->data + buf->end;
	if (held)
		memmove(buf->data, buf->data + buf->start, held);
	buf->start = 0;
	buf->end = held;
	while (capacity - held < len)
		capacity *= 2;
	if (capacity != buf->capacity) {
		data = realloc(buf->data, capacity);
		if (!data)
			return NULL;
		buf->data = data;
		buf->capacity = capacity;
	}
	return buf->data + buf->end;
}

bool ht_buffer_append(struct ht_buffer *buf, const void *data, size_t len)
{
	uint8_t *to;

	if (!len)
		return true;
	to = ht_buffer_reserve(buf, len);
	if (!to)
		return false;
	memcpy(to, data, len);
	buf->end += len;
	return true;
}

void ht_buffer_consume(struct ht_buffer *buf, size_t len)
{
	buf->start += len;
	if (buf->start != buf->end)
		return;
	buf->start = buf->end = 0;
	if (buf->capacity > IDLE_CAPACITY_MAX)
		ht_buffer_clear(buf);
}

void ht_buffer_clear(struct ht_buffer *buf)
{
	free(buf->data);
	memset(buf, 0, sizeof(*buf));
}
