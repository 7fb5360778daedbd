#include "wire/peer_frame.h"

bool ht_peer_frame_encode(struct ht_buffer *buf, const Ht__PeerMsg *msg, struct ht_err *err)
{
	return ht_frame_put(buf, &msg->base, err);
}

enum ht_frame_status ht_peer_frame_decode(struct ht_buffer *buf, size_t limit, Ht__PeerMsg **msg,
					  struct ht_err *err)
{
	ProtobufCMessage *base = NULL;
	enum ht_frame_status status =
		ht_frame_take(buf, limit, &ht__peer_msg__descriptor, &base, err);

	if (status == HT_FRAME_OK)
		*msg = (Ht__PeerMsg *)base;
	return status;
}
