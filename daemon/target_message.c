#include "daemon/target_message.h"

#include "daemon/caller_message.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Longest path or query; a caller's datagram is shorter. */
#define URI_MAX 2048

/* For a refusal without Max-Age, whose standard default of 60 s would stop a target for long. */
#define RETRY_DEFAULT_MS 1000

static bool insert(coap_optlist_t **list, uint16_t number, const uint8_t *data, size_t len)
{
	coap_optlist_t *opt = coap_new_optlist(number, len, data);

	return opt && coap_insert_optlist(list, opt);
}

static bool insert_uint(coap_optlist_t **list, uint16_t number, uint32_t value)
{
	uint8_t buf[4];

	return insert(list, number, buf, coap_encode_var_safe(buf, sizeof(buf), value));
}

/* Adds the parts of a path or query, undoing the percent encoding. */
static bool insert_parts(coap_optlist_t **list, uint16_t number, const char *text)
{
	uint8_t buf[URI_MAX];
	size_t len = sizeof(buf);
	uint8_t *p = buf;
	int n;

	if (!*text)
		return true;
	n = number == COAP_OPTION_URI_PATH
		    ? coap_split_path((const uint8_t *)text, strlen(text), buf, &len)
		    : coap_split_query((const uint8_t *)text, strlen(text), buf, &len);
	if (n < 0)
		return false;
	for (; n > 0; n--, p += coap_opt_size(p))
		if (!insert(list, number, coap_opt_value(p), coap_opt_length(p)))
			return false;
	return true;
}

static coap_pdu_t *build(coap_session_t *session, uint8_t method, uint32_t token,
			 coap_optlist_t **list)
{
	coap_pdu_t *pdu =
		coap_pdu_init(COAP_MESSAGE_CON, (coap_pdu_code_t)method,
			      coap_new_message_id(session), coap_session_max_pdu_size(session));

	if (pdu && coap_add_token(pdu, sizeof(token), (const uint8_t *)&token) &&
	    coap_add_optlist_pdu(pdu, list))
		return pdu;
	coap_delete_pdu(pdu);
	return NULL;
}

static bool list_request(coap_optlist_t **list, const struct ht_target_request *req)
{
	return insert(list, COAP_OPTION_URI_HOST, (const uint8_t *)req->service_name,
		      strlen(req->service_name)) &&
	       insert_parts(list, COAP_OPTION_URI_PATH, req->path) &&
	       insert_parts(list, COAP_OPTION_URI_QUERY, req->query) &&
	       (!req->content_format || !req->payload_len ||
		insert_uint(list, COAP_OPTION_CONTENT_FORMAT, req->content_format)) &&
	       (req->deadline <= 0 ||
		insert_uint(list, HT_OPTION_DEADLINE, (uint32_t)req->deadline));
}

coap_pdu_t *ht_target_message_request(coap_session_t *session, uint32_t token,
				      const struct ht_target_request *req)
{
	coap_optlist_t *list = NULL;
	coap_pdu_t *pdu = NULL;

	if (list_request(&list, req))
		pdu = build(session, req->method, token, &list);
	coap_delete_optlist(list);
	if (pdu && req->payload_len && !coap_add_data(pdu, req->payload_len, req->payload)) {
		coap_delete_pdu(pdu);
		return NULL;
	}
	return pdu;
}

coap_pdu_t *ht_target_message_cancel(coap_session_t *session, uint32_t token,
				     const char *service_name, uint32_t cancelled)
{
	coap_optlist_t *list = NULL;
	coap_pdu_t *pdu = NULL;

	if (insert(&list, COAP_OPTION_URI_HOST, (const uint8_t *)service_name,
		   strlen(service_name)) &&
	    insert(&list, HT_OPTION_CANCEL, (const uint8_t *)&cancelled, sizeof(cancelled)))
		pdu = build(session, HT_DELETE, token, &list);
	coap_delete_optlist(list);
	return pdu;
}

bool ht_target_message_token(const coap_pdu_t *pdu, uint32_t *token)
{
	coap_bin_const_t t = coap_pdu_get_token(pdu);

	if (t.length != sizeof(*token))
		return false;
	memcpy(token, t.s, sizeof(*token));
	return true;
}

static bool read_health(const json_t *root, struct ht_target_health *health)
{
	const char *service = json_string_value(json_object_get(root, "service"));
	const char *state = json_string_value(json_object_get(root, "state"));

	if (!service || !state || strlen(service) >= sizeof(health->service))
		return false;
	snprintf(health->service, sizeof(health->service), "%s", service);
	health->draining = strcmp(state, "draining") == 0;
	return true;
}

bool ht_target_message_health(const coap_pdu_t *pdu, struct ht_target_health *health)
{
	const uint8_t *data = NULL;
	size_t len = 0;
	json_t *root;
	bool ok;

	if ((int)coap_pdu_get_code(pdu) != HT_CONTENT || !coap_get_data(pdu, &len, &data))
		return false;
	root = json_loadb((const char *)data, len, 0, NULL);
	ok = root && read_health(root, health);
	json_decref(root);
	return ok;
}

static uint32_t option_uint(const coap_pdu_t *pdu, coap_option_num_t number, uint32_t none)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, number, &it);

	if (!opt || coap_opt_length(opt) > 4)
		return none;
	return coap_decode_var_bytes(coap_opt_value(opt), coap_opt_length(opt));
}

void ht_target_message_answer(const coap_pdu_t *pdu, struct ht_target_answer *ans)
{
	static const char draining[] = "draining";
	uint32_t seconds;

	ans->code = (uint8_t)coap_pdu_get_code(pdu);
	ans->result = HT_TARGET_ANSWERED;
	ans->payload = NULL;
	ans->payload_len = 0;
	coap_get_data(pdu, &ans->payload_len, &ans->payload);
	ans->content_format = option_uint(pdu, COAP_OPTION_CONTENT_FORMAT, 0);
	if (ans->code != HT_SERVICE_UNAVAILABLE)
		return;
	ans->result = HT_TARGET_REFUSED;
	seconds = option_uint(pdu, COAP_OPTION_MAXAGE, UINT32_MAX);
	ans->retry_after = seconds == UINT32_MAX ? RETRY_DEFAULT_MS : (ht_ms)seconds * 1000;
	ans->draining = ans->payload_len == sizeof(draining) - 1 &&
			memcmp(ans->payload, draining, ans->payload_len) == 0;
}
