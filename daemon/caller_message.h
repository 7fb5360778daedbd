/* CoAP messages of callers, to and from the core's structs. */
#ifndef HT_DAEMON_CALLER_MESSAGE_H
#define HT_DAEMON_CALLER_MESSAGE_H

#include "core/core.h"

#include <coap3/coap.h>

/* Option numbers of this product, from the range for experiments (design section 3.11). */
#define HT_OPTION_DEADLINE 65000 /* uint, ms, elective */
#define HT_OPTION_CANCEL 65001	 /* token of the request to cancel, critical */
#define HT_OPTION_VERDICT 65002	 /* uint, enum ht_verdict, elective */

/** Longest deadline taken from a caller, in ms. */
#define HT_DEADLINE_MAX 3600000

/** A parsed request; @req points into the datagram and the strings held here. */
struct ht_caller_message {
	struct ht_request req;
	coap_string_t *path, *query;
};

/**
 * Reads the options of @pdu. Service and flow are left 0. Returns 0, or the CoAP code of the
 * refusal: 4.02 for an option of a wrong length, 4.13 for a body in several blocks, 5.00 when out
 * of memory. Clear @msg in every case.
 */
uint8_t ht_caller_message_read(struct ht_caller_message *msg, const coap_pdu_t *pdu);
void ht_caller_message_clear(struct ht_caller_message *msg);

/** Adds options and payload of @ans to @pdu, whose token is set; false when it does not fit. */
bool ht_caller_message_write(coap_pdu_t *pdu, const struct ht_answer *ans);

#endif
