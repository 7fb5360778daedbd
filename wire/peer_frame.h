/* Frames with a PeerMsg (wire/peer.proto). */
#ifndef HT_WIRE_PEER_FRAME_H
#define HT_WIRE_PEER_FRAME_H

#include "wire/frame.h"
#include "wire/peer.pb-c.h"

/** ht_frame_put() for a PeerMsg. */
bool ht_peer_frame_encode(struct ht_buffer *buf, const Ht__PeerMsg *msg, struct ht_err *err);

/** ht_frame_take() for a PeerMsg; free it with ht__peer_msg__free_unpacked(). */
enum ht_frame_status ht_peer_frame_decode(struct ht_buffer *buf, size_t limit, Ht__PeerMsg **msg,
					  struct ht_err *err);

#endif
