#include "wire/frame.h"

#include <stdlib.h>
#include <string.h>

/* An empty buffer that has grown beyond this is given back: an instance holds a buffer pair for
 * each of its peers, and one large frame must not keep its memory for good. */
#define KEPT_CAPACITY ((size_t)16 * 1024)

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
	if (buf->capacity > KEPT_CAPACITY)
		ht_buffer_clear(buf);
}

void ht_buffer_clear(struct ht_buffer *buf)
{
	free(buf->data);
	memset(buf, 0, sizeof(*buf));
}

static void put_u32(uint8_t *to, uint32_t v)
{
	to[0] = (uint8_t)(v >> 24);
	to[1] = (uint8_t)(v >> 16);
	to[2] = (uint8_t)(v >> 8);
	to[3] = (uint8_t)v;
}

static uint32_t get_u32(const uint8_t *from)
{
	return (uint32_t)from[0] << 24 | (uint32_t)from[1] << 16 | (uint32_t)from[2] << 8 | from[3];
}

bool ht_frame_encode(struct ht_buffer *buf, const Ht__PeerMsg *msg, struct ht_err *err)
{
	size_t len = ht__peer_msg__get_packed_size(msg);
	uint8_t *to;

	if (len > HT_FRAME_MAX)
		return ht_err_set(err, HT_EINVAL, "message of %zu bytes exceeds the limit of %zu",
				  len, HT_FRAME_MAX);
	to = ht_buffer_reserve(buf, HT_FRAME_HEADER + len);
	if (!to)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	put_u32(to, (uint32_t)len);
	ht__peer_msg__pack(msg, to + HT_FRAME_HEADER);
	buf->end += HT_FRAME_HEADER + len;
	return true;
}

enum ht_frame_status ht_frame_decode(struct ht_buffer *buf, size_t limit, Ht__PeerMsg **msg,
				     struct ht_err *err)
{
	const uint8_t *p = buf->data + buf->start;
	size_t held = ht_buffer_len(buf);
	size_t len;

	if (held < HT_FRAME_HEADER)
		return HT_FRAME_MORE;
	len = get_u32(p);
	if (len > limit) {
		ht_err_set(err, HT_EINVAL, "frame of %zu bytes exceeds the limit of %zu", len,
			   limit);
		return HT_FRAME_BAD;
	}
	if (held - HT_FRAME_HEADER < len)
		return HT_FRAME_MORE;
	*msg = ht__peer_msg__unpack(NULL, len, p + HT_FRAME_HEADER);
	if (!*msg) {
		ht_err_set(err, HT_EINVAL, "frame of %zu bytes is no valid message", len);
		return HT_FRAME_BAD;
	}
	ht_buffer_consume(buf, HT_FRAME_HEADER + len);
	return HT_FRAME_OK;
}
