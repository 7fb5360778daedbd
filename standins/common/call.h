/* One request of the caller stand-in: its messages, its answers and its record. No I/O. */
#ifndef HT_STANDINS_CALL_H
#define HT_STANDINS_CALL_H

#include "base/clock.h"
#include "base/list.h"
#include "standins/common/msg.h"

#include <jansson.h>

struct ht_si_call {
	struct ht_list node;
	void *flow;
	char id[64];
	const char *service, *path;
	uint8_t method;
	uint8_t token[8];
	uint8_t ticket[40];
	size_t ticket_len;
	ht_ms sent, deadline; /**< on the monotonic clock */
	ht_ms repeat_at, cancel_at;
	ht_ms sent_wall;
	int attempts, tickets, restarts;

	/* Block-wise transfer. */
	GByteArray *body;
	uint8_t etag[8];
	size_t etag_len;
	unsigned next_block, szx;
	bool cut; /**< the blocks of the answer did not fit together */

	/* Cancellation. */
	bool cancelled;
	uint8_t cancel_token[8];
	unsigned cancel_code; /**< 0 until answered */

	unsigned code; /**< final code, 0 until answered */
	int verdict;   /**< enum ht_verdict, -1 when the answer has none */
	uint32_t max_age;
};

/** What the caller has to do after an answer. */
enum ht_si_step {
	HT_SI_IGNORE, /**< not for this request, or a repeat */
	HT_SI_SEND,   /**< send the next message at once */
	HT_SI_DONE,   /**< the request has its final answer */
};

/** Prepares @call; id, service, path, method, sent and deadline are set before. */
void ht_si_call_init(struct ht_si_call *call, GRand *rand);
void ht_si_call_clear(struct ht_si_call *call);

/** Appends the next datagram of the request, or of its cancellation, to @out. */
void ht_si_call_message(const struct ht_si_call *call, bool cancel, ht_ms now, GRand *rand,
			GByteArray *out);

enum ht_si_step ht_si_call_answer(struct ht_si_call *call, const coap_pdu_t *pdu, GRand *rand);

/** Record of the request, with @code 0 when there was no final answer. */
json_t *ht_si_call_record(const struct ht_si_call *call, ht_ms done_wall);

#endif
