/* CoAP messages of the stand-ins: encoding over a byte array, decoding through libcoap. */
#ifndef HT_STANDINS_MSG_H
#define HT_STANDINS_MSG_H

#include <coap3/coap.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	HT_SI_OPT_DEADLINE = 65000, /**< uint, ms */
	HT_SI_OPT_CANCEL = 65001,   /**< token of the request to cancel */
	HT_SI_OPT_VERDICT = 65002,  /**< uint, enum ht_verdict */
};

#define HT_SI_CODE(cls, detail) ((uint8_t)((cls) << 5 | (detail)))

/** Message under construction; options are added in ascending order of their numbers. */
struct ht_si_msg {
	uint8_t code;
	uint8_t token[8];
	size_t token_len;
	uint16_t last;
	GByteArray *body;
};

void ht_si_msg_init(struct ht_si_msg *m, uint8_t code, const uint8_t *token, size_t token_len);
void ht_si_msg_opt(struct ht_si_msg *m, uint16_t number, const void *value, size_t len);
void ht_si_msg_opt_str(struct ht_si_msg *m, uint16_t number, const char *value);
void ht_si_msg_opt_uint(struct ht_si_msg *m, uint16_t number, uint32_t value);
void ht_si_msg_payload(struct ht_si_msg *m, const void *data, size_t len);
void ht_si_msg_clear(struct ht_si_msg *m);

/** Appends the message to @out in the framing of RFC 8323. */
void ht_si_msg_tcp(const struct ht_si_msg *m, GByteArray *out);

/** Appends the message to @out as a datagram of RFC 7252. */
void ht_si_msg_udp(const struct ht_si_msg *m, coap_pdu_type_t type, uint16_t mid, GByteArray *out);

/** Parses one message; NULL when it is malformed. Free with coap_delete_pdu(). */
coap_pdu_t *ht_si_msg_parse(coap_proto_t proto, const uint8_t *data, size_t len);

/** Length in bytes of the first message of a TCP stream; 0 while its header is incomplete. */
size_t ht_si_msg_tcp_len(const uint8_t *data, size_t len);

/** Finds the first option @number; false when absent. */
bool ht_si_msg_find(const coap_pdu_t *pdu, uint16_t number, const uint8_t **value, size_t *len);

/** Value of the unsigned option @number, or @def when absent. */
uint32_t ht_si_msg_uint(const coap_pdu_t *pdu, uint16_t number, uint32_t def);

/** Copies the option @number as text into @buf ("" when absent). */
void ht_si_msg_text(const coap_pdu_t *pdu, uint16_t number, char *buf, size_t size);

/** Copies the value of the query parameter @key into @buf ("" when absent). */
void ht_si_msg_query(const coap_pdu_t *pdu, const char *key, char *buf, size_t size);

#endif
