#include "standins/common/msg.h"

#include <string.h>

void ht_si_msg_init(struct ht_si_msg *m, uint8_t code, const uint8_t *token, size_t token_len)
{
	*m = (struct ht_si_msg){.code = code, .body = g_byte_array_new()};
	m->token_len = MIN(token_len, sizeof(m->token));
	if (m->token_len)
		memcpy(m->token, token, m->token_len);
}

void ht_si_msg_opt(struct ht_si_msg *m, uint16_t number, const void *value, size_t len)
{
	uint16_t delta = number - m->last;
	guint at = m->body->len;
	size_t need = coap_opt_encode_size(delta, len);

	g_byte_array_set_size(m->body, (guint)(at + need));
	coap_opt_encode(m->body->data + at, need, delta, value, len);
	m->last = number;
}

void ht_si_msg_opt_str(struct ht_si_msg *m, uint16_t number, const char *value)
{
	ht_si_msg_opt(m, number, value, strlen(value));
}

void ht_si_msg_opt_uint(struct ht_si_msg *m, uint16_t number, uint32_t value)
{
	uint8_t buf[4];

	ht_si_msg_opt(m, number, buf, coap_encode_var_safe(buf, sizeof(buf), value));
}

void ht_si_msg_payload(struct ht_si_msg *m, const void *data, size_t len)
{
	static const uint8_t marker = 0xff;

	if (!len)
		return;
	g_byte_array_append(m->body, &marker, 1);
	g_byte_array_append(m->body, data, (guint)len);
}

void ht_si_msg_clear(struct ht_si_msg *m)
{
	g_byte_array_unref(m->body);
	m->body = NULL;
}

void ht_si_msg_tcp(const struct ht_si_msg *m, GByteArray *out)
{
	size_t len = m->body->len;
	uint8_t head[6];
	guint n = 1;

	if (len < 13) {
		head[0] = (uint8_t)(len << 4);
	} else if (len < 269) {
		head[0] = 13 << 4;
		head[n++] = (uint8_t)(len - 13);
	} else if (len < 65805) {
		head[0] = 14 << 4;
		head[n++] = (uint8_t)((len - 269) >> 8);
		head[n++] = (uint8_t)(len - 269);
	} else {
		len -= 65805;
		head[0] = 15 << 4;
		for (int shift = 24; shift >= 0; shift -= 8)
			head[n++] = (uint8_t)(len >> shift);
	}
	head[0] |= (uint8_t)m->token_len;
	head[n++] = m->code;
	g_byte_array_append(out, head, n);
	g_byte_array_append(out, m->token, (guint)m->token_len);
	g_byte_array_append(out, m->body->data, m->body->len);
}

void ht_si_msg_udp(const struct ht_si_msg *m, coap_pdu_type_t type, uint16_t mid, GByteArray *out)
{
	uint8_t head[4] = {(uint8_t)(1 << 6 | type << 4 | m->token_len), m->code,
			   (uint8_t)(mid >> 8), (uint8_t)mid};

	g_byte_array_append(out, head, sizeof(head));
	g_byte_array_append(out, m->token, (guint)m->token_len);
	g_byte_array_append(out, m->body->data, m->body->len);
}

coap_pdu_t *ht_si_msg_parse(coap_proto_t proto, const uint8_t *data, size_t len)
{
	coap_pdu_t *pdu = coap_pdu_init(0, 0, 0, len);

	if (pdu && !coap_pdu_parse(proto, data, len, pdu)) {
		coap_delete_pdu(pdu);
		return NULL;
	}
	return pdu;
}

size_t ht_si_msg_tcp_len(const uint8_t *data, size_t len)
{
	static const size_t base[] = {0, 13, 269, 65805};
	unsigned nibble;
	size_t ext, body;

	if (!len)
		return 0;
	nibble = data[0] >> 4;
	ext = nibble < 13 ? 0 : nibble == 15 ? 4 : nibble - 12U;
	if (len < 1 + ext)
		return 0;
	body = ext ? 0 : nibble;
	for (size_t i = 0; i < ext; i++)
		body = body << 8 | data[1 + i];
	if (ext)
		body += base[nibble - 12U];
	return 1 + ext + 1 + (data[0] & 15U) + body;
}

bool ht_si_msg_find(const coap_pdu_t *pdu, uint16_t number, const uint8_t **value, size_t *len)
{
	coap_opt_iterator_t it;
	coap_opt_t *opt = coap_check_option(pdu, number, &it);

	if (!opt)
		return false;
	*value = coap_opt_value(opt);
	*len = coap_opt_length(opt);
	return true;
}

uint32_t ht_si_msg_uint(const coap_pdu_t *pdu, uint16_t number, uint32_t def)
{
	const uint8_t *value;
	size_t len;

	return ht_si_msg_find(pdu, number, &value, &len) ? coap_decode_var_bytes(value, len) : def;
}

static void copy_text(char *buf, size_t size, const uint8_t *value, size_t len)
{
	len = MIN(len, size - 1);
	memcpy(buf, value, len);
	buf[len] = '\0';
}

void ht_si_msg_text(const coap_pdu_t *pdu, uint16_t number, char *buf, size_t size)
{
	const uint8_t *value;
	size_t len;

	buf[0] = '\0';
	if (ht_si_msg_find(pdu, number, &value, &len))
		copy_text(buf, size, value, len);
}

void ht_si_msg_query(const coap_pdu_t *pdu, const char *key, char *buf, size_t size)
{
	size_t klen = strlen(key);
	coap_opt_filter_t filter;
	coap_opt_iterator_t it;
	coap_opt_t *opt;

	buf[0] = '\0';
	coap_option_filter_clear(&filter);
	coap_option_filter_set(&filter, COAP_OPTION_URI_QUERY);
	coap_option_iterator_init(pdu, &it, &filter);
	while ((opt = coap_option_next(&it))) {
		const uint8_t *value = coap_opt_value(opt);
		size_t len = coap_opt_length(opt);

		if (len <= klen || memcmp(value, key, klen) != 0 || value[klen] != '=')
			continue;
		copy_text(buf, size, value + klen + 1, len - klen - 1);
		return;
	}
}
