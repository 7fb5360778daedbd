/* Frames between instances: a 4-byte big-endian length and one protobuf-c message. */
#ifndef HT_WIRE_FRAME_H
#define HT_WIRE_FRAME_H

#include "base/err.h"
#include "wire/buffer.h"

#include <protobuf-c/protobuf-c.h>

/** Largest length field accepted: a 1 MiB object of the platform and room for the other fields. */
#define HT_FRAME_MAX ((size_t)1024 * 1024 + (size_t)64 * 1024)

/** Limit before the peer has proved the shared key, so that strangers cannot fill memory. */
#define HT_FRAME_MAX_HELLO 1024

#define HT_FRAME_HEADER 4

/**
 * Appends @msg as one frame. Fails with HT_EINVAL when it is larger than HT_FRAME_MAX and with
 * HT_ENOMEM; @buf is then unchanged.
 */
bool ht_frame_put(struct ht_buffer *buf, const ProtobufCMessage *msg, struct ht_err *err);

enum ht_frame_status {
	HT_FRAME_MORE, /**< the buffer holds no whole frame yet */
	HT_FRAME_OK,
	HT_FRAME_BAD, /**< the stream cannot be followed any further; close the link */
};

/**
 * Takes one frame off the front of @buf. With HT_FRAME_OK, *@msg is the message, of @type; free it
 * with protobuf_c_message_free_unpacked(). @limit bounds the length field, in bytes.
 */
enum ht_frame_status ht_frame_take(struct ht_buffer *buf, size_t limit,
				   const ProtobufCMessageDescriptor *type, ProtobufCMessage **msg,
				   struct ht_err *err);

#endif
