/* CoAP messages to and from targets. */
#ifndef HT_DAEMON_TARGET_MESSAGE_H
#define HT_DAEMON_TARGET_MESSAGE_H

#include "core/core.h"

#include <coap3/coap.h>

/** What a target says of itself at GET /health. */
struct ht_target_health {
	char service[HT_NAME_MAX];
	bool draining;
};

/** Builds a request for @session; NULL when it does not fit or memory is short. */
coap_pdu_t *ht_target_message_request(coap_session_t *session, uint32_t token,
				      const struct ht_target_request *req);

/** Builds a cancellation of the request with the token @cancelled. */
coap_pdu_t *ht_target_message_cancel(coap_session_t *session, uint32_t token,
				     const char *service_name, uint32_t cancelled);

/** Token of an answer; false when it is none of ours. */
bool ht_target_message_token(const coap_pdu_t *pdu, uint32_t *token);

/** Reads a health answer; false when it is none. */
bool ht_target_message_health(const coap_pdu_t *pdu, struct ht_target_health *health);

/** Fills in all but the id; payload points into @pdu. */
void ht_target_message_answer(const coap_pdu_t *pdu, struct ht_target_answer *ans);

#endif
