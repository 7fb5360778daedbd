#include "daemon/handshake.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

/* Everything that the proof covers, in one block without padding between members. */
struct covered {
	uint8_t sender_nonce[HT_NONCE_LEN];
	uint8_t receiver_nonce[HT_NONCE_LEN];
	uint8_t incarnation[8];
	char name[HT_NAME_MAX];
	char dc[HT_NAME_MAX];
	char peer_address[HT_ADDR_TEXT];
};

void ht_hello_fill(Ht__Hello *hello, const struct ht_identity *own)
{
	ht__hello__init(hello);
	hello->wire_version = HT_WIRE_VERSION;
	hello->name = (char *)own->info.name;
	hello->dc = (char *)own->info.dc;
	hello->peer_address = (char *)own->info.peer_address;
	hello->admin_address = (char *)own->info.admin_address;
	hello->incarnation = own->incarnation;
	hello->size = own->info.size;
	hello->nonce.data = (uint8_t *)own->nonce;
	hello->nonce.len = HT_NONCE_LEN;
}

static bool copy_text(char *to, size_t size, const char *from)
{
	size_t len = strlen(from);

	if (len >= size)
		return false;
	memcpy(to, from, len + 1);
	return true;
}

bool ht_hello_read(const Ht__Hello *hello, struct ht_identity *out, struct ht_err *err)
{
	struct ht_addr addr;

	memset(out, 0, sizeof(*out));
	if (hello->wire_version != HT_WIRE_VERSION)
		return ht_err_set(err, HT_EVERSION, "wire version %u, own is %d",
				  hello->wire_version, HT_WIRE_VERSION);
	if (hello->nonce.len != HT_NONCE_LEN || !hello->incarnation || !hello->name[0] ||
	    !(hello->size >= 0.1 && hello->size <= 100))
		return ht_err_set(err, HT_EINVAL, "incomplete Hello");
	if (!copy_text(out->info.name, sizeof(out->info.name), hello->name) ||
	    !copy_text(out->info.dc, sizeof(out->info.dc), hello->dc) ||
	    !copy_text(out->info.peer_address, sizeof(out->info.peer_address),
		       hello->peer_address) ||
	    !copy_text(out->info.admin_address, sizeof(out->info.admin_address),
		       hello->admin_address))
		return ht_err_set(err, HT_EINVAL, "overlong name in Hello");
	if (!ht_addr_parse(&addr, out->info.peer_address, err))
		return ht_err_prefix(err, "peer address in Hello");
	memcpy(out->nonce, hello->nonce.data, HT_NONCE_LEN);
	out->incarnation = hello->incarnation;
	out->info.size = hello->size;
	return true;
}

void ht_proof_make(uint8_t mac[HT_MAC_LEN], const uint8_t key[HT_KEY_LEN],
		   const struct ht_identity *sender, const struct ht_identity *receiver)
{
	struct covered c;

	memset(&c, 0, sizeof(c));
	memcpy(c.sender_nonce, sender->nonce, HT_NONCE_LEN);
	memcpy(c.receiver_nonce, receiver->nonce, HT_NONCE_LEN);
	for (int i = 0; i < 8; i++)
		c.incarnation[i] = (uint8_t)(sender->incarnation >> (8 * i));
	snprintf(c.name, sizeof(c.name), "%s", sender->info.name);
	snprintf(c.dc, sizeof(c.dc), "%s", sender->info.dc);
	snprintf(c.peer_address, sizeof(c.peer_address), "%s", sender->info.peer_address);
	crypto_auth(mac, (const uint8_t *)&c, sizeof(c), key);
}

bool ht_proof_check(const Ht__HelloProof *proof, const uint8_t key[HT_KEY_LEN],
		    const struct ht_identity *sender, const struct ht_identity *receiver)
{
	uint8_t mac[HT_MAC_LEN];

	ht_proof_make(mac, key, sender, receiver);
	return proof->mac.len == HT_MAC_LEN && sodium_memcmp(mac, proof->mac.data, HT_MAC_LEN) == 0;
}
