/* Framing of messages between instances: a 4-byte big-endian length, then one protobuf message. */
#ifndef HT_WIRE_FRAME_H
#define HT_WIRE_FRAME_H

#include "base/err.h"
#include "wire/buffer.h"

#include <protobuf-c/protobuf-c.h>

/** Maximum message length: a 1 MiB object of the platform and 64 KiB for the other fields. */
#define HT_FRAME_MAX ((size_t)1024 * 1024 + (size_t)64 * 1024)

/** Limit until the peer has proved that it has the shared key, so that others cannot use up memory.
 */
#define HT_FRAME_MAX_HELLO 1024

#define HT_FRAME_HEADER 4

/**
 * Appends @msg as one frame. Returns false with @err set to HT_EINVAL if the message is larger than
 * HT_FRAME_MAX, or to HT_ENOMEM; the content of @buf is then unchanged.
 */
bool ht_frame_put(struct ht_buffer *buf, const ProtobufCMessage *msg, struct ht_err *err);

enum ht_frame_status {
	HT_FRAME_INCOMPLETE, /**< the frame is not complete yet; read more */
	HT_FRAME_OK,
	HT_FRAME_BAD, /**< invalid frame; close the link, as the stream cannot be resynchronised */
};

/**
 * Decodes and removes the frame at the front of @buf. With HT_FRAME_OK, *@msg is a message of
 * @type, which the caller frees with protobuf_c_message_free_unpacked(). A length above @limit
 * (bytes) is HT_FRAME_BAD.
 */
enum ht_frame_status ht_frame_take(struct ht_buffer *buf, size_t limit,
				   const ProtobufCMessageDescriptor *type, ProtobufCMessage **msg,
				   struct ht_err *err);

#endif
