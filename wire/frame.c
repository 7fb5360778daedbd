#include "wire/frame.h"

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

bool ht_frame_put(struct ht_buffer *buf, const ProtobufCMessage *msg, struct ht_err *err)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	uint8_t *to;

	if (len > HT_FRAME_MAX)
		return ht_err_set(err, HT_EINVAL, "message of %zu bytes exceeds the limit of %zu",
				  len, HT_FRAME_MAX);
	to = ht_buffer_reserve(buf, HT_FRAME_HEADER + len);
	if (!to)
		return ht_err_set(err, HT_ENOMEM, "out of memory");
	put_u32(to, (uint32_t)len);
	protobuf_c_message_pack(msg, to + HT_FRAME_HEADER);
	buf->end += HT_FRAME_HEADER + len;
	return true;
}

enum ht_frame_status ht_frame_take(struct ht_buffer *buf, size_t limit,
				   const ProtobufCMessageDescriptor *type, ProtobufCMessage **msg,
				   struct ht_err *err)
{
	const uint8_t *p = buf->data + buf->start;
	size_t held = ht_buffer_len(buf);
	size_t len;

	if (held < HT_FRAME_HEADER)
		return HT_FRAME_INCOMPLETE;
	len = get_u32(p);
	if (len > limit) {
		ht_err_set(err, HT_EINVAL, "frame of %zu bytes exceeds the limit of %zu", len,
			   limit);
		return HT_FRAME_BAD;
	}
	if (held - HT_FRAME_HEADER < len)
		return HT_FRAME_INCOMPLETE;
	*msg = protobuf_c_message_unpack(type, NULL, len, p + HT_FRAME_HEADER);
	if (!*msg) {
		ht_err_set(err, HT_EINVAL, "frame of %zu bytes is no valid message", len);
		return HT_FRAME_BAD;
	}
	ht_buffer_consume(buf, HT_FRAME_HEADER + len);
	return HT_FRAME_OK;
}
