/* Frames between instances: a 4-byte big-endian length and one protobuf-c PeerMsg. */
#ifndef HT_WIRE_FRAME_H
#define HT_WIRE_FRAME_H

#include "base/err.h"
#include "wire/peer.pb-c.h"

#include <stddef.h>
#include <stdint.h>

/** Largest length field accepted: a 1 MiB object of the platform and room for the other fields. */
#define HT_FRAME_MAX ((size_t)1024 * 1024 + (size_t)64 * 1024)

/** Limit before the peer has proved the shared key, so that strangers cannot fill memory. */
#define HT_FRAME_MAX_HELLO 1024

#define HT_FRAME_HEADER 4

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

/**
 * Appends @msg as one frame. Fails with HT_EINVAL when it is larger than HT_FRAME_MAX and with
 * HT_ENOMEM; @buf is then unchanged.
 */
bool ht_frame_encode(struct ht_buffer *buf, const Ht__PeerMsg *msg, struct ht_err *err);

enum ht_frame_status {
	HT_FRAME_MORE, /**< the buffer holds no whole frame yet */
	HT_FRAME_OK,
	HT_FRAME_BAD, /**< the stream cannot be followed any further; close the link */
};

/**
 * Takes one frame off the front of @buf. With HT_FRAME_OK, *@msg is the message; free it with
 * ht__peer_msg__free_unpacked(). @limit bounds the length field, in bytes.
 */
enum ht_frame_status ht_frame_decode(struct ht_buffer *buf, size_t limit, Ht__PeerMsg **msg,
				     struct ht_err *err);

#endif
