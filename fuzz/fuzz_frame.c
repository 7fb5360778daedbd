/* Peer frames: any bytes, in pieces whose size the first byte gives. */
#include "wire/peer_frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What was decoded must encode again, so that it can be passed on. */
static void encode_again(const Ht__PeerMsg *msg)
{
	struct ht_buffer out = {0};

	if (!ht_peer_frame_encode(&out, msg, NULL))
		__builtin_trap();
	ht_buffer_clear(&out);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct ht_buffer in = {0};
	enum ht_frame_status status = HT_FRAME_INCOMPLETE;
	size_t step = size ? 1U + data[0] : 1;
	Ht__PeerMsg *msg;
	struct ht_err err;

	for (size_t at = 1; at < size && status != HT_FRAME_BAD; at += step) {
		size_t n = size - at < step ? size - at : step;

		if (!ht_buffer_append(&in, data + at, n))
			__builtin_trap();
		while ((status = ht_peer_frame_decode(&in, HT_FRAME_MAX, &msg, &err)) ==
		       HT_FRAME_OK) {
			encode_again(msg);
			ht__peer_msg__free_unpacked(msg, NULL);
		}
	}
	ht_buffer_clear(&in);
	return 0;
}
